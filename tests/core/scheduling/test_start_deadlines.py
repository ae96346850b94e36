"""Deadlines by which work that could run on an idle service is to start."""

from types import SimpleNamespace

from harness import SMALL, Fleet

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.model import GANG, UnitKey
from ragwortshelf.core.scheduling.start_deadlines import StartDeadlines

WHOLE = Resources(8_000, 8_000, 8)
STEP = ("a", 0, 0)
TASK = SimpleNamespace(key=UnitKey(*STEP, 3), waiting_since_ms=0)
GANG_UNIT = SimpleNamespace(key=UnitKey(*STEP, GANG), waiting_since_ms=0)


class _Idle:
    """A service that is idle, or not."""

    is_idle = True

    def since_ms(self, service):
        return 0 if self.is_idle else None


def _make_deadlines(waits_ms):
    """Return deadlines after checks at these times, at which the step waited."""
    deadlines = StartDeadlines(_Idle())
    for now_ms in range(0, max(waits_ms) + 1, 500):
        deadlines.note_waiting({STEP: now_ms} if now_ms in waits_ms else {}, now_ms)
    return deadlines


def _is_overdue(deadlines, now_ms, unit=TASK):
    deadlines.begin(now_ms)
    return deadlines.is_overdue(unit, "pool")


def test_a_step_is_overdue_once_it_has_waited_for_two_seconds():
    deadlines = _make_deadlines(range(0, 2_001, 500))
    assert not _is_overdue(deadlines, 1_999)
    assert _is_overdue(deadlines, 2_000)


def test_a_short_interruption_does_not_move_the_deadline():
    deadlines = _make_deadlines({0, 500, 1_500, 2_000})
    assert _is_overdue(deadlines, 2_000)


def test_a_wait_begins_anew_after_a_long_interruption():
    deadlines = _make_deadlines({0, 500, 2_000, 2_500})
    assert not _is_overdue(deadlines, 3_999)
    assert _is_overdue(deadlines, 4_000)


def test_nothing_is_overdue_on_a_service_that_is_not_idle():
    deadlines = _make_deadlines(range(0, 2_001, 500))
    deadlines._idle_services.is_idle = False
    assert not _is_overdue(deadlines, 2_000)


# Guards against a step of many tasks that takes all the room that a gang waits for, as
# its wait ends for all its tasks at once.
def test_the_other_tasks_of_a_step_wait_once_one_is_placed():
    deadlines = _make_deadlines(range(0, 2_001, 500))
    assert _is_overdue(deadlines, 2_000)
    deadlines.unit_placed(TASK)
    assert not _is_overdue(deadlines, 2_499)
    assert _is_overdue(deadlines, 2_500)


def test_work_that_has_run_since_is_not_overdue():
    deadlines = _make_deadlines(range(0, 2_001, 500))
    unit = SimpleNamespace(key=TASK.key, waiting_since_ms=1_900)
    assert not _is_overdue(deadlines, 3_899, unit)
    assert _is_overdue(deadlines, 3_900, unit)


def test_a_gang_whose_start_is_refused_is_still_overdue():
    deadlines = _make_deadlines(range(0, 2_001, 500))
    deadlines.begin(2_000)
    deadlines.unit_placed(GANG_UNIT)
    assert _is_overdue(deadlines, 2_100, GANG_UNIT)


# Guards against guaranteed work that does not start in time, as overdue work takes the
# room that is being made for it.
def test_overdue_work_does_not_enter_exclusive_room():
    fleet = Fleet(endpoints=3, guaranteed=24)
    fleet.submit("last", "p0", "c", request=SMALL, estimate_ms=60_000)
    fleet.accept_starts()
    fleet.submit("gang", "p1", "c", count=3, request=WHOLE, is_gang=True)
    fleet.wait(500)
    fleet.submit("small", "p2", "c", fleet.now, request=SMALL)
    planner = fleet.scheduler._planner
    (unit,) = (u for u in fleet.scheduler.waiting.values() if u.priority == 2)
    (last,) = (u for u in fleet.scheduler.unit_by_key.values() if u.priority == 0)
    planner._deadlines._due_ms_by_step[unit.key[:3]] = fleet.now
    unit.waiting_since_ms = fleet.now - 2_000
    planner._reservations.reserve(
        last,
        SimpleNamespace(endpoints=list(fleet.scheduler.endpoint_by_id.values())),
        fleet.now + 1_000,
        is_exclusive=True,
    )
    planner._reservations.begin(fleet.now)
    planner._deadlines.begin(fleet.now)
    assert planner._deadlines.is_overdue(unit, "pool")
    (exclusive,) = planner._reservations.holds_against(unit)
    assert exclusive.holder == last.key
