"""The codec round-trips values, skips unknown fields and rejects invalid bytes."""

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortshelf.core.model import (
    Adjacency,
    Grant,
    JobPhase,
    JobSpec,
    Priority,
    Reason,
    UsageReport,
)
from ragwortshelf.core.streams import (
    AttemptClaimed,
    JobAccepted,
    JobEnded,
    SnapshotChunk,
    Undecodable,
    UsageRecorded,
    decode_record,
    encode_record,
)

SPEC = JobSpec(
    "j1",
    "org",
    "dc1",
    16,
    Adjacency.RACK,
    priority=Priority.URGENT,
    deadline_wall_ms=5,
)


@pytest.mark.parametrize(
    "record",
    [
        JobAccepted(SPEC, "i1"),
        AttemptClaimed("j1", 1, "i1", "dc1", (Grant("w", (0, 3)),), ("b1",), 7),
        JobEnded("j1", 1, JobPhase.NOT_RUN, Reason.CANCELLED, "", 9),
        UsageRecorded((UsageReport("org", "j1", 1, 0, 4, 250),)),
        SnapshotChunk("jobs", 9, "s1", 0, 1, b"\x00\xff"),
    ],
)
def test_records_round_trip(record):
    assert decode_record(encode_record(record)) == record


def test_unknown_fields_of_the_next_version_are_skipped():
    fields = cbor2.loads(encode_record(JobAccepted(SPEC, "i1")))
    fields["new_field"] = [1, 2]
    fields["spec"]["colour"] = "blue"
    fields["#"] = 2
    assert decode_record(cbor2.dumps(fields)) == JobAccepted(SPEC, "i1")


def test_fields_absent_from_the_previous_version_take_their_defaults():
    fields = cbor2.loads(encode_record(JobAccepted(SPEC, "i1")))
    del fields["spec"]["tasks"]
    assert decode_record(cbor2.dumps(fields)).spec.tasks == 1


@pytest.mark.parametrize(
    "fields",
    [
        [],
        {"@": "Nothing"},
        {"@": "JobAccepted"},
        {"@": "JobEnded", "job_id": 3},
        {"@": ["x"]},
        {"@": "JobAccepted", "spec": 3, "accepted_by": "i"},
    ],
)
def test_invalid_records_are_undecodable(fields):
    assert isinstance(decode_record(cbor2.dumps(fields)), Undecodable)


@given(st.binary(max_size=60))
def test_decoding_any_bytes_raises_nothing(data):
    decode_record(data)
