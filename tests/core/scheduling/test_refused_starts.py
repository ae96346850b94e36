"""What callers are shown of jobs whose starts were refused."""

import pytest
from harness import Fleet

from ragwortshelf.core.scheduling.listings import RunEnd, StartOutcome

REFUSALS = [StartOutcome.NO_ROOM, StartOutcome.UNHEALTHY, StartOutcome.LATE]


def _shown(fleet, job_id="j"):
    """Return a job's state, and how many jobs of its queue have not begun."""
    job = fleet.table.job_by_id[job_id]
    return job.state.value, fleet.table.pending(job.spec.queue)


# Guards against jobs that are left out of those that have not begun, as a start of
# theirs was refused (MIXED, refusing_minion.py of the review).
@pytest.mark.parametrize("outcome", REFUSALS)
def test_a_job_whose_start_was_refused_has_not_begun(outcome):
    fleet = Fleet(endpoints=2)
    fleet.submit("j")
    for _ in range(3):
        fleet.refuse_start(outcome)
        assert _shown(fleet) == ("queued", 1)
        fleet.wait(3_000)
        assert fleet.starts
    fleet.accept_starts()
    assert _shown(fleet) == ("running", 0)


def test_a_refused_gang_has_not_begun_once_no_member_may_run():
    fleet = Fleet(endpoints=1)
    fleet.submit("j", count=3, is_gang=True)
    for _ in range(3):
        fleet.refuse_start(StartOutcome.NO_ROOM)
    assert _shown(fleet) == ("queued", 1)


def test_a_refused_gang_has_begun_if_a_member_started():
    fleet = Fleet(endpoints=1)
    fleet.submit("j", count=2, is_gang=True)
    refused = fleet.starts.pop()
    fleet.accept_starts()
    fleet.starts.append(refused)
    fleet.refuse_start(StartOutcome.NO_ROOM)
    fleet.obey_stops()
    assert _shown(fleet) == ("running", 0)


@pytest.mark.parametrize(
    ("outcome", "was_unanswered"),
    [(StartOutcome.UNANSWERED, True), (StartOutcome.NO_ROOM, True)],
)
def test_a_job_whose_start_may_have_been_carried_out_has_begun(outcome, was_unanswered):
    fleet = Fleet(endpoints=1)
    fleet.submit("j")
    fleet.refuse_start(outcome, was_unanswered)
    assert _shown(fleet) == ("running", 0)


def test_a_job_that_ran_before_has_begun_when_a_later_start_is_refused():
    fleet = Fleet(endpoints=1)
    fleet.submit("j")
    (start,) = fleet.accept_starts()
    fleet.end(start.endpoint_id, start.task, RunEnd.FAILED)
    fleet.wait(3_000)
    fleet.refuse_start(StartOutcome.NO_ROOM)
    assert _shown(fleet) == ("running", 0)


# Guards against a successor that takes a refused start for one that was carried out, or
# the number of its run for a free one.
def test_a_successor_shows_and_starts_a_job_whose_start_was_refused():
    fleet = Fleet(endpoints=1)
    fleet.submit("j")
    refused = fleet.refuse_start(StartOutcome.NO_ROOM)
    fleet.change_scheduler()
    assert fleet.starts[0].run == refused.run + 1
    fleet.refuse_start(StartOutcome.NO_ROOM)
    assert _shown(fleet) == ("queued", 1)
