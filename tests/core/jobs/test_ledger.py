"""The fold of the jobs stream: the lowest offset wins, duplicates change nothing."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ragwortshelf.core.jobs import JobLedger, admit
from ragwortshelf.core.model import (
    Configuration,
    DataCentre,
    Grant,
    JobPhase,
    JobSpec,
    NotRun,
    Organisation,
    Rack,
    Reason,
)
from ragwortshelf.core.streams import (
    AttemptClaimed,
    AttemptEnded,
    AttemptStarted,
    CancelRequested,
    JobAccepted,
    JobEnded,
    JobMoved,
    decode_record,
    encode_record,
)

IDS = ("e.1.0", "e.1.1")
ids = st.sampled_from(IDS)
attempts = st.integers(0, 3)
holders = st.sampled_from(("p", "q"))
data_centres = st.sampled_from(("dc", "far"))
grants = (Grant("w1", (0, 1)),)


def accepted(job_id):
    return JobAccepted(JobSpec(job_id, "org", "dc", 2), "e")


def claimed(job_id, attempt, holder="p", data_centre="dc"):
    return AttemptClaimed(job_id, attempt, holder, data_centre, grants, ("b",), 0)


records = st.one_of(
    st.builds(accepted, ids),
    st.builds(claimed, ids, attempts, holders, data_centres),
    st.builds(AttemptStarted, ids, attempts, st.just(0)),
    st.builds(
        AttemptEnded,
        ids,
        attempts,
        st.booleans(),
        st.sampled_from((Reason.WORKER_LOST, Reason.TASK_FAILED, Reason.RECLAIMED)),
        st.integers(0, 5),
        st.just(0),
        st.none() | st.integers(0, 9),
    ),
    st.builds(
        JobEnded,
        ids,
        attempts,
        st.sampled_from((JobPhase.COMPLETED, JobPhase.NOT_RUN, JobPhase.INTERRUPTED)),
        st.just(Reason.CANCELLED),
        st.just(""),
        st.integers(0, 5),
    ),
    st.builds(
        JobMoved, ids, st.integers(1, 2), data_centres, st.just(Reason.NEVER_FITS)
    ),
    st.builds(CancelRequested, ids, st.just("me")),
)


@given(st.lists(records, max_size=30), st.integers(0, 30))
def test_duplicates_and_snapshots_change_nothing(log, cut):
    once, twice = JobLedger(), JobLedger()
    for index, record in enumerate(log):
        once.apply(record)
        twice.apply(decode_record(encode_record(record)))
        twice.apply(record)
        if index == cut:
            data = twice.snapshot()
            twice = JobLedger()
            twice.restore(data)
    assert once.to_snapshot() == twice.to_snapshot()


@given(st.lists(records, max_size=30))
@settings(max_examples=200)
def test_outcomes_and_open_claims_never_change(log):
    ledger = JobLedger()
    for record in [accepted(job_id) for job_id in IDS] + log:
        before = {job_id: ledger.get(job_id) for job_id in IDS}
        ledger.apply(record)
        for job_id, old in before.items():
            new = ledger.get(job_id)
            if old is None:
                continue
            if old.phase.is_final:
                assert new == old
            if old.is_open and new.is_open:
                assert new.claim == old.claim
            assert new.attempt >= old.attempt
            if not old.is_open and new.is_open:
                assert new.claim.data_centre == old.home_data_centre


def test_claim_wins_only_in_the_home_data_centre_at_its_offset():
    ledger = JobLedger()
    moved = JobMoved(IDS[0], 1, "far", Reason.OWNER_UNREACHABLE)
    assert ledger.apply(accepted(IDS[0])) is not None
    assert ledger.apply(claimed(IDS[0], 1, "p", "far")) is None
    assert ledger.apply(moved) is not None
    assert ledger.apply(claimed(IDS[0], 1, "p", "dc")) is None
    assert ledger.apply(claimed(IDS[0], 1, "q", "far")).claim.holder == "q"


def test_second_attempt_is_claimed_only_after_the_first_has_ended():
    ledger = JobLedger()
    ledger.apply(accepted(IDS[0]))
    assert ledger.apply(claimed(IDS[0], 1)) is not None
    assert ledger.apply(claimed(IDS[0], 2, "q")) is None
    ledger.apply(AttemptEnded(IDS[0], 1, False, Reason.INSTANCE_LOST, 0, 0))
    assert ledger.apply(claimed(IDS[0], 2, "q")).claim.holder == "q"


def test_not_run_has_no_effect_after_an_earlier_claim():
    ledger = JobLedger()
    ended = JobEnded(IDS[0], 0, JobPhase.NOT_RUN, Reason.CANCELLED, "", 0)
    for record in (accepted(IDS[0]), claimed(IDS[0], 1), ended):
        ledger.apply(record)
    assert ledger.get(IDS[0]).outcome is None
    ledger.apply(JobEnded(IDS[0], 1, JobPhase.NOT_RUN, Reason.CANCELLED, "", 0))
    assert ledger.get(IDS[0]).outcome == NotRun(Reason.CANCELLED)
    assert ledger.apply(claimed(IDS[0], 2)) is None


def test_forgotten_jobs_are_not_accepted_again():
    ledger = JobLedger(ended_kept=1)
    for job_id in IDS:
        ledger.apply(accepted(job_id))
        ledger.apply(JobEnded(job_id, 0, JobPhase.NOT_RUN, Reason.CANCELLED, "", 0))
    assert ledger.get(IDS[0]) is None
    restored = JobLedger.from_snapshot(ledger.to_snapshot(), ended_kept=1)
    for tested_ledger in (ledger, restored):
        assert tested_ledger.apply(accepted(IDS[0])) is None
        assert tested_ledger.has_ended(IDS[0])
    assert [entry.spec.job_id for entry in ledger.of_organisation("org")] == [IDS[1]]


CONFIGURATION = Configuration(
    0,
    {"org": Organisation("org")},
    {"dc": DataCentre("dc", "r", (Rack("rack", ("w1", "w2"), 4),))},
)


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({}, None),
        ({"accelerators": 9}, Reason.NEVER_FITS),
        ({"accelerators": 0}, Reason.INVALID),
        ({"tasks": 0}, Reason.INVALID),
        ({"organisation": "other"}, Reason.ORGANISATION_UNKNOWN),
        ({"deadline_wall_ms": 5}, Reason.DEADLINE_PASSED),
    ],
)
def test_admission_returns_a_home_or_the_reason(fields, reason):
    defaults = {"organisation": "org", "home_data_centre": "", "accelerators": 8}
    spec = JobSpec("e.1.0", **{**defaults, **fields})
    answer = admit(spec, CONFIGURATION, JobLedger(), True, 5)
    if reason is None:
        assert (answer.home_data_centre, answer.submitted_wall_ms) == ("dc", 5)
    else:
        assert answer.reason is reason
