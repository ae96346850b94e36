"""Order of the queue, and preemption so that urgent units are on time."""

import pytest
from harness import Harness

from ragwortshelf.core.scheduling import JobSpec, Resources, Step

WHOLE = Resources(8_000, 8_000, 8)
HALF = Resources(4_000, 4_000, 4)


def _first_started_job(harness):
    return harness.starts[0].unit_key.job_id


def test_priority_takes_precedence_over_age():
    harness = Harness(endpoints=1, guaranteed=0)
    harness.submit("x", "p1", request=WHOLE)
    harness.accept_starts()
    harness.submit("low", "p2", request=WHOLE, accepted=0)
    harness.submit("high", "p1", request=WHOLE, accepted=500)
    harness.end("e0", "x.0.0.0")
    assert _first_started_job(harness) == "high"


def test_an_urgent_unit_that_can_be_on_time_preempts_a_unit_just_started():
    # An urgent job beyond the guarantee finds the endpoint taken by a new task.
    harness = Harness(endpoints=1, guaranteed=0)
    harness.now = 10_000
    harness.submit("b", "p2", "b", request=WHOLE, estimate_ms=9_000)
    harness.accept_starts()
    harness.advance(100)
    harness.submit("u", "p0", "a", request=WHOLE, accepted=10_100)
    assert {stop.task for stop in harness.stops} == {"b.0.0.0"}


@pytest.mark.parametrize(("elapsed_ms", "is_stopped"), [(1_900, True), (2_100, False)])
def test_an_urgent_unit_discards_no_more_computation_than_its_own(
    elapsed_ms, is_stopped
):
    # An urgent job of 2 s beyond the guarantee competes with a unit of the same size.
    harness = Harness(endpoints=1, guaranteed=0)
    harness.now = 10_000
    harness.submit("b", "p2", "b", request=WHOLE, estimate_ms=9_000)
    harness.accept_starts()
    harness.advance(elapsed_ms)
    harness.submit("u", "p0", "a", request=WHOLE, accepted=harness.now)
    assert bool(harness.stops) is is_stopped


def test_an_urgent_unit_that_is_late_already_preempts_nothing():
    harness = Harness(endpoints=1, guaranteed=0)
    harness.now = 30_000
    harness.submit("b", "p2", "b", request=WHOLE)
    harness.accept_starts()
    harness.submit("u", "p0", "a", request=WHOLE, accepted=1_000)
    assert not harness.stops


def test_the_latest_start_counts_the_steps_that_follow():
    harness = Harness(endpoints=1)
    steps = (
        Step(1, HALF, 3_000),
        Step(1, HALF, 1_000, depends_on=(0,)),
    )
    spec = JobSpec("j", "p1", "pool", "a", "", steps, 10_000)
    harness.submit_spec(spec)
    (unit,) = harness.scheduler.unit_by_key.values()
    # The objective is twice the critical path of 4 s plus 0.5 s.
    assert unit.latest_start_wall_ms == 10_000 + 8_500 - 4_000


def test_a_small_unit_is_preempted_so_that_the_room_of_a_gang_is_not_idle():
    # A gang needs four whole endpoints: three are empty, and the fourth holds a small,
    # less urgent task, which has just started.
    harness = Harness(endpoints=4, guaranteed=0)
    harness.now = 10_000
    harness.submit("s", "p2", "b", estimate_ms=20_000)
    harness.accept_starts()
    harness.advance(1_000)
    harness.submit("g", "p1", "a", count=4, is_gang=True, request=WHOLE, accepted=0)
    assert {stop.task for stop in harness.stops} == {"s.0.0.0"}


def test_a_unit_is_not_preempted_if_little_of_the_room_is_idle():
    # Most of the room that a waiting unit needs is in use.
    harness = Harness(endpoints=1, guaranteed=0)
    harness.now = 10_000
    seven = Resources(7_000, 7_000, 7)
    harness.submit("s", "p2", "b", request=seven, estimate_ms=9_000)
    harness.accept_starts()
    for percent in (27, 55):
        harness.advance(2_500)
        harness.list("e0", percent={"s.0.0.0": percent})
    harness.submit("g", "p1", "a", request=WHOLE, accepted=0)
    assert not harness.stops


def test_a_long_running_unit_is_not_preempted_for_idle_room():
    # A less urgent long-running task occupies an endpoint that a gang waits for.
    harness = Harness(endpoints=4, guaranteed=0)
    harness.now = 10_000
    harness.submit("s", "p2", "b", is_long_running=True, unavailable_max=1)
    harness.accept_starts()
    harness.advance(100)
    harness.submit("g", "p1", "a", count=4, is_gang=True, request=WHOLE, accepted=0)
    assert not harness.stops
