"""Waits that follow each other, or begin anew, and their sum on an idle service."""

from unittest import mock

import pytest
from harness import SMALL, Fleet

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.listings import RunEnd, StartOutcome
from ragwortshelf.core.scheduling.reservations import EXCLUSIVE_MAX_MS
from ragwortshelf.core.scheduling.unit import STARVATION_MS

WHOLE = Resources(8_000, 8_000, 8)

WAIT_MAX_MS = 3_000
"""Longest wait on an idle service that the platform allows."""

LASTING_WAIT_MAX_MS = 6_000 + WAIT_MAX_MS
"""Time after the last run of a long-running task within which it starts again."""

RELEASE_MS = 7_200
"""Time from the loss of an endpoint until its lease has ended."""


class _Fleet(Fleet):
    def wait_for(self, job_id, max_ms=20_000):
        """Let time pass until a job is ordered to start."""
        end_ms = self.now + max_ms
        while job_id not in self.started_jobs() and self.now < end_ms:
            self.wait(50, interval_ms=50)

    def fill_racks_partly(self, racks):
        """Start one small task on each rack, so that no rack is free as a whole."""
        for rack in range(racks):
            label = f"r{rack}"
            self.submit(f"last{rack}", "p0", required_label=label, estimate_ms=60_000)
        self.accept_starts()


def _submit_rack_gang(fleet):
    fleet.submit(
        "gang", "p2", "c", count=3, request=WHOLE, is_gang=True, is_rack_sensitive=True
    )


# Guards against work that is LOST as a successor lets it wait for its rack anew.
def test_a_wait_for_a_rack_goes_on_under_a_successor():
    fleet = _Fleet(endpoints=9, racks=3, guaranteed=0)
    fleet.fill_racks_partly(3)
    fleet.wait(3_000)
    begin_ms = fleet.now
    _submit_rack_gang(fleet)
    fleet.wait(1_750)
    assert not fleet.starts
    fleet.change_scheduler()
    fleet.wait_for("gang")
    assert fleet.now - begin_ms <= WAIT_MAX_MS


# The same for work that waits for room that is reserved for a gang.
@pytest.mark.parametrize("waited_ms", [500, 1_250, 1_750])
def test_a_wait_for_reserved_room_goes_on_under_a_successor(waited_ms):
    fleet = _Fleet(endpoints=4, guaranteed=0)
    fleet.submit("last", "p1", "c", estimate_ms=60_000)
    fleet.accept_starts()
    fleet.wait(3_000)
    gang = {"count": 4, "request": WHOLE, "is_gang": True}
    fleet.submit("gang", "p1", "c", fleet.now, **gang)
    fleet.submit("small", "p2", "c", fleet.now, request=SMALL)
    begin_ms = fleet.now
    fleet.wait(waited_ms)
    assert not fleet.starts
    fleet.change_scheduler()
    fleet.wait_for("small")
    assert fleet.now - begin_ms <= WAIT_MAX_MS


# Guards against the last attempt of a unit that is LOST as it waits anew for endpoints
# that are proven after each start that is refused.
def test_the_wait_for_proven_endpoints_goes_on_after_a_refused_start():
    fleet = _Fleet(endpoints=12, guaranteed=0)
    fleet.submit("a", request=WHOLE)
    for _ in range(2):
        fleet.wait_for("a")
        (order,) = fleet.accept_starts()
        fleet.advance(50)
        fleet.end(order.endpoint_id, order.task, RunEnd.FAILED)
    begin_ms = fleet.now
    fleet.wait_for("a")
    fleet.advance(50)
    fleet.refuse_start(StartOutcome.NO_ROOM)
    fleet.wait_for("a")
    assert fleet.now - begin_ms <= WAIT_MAX_MS


# Guards against lasting work that is LOST as it waits anew behind a reservation after
# each start that is refused. Another task of its job runs, and the service is busy.
def test_lasting_work_does_not_wait_anew_after_a_refused_start():
    fleet = _Fleet(endpoints=8, guaranteed=0)
    fleet.submit("long", "p0", count=4, request=WHOLE, is_gang=True, estimate_ms=60_000)
    fleet.accept_starts()
    fleet.submit("lasting", "p2", "c", count=2, request=WHOLE, is_long_running=True)
    first, _ = fleet.accept_starts()
    fleet.wait(12_000)
    with mock.patch.object(fleet, "plan"):
        fleet.end(first.endpoint_id, first.task)
    fleet.submit("gang", "p1", "b", count=4, request=WHOLE, is_gang=True)
    begin_ms = fleet.now
    assert not fleet.starts
    for _ in range(6):
        fleet.wait_for("lasting")
        assert fleet.now - begin_ms <= LASTING_WAIT_MAX_MS
        fleet.advance(50)
        fleet.refuse_start(StartOutcome.NO_ROOM)


# Guards against work that is LOST as the room that it waits for becomes exclusive to
# another unit just before its wait would have ended.
def test_a_wait_for_exclusive_room_does_not_begin_after_another_wait():
    fleet = _Fleet(endpoints=4, guaranteed=32)
    fleet.submit("last", "p1", "c", estimate_ms=60_000)
    fleet.accept_starts()
    gang = {"count": 4, "request": WHOLE, "is_gang": True}
    fleet.submit("gang", "p1", "c", fleet.now, **gang)
    fleet.submit("small", "p2", "c", fleet.now, request=SMALL)
    begin_ms = fleet.now
    fleet.wait(1_750)
    assert not fleet.starts
    # The run that is stopped for it does not end.
    fleet.obey_stops = lambda: None
    fleet.submit("urgent", "p0", "a", fleet.now, **gang)
    fleet.wait_for("small")
    assert fleet.now - begin_ms <= WAIT_MAX_MS


def _wait_behind_two_urgent_gangs():
    """Return how long work waits behind exclusive room, and from when the last is."""
    fleet = _Fleet(endpoints=4, guaranteed=32)
    fleet.submit("last", "p2", "c", estimate_ms=60_000)
    fleet.accept_starts()
    gang = {"count": 4, "request": WHOLE, "is_gang": True}
    fleet.obey_stops = lambda: None
    fleet.submit("urgent", "p0", "a", fleet.now, **gang)
    fleet.submit("small", "p2", "c", fleet.now, request=SMALL)
    begin_ms = fleet.now
    fleet.wait(2_500)
    assert not fleet.starts
    fleet.submit("urgent2", "p0", "b", fleet.now, **gang)
    last_ms = fleet.now
    fleet.wait_for("small")
    return fleet.now - begin_ms, fleet.now - last_ms


# Guards against work that is LOST behind the exclusive room of several units in turn.
def test_exclusive_reservations_of_several_units_do_not_follow_each_other():
    waited_ms, _ = _wait_behind_two_urgent_gangs()
    assert waited_ms <= WAIT_MAX_MS


# Guards against room that is exclusive to two units in turn without end: that of either
# was dropped while the other had room, and then became exclusive anew.
def test_room_does_not_become_exclusive_to_two_units_in_turn():
    _, waited_ms = _wait_behind_two_urgent_gangs()
    assert waited_ms <= 2 * EXCLUSIVE_MAX_MS


# Guards against urgent long-running units beyond their guarantees that stop each other
# again and again, as each reclaims room when it starts again.
@pytest.mark.parametrize("queues", [("p0", "p0"), ("p0", "p1"), ("p1", "p2")])
def test_long_running_units_do_not_stop_each_other_in_turn(queues):
    fleet = _Fleet(endpoints=4, guaranteed=0)
    fleet.add_endpoint("x0", "x")
    fleet.add_endpoint("x1", "x")
    lasting = {"request": WHOLE, "required_label": "x", "is_long_running": True}
    for job_id, queue, organisation in zip("lm", queues, "ab", strict=True):
        fleet.submit(job_id, queue, organisation, **lasting)
    placed = {order.endpoint_id: order.task for order in fleet.accept_starts()}
    fleet.wait(12_000)
    fleet.end("x1", placed["x1"], RunEnd.FAILED)
    fleet.scheduler.cordon("x1")
    while fleet.starts:
        assert fleet.refuse_start(StartOutcome.NO_ROOM).endpoint_id == "x1"
    stops = 0
    for _ in range(40):
        fleet.now += 250
        fleet.list("x0")
        stops += len(fleet.stops)
        fleet.obey_stops()
        fleet.accept_starts()
    assert stops <= 1


# Guards against lasting work that is LOST as its wait behind a reservation begins when
# the lease of its lost endpoint ends. Another task of its job runs.
def test_lasting_work_whose_endpoint_is_lost_starts_again_in_time():
    fleet = _Fleet(endpoints=6, guaranteed=0)
    fleet.submit("long", "p0", count=4, request=WHOLE, is_gang=True, estimate_ms=60_000)
    fleet.accept_starts()
    fleet.submit("lasting", "p2", "c", count=2, request=WHOLE, is_long_running=True)
    first, _ = fleet.accept_starts()
    fleet.wait(12_000)
    begin_ms = fleet.now
    fleet.scheduler.endpoint_unreachable(first.endpoint_id, fleet.now, fleet.now)
    fleet.running[first.endpoint_id].clear()
    for name in ("e6", "e7"):
        fleet.add_endpoint(name)
    fleet.list = _list_but(fleet, first.endpoint_id)
    fleet.submit("gang", "p1", "b", count=3, request=WHOLE, is_gang=True)
    fleet.wait(RELEASE_MS, 100)
    fleet.scheduler.endpoint_lease_expired(first.endpoint_id, fleet.now, fleet.now)
    fleet.wait_for("lasting")
    assert fleet.now - begin_ms <= LASTING_WAIT_MAX_MS


# Guards against a large gang that does not start although others are stopped for it, as
# these count as overdue at once and take the room again.
@pytest.mark.parametrize("small_ms", [2_500, 4_000])
def test_stopped_work_does_not_take_the_room_of_a_starving_gang(small_ms):
    fleet = _Fleet(endpoints=8, guaranteed=0)
    fleet.now = 10_000
    fleet.submit("s", "p2", "c", fleet.now, estimate_ms=small_ms)
    fleet.accept_starts()
    fleet.submit("gang", "p2", "b", fleet.now, count=8, request=WHOLE, is_gang=True)
    submitted_ms = fleet.now
    while fleet.now < submitted_ms + STARVATION_MS + 5_000:
        fleet.submit(f"s{fleet.now}", "p2", "c", fleet.now, estimate_ms=small_ms)
        fleet.wait(500, interval_ms=500)
        if "gang" in fleet.started_jobs():
            break
        fleet.accept_starts()
        fleet.end_runs_of(small_ms)
    assert "gang" in fleet.started_jobs()


def _list_but(fleet, lost_id):
    """Return a method that lists an endpoint, unless it is the lost one."""
    list_one = fleet.list

    def list_if_in_contact(endpoint_id, **fields):
        if endpoint_id != lost_id:
            list_one(endpoint_id, **fields)

    return list_if_in_contact


# Guards against tasks of one step that each reserve the same room and keep each other
# out of it once it is free.
def test_tasks_of_one_step_do_not_keep_each_other_out_of_reserved_room():
    fleet = _Fleet(endpoints=1, guaranteed=0)
    pair = Resources(1_000, 100, 2)
    fleet.submit("a", "p1", "a", count=4, request=pair, estimate_ms=60_000)
    first, *_ = fleet.accept_starts()
    fleet.submit("b", "p1", "b", fleet.now, count=2, request=pair)
    fleet.wait(750, 250)
    assert not fleet.starts
    fleet.end(first.endpoint_id, first.task)
    assert fleet.started_jobs() == {"b"}
