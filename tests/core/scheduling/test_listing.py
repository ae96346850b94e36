"""Listings: ended runs, restarted endpoints, and full pages."""

from harness import SMALL, Harness

from ragwortshelf.core.scheduling import JobSpec, Resources, Step
from ragwortshelf.core.scheduling.endpoint_tracking import FINISHED_PAGE_SIZE
from ragwortshelf.core.scheduling.listings import (
    EndpointListing,
    FinishedRun,
    RunEnd,
    StartOutcome,
)

WHOLE = Resources(8_000, 8_000, 8)


def test_runs_of_a_restarted_endpoint_are_lost_and_started_again():
    harness = Harness(endpoints=1)
    harness.submit("t")
    (start,) = harness.accept_starts()
    harness.running["e0"].clear()
    harness.list("e0", started_wall_ms=2)
    harness.advance(200)
    (again,) = harness.accept_starts()
    assert (again.task, again.run) == (start.task, 2)


def test_a_run_missing_from_a_full_page_of_ended_runs_is_not_lost():
    # Hundreds of short tasks end on one endpoint while it is disconnected.
    harness = Harness(endpoints=1)
    harness.submit("t")
    harness.accept_starts()
    rows = tuple(
        FinishedRun(n, f"other.0.0.{n}", 1, RunEnd.STOPPED, "")
        for n in range(1, FINISHED_PAGE_SIZE + 1)
    )
    harness.now += 100
    harness.scheduler.listing_received(
        EndpointListing("e0", 1, harness.now, (), rows), harness.now, harness.now
    )
    harness.advance(1_000)
    assert not harness.starts


def test_an_unanswered_start_is_stopped_before_the_task_starts_elsewhere():
    harness = Harness(endpoints=2)
    harness.submit("t")
    order = harness.refuse_start(StartOutcome.UNANSWERED)
    harness.advance(300)
    assert not harness.starts
    (stop,) = harness.stops
    assert (stop.task, stop.run) == (order.task, order.run)
    harness.scheduler.stop_confirmed(stop.endpoint_id, stop.task, stop.run, harness.now)
    harness.advance(10)
    harness.list(stop.endpoint_id)
    harness.advance(200)
    (again,) = harness.starts
    assert again.run == 2


def test_a_listing_older_than_a_start_does_not_lose_the_run():
    harness = Harness(endpoints=1)
    harness.submit("t")
    harness.accept_starts()
    harness.running["e0"].clear()
    harness.list("e0", sent=harness.now - 50)
    harness.advance(500)
    assert not harness.starts


def test_a_listing_sent_in_the_millisecond_of_a_start_does_not_lose_the_run():
    # An end is acknowledged in the millisecond in which the next start is answered: the
    # listing may have been taken just before the start arrived.
    harness = Harness(endpoints=1)
    harness.submit("t")
    harness.accept_starts()
    harness.running["e0"].clear()
    harness.list("e0", sent=harness.now)
    harness.advance(500)
    assert not harness.starts


def test_a_listing_sent_in_the_millisecond_of_a_stop_does_not_release_the_run():
    harness = Harness(endpoints=2)
    harness.submit("t")
    harness.refuse_start(StartOutcome.UNANSWERED)
    harness.advance(300)
    (stop,) = harness.stops
    harness.scheduler.stop_confirmed(stop.endpoint_id, stop.task, stop.run, harness.now)
    harness.list(stop.endpoint_id, sent=harness.now)
    harness.advance(500)
    assert not harness.starts


def test_the_next_start_carries_the_checkpoint():
    harness = Harness()
    harness.submit("t", is_checkpointing=True)
    (start,) = harness.accept_starts()
    harness.end(start.endpoint_id, start.task, RunEnd.STOPPED, checkpoint="saved")
    harness.advance(200)
    (again,) = harness.starts
    assert again.checkpoint == "saved"


def test_a_step_waits_for_its_dependencies():
    harness = Harness()
    steps = (Step(2, SMALL, 500), Step(1, SMALL, 500, depends_on=(0,)))
    harness.submit_spec(JobSpec("j", "p1", "pool", "a", "", steps))
    first = harness.accept_starts()
    assert {start.task for start in first} == {"j.0.0.0", "j.0.0.1"}
    harness.end(first[0].endpoint_id, first[0].task)
    assert not harness.starts
    harness.end(first[1].endpoint_id, first[1].task)
    assert [start.task for start in harness.starts] == ["j.0.1.0"]


def test_occurrences_start_when_due_and_may_overlap():
    harness = Harness()
    step = Step(1, SMALL, 5_000)
    spec = JobSpec(
        "j",
        "p1",
        "pool",
        "a",
        "",
        (step,),
        occurrences=3,
        first_run_wall_ms=2_000,
        interval_ms=1_000,
    )
    harness.submit_spec(spec)
    assert not harness.starts
    seen = []
    for _ in range(40):
        harness.advance(100)
        seen += [(s.task, harness.now) for s in harness.accept_starts()]
    assert [task for task, _ in seen] == ["j.0.0.0", "j.1.0.0", "j.2.0.0"]
    for number, (_, at) in enumerate(seen):
        assert 0 <= at - (2_000 + 1_000 * number) <= 100


def test_a_task_is_moved_off_an_endpoint_that_leaves_before_it_can_end():
    # An endpoint is drained at short notice while a task is half done.
    harness = Harness(endpoints=1)
    harness.submit("t", estimate_ms=8_000)
    harness.accept_starts()
    harness.add_endpoint("e1")
    harness.add_endpoint("e0", is_draining=True, remaining_ms=2_000)
    harness.advance(10)
    assert [stop.reason for stop in harness.stops] == ["endpoint leaves"]
    harness.obey_stops()
    harness.advance(200)
    assert [start.endpoint_id for start in harness.starts] == ["e1"]


def test_nothing_new_starts_on_an_endpoint_that_leaves():
    harness = Harness(endpoints=0)
    harness.add_endpoint("e0", is_draining=True)
    harness.submit("t")
    assert not harness.starts
    harness.add_endpoint("e1")
    harness.advance(10)
    assert [start.endpoint_id for start in harness.starts] == ["e1"]


def test_a_withdrawn_queue_still_limits_the_attempts_of_its_jobs():
    harness = Harness(endpoints=3)
    spec = JobSpec("j", "gone", "pool", "a", "", (Step(1, SMALL, 100),), attempts_max=2)
    harness.submit_spec(spec)
    for _ in range(2):
        (start,) = harness.accept_starts()
        harness.advance(1_000)
        harness.end(start.endpoint_id, start.task, RunEnd.FAILED)
        harness.advance(200)
    assert not harness.starts
    assert harness.table.job_by_id["j"].state.value == "failed"


def test_a_start_given_up_while_its_placement_was_logged_is_not_sent():
    # The log is unavailable for longer than a lease, then accepts all records at once.
    harness = Harness(endpoints=1)
    harness.submit("t")
    (first,) = harness.starts
    harness.scheduler.endpoint_lease_expired("e0", harness.now, harness.now)
    harness.add_endpoint("e1")
    harness.advance(200)
    second = harness.starts[-1]
    assert second.run == 2
    assert not harness.scheduler.is_still_ordered(first)
    assert harness.scheduler.is_still_ordered(second)


def test_an_endpoint_on_which_all_runs_fail_is_excluded_for_a_while():
    harness = Harness(endpoints=1, attempts=1)
    for number in range(3):
        harness.submit(f"f{number}")
        (start,) = harness.accept_starts()
        harness.advance(1_000)
        harness.end(start.endpoint_id, start.task, RunEnd.FAILED)
    endpoint = harness.scheduler.endpoint_by_id["e0"]
    assert not endpoint.is_usable(harness.now)
    harness.submit("next")
    assert not harness.starts
    harness.add_endpoint("e1")
    harness.advance(10)
    assert [start.endpoint_id for start in harness.starts] == ["e1"]
    harness.advance(6_000)
    assert endpoint.is_usable(harness.now)
