"""Choice of the units that are stopped, by what stopping them costs."""

import pytest
from harness import Harness

from ragwortshelf.core.scheduling import Resources

WHOLE = Resources(8_000, 8_000, 8)


def _stopped_jobs(harness):
    return {stop.task.split(".")[0] for stop in harness.stops}


# Load: an urgent job that borrows, started 10 ms ago, beside an older batch, when a
# guaranteed job arrives. Guards against the youngest run being stopped whatever being
# on time is worth to it.
@pytest.mark.parametrize("batch_age_ms", [500, 30_000])
def test_an_urgent_run_is_not_the_victim_while_a_batch_could_be(batch_age_ms):
    harness = Harness(endpoints=2, guaranteed=8)
    harness.now = 10_000
    harness.submit("batch", "p2", "b", 10_000, request=WHOLE, estimate_ms=60_000)
    harness.accept_starts()
    harness.advance(batch_age_ms)
    harness.list("e0", percent={"batch.0.0.0": 1})
    harness.list("e1", percent={"batch.0.0.0": 1})
    harness.submit("borrower", "p0", "c", harness.now, request=WHOLE)
    harness.accept_starts()
    harness.advance(10)
    harness.submit("guaranteed", "p0", "a", harness.now, request=WHOLE)
    assert _stopped_jobs(harness) == {"batch"}


# Load: only urgent jobs that borrow run when a guaranteed job arrives. Guards against
# guarantees that are not kept because urgent runs are spared.
def test_urgent_runs_beyond_their_guarantee_are_reclaimed_if_nothing_else_runs():
    harness = Harness(endpoints=2, guaranteed=8)
    for n in range(2):
        harness.submit(f"c{n}", "p0", "c", harness.now, request=WHOLE)
    harness.accept_starts()
    harness.submit("guaranteed", "p0", "a", harness.now, request=WHOLE)
    assert len(harness.stops) == 1
    assert _stopped_jobs(harness) <= {"c0", "c1"}


# Load: a run of 1.5 s that is in no danger beside a new one that a restart would make
# late. Guards against stopping the youngest run if its job then misses its deadline.
@pytest.mark.parametrize(
    ("accepted_ms", "victim"), [(9_500, "older"), (10_500, "younger")]
)
def test_a_run_that_would_become_late_is_stopped_after_one_that_loses_more(
    accepted_ms, victim
):
    harness = Harness(endpoints=2, guaranteed=8)
    harness.now = 10_000
    harness.submit("older", "p1", "b", 10_000, request=WHOLE, estimate_ms=20_000)
    harness.accept_starts()
    harness.advance(1_500)
    # Its deadline is 4.5 s after its acceptance, and a restart takes 2.9 s.
    harness.submit("younger", "p1", "b", accepted_ms, request=WHOLE)
    harness.accept_starts()
    harness.advance(10)
    harness.submit("guaranteed", "p0", "a", harness.now, request=WHOLE)
    assert _stopped_jobs(harness) == {victim}


# Load: a run that is late whatever is done beside an older one that is in no danger.
# Guards against sparing a run whose deadline is lost already.
def test_a_run_that_is_late_already_is_not_spared():
    harness = Harness(endpoints=2, guaranteed=8)
    harness.now = 20_000
    harness.submit("older", "p1", "b", 20_000, request=WHOLE, estimate_ms=20_000)
    harness.accept_starts()
    harness.advance(1_500)
    harness.submit("late", "p1", "b", 10_000, request=WHOLE)
    harness.accept_starts()
    harness.advance(10)
    harness.submit("guaranteed", "p0", "a", harness.now, request=WHOLE)
    assert _stopped_jobs(harness) == {"late"}
