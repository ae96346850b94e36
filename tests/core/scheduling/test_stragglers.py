"""The load: urgent gangs and checkpointing tasks that started on slow endpoints.

A move discards work or time, so it is made only where it gains more.
"""

import math

import pytest
from harness import Harness, configuration

from ragwortshelf.core.scheduling import Resources, Scheduler
from ragwortshelf.core.scheduling.actions import PersistUnit
from ragwortshelf.core.scheduling.listings import RunEnd
from ragwortshelf.core.scheduling.model import UnitPhase
from ragwortshelf.core.scheduling.speed_belief import SETTLED_PRECISION_MAX, SpeedClass
from ragwortshelf.core.scheduling.speed_needs import speed_class
from ragwortshelf.core.scheduling.stragglers import CHECKPOINT_MOVES_MAX
from ragwortshelf.core.scheduling.unit import STARVATION_MS

LARGE = Resources(8_000, 8_000, 8)
SLOW, USUAL, FAST = 0.6, 1.0, 1.6
ESTIMATE_MS = 3_000
"""The objective of the queue is twice the estimate and 500 ms."""


class _Fleet(Harness):
    """Endpoints of known speeds, and the runs on them, which progress by those."""

    def __init__(self, *speeds):
        super().__init__(endpoints=0)
        self.speed_by_id = {f"e{n}": speed for n, speed in enumerate(speeds)}
        self.reasons = []
        self.work_by_task = {}
        self.begun_ms = {}
        for endpoint_id in self.speed_by_id:
            self.add_endpoint(endpoint_id)

    def learn_speeds(self):
        for endpoint_id, speed in self.speed_by_id.items():
            endpoint = self.scheduler.endpoint_by_id[endpoint_id]
            endpoint.forget_speed()
            belief = endpoint.speed_belief
            belief.settle(SETTLED_PRECISION_MAX, math.log(speed), self.now)
            belief.refresh(self.now)
            if speed == SLOW:
                assert speed_class(endpoint) is SpeedClass.SLOW

    def collect(self):
        actions = self.scheduler.take_actions()
        self.reasons += [a.reason for a in actions if isinstance(a, PersistUnit)]
        self.scheduler._actions = actions
        super().collect()

    def start(self):
        starts = self.accept_starts()
        for order in starts:
            self.begun_ms[order.task] = self.now
        return starts

    def percent(self, order):
        work_ms = self.work_by_task.get(order.task, ESTIMATE_MS)
        done_ms = self.now - self.begun_ms[order.task]
        done_ms *= self.speed_by_id[order.endpoint_id]
        return min(99, int(100 * done_ms / work_ms))

    def progress(self, ms, starts, interval_ms=400):
        """Let time pass, until anything is stopped."""
        for _ in range(ms // interval_ms):
            self.advance(interval_ms)
            percent = {order.task: self.percent(order) for order in starts}
            for endpoint_id in self.running:
                self.list(endpoint_id, percent=percent)
            if self.stops:
                return

    def close(self, endpoint_id):
        self.scheduler.cordon(endpoint_id)

    def open(self, endpoint_id):
        self.scheduler.endpoint_by_id[endpoint_id].is_cordoned = False


def _start_on_slow(*speeds, queue="p0", tasks=1, **step):
    """Start a unit on the first endpoints, and then show the speeds and the others."""
    fleet = _Fleet(*speeds)
    for endpoint_id in list(fleet.speed_by_id)[tasks:]:
        fleet.close(endpoint_id)
    step.setdefault("estimate_ms", ESTIMATE_MS)
    step.setdefault("request", LARGE)
    is_gang = tasks > 1
    fleet.submit("u", queue, accepted=fleet.now, count=tasks, is_gang=is_gang, **step)
    starts = fleet.start()
    assert len(starts) == tasks
    fleet.learn_speeds()
    for endpoint_id in fleet.speed_by_id:
        fleet.open(endpoint_id)
    return fleet, starts


def _is_moved(fleet):
    return [stop.reason for stop in fleet.stops] == ["moved"] * len(fleet.stops) != []


def _late_urgent(*speeds, **fields):
    """Start an urgent unit which waited so long that only a fast endpoint is in time.

    It has 4,000 ms left, 5,000 ms are needed on a slow endpoint and 1,875 on a fast
    one.
    """
    fleet, starts = _start_on_slow(*speeds, **fields)
    for order in starts:
        unit = fleet.scheduler.unit_by_key[order.unit_key]
        unit.latest_start_wall_ms = fleet.now + 4_000 - ESTIMATE_MS
    return fleet, starts


def test_an_urgent_unit_is_restarted_where_it_can_still_be_on_time():
    # On endpoints of speed 0.6, 24 of 97 urgent jobs were late whenever they started.
    fleet, starts = _late_urgent(SLOW, FAST)
    fleet.progress(1_200, starts)
    assert _is_moved(fleet)
    assert fleet.reasons.count("moved") == 1
    assert fleet.records[-1].phase is UnitPhase.ENDING
    fleet.obey_stops()
    (second,) = fleet.start()
    assert second.endpoint_id == "e1"


def test_an_urgent_gang_with_one_slow_endpoint_is_restarted_as_a_whole():
    # A gang is as slow as its slowest member.
    fleet, starts = _late_urgent(USUAL, SLOW, FAST, FAST, tasks=2)
    fleet.progress(1_200, starts)
    assert _is_moved(fleet)
    assert len(fleet.stops) == 2
    fleet.obey_stops()
    fleet.plan()
    assert {start.endpoint_id for start in fleet.start()} == {"e2", "e3"}


def test_an_urgent_unit_that_will_be_on_time_is_not_restarted():
    fleet, starts = _start_on_slow(SLOW, FAST)
    fleet.progress(4_400, starts)
    assert not fleet.stops


def test_an_urgent_unit_is_not_restarted_where_it_would_be_late_as_well():
    # 3,000 ms and a stop of 900 ms after 800 ms exceed the 4,000 ms that were left.
    fleet, starts = _late_urgent(SLOW, USUAL)
    fleet.progress(4_400, starts)
    assert not fleet.stops


def test_no_room_is_looked_for_if_no_endpoint_is_fast_enough(monkeypatch):
    # Guards against a look at all endpoints for each run on a slow endpoint: with
    # 8 runs on each of 90 slow endpoints these took a tenth of the processor.
    fleet, starts = _late_urgent(SLOW, USUAL)
    looked = []
    selector = fleet.scheduler._planner.straggler_mover._selector
    monkeypatch.setattr(selector, "find_free_room", lambda *args: looked.append(args))
    fleet.progress(4_400, starts)
    assert not looked


def test_an_urgent_unit_is_not_restarted_without_free_room():
    fleet, starts = _late_urgent(SLOW, FAST)
    fleet.submit("other", "p2", request=LARGE, estimate_ms=60_000)
    fleet.work_by_task["other.0.0.0"] = 60_000
    starts = starts + fleet.start()
    fleet.progress(4_400, starts)
    assert not fleet.stops


def test_an_urgent_unit_is_not_restarted_on_a_cold_endpoint():
    # Guards against work discarded for an endpoint that is slow itself at first.
    fleet, starts = _late_urgent(SLOW, FAST)
    fleet.add_endpoint("e1", cold_remaining_ms=60_000)
    fleet.progress(1_200, starts)
    assert not fleet.stops


def test_a_gang_is_not_restarted_while_one_of_its_endpoints_does_not_answer():
    # Guards against a stop that lasts until the leases there have expired, while the
    # run goes on: the restart is late then, and the work is lost for nothing.
    fleet, starts = _start_on_slow(USUAL, SLOW, FAST, FAST, tasks=2)
    # It takes 5,000 ms here.
    unit = fleet.scheduler.unit_by_key[starts[0].unit_key]
    unit.latest_start_wall_ms = fleet.now + 4_800 - ESTIMATE_MS
    fleet.close("e2")
    fleet.close("e3")
    fleet.progress(1_200, starts)
    fleet.scheduler.endpoint_unreachable("e0", fleet.now, fleet.now)
    fleet.open("e2")
    fleet.open("e3")
    fleet.advance(400)
    percent = {order.task: fleet.percent(order) for order in starts}
    fleet.list("e1", percent=percent)
    assert not fleet.stops
    fleet.list("e0", percent=percent)
    fleet.list("e1", percent=percent)
    assert _is_moved(fleet)


@pytest.mark.parametrize(
    ("begun_ms", "is_restarted"), [(22_000, True), (26_000, False)]
)
def test_a_unit_that_is_half_done_is_not_restarted(begun_ms, is_restarted):
    # The work that a restart discards is bounded by half of the unit's own.
    work_ms = 30_000
    fleet, starts = _start_on_slow(SLOW, FAST, estimate_ms=work_ms)
    fleet.work_by_task["u.0.0.0"] = work_ms
    fleet.close("e1")
    fleet.progress(begun_ms, starts)
    unit = fleet.scheduler.unit_by_key[starts[0].unit_key]
    assert (unit.mean_percent <= 50) == is_restarted
    # It needs 24 s or more here, and 19.7 s with the stop on the fast endpoint.
    unit.latest_start_wall_ms = fleet.now + 22_000 - work_ms
    fleet.open("e1")
    fleet.progress(400, starts)
    assert _is_moved(fleet) == is_restarted


def test_a_tail_task_is_not_restarted():
    # With three times the work it is late elsewhere as well, though the estimate says
    # otherwise, and the time would be lost.
    work_ms = 30_000
    fleet, starts = _start_on_slow(SLOW, FAST, estimate_ms=work_ms)
    fleet.work_by_task["u.0.0.0"] = 3 * work_ms
    unit = fleet.scheduler.unit_by_key[starts[0].unit_key]
    unit.latest_start_wall_ms = fleet.now + 40_000 - work_ms
    fleet.progress(20_000, starts)
    assert unit.mean_percent > 10
    assert not fleet.stops


def test_a_unit_is_not_moved_twice():
    fleet, starts = _late_urgent(SLOW, FAST)
    fleet.progress(1_200, starts)
    fleet.obey_stops()
    starts = fleet.start()
    # The endpoint turns out to be slow as well, and another one is fast.
    fleet.speed_by_id.update(e1=SLOW, e2=FAST)
    fleet.add_endpoint("e2")
    fleet.learn_speeds()
    fleet.learn_speeds()
    unit = fleet.scheduler.unit_by_key[starts[0].unit_key]
    unit.latest_start_wall_ms = fleet.now + 4_000 - ESTIMATE_MS
    fleet.progress(4_000, starts)
    assert not fleet.stops


def test_a_unit_starts_on_a_slow_endpoint_if_the_room_is_gone():
    # The move failed, but the unit must not wait for ever.
    fleet, starts = _late_urgent(SLOW, FAST)
    fleet.progress(1_200, starts)
    assert _is_moved(fleet)
    fleet.close("e1")
    fleet.obey_stops()
    (second,) = fleet.start()
    assert second.endpoint_id == "e0"


def test_a_lost_stop_is_repeated_and_the_unit_waits_until_it_ended():
    fleet, starts = _late_urgent(SLOW, FAST)
    fleet.progress(1_200, starts)
    fleet.stops.clear()
    fleet.progress(800, starts)
    assert [stop.reason for stop in fleet.stops] == ["still listed"]
    assert not fleet.starts
    fleet.obey_stops()
    assert [start.run for start in fleet.start()] == [2]


def test_two_units_are_not_moved_to_the_same_room():
    fleet, starts = _late_urgent(SLOW, SLOW, FAST)
    fleet.close("e2")
    fleet.submit("v", "p0", accepted=fleet.now, request=LARGE, estimate_ms=ESTIMATE_MS)
    starts = starts + fleet.start()
    fleet.open("e2")
    unit = fleet.scheduler.unit_by_key[starts[1].unit_key]
    unit.latest_start_wall_ms = fleet.now + 4_000 - ESTIMATE_MS
    fleet.progress(1_200, starts)
    assert len(fleet.stops) == 1


def test_a_checkpointing_unit_moves_where_that_gains_more_than_it_costs():
    # 20,000 ms of work: 33,333 here, and 20,000 with 1,150 for the move elsewhere.
    fleet, starts = _start_on_slow(
        SLOW, USUAL, queue="p2", is_checkpointing=True, estimate_ms=20_000
    )
    fleet.work_by_task["u.0.0.0"] = 20_000
    fleet.progress(4_000, starts)
    assert _is_moved(fleet)
    (stop,) = fleet.stops
    fleet.stops.clear()
    fleet.end(stop.endpoint_id, stop.task, RunEnd.STOPPED, "checkpoint")
    (second,) = fleet.start()
    assert second.endpoint_id == "e1"
    assert second.checkpoint == "checkpoint"


@pytest.mark.parametrize(
    ("work_ms", "speeds", "is_checkpointing"),
    [
        # A short rest gains less than the stop and the restore take.
        (3_000, (SLOW, USUAL), True),
        # Another slow endpoint gains nothing, or may soon be as slow.
        (20_000, (SLOW, SLOW), True),
        (20_000, (0.5, 0.85), True),
        # Without checkpoints the work would be lost.
        (20_000, (SLOW, FAST), False),
    ],
)
def test_a_batch_task_stays_where_a_move_gains_too_little(
    work_ms, speeds, is_checkpointing
):
    fleet, starts = _start_on_slow(
        *speeds, queue="p2", is_checkpointing=is_checkpointing, estimate_ms=work_ms
    )
    fleet.work_by_task["u.0.0.0"] = work_ms
    fleet.progress(4_000, starts)
    assert not fleet.stops


def test_few_checkpointing_units_move_at_a_time():
    count = CHECKPOINT_MOVES_MAX + 1
    fleet = _Fleet(*[SLOW] * count, *[FAST] * count)
    for number in range(count, 2 * count):
        fleet.close(f"e{number}")
    fleet.submit(
        "u", "p2", count=count, request=LARGE, is_checkpointing=True, estimate_ms=20_000
    )
    starts = fleet.start()
    fleet.work_by_task = {order.task: 20_000 for order in starts}
    fleet.learn_speeds()
    for number in range(count, 2 * count):
        fleet.open(f"e{number}")
    fleet.progress(4_000, starts)
    moved = {stop.task for stop in fleet.stops}
    assert len(moved) == CHECKPOINT_MOVES_MAX
    fleet.obey_stops()
    restarted = fleet.start()
    starts = [order for order in starts if order.task not in moved] + restarted
    fleet.progress(4_000, starts)
    assert len({stop.task for stop in fleet.stops} | moved) == count


def test_a_unit_that_starved_is_not_moved_to_room_reserved_for_others():
    # Guards against a stop for room that the unit may not use: it starved when it was
    # placed, and does not once it waits again.
    fleet = _Fleet(SLOW, FAST)
    fleet.close("e0")
    fleet.close("e1")
    fleet.submit("u", "p2", request=LARGE, is_checkpointing=True, estimate_ms=200_000)
    fleet.advance(STARVATION_MS + 1)
    fleet.open("e0")
    fleet.plan()
    starts = fleet.start()
    fleet.work_by_task["u.0.0.0"] = 200_000
    fleet.learn_speeds()
    fleet.open("e1")
    fleet.submit("g", "p2", accepted=fleet.now, count=2, is_gang=True, request=LARGE)
    fleet.progress(40_000, starts)
    assert not fleet.stops


def test_equally_fast_endpoints_move_nothing():
    # Decisions are unchanged where speeds do not differ, however late a unit is.
    fleet, starts = _late_urgent(USUAL, USUAL)
    fleet.work_by_task["u.0.0.0"] = 3 * ESTIMATE_MS
    fleet.progress(8_000, starts)
    assert not fleet.stops


def test_a_successor_continues_a_move_and_does_not_repeat_it():
    fleet, starts = _late_urgent(SLOW, SLOW, FAST)
    fleet.progress(1_200, starts)
    assert _is_moved(fleet)
    fleet.stops.clear()
    fleet.scheduler = Scheduler(2, fleet.table, configuration())
    fleet.scheduler.adopt(fleet.now, fleet.now)
    for endpoint_id in fleet.speed_by_id:
        fleet.add_endpoint(endpoint_id)
    assert [stop.reason for stop in fleet.stops] == ["no longer wanted"]
    assert not fleet.starts
    # The speeds are unknown to the successor, which may choose a slow endpoint.
    fleet.close("e2")
    fleet.obey_stops()
    starts = fleet.start()
    assert [order.run for order in starts] == [2]
    fleet.learn_speeds()
    fleet.open("e2")
    unit = fleet.scheduler.unit_by_key[starts[0].unit_key]
    unit.latest_start_wall_ms = fleet.now + 4_000 - ESTIMATE_MS
    fleet.progress(4_000, starts)
    assert not fleet.stops


def test_an_unexpected_error_costs_one_unit_its_move(monkeypatch):
    fleet, starts = _late_urgent(SLOW, FAST)
    unit = fleet.scheduler.unit_by_key[starts[0].unit_key]
    mover = fleet.scheduler._planner.straggler_mover
    monkeypatch.setattr(mover, "_find_better_room", lambda *args: 1 / 0)
    fleet.progress(1_200, starts)
    assert not fleet.stops
    assert unit.phase is UnitPhase.PLACED
