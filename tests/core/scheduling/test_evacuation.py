"""Evacuated data centres get nothing new, and what runs there ends by itself."""

import random

import pytest
from harness import SMALL, Harness

from ragwortshelf.core.scheduling import Resources, Scheduler, availability, scheduler
from ragwortshelf.core.scheduling.actions import EvacuationChange, ReportEvacuation
from ragwortshelf.core.scheduling.availability import count_unavailable
from ragwortshelf.core.scheduling.evacuation import units_to_withdraw
from ragwortshelf.core.scheduling.listings import (
    EndpointListing,
    FinishedRun,
    RunEnd,
    RunningTask,
    StartOutcome,
)
from ragwortshelf.core.scheduling.speed_belief import PRIOR_PRECISION

WHOLE = Resources(8_000, 8_000, 8)
HALF = Resources(4_000, 4_000, 4)
STOP_MS = 900
START_BOUND_MS = 2_700
"""Longest stop, and the bound within which guaranteed units start, in the tightest of
the supported deployments."""


def _harness(per_data_centre=1, data_centres="xyz", **config):
    harness = Harness(endpoints=0, **config)
    for data_centre in data_centres:
        for n in range(per_data_centre):
            harness.add_endpoint(
                f"{data_centre}{n}", f"r{data_centre}", data_centre=data_centre
            )
    return harness


def _runs_in(harness, data_centre):
    return {
        task
        for endpoint, runs in harness.running.items()
        for task in runs
        if endpoint.startswith(data_centre)
    }


def _reports(harness):
    reports = []
    collect = harness.collect

    def keep_and_collect():
        actions = harness.scheduler.take_actions()
        reports.extend(a for a in actions if isinstance(a, ReportEvacuation))
        harness.scheduler._actions.extend(actions)
        collect()

    harness.collect = keep_and_collect
    return reports


# Guards against starts in a data centre that is to be emptied.
def test_nothing_starts_there_until_the_request_is_withdrawn():
    harness = _harness(data_centres="x")
    harness.evacuate("x")
    harness.submit("j")
    harness.advance(10_000)
    assert not harness.starts
    harness.evacuate()
    assert [start.endpoint_id for start in harness.starts] == ["x0"]


# Guards against work that is lost although the request forbids only starts.
def test_what_runs_there_continues_to_its_end():
    harness = _harness(data_centres="xy")
    harness.submit("g", count=4, is_gang=True, request=HALF)
    harness.accept_starts()
    harness.evacuate("x")
    for _ in range(5):
        harness.advance(500)
        for endpoint in harness.running:
            harness.list(endpoint)
    assert not harness.stops
    assert len(_runs_in(harness, "x")) == 2


# Guards against a gang that waits for a member whose start was withdrawn.
def test_a_half_ordered_gang_is_stopped_as_a_whole():
    harness = _harness(data_centres="xyz")
    harness.submit("g", count=2, is_gang=True, request=WHOLE, tasks_per_endpoint_max=1)
    orders = sorted(harness.starts, key=lambda order: order.endpoint_id)
    for order in orders:
        harness.scheduler.start_sent(order)
    confirmed, unconfirmed = orders
    assert unconfirmed.endpoint_id[0] != confirmed.endpoint_id[0]
    harness.running[confirmed.endpoint_id][confirmed.task] = 1
    harness.list(confirmed.endpoint_id)
    harness.starts.clear()
    harness.evacuate(unconfirmed.endpoint_id[0])
    assert {stop.endpoint_id for stop in harness.stops} == {
        order.endpoint_id for order in orders
    }
    assert not harness.starts
    harness.obey_stops()
    harness.scheduler.stop_confirmed(
        unconfirmed.endpoint_id, unconfirmed.task, 1, harness.now
    )
    harness.now += 10
    harness.list(unconfirmed.endpoint_id)
    restarted = {order.endpoint_id for order in harness.starts}
    assert len(restarted) == 2
    assert unconfirmed.endpoint_id not in restarted
    assert all(order.run == 2 for order in harness.starts)


# Guards against a unit that waits for the end of a start that was never sent.
def test_a_start_that_was_not_sent_goes_elsewhere_at_once():
    harness = _harness(data_centres="xy")
    harness.submit("j")
    (order,) = harness.starts
    harness.starts.clear()
    harness.evacuate(order.endpoint_id[0])
    assert not harness.stops
    (again,) = harness.starts
    assert again.endpoint_id != order.endpoint_id
    assert again.run == 2
    assert not harness.scheduler.is_still_ordered(order)


# Guards against a trial of a suspected gang whose held starts are ended twice.
def test_a_suspected_gang_on_trial_is_withdrawn_with_its_held_starts():
    harness = _harness(data_centres="xyz")
    harness.submit("g", count=3, is_gang=True, request=WHOLE)
    for order in harness.starts:
        harness.scheduler.start_sent(order)
    harness.accept_starts()
    lost = "x0"
    harness.scheduler.endpoint_unreachable(lost, harness.now, harness.now)
    for endpoint in harness.running:
        harness.running[endpoint].clear()
        harness.list(endpoint, started_wall_ms=2)
    for _ in range(100):
        harness.advance(100)
        harness.obey_stops()
        for endpoint in harness.running:
            harness.list(endpoint, started_wall_ms=2)
        if harness.starts:
            break
    assert len(harness.starts) == 1, "the trial of the first member"
    harness.evacuate("x", "y", "z")
    harness.advance(100)
    assert not harness.scheduler._held_by_key
    unit = next(iter(harness.scheduler.unit_by_key.values()))
    assert not unit.placements
    assert unit.key in harness.scheduler.waiting


# Guards against a start that the endpoint carries out after it was withdrawn.
def test_a_start_that_is_carried_out_late_is_stopped_until_its_end_is_listed():
    harness = _harness(data_centres="xy")
    harness.submit("j")
    (order,) = harness.starts
    harness.scheduler.start_sent(order)
    harness.evacuate(order.endpoint_id[0])
    harness.stops.clear()
    harness.running[order.endpoint_id][order.task] = order.run
    harness.starts.clear()
    for _ in range(3):
        harness.advance(600)
        harness.list(order.endpoint_id)
        assert [stop.run for stop in harness.stops] == [order.run]
        assert not harness.starts
        harness.stops.clear()
    harness.end(order.endpoint_id, order.task, RunEnd.STOPPED)
    (again,) = harness.starts
    assert again.endpoint_id != order.endpoint_id


# Guards against a late answer that lets a withdrawn start count as a run.
@pytest.mark.parametrize("outcome", [StartOutcome.STARTED, StartOutcome.UNANSWERED])
def test_a_late_answer_does_not_revive_a_withdrawn_start(outcome):
    harness = _harness(data_centres="xy")
    harness.submit("j")
    (order,) = harness.starts
    harness.scheduler.start_sent(order)
    harness.evacuate(order.endpoint_id[0])
    harness.refuse_start(outcome, was_unanswered=True)
    harness.advance(600)
    assert not harness.starts
    assert harness.stops


def _successor(harness):
    """Let another scheduler take over from the job table."""
    harness.scheduler = Scheduler(2, harness.table, harness.scheduler.configuration)
    harness.starts.clear()
    harness.stops.clear()


# Guards against a successor that orders a start anew which the request forbids.
@pytest.mark.parametrize("is_listed", [False, True])
def test_a_successor_repeats_no_start_there_and_keeps_what_runs(is_listed):
    harness = _harness(data_centres="xy")
    harness.submit("j")
    (order,) = harness.accept_starts()
    for record in harness.records:
        harness.table.apply(record)
    if not is_listed:
        harness.running[order.endpoint_id].clear()
    _successor(harness)
    harness.scheduler.evacuate({order.endpoint_id[0]: 0}, harness.now, harness.now)
    harness.scheduler.adopt(harness.now, harness.now)
    harness.plan()
    for data_centre in "xy":
        harness.add_endpoint(f"{data_centre}0", data_centre=data_centre)
    harness.advance(1_000)
    assert not harness.stops
    if is_listed:
        assert not harness.starts
    else:
        (again,) = harness.starts
        assert again.endpoint_id != order.endpoint_id


# Guards against room kept for a unit where it cannot start any more.
def test_reservations_there_are_dropped_and_planned_anew():
    harness = _harness(data_centres="xy", guaranteed=0)
    harness.submit("b0", "p1", "b", request=WHOLE, estimate_ms=2_000)
    harness.submit("b1", "p1", "b", request=WHOLE, estimate_ms=9_000)
    started = {s.unit_key.job_id: s.endpoint_id for s in harness.accept_starts()}
    harness.submit("g", "p2", request=WHOLE)
    reservations = harness.scheduler._planner._reservations
    assert list(reservations._by_endpoint_id) == [started["b0"]]
    harness.evacuate(started["b0"][0])
    assert list(reservations._by_endpoint_id) == [started["b1"]]


# Guards against long-running work that keeps a data centre from ever being empty, and
# against more of it being stopped than its step allows.
def test_long_running_units_move_as_far_as_unavailable_max_allows():
    harness = _harness(data_centres="xy")
    harness.evacuate("y")
    harness.submit("l", is_long_running=True, request=SMALL, count=4, unavailable_max=1)
    for start in harness.accept_starts():
        assert start.endpoint_id == "x0"
    at_work = dict.fromkeys(harness.running["x0"], 100)
    harness.list("x0", percent=at_work)
    assert not harness.stops
    harness.evacuate("x")
    moved = 0
    for _ in range(10):
        assert len(harness.stops) <= 1
        assert len(harness.running["x0"]) + len(harness.running["y0"]) >= 3
        moved += len(harness.obey_stops())
        harness.advance(300)
        for start in harness.accept_starts():
            assert start.endpoint_id == "y0"
        for endpoint in harness.running:
            percent = dict.fromkeys(harness.running[endpoint], 100)
            harness.list(endpoint, percent=percent)
    assert moved == 4
    assert not harness.running["x0"]


# Guards against an outage of long-running work that has nowhere to go.
def test_long_running_units_continue_while_there_is_no_room_elsewhere():
    harness = _harness(data_centres="x")
    harness.submit("l", is_long_running=True, request=WHOLE)
    harness.accept_starts()
    harness.evacuate("x")
    harness.advance(10_000)
    assert not harness.stops
    harness.add_endpoint("y0", data_centre="y")
    assert len(harness.stops) == 1


# Guards against plans that look at all units of a step for each unit of it that has to
# stay: with 240 tasks a plan took 86 ms, and it is repeated every few ms.
@pytest.mark.parametrize("has_room", [False, True])
def test_a_plan_judges_once_whether_the_units_of_a_step_may_move(monkeypatch, has_room):
    harness = _harness(data_centres="x")
    count = 8
    harness.submit(
        "l", is_long_running=True, request=SMALL, count=count, unavailable_max=1
    )
    harness.accept_starts()
    harness.list("x0", percent=dict.fromkeys(harness.running["x0"], 100))
    if has_room:
        harness.add_endpoint("y0", data_centre="y")
    harness.evacuate("x")
    assert len(harness.stops) == int(has_room)
    judged = []

    def count_and_judge(unit, unit_by_key):
        judged.append(unit.key)
        return count_unavailable(unit, unit_by_key)

    monkeypatch.setattr(availability, "count_unavailable", count_and_judge)
    harness.advance(10)
    assert len(judged) == 1


# Guards against plans that are slow for as long as a request lasts.
def test_starts_to_withdraw_are_looked_for_after_changes_only(monkeypatch):
    harness = _harness(per_data_centre=2, data_centres="x")
    looked = []

    def note_and_look(endpoints, unit_by_key):
        looked.append(len(endpoints))
        return units_to_withdraw(endpoints, unit_by_key)

    monkeypatch.setattr(scheduler, "units_to_withdraw", note_and_look)
    harness.evacuate("x")
    assert looked
    looked.clear()
    for _ in range(10):
        harness.advance(10)
        harness.list("x0")
        harness.add_endpoint("x1", data_centre="x")
    assert not looked
    harness.add_endpoint("x2", data_centre="y")
    assert not looked
    harness.add_endpoint("x2", data_centre="x")
    assert looked


# Guards against long-running work that is given up, and room that is kept idle, until
# the leases of an endpoint that does not answer have expired.
def test_long_running_units_are_not_moved_while_their_endpoint_does_not_answer():
    harness = _harness(data_centres="xy")
    harness.evacuate("y")
    harness.submit("l", is_long_running=True, request=WHOLE)
    harness.accept_starts()
    # The start settles, so that the loss of contact is not taken for its effect.
    for _ in range(2):
        harness.list("x0", percent=dict.fromkeys(harness.running["x0"], 100))
        harness.advance(1_500)
    harness.list("x0", percent=dict.fromkeys(harness.running["x0"], 100))
    harness.scheduler.endpoint_unreachable("x0", harness.now, harness.now)
    harness.evacuate("x")
    harness.advance(100)
    assert not harness.stops
    harness.list("x0", percent=dict.fromkeys(harness.running["x0"], 100))
    assert len(harness.stops) == 1


# Guards against the room of a move being taken before the unit has stopped.
def test_the_room_of_a_move_is_kept_until_the_unit_starts_there():
    harness = _harness(data_centres="x")
    harness.submit("l", is_long_running=True, request=WHOLE)
    harness.accept_starts()
    harness.evacuate("x")
    harness.add_endpoint("y0", data_centre="y")
    harness.submit("u", "p0", "b", request=WHOLE)
    assert not harness.starts
    harness.obey_stops()
    harness.advance(10)
    assert [(s.unit_key.job_id, s.endpoint_id) for s in harness.starts] == [("l", "y0")]


# Guards against gangs that get no room, and urgent units for which none is made, for as
# long as moves keep room free: few reservations of units that wait are allowed.
def test_moves_leave_waiting_units_their_reservations():
    harness = _harness(data_centres="x")
    harness.submit("l", is_long_running=True, request=SMALL, count=4)
    harness.accept_starts()
    harness.add_endpoint("y0", data_centre="y")
    harness.add_endpoint("y1", data_centre="y")
    harness.evacuate("x")
    assert len(harness.stops) == 4
    harness.submit("b", "p2", request=HALF, count=3, estimate_ms=10_000)
    batches = harness.accept_starts()
    assert len(batches) == 3
    harness.submit("g", "p1", request=WHOLE)
    (shared_id,) = {
        batch.endpoint_id
        for batch in batches
        if len(harness.running[batch.endpoint_id]) == 2
    }
    first, second = (b for b in batches if b.endpoint_id == shared_id)
    harness.end(shared_id, first.task)
    harness.submit("s", "p2", request=HALF)
    assert not harness.starts
    harness.end(shared_id, second.task)
    assert [start.unit_key.job_id for start in harness.starts] == ["g"]


# Guards against units that wait for a rack that cannot take them.
@pytest.mark.parametrize(
    "step", [{"preferred_rack": "rx"}, {"is_rack_sensitive": True, "count": 2}]
)
def test_units_that_prefer_a_rack_there_go_elsewhere_at_once(step):
    harness = _harness(data_centres="xy")
    harness.evacuate("x")
    harness.submit("j", is_gang="count" in step, **step)
    assert {start.endpoint_id for start in harness.starts} == {"y0"}


# Guards against accepted jobs that are lost, or runs that are stopped, while nothing is
# allowed to start anywhere.
def test_everything_waits_while_all_data_centres_are_evacuated():
    harness = _harness(data_centres="xyz", guaranteed=24)
    harness.submit("b", "p2", "b", request=WHOLE)
    harness.accept_starts()
    harness.evacuate("x", "y", "z")
    harness.submit("u", "p0", request=WHOLE)
    harness.submit("l", is_long_running=True, request=SMALL)
    harness.advance(20_000)
    assert not harness.starts
    assert not harness.stops
    harness.evacuate()
    assert {start.unit_key.job_id for start in harness.starts} == {"u", "l"}


# Guards against urgent work that starts on an endpoint which is slow for a while.
def test_urgent_units_choose_cold_endpoints_last_after_a_withdrawal():
    harness = _harness(data_centres="y")
    harness.evacuate("x")
    harness.add_endpoint("x0", data_centre="x", cold_remaining_ms=3_000)
    harness.evacuate()
    # The cold endpoint is the fuller one, which packing prefers.
    harness.submit("f", "p1", request=Resources(1_000, 1_000, 2), required_label="a")
    for n in range(3):
        harness.submit(f"u{n}", "p0", request=HALF)
    by_job = {start.unit_key.job_id: start.endpoint_id for start in harness.starts}
    urgent = [by_job[f"u{n}"] for n in range(3) if f"u{n}" in by_job]
    assert "y0" in urgent
    assert urgent.index("y0") == 0
    assert harness.scheduler.endpoint_by_id["x0"].is_cold(harness.now)
    harness.advance(3_000)
    assert not harness.scheduler.endpoint_by_id["x0"].is_cold(harness.now)


# Guards against an endpoint that counts as slow because it was cold.
@pytest.mark.parametrize(("cold_ms", "is_known"), [(1_000, False), (None, True)])
def test_what_began_on_a_cold_endpoint_says_nothing_of_its_speed(cold_ms, is_known):
    harness = Harness(endpoints=0, gpus=1)
    harness.add_endpoint("e0", gpus=1, cold_remaining_ms=cold_ms)
    for n in range(1, 5):
        harness.add_endpoint(f"e{n}", gpus=1)
    harness.submit("j", count=5)
    started = harness.accept_starts()
    for percent in (0, 50):
        for order in started:
            harness.list(order.endpoint_id, percent={order.task: percent})
        harness.advance(1_000)
    for order in started:
        harness.end(order.endpoint_id, order.task)
    endpoint = harness.scheduler.endpoint_by_id["e0"]
    assert (endpoint.speed_belief.precision > PRIOR_PRECISION) == is_known


def test_a_later_report_ends_the_cold_time_and_keeps_its_past():
    harness = Harness(endpoints=0)
    harness.add_endpoint("e0", cold_remaining_ms=5_000)
    began_ms = harness.now
    harness.advance(1_000)
    harness.add_endpoint("e0")
    endpoint = harness.scheduler.endpoint_by_id["e0"]
    assert not endpoint.is_cold(harness.now)
    assert began_ms < endpoint.warm_at_ms == harness.now


# Guards against operators who are told too early, or never, that nothing runs there.
def test_each_change_of_an_evacuation_is_reported_once():
    harness = _harness(data_centres="x")
    reports = _reports(harness)
    harness.submit("j")
    (order,) = harness.accept_starts()
    harness.evacuate("x")
    harness.advance(1_000)
    assert harness.scheduler.busy_evacuated_count() == 1
    assert harness.scheduler.evacuations.oldest_age_ms(harness.now) == 1_000
    harness.end("x0", order.task)
    harness.advance(500)
    assert harness.scheduler.busy_evacuated_count() == 0
    assert harness.scheduler.evacuations.oldest_age_ms(harness.now) == 0
    harness.evacuate()
    assert reports == [
        ReportEvacuation(EvacuationChange.REQUESTED, "x", endpoints=1, runs=1),
        ReportEvacuation(EvacuationChange.EMPTIED, "x", age_ms=1_000),
        ReportEvacuation(EvacuationChange.WITHDRAWN, "x", age_ms=1_500),
    ]


# Guards against a data centre that a new scheduler takes for empty because it has not
# read the endpoints yet, or does not place what an earlier term is still stopping.
def test_a_data_centre_with_runs_of_an_earlier_term_is_not_empty():
    harness = _harness(data_centres="x")
    harness.submit("j")
    harness.accept_starts()
    for record in harness.records:
        harness.table.apply(record)
    _successor(harness)
    reports = _reports(harness)
    harness.scheduler.adopt(harness.now, harness.now)
    harness.evacuate("x")
    harness.add_endpoint("x0", data_centre="x")
    other = RunningTask("z.0.0.0", 1, "", 10)
    rows = (RunningTask("j.0.0.0", 1, "", 10), other)
    listing = EndpointListing("x0", 1, harness.now, rows)
    harness.scheduler.listing_received(listing, harness.now, harness.now)
    row = FinishedRun(1, "j.0.0.0", 1, RunEnd.DONE, "")
    listing = EndpointListing("x0", 1, harness.now, (other,), (row,))
    harness.scheduler.listing_received(listing, harness.now, harness.now)
    harness.plan()
    assert [report.change for report in reports] == [EvacuationChange.REQUESTED]
    harness.running["x0"].clear()
    harness.list("x0")
    changes = [report.change for report in reports]
    assert changes == [EvacuationChange.REQUESTED, EvacuationChange.EMPTIED]


# Guards against an endpoint whose data centre becomes known, or changes, after the
# request.
def test_an_endpoint_is_marked_when_its_data_centre_changes():
    harness = _harness(data_centres="y")
    harness.evacuate("x")
    harness.submit("j")
    (order,) = harness.starts
    harness.starts.clear()
    harness.add_endpoint("y0", data_centre="x")
    assert not harness.scheduler.is_still_ordered(order)
    assert not harness.starts
    harness.add_endpoint("y0", data_centre="y")
    assert len(harness.starts) == 1


# Guards against guaranteed gangs that start late because a third of a full fleet is not
# available to them. The load is 24 endpoints in three data centres, full of batches of
# another organisation; four guaranteed gangs of two whole endpoints arrive.
def test_guaranteed_gangs_start_within_the_bound_on_a_full_fleet():
    harness = _harness(per_data_centre=8, data_centres="xyz", guaranteed=64)
    for n in range(24):
        harness.submit(f"b{n}", "p2", "b", request=WHOLE, estimate_ms=60_000)
    harness.accept_starts()
    for n in range(6):
        harness.submit(f"w{n}", "p1", "b", request=WHOLE, estimate_ms=9_000)
    harness.advance(2_000)
    harness.obey_stops()
    harness.accept_starts()
    for n in range(2):
        harness.submit(
            f"g{n}", "p0", count=2, is_gang=True, request=WHOLE, estimate_ms=2_500
        )
    before = _runs_in(harness, "x")
    began_ms = harness.now
    harness.evacuate("x")
    for n in range(2, 4):
        harness.submit(
            f"g{n}", "p0", count=2, is_gang=True, request=WHOLE, estimate_ms=2_500
        )
    started_ms = {}
    reservations = harness.scheduler._planner._reservations
    while harness.now - began_ms < START_BOUND_MS:
        assert not any(i.startswith("x") for i in reservations._by_endpoint_id)
        harness.advance(STOP_MS // 3)
        if (harness.now - began_ms) % STOP_MS == 0:
            harness.obey_stops()
        for start in harness.accept_starts():
            assert not start.endpoint_id.startswith("x")
            started_ms[start.unit_key.job_id] = harness.now - began_ms
    assert {f"g{n}" for n in range(4)} <= started_ms.keys()
    assert _runs_in(harness, "x") <= before


def _decisions(evacuate):
    """Play a random load; return all orders and records."""
    rng = random.Random(970)
    harness = _harness(per_data_centre=3)
    decisions = []
    for n in range(150):
        evacuate(harness)
        if rng.random() < 0.5:
            gang = rng.random() < 0.3
            harness.submit(
                f"j{n}",
                f"p{rng.randrange(3)}",
                rng.choice("ab"),
                accepted=harness.now,
                count=rng.randint(1, 3),
                is_gang=gang,
                request=rng.choice((SMALL, HALF, WHOLE)),
                is_long_running=not gang and rng.random() < 0.1,
            )
        decisions += harness.starts + harness.stops + harness.records
        harness.records.clear()
        harness.obey_stops()
        harness.accept_starts()
        for endpoint, runs in harness.running.items():
            for task in list(runs):
                if rng.random() < 0.1:
                    harness.end(endpoint, task)
        harness.advance(rng.randint(50, 300))
    return decisions


# Guards against decisions that change for deployments without evacuations.
@pytest.mark.parametrize("data_centres", [(), ("unknown",)])
def test_decisions_are_the_same_without_endpoints_to_evacuate(data_centres):
    plain = _decisions(lambda harness: None)
    assert len(plain) > 100
    assert _decisions(lambda harness: harness.evacuate(*data_centres)) == plain
