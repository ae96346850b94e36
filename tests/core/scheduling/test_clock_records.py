"""Records with readings of a term's clock, as older versions write and read them."""

import cbor2
import pytest

from ragwortshelf.core.scheduling.model import Incarnation
from ragwortshelf.core.scheduling.record_codec import decode_record, encode_record
from ragwortshelf.core.scheduling.records import EndpointObserved, TermClock

INCARNATION = Incarnation("e", "host:1", 1_000)


@pytest.mark.parametrize(
    ("key", "fields", "record"),
    [
        ("clock", (9, 500), TermClock(9, 500)),
        ("clock", (9, 500, 40), TermClock(9, 500, 40)),
        ("clock", (9, 500, 40, ["e"], "later"), TermClock(9, 500, 40, ("e",))),
        ("clock", (9, 500, None, None), TermClock(9, 500)),
        ("e/e", ("host:1", 1_000), EndpointObserved(INCARNATION)),
        ("e/e", ("host:1", 1_000, 9, 70, 1), EndpointObserved(INCARNATION, 9, 70)),
    ],
)
def test_records_of_any_length_are_read(key, fields, record):
    assert decode_record(key, cbor2.dumps(fields)) == record


@pytest.mark.parametrize("fields", [(9,), (9, 500, "x"), (9, 500, 1, 3), 7])
def test_a_malformed_clock_is_not_read(fields):
    assert decode_record("clock", cbor2.dumps(fields)) is None


# Guards against a rolling upgrade: an older version reads the first two fields.
@pytest.mark.parametrize(
    ("record", "first"),
    [
        (TermClock(9, 500, 40, ("e",)), [9, 500]),
        (EndpointObserved(INCARNATION, 9, 70), ["host:1", 1_000]),
        (EndpointObserved(INCARNATION), ["host:1", 1_000]),
    ],
)
def test_the_first_fields_are_those_of_older_versions(record, first):
    key, value = encode_record(record)
    assert cbor2.loads(value)[:2] == first
    assert decode_record(key, value) == record
