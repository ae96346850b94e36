"""Order and preemption by fair shares, while more is asked for than there is."""

import random

import pytest
from harness import SMALL, Harness

from ragwortshelf.core.scheduling import Resources, Scheduler
from ragwortshelf.core.scheduling import planning as planning_module
from ragwortshelf.core.scheduling.listings import RunEnd
from ragwortshelf.core.scheduling.share_accounts import ShareAccounts
from ragwortshelf.core.scheduling.unit import STARVATION_MS

WHOLE = Resources(8_000, 8_000, 8)
HALF = Resources(4_000, 4_000, 4)


def _placed_gpus(harness):
    """Return the accelerators that each organisation's runs occupy."""
    gpus = {}
    for runs in harness.running.values():
        for task in runs:
            spec = harness.table.job_by_id[task.split(".")[0]].spec
            count = spec.steps[0].request.gpus
            gpus[spec.organisation] = gpus.get(spec.organisation, 0) + count
    return gpus


def _end_oldest(harness, count=1):
    """End the runs that were started first, and start what takes their place."""
    for _ in range(count):
        harness.advance(1)
        endpoint_by_id = harness.scheduler.endpoint_by_id
        _, endpoint, task = min(
            (endpoint_by_id[e].placement_by_task[task].ordered_ms, e, task)
            for e, runs in harness.running.items()
            for task in runs
        )
        harness.end(endpoint, task)
        harness.accept_starts()


def _flood(harness, organisation, jobs, queue="p2", start=0, **step):
    for n in range(start, start + jobs):
        harness.submit(
            f"{organisation}{n}", queue, organisation, harness.now + n, **step
        )
    harness.accept_starts()


# Load: one organisation sends 60 jobs of one accelerator before three others send 12
# each, on 16 accelerators. Promise: each has a quarter once the first runs have ended.
def test_a_flood_by_one_organisation_leaves_the_others_their_share():
    harness = Harness(endpoints=2, guaranteed=0)
    _flood(harness, "large", 60)
    assert _placed_gpus(harness) == {"large": 16}
    for name in ("x", "y", "z"):
        _flood(harness, name, 12)
    _end_oldest(harness, 16)
    assert _placed_gpus(harness) == {"large": 4, "x": 4, "y": 4, "z": 4}


# Load: ten organisations ask for twice the room, one of them for nine tenths of it.
# Promise: the small ones have all that they ask, and the large one has the rest.
def test_idle_room_of_small_organisations_is_lent_to_the_large_one():
    harness = Harness(endpoints=4, guaranteed=0)
    _flood(harness, "large", 60)
    for n in range(9):
        _flood(harness, f"s{n}x", 1)
    _end_oldest(harness, 9)
    gpus = _placed_gpus(harness)
    assert gpus.pop("large") == 23
    assert set(gpus.values()) == {1} and len(gpus) == 9


# Load: four organisations flood alike, with jobs of different sizes. Promise: all have
# an equal part, within one job.
def test_a_flood_by_all_organisations_is_shared_equally():
    harness = Harness(endpoints=4, guaranteed=0)
    for name, gpus in (("p", 1), ("q", 2), ("r", 1), ("s", 4)):
        request = Resources(1_000 * gpus, 1_000 * gpus, gpus)
        _flood(harness, name, 40 // gpus, request=request)
    _end_oldest(harness, 40)
    gpus = _placed_gpus(harness)
    assert all(4 <= count <= 12 for count in gpus.values()), gpus
    assert sum(gpus.values()) >= 28


# Load: a small organisation arrives in the middle of a flood. Promise: the next room is
# its own, although its deadline is the latest.
def test_a_small_organisation_in_the_middle_of_a_flood_starts_next():
    harness = Harness(endpoints=2, guaranteed=0)
    _flood(harness, "large", 60)
    harness.advance(5_000)
    harness.submit("small", "p2", "s", harness.now + 50_000)
    _end_oldest(harness)
    assert _placed_gpus(harness) == {"large": 15, "s": 1}


# Load: as above, but the small job is guaranteed. Promise: reclaiming within the
# guarantee does not depend on shares.
def test_a_guarantee_is_reclaimed_by_an_organisation_above_its_share():
    harness = Harness(endpoints=2, guaranteed=8)
    _flood(harness, "b", 40)
    _flood(harness, "a", 40)
    _end_oldest(harness, 16)
    assert _placed_gpus(harness) == {"a": 8, "b": 8}
    harness.submit("u", "p0", "a", harness.now, request=HALF)
    assert len(harness.stops) == 4


# Load: two organisations flood, and the one that came first cancels half of its jobs,
# one of which had reserved room. Promise: cancelled work asks for nothing.
def test_callers_that_cancel_half_of_their_jobs_free_their_room_and_share():
    harness = Harness(endpoints=2, guaranteed=0)
    _flood(harness, "x", 20)
    _flood(harness, "y", 20)
    harness.submit("xl", "p1", "x", harness.now, request=WHOLE)
    _end_oldest(harness)
    assert not harness.starts and _placed_gpus(harness)["x"] == 15
    harness.cancel("xl")
    for n in range(0, 20, 2):
        harness.cancel(f"x{n}")
    harness.obey_stops()
    harness.accept_starts()
    for _ in range(3):
        harness.advance(1_000)
        harness.accept_starts()
    assert sum(_placed_gpus(harness).values()) == 16
    assert _placed_gpus(harness)["y"] >= 8


# Load: two organisations flood six endpoints of which two are lost at once. Promise:
# shares shrink alike, and what runs elsewhere goes on.
def test_a_third_of_the_endpoints_lost_shrinks_all_shares_alike():
    harness = Harness(endpoints=6, guaranteed=0)
    _flood(harness, "x", 90)
    _flood(harness, "y", 90)
    _end_oldest(harness, 48)
    assert _placed_gpus(harness) == {"x": 24, "y": 24}
    for name in ("e0", "e1"):
        harness.running[name].clear()
        harness.scheduler.endpoint_lease_expired(name, harness.now, harness.now)
    harness.plan()
    assert not harness.stops
    harness.accept_starts()
    _end_oldest(harness, 32)
    assert _placed_gpus(harness) == {"x": 16, "y": 16}


# Load: two organisations flood 16 accelerators, and the room of 8 becomes free at once.
# Promise: it is dealt by shares, not to whoever has the earliest deadlines.
def test_room_that_becomes_free_at_once_is_dealt_by_shares():
    harness = Harness(endpoints=2, guaranteed=0)
    harness.submit("whole", "p1", "z", request=WHOLE)
    _flood(harness, "x", 4)
    _flood(harness, "y", 4)
    _flood(harness, "x", 20, start=4)
    harness.advance(1_000)
    _flood(harness, "y", 20, start=4)
    for endpoint, runs in harness.running.items():
        if "whole.0.0.0" in runs:
            harness.end(endpoint, "whole.0.0.0")
            break
    harness.accept_starts()
    assert _placed_gpus(harness) == {"x": 8, "y": 8}


# Load: an urgent job of x waits while all that could be stopped for it belongs to y.
# Both flood, so the share of each is 8 accelerators. Promise: above its share, x stops
# nothing of y within its share; within its share, it stops what y has above.
@pytest.mark.parametrize(("own_gpus", "is_stopped"), [(10, False), (4, True)])
def test_who_is_above_its_share_stops_nothing_of_who_is_within(own_gpus, is_stopped):
    harness = Harness(endpoints=2, guaranteed=0)
    harness.now = 10_000
    two = Resources(2_000, 2_000, 2)
    _flood(harness, "x", own_gpus // 2, "p0", request=two, estimate_ms=30_000)
    _flood(harness, "y", 16, "p2", request=two, estimate_ms=30_000)
    assert _placed_gpus(harness) == {"x": own_gpus, "y": 16 - own_gpus}
    harness.advance(100)
    gang = {"count": 2, "is_gang": True, "request": two}
    harness.submit("urgent", "p0", "x", harness.now, **gang)
    stopped = {stop.task[0] for stop in harness.stops}
    assert stopped == ({"y"} if is_stopped else set())


# Load: two equal batches, one of an organisation above its share. Promise: at equal
# cost the one above its share yields.
def test_at_equal_cost_the_organisation_above_its_share_yields():
    harness = Harness(endpoints=4, guaranteed=8)
    harness.now = 10_000
    step = {"request": WHOLE, "estimate_ms": 30_000}
    harness.submit("y0", "p2", "y", harness.now, **step)
    for n in range(3):
        harness.submit(f"x{n}", "p2", "x", harness.now, **step)
    harness.accept_starts()
    harness.advance(200)
    harness.submit("y1", "p2", "y", harness.now, **step)
    harness.submit("u", "p0", "a", harness.now, request=WHOLE)
    assert {stop.task[0] for stop in harness.stops} == {"x"}


# Load: a stream of more urgent jobs that always fills the fleet, and one batch of an
# organisation that is above its share. Promise: after 60 s the batch starts next.
@pytest.mark.parametrize("request_", [SMALL, WHOLE])
def test_nothing_waits_longer_than_the_starvation_bound_for_its_turn(request_):
    harness = Harness(endpoints=1, guaranteed=0)
    harness.now = 10_000
    _flood(harness, "m", 8, "p1")
    harness.submit("batch", "p2", "m", harness.now, request=request_)
    submitted_ms = harness.now
    started_ms = None
    for n in range(200):
        harness.submit(f"n{n}", "p1", "k", harness.now)
        harness.advance(500)
        harness.list("e0", percent=dict.fromkeys(harness.running["e0"], n % 90))
        if harness.running["e0"]:
            harness.end("e0", min(harness.running["e0"]))
        if any(s.unit_key.job_id == "batch" for s in harness.starts):
            started_ms = harness.now
            break
        harness.accept_starts()
    assert started_ms is not None
    # The room of a whole endpoint comes free within 8 ends of 0.5 s each.
    assert submitted_ms + STARVATION_MS <= started_ms
    assert started_ms <= submitted_ms + STARVATION_MS + 5_000


# Load: the units that may reserve room before others do so without an end. Guards
# against smaller units that take the room which a starving one waits for.
def test_a_starving_unit_may_reserve_room_whoever_did_before():
    harness = Harness(endpoints=4, guaranteed=0)
    harness.now = 10_000
    _flood(harness, "m", 32, "p1", estimate_ms=500_000)
    for n in range(3):
        # Units of one shape are tried once a plan, so the shapes differ.
        request = Resources(8_000, 8_000 + n, 8)
        harness.submit(f"k{n}", "p1", "k", harness.now, request=request)
    harness.submit("batch", "p2", "k", harness.now, request=WHOLE)
    reservations = harness.scheduler._planner._reservations
    batch = next(u for u in harness.scheduler.waiting.values() if u.priority == 2)
    reserved = []
    for _ in range(35):
        harness.advance(2_000)
        reserved.append(reservations.is_held_by(batch))
    assert reserved == [False] * 29 + [True] * 6


# Load: as above, and the scheduler changes after 50 s. Promise: a successor goes on
# with the same wait, which it takes from the log, and the same shares.
def test_a_successor_has_the_same_shares_and_waits():
    harness = Harness(endpoints=1, guaranteed=0)
    harness.now = 10_000
    _flood(harness, "m", 8, "p1", estimate_ms=500_000)
    harness.submit("batch", "p2", "k", harness.now)
    harness.advance(50_000)
    configuration = harness.scheduler.configuration
    before = harness.scheduler
    harness.scheduler = Scheduler(2, harness.table, configuration)
    harness.scheduler.adopt(harness.now, harness.now)
    harness.add_endpoint("e0")
    harness.submit("first", "p1", "k", harness.now)
    (unit,) = [u for u in harness.scheduler.waiting.values() if u.key[0] == "batch"]
    (earlier,) = [u for u in before.waiting.values() if u.key[0] == "batch"]
    assert unit.starving_from_ms == earlier.starving_from_ms == 10_000 + STARVATION_MS
    assert before.organisations_above_share == 1
    assert harness.scheduler.organisations_above_share == 1


# Load: random jobs of two organisations that ask for no more than there is at any time.
# Promise: the same decisions as without shares.
@pytest.mark.parametrize("seed", range(4))
def test_decisions_are_the_same_without_contention(seed, monkeypatch):
    with_shares = _play_without_contention(seed)
    monkeypatch.setattr(ShareAccounts, "compute", lambda *_: None)
    assert _play_without_contention(seed) == with_shares
    assert len(with_shares) > 60


def _play_without_contention(seed):
    """Play jobs that are refused as soon as the sum of all asked would not fit.

    Gangs need whole endpoints, so some wait although there is enough room in all.
    """
    draw = random.Random(seed)
    harness = Harness(endpoints=4, guaranteed=8)
    harness.now = 10_000
    decisions = []
    asked_gpus = {}
    for n in range(120):
        harness.advance(draw.randrange(50, 400))
        for endpoint, runs in harness.running.items():
            # Without progress endpoints would be excluded, so that less room is left.
            harness.list(endpoint, percent=dict.fromkeys(runs, n % 90))
        gpus, count = draw.choice(((1, 1), (1, 4), (4, 1), (8, 2), (8, 1)))
        job_id = f"j{n}"
        if sum(asked_gpus.values()) + gpus * count <= 32:
            harness.submit(
                job_id,
                f"p{draw.randrange(3)}",
                draw.choice("ab"),
                harness.now,
                count=count,
                is_gang=count > 1,
                request=Resources(1_000 * gpus, 1_000 * gpus, gpus),
            )
            asked_gpus[job_id] = gpus * count
        decisions += [(s.endpoint_id, s.task, s.run) for s in harness.accept_starts()]
        decisions += [(s.task, s.run, s.reason) for s in harness.obey_stops()]
        if draw.random() < 0.5:
            tasks = [(t, e) for e, runs in harness.running.items() for t in runs]
            if tasks:
                ended = draw.choice(sorted(tasks))[0].split(".")[0]
                for task, endpoint in tasks:
                    if task.split(".")[0] == ended:
                        harness.end(endpoint, task, RunEnd.DONE)
                if harness.table.job_by_id[ended].state.value == "completed":
                    asked_gpus.pop(ended, None)
    return decisions


# Load: a fleet with room for all, then one that is full. Promise: shares are computed
# at most once a plan, and not while everything fits.
def test_shares_are_computed_only_if_something_did_not_fit(monkeypatch):
    plans, computed = [], []
    compute, run = ShareAccounts.compute, planning_module.Planner.run

    def counted_compute(*arguments):
        computed.append(len(plans))
        return compute(*arguments)

    def counted_run(*arguments):
        plans.append(1)
        return run(*arguments)

    monkeypatch.setattr(ShareAccounts, "compute", counted_compute)
    monkeypatch.setattr(planning_module.Planner, "run", counted_run)
    harness = Harness(endpoints=1, guaranteed=0)
    _flood(harness, "x", 8)
    assert not computed
    _flood(harness, "x", 8, start=8)
    harness.advance(100)
    assert computed
    assert len(set(computed)) == len(computed)


# Load: urgent units of z, which has no guarantee, and batches hold half of each rack.
# Promise: a guaranteed gang that needs one rack starts, although stopping the batches
# alone would make room for it on two racks, which it cannot use.
def test_a_rack_sensitive_guarantee_is_reclaimed_on_one_rack():
    harness = Harness(endpoints=4, racks=2, gpus=4, guaranteed=8)
    spread = {"count": 2, "is_gang": True, "tasks_per_endpoint_max": 1}
    harness.submit("z0", "p0", "z", request=HALF, estimate_ms=60_000, **spread)
    harness.accept_starts()
    _flood(harness, "y", 2, request=HALF, estimate_ms=60_000)
    harness.advance(100)
    harness.submit(
        "g", "p0", "a", harness.now, count=8, is_gang=True, is_rack_sensitive=True
    )
    for _ in range(10):
        harness.obey_stops()
        harness.accept_starts()
        harness.advance(100)
    assert _placed_gpus(harness).get("a") == 8


# Load: urgent gangs of z, which has no guarantee, hold all endpoints, and one of y with
# an earlier deadline waits for all of them. Promise: a guaranteed unit starts within
# the bound, although the room that it may reclaim is reserved.
def test_a_guarantee_is_reclaimed_from_room_that_others_have_reserved():
    harness = Harness(endpoints=4, guaranteed=8)
    harness.now = 100_000
    _flood(harness, "z", 4, "p0", count=8, is_gang=True, estimate_ms=60_000)
    harness.submit("y0", "p0", "y", harness.now, count=32, is_gang=True)
    harness.submit("g", "p0", "a", harness.now + 5_000, count=8, is_gang=True)
    for _ in range(10):
        harness.advance(100)
        harness.obey_stops()
        harness.accept_starts()
    assert _placed_gpus(harness).get("a") == 8
