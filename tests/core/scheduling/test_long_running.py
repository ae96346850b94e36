"""Long-running tasks, background tasks, and limits of unavailability."""

from harness import SMALL, Harness

from ragwortshelf.core.scheduling import JobSpec, Resources, Step
from ragwortshelf.core.scheduling.actions import PaceTask
from ragwortshelf.core.scheduling.listings import EndpointListing, RunEnd, RunningTask

WHOLE = Resources(8_000, 8_000, 8)


def _start_long_running(harness, **step):
    step.setdefault("request", SMALL)
    harness.submit("l", "p1", is_long_running=True, **step)
    started = harness.accept_starts()
    for start in started:
        harness.list(start.endpoint_id, percent={start.task: 100})
    return started


def test_a_long_running_task_is_restarted_however_it_ends():
    harness = Harness(attempts=1)
    (start,) = _start_long_running(harness)
    for run_end in (RunEnd.DONE, RunEnd.FAILED, RunEnd.FAILED, RunEnd.LAPSED):
        harness.end(start.endpoint_id, start.task, run_end)
        harness.advance(200)
        (start,) = harness.accept_starts()
    assert start.run == 5
    assert harness.table.job_by_id["l"].state.value == "running"


# Guards against an idle fleet on which nothing starts (LOST): failures of long-running
# tasks, which are restarted on one endpoint after the other, excluded all of them.
def test_long_running_tasks_that_fail_keep_no_endpoint_from_other_work():
    harness = Harness(endpoints=2)
    for n in range(4):
        harness.submit(f"l{n}", count=2, is_long_running=True)
    for step in range(40):
        harness.advance(300)
        harness.obey_stops()
        for order in harness.accept_starts():
            harness.end(order.endpoint_id, order.task, RunEnd.FAILED)
        if step % 10 == 9:
            harness.submit(f"other{step}", "p2", "b")
            assert harness.starts[-1].task == f"other{step}.0.0.0"
            (order,) = harness.accept_starts()
            harness.end(order.endpoint_id, order.task)


# Guards against other work that is stopped without end: each restart of a task that
# fails at once reclaimed room.
def test_a_long_running_task_that_fails_again_and_again_pauses_between_restarts():
    harness = Harness(endpoints=1)
    (start,) = _start_long_running(harness, request=WHOLE)
    delays_ms = []
    for _ in range(7):
        failed_ms = harness.now
        harness.end(start.endpoint_id, start.task, RunEnd.FAILED)
        while not harness.starts:
            harness.advance(100)
        delays_ms.append(harness.now - failed_ms)
        (start,) = harness.accept_starts()
        harness.advance(500)
    assert delays_ms == [0, 200, 400, 800, 1_600, 3_200, 3_200]
    harness.advance(10_000)
    harness.end(start.endpoint_id, start.task, RunEnd.FAILED)
    assert harness.starts


def test_a_long_running_task_that_ended_reclaims_room_on_a_full_endpoint():
    harness = Harness(endpoints=1)
    (start,) = _start_long_running(harness, request=WHOLE)
    harness.submit("other", "p2", "b", request=WHOLE)
    harness.end(start.endpoint_id, start.task, RunEnd.FAILED)
    harness.accept_starts()
    assert {task for task in harness.running["e0"]} in ({"other.0.0.0"}, {start.task})
    if "other.0.0.0" in harness.running["e0"]:
        harness.advance(1_000)
        harness.obey_stops()
        assert [s.task for s in harness.starts] == [start.task]


def test_no_more_long_running_tasks_are_stopped_than_may_be_unavailable():
    # An urgent gang reclaims endpoints that all hold tasks of one long-running step.
    harness = Harness(endpoints=3, guaranteed=24)
    _start_long_running(harness, count=3, request=WHOLE, unavailable_max=1)
    harness.submit("u", "p0", "b", count=3, is_gang=True, request=WHOLE)
    assert len(harness.stops) <= 1


def test_an_upkeep_waits_while_another_task_of_the_step_is_unavailable():
    harness = Harness(endpoints=1)
    _start_long_running(harness, count=2, request=SMALL, unavailable_max=1)
    at_work = {"l.0.0.0": 100, "l.0.0.1": 100}
    harness.list("e0", percent=at_work)
    harness.scheduler.cordon("e0")
    harness.scheduler.evict("e0", "upkeep", harness.now)
    harness.collect()
    (stopped,) = harness.obey_stops()
    harness.add_endpoint("e1")
    (again,) = harness.accept_starts()
    assert (again.task, again.endpoint_id) == (stopped.task, "e1")
    # The other task is still at work, and the one that was stopped not yet again.
    harness.list("e0", percent=at_work)
    harness.scheduler.evict("e0", "upkeep", harness.now)
    harness.collect()
    assert not harness.stops
    harness.list("e1", percent=at_work)
    harness.scheduler.evict("e0", "upkeep", harness.now)
    harness.collect()
    assert len(harness.stops) == 1


def _listed_paces(harness, endpoint, latencies):
    """List tail latencies in milliseconds; return the paces ordered in response."""
    rows = tuple(
        RunningTask(task, run, "", 100 if task.startswith("s") else 10, latencies[task])
        for task, run in harness.running[endpoint].items()
    )
    harness.now += 300
    listing = EndpointListing(endpoint, 1, harness.now, rows)
    harness.scheduler.listing_received(listing, harness.now, harness.now)
    return [
        action.percent
        for action in harness.scheduler.take_actions()
        if isinstance(action, PaceTask)
    ]


def test_background_tasks_slow_down_while_a_serving_task_exceeds_its_target():
    harness = Harness(endpoints=1)
    serving = Step(1, SMALL, is_long_running=True, tail_target_ms=100)
    harness.submit_spec(JobSpec("s", "p1", "pool", "a", "", (serving,)))
    background = Step(1, Resources(9_000, 1_000), 60_000, fills=True)
    harness.submit_spec(JobSpec("f", "p2", "pool", "a", "", (background,)))
    harness.accept_starts()
    high = {"s.0.0.0": 150, "f.0.0.0": 0}
    low = {"s.0.0.0": 20, "f.0.0.0": 0}
    slowed = [pace for _ in range(5) for pace in _listed_paces(harness, "e0", high)]
    assert slowed == sorted(slowed, reverse=True)
    assert slowed[-1] == 0
    raised = [pace for _ in range(20) for pace in _listed_paces(harness, "e0", low)]
    assert raised == sorted(raised)
    assert raised[-1] == 100


def test_background_tasks_occupy_no_processors():
    harness = Harness(endpoints=1)
    background = Step(1, Resources(40_000, 1_000), 60_000, fills=True)
    harness.submit_spec(JobSpec("f", "p2", "pool", "a", "", (background,)))
    assert len(harness.accept_starts()) == 1
