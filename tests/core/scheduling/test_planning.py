"""Planning under load: which units start, wait or are stopped."""

from dataclasses import replace

from harness import Harness, configuration

from ragwortshelf.core.scheduling import Resources, Scheduler
from ragwortshelf.core.scheduling.configuration import EndpointService
from ragwortshelf.core.scheduling.listings import RunEnd, StartOutcome

WHOLE = Resources(8_000, 8_000, 8)
HALF = Resources(4_000, 4_000, 4)


def _stopped_jobs(harness):
    return {stop.task.split(".")[0] for stop in harness.stops}


def test_a_guaranteed_unit_reclaims_borrowed_room():
    harness = Harness(endpoints=2)
    for n in range(2):
        harness.submit(f"b{n}", "p1", "b", request=WHOLE)
    harness.accept_starts()
    harness.submit("u", "p0", "a", count=2, is_gang=True, request=WHOLE)
    assert _stopped_jobs(harness) == {"b0", "b1"}
    harness.obey_stops()
    assert {start.unit_key.job_id for start in harness.starts} == {"u"}


def test_a_unit_beyond_the_guarantee_stops_nothing_that_loses_more_than_its_own():
    harness = Harness(endpoints=2, guaranteed=8)
    for n in range(2):
        harness.submit(f"b{n}", "p1", "b", request=WHOLE, estimate_ms=9_000)
    harness.accept_starts()
    harness.advance(2_100)
    harness.submit(
        "u", "p0", "a", accepted=harness.now, count=2, is_gang=True, request=WHOLE
    )
    assert not harness.stops


def test_the_unit_that_loses_least_is_stopped():
    # One endpoint holds an old unit, the other a unit that has just started.
    harness = Harness(endpoints=2)
    harness.submit("old", "p2", "b", request=WHOLE)
    harness.accept_starts()
    harness.advance(3_000)
    for endpoint in harness.running:
        harness.list(endpoint, percent={"old.0.0.0": 40})
    harness.submit("new", "p1", "b", request=WHOLE)
    harness.accept_starts()
    harness.submit("u", "p0", "a", request=WHOLE)
    assert _stopped_jobs(harness) == {"new"}


def test_no_more_is_stopped_than_the_claimant_needs():
    # Small tasks run beside a large one whose room alone is enough.
    harness = Harness(endpoints=1)
    for n in range(4):
        harness.submit(f"s{n}", "p2", "b", request=Resources(1_000, 1_000, 1))
    harness.submit("half", "p2", "b", request=HALF)
    harness.accept_starts()
    harness.advance(100)
    harness.submit("u", "p0", "a", request=HALF)
    assert len(harness.stops) == 1 or _stopped_jobs(harness) == {
        f"s{n}" for n in range(4)
    }
    assert "half" not in _stopped_jobs(harness) or len(harness.stops) == 1


def test_room_is_reserved_for_a_large_waiting_unit():
    # A stream of small tasks would take all room as it becomes free.
    harness = Harness(endpoints=1, guaranteed=0)
    for n in range(8):
        harness.submit(f"s{n}", "p2", "b", request=Resources(1_000, 1_000, 1))
    harness.accept_starts()
    harness.submit("large", "p1", "a", request=WHOLE)
    for n in range(8):
        harness.submit(f"t{n}", "p2", "b", request=Resources(1_000, 1_000, 1))
        harness.end("e0", f"s{n}.0.0.0")
        assert harness.starts == [] or harness.starts[0].unit_key.job_id == "large"
    assert [start.unit_key.job_id for start in harness.starts] == ["large"]


def test_room_reserved_for_a_large_unit_is_open_to_more_urgent_units():
    harness = Harness(endpoints=1, guaranteed=0)
    for n in range(8):
        harness.submit(f"s{n}", "p2", "b", request=Resources(1_000, 1_000, 1))
    harness.accept_starts()
    harness.submit("large", "p1", "a", request=WHOLE)
    harness.end("e0", "s0.0.0.0")
    harness.submit("u", "p0", "a", request=Resources(1_000, 1_000, 1))
    assert [start.unit_key.job_id for start in harness.starts] == ["u"]


def test_a_checkpointing_unit_is_stopped_for_an_urgent_unit():
    harness = Harness(endpoints=1, guaranteed=0)
    harness.submit("b", "p2", "b", request=WHOLE, is_checkpointing=True)
    harness.accept_starts()
    harness.submit("u", "p0", "a", request=WHOLE)
    assert _stopped_jobs(harness) == {"b"}


def test_a_gang_is_stopped_as_a_whole_if_one_member_is_refused():
    harness = Harness(endpoints=2)
    harness.submit("g", count=2, is_gang=True, request=WHOLE)
    refused = harness.refuse_start(StartOutcome.NO_ROOM)
    harness.accept_starts()
    assert [(s.task, s.run) for s in harness.stops] == [
        (f"g.0.0.{1 - int(refused.task[-1])}", 1)
    ]
    harness.obey_stops()
    harness.advance(1_000)
    assert {(s.task, s.run) for s in harness.starts} == {
        ("g.0.0.0", 2),
        ("g.0.0.1", 2),
    }


def test_a_rack_sensitive_gang_keeps_to_one_rack():
    harness = Harness(endpoints=6, racks=3)
    harness.submit("x", "p1", request=WHOLE)
    harness.submit("g", count=2, is_gang=True, is_rack_sensitive=True, request=WHOLE)
    racks = {
        harness.scheduler.endpoint_by_id[s.endpoint_id].info.rack
        for s in harness.starts
        if s.unit_key.job_id == "g"
    }
    assert len(racks) == 1


def test_small_tasks_leave_whole_racks_to_rack_sensitive_gangs():
    # A batch of small tasks fills whole endpoints, and then a gang arrives that needs
    # whole endpoints of one rack.
    harness = Harness(endpoints=8, racks=2)
    harness.submit("b", "p2", count=32)
    racks = {
        harness.scheduler.endpoint_by_id[s.endpoint_id].info.rack
        for s in harness.starts
    }
    assert len(racks) == 1
    harness.submit(
        "g", "p1", count=4, is_gang=True, is_rack_sensitive=True, request=WHOLE
    )
    assert sum(s.unit_key.job_id == "g" for s in harness.starts) == 4


def test_a_job_fails_only_after_all_attempts_of_a_unit():
    harness = Harness(endpoints=4, attempts=2)
    harness.submit("f")
    for run in (1, 2):
        (start,) = harness.accept_starts()
        assert start.run == run
        harness.advance(1_000)
        harness.end(start.endpoint_id, start.task, RunEnd.FAILED)
    harness.advance(1_000)
    assert not harness.starts
    assert harness.table.job_by_id["f"].state.value == "failed"


def test_a_cancelled_job_is_stopped_and_not_started_again():
    harness = Harness()
    harness.submit("c", count=3)
    harness.accept_starts()
    harness.cancel("c")
    assert len(harness.stops) == 3
    harness.obey_stops()
    harness.advance(1_000)
    assert not harness.starts
    assert harness.table.job_by_id["c"].state.value == "cancelled"


def test_no_endpoint_gets_more_tasks_of_a_step_than_allowed():
    harness = Harness(endpoints=4)
    harness.submit("a", count=6, tasks_per_endpoint_max=2)
    by_endpoint = {}
    for start in harness.starts:
        by_endpoint[start.endpoint_id] = by_endpoint.get(start.endpoint_id, 0) + 1
    assert sum(by_endpoint.values()) == 6
    assert max(by_endpoint.values()) <= 2


def test_room_reclaimed_for_a_guarantee_is_closed_to_other_units():
    # Urgent units beyond their guarantee, with earlier deadlines, wait beside a
    # guaranteed gang whose room becomes free in steps.
    harness = Harness(endpoints=2, guaranteed=16)
    for n in range(2):
        harness.submit(f"b{n}", "p1", "b", request=WHOLE, estimate_ms=9_000)
    harness.accept_starts()
    harness.advance(3_000)
    harness.submit("g", "p0", "a", 3_000, count=2, is_gang=True, request=WHOLE)
    assert _stopped_jobs(harness) == {"b0", "b1"}
    gang = {"count": 3, "is_gang": True, "request": HALF, "estimate_ms": 10}
    harness.submit("beyond", "p0", "c", 0, **gang)
    small = Resources(1_000, 1_000, 1)
    harness.submit("small", "p0", "c", 0, request=small, estimate_ms=10)
    harness.obey_stops()
    assert {start.unit_key.job_id for start in harness.starts} == {"g"}


def test_a_finished_gang_no_longer_counts_against_the_guarantee():
    # One endpoint has listed the end of a gang and another has not, while the next
    # urgent job of the same organisation waits for borrowed room.
    harness = Harness(endpoints=4, guaranteed=16)
    harness.submit("first", "p0", "a", count=2, is_gang=True, request=WHOLE)
    started = harness.accept_starts()
    for n in range(2):
        harness.submit(f"b{n}", "p1", "b", request=WHOLE, estimate_ms=9_000)
    harness.accept_starts()
    harness.advance(3_000)
    harness.end(started[0].endpoint_id, started[0].task)
    harness.submit("next", "p0", "a", 3_000, count=2, is_gang=True, request=WHOLE)
    # The room of the finished gang is enough and is reserved for the next job at once.
    assert not harness.stops
    harness.submit("beyond", "p0", "c", 0, request=WHOLE, estimate_ms=10)
    assert not harness.starts
    harness.end(started[1].endpoint_id, started[1].task)
    assert {start.unit_key.job_id for start in harness.starts} == {"next"}


# Guards against starts over capacity on endpoints that start whatever they are ordered
# to: room is free once the end of a run is listed, not once its stop is confirmed.
def test_nothing_starts_over_capacity_without_admission_control():
    harness = Harness(endpoints=1)
    service = EndpointService("pool", has_admission_control=False)
    harness.scheduler.configure(
        replace(configuration(), service_by_name={"pool": service})
    )
    harness.submit("first", "p1", "b", request=HALF)
    harness.submit("second", "p1", "b", request=HALF)
    harness.submit("third", "p1", "b", request=HALF)
    assert len(harness.accept_starts()) == 2
    harness.submit("urgent", "p0", "a", request=WHOLE)
    assert len(harness.stops) == 2
    for stop in harness.stops:
        harness.scheduler.stop_confirmed(
            stop.endpoint_id, stop.task, stop.run, harness.now
        )
    for _ in range(4):
        harness.advance(300)
        harness.list("e0")
    assert not harness.starts
    for task in sorted({stop.task for stop in harness.stops}):
        assert not harness.starts
        harness.end("e0", task, RunEnd.STOPPED)
    assert [start.unit_key.job_id for start in harness.starts] == ["urgent"]


# Guards against starts over capacity after a change of scheduler: the members of a gang
# that are still being stopped after its last attempt failed count as well.
# The failure: a unit that has ended is logged without endpoints, so that a successor
# did not count the runs of it that were still being stopped.
def test_a_successor_counts_what_is_still_being_stopped():
    harness = Harness(endpoints=2, attempts=1)
    service = EndpointService("pool", has_admission_control=False)
    uncontrolled = replace(configuration(attempts=1), service_by_name={"pool": service})
    harness.scheduler.configure(uncontrolled)
    harness.submit("gang", "p1", "a", count=2, is_gang=True, request=WHOLE)
    failed, stopping = harness.accept_starts()
    harness.end(failed.endpoint_id, failed.task, RunEnd.FAILED)
    assert [stop.task for stop in harness.stops] == [stopping.task]
    harness.scheduler = Scheduler(2, harness.table, uncontrolled)
    harness.stops.clear()
    harness.submit("next", "p1", "a", request=WHOLE)
    harness.add_endpoint(stopping.endpoint_id)
    harness.scheduler.adopt(harness.now, harness.now)
    harness.list(stopping.endpoint_id)
    assert not harness.starts


def test_listed_runs_without_a_placement_occupy_room_until_they_are_gone():
    harness = Harness(endpoints=1)
    harness.submit("old", request=HALF)
    harness.accept_starts()
    harness.cancel("old")
    harness.scheduler = Scheduler(2, harness.table, configuration())
    # A run of a job that nobody knows may occupy everything.
    for foreign, room in (("old.0.0.0", 4), ("unknown.0.0.0", 0), ("x", 0)):
        harness.running["e0"] = {foreign: 1}
        harness.add_endpoint("e0")
        assert harness.scheduler.endpoint_by_id["e0"].free_gpus == room
        assert harness.stops[-1].task == foreign
    harness.running["e0"] = {}
    harness.list("e0")
    assert harness.scheduler.endpoint_by_id["e0"].free_gpus == 8
