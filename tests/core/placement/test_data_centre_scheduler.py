"""Reclaims, job order, reservations, quarantine and admission of the scheduler."""

import pytest

from ragwortshelf.core.model import (
    Adjacency,
    Configuration,
    DataCentre,
    Grant,
    JobSpec,
    Organisation,
    Priority,
    Rack,
    Reason,
    Shape,
)
from ragwortshelf.core.placement import (
    DataCentreScheduler,
    Move,
    Place,
    Probe,
    Reclaim,
    Reject,
    WorkerCondition,
    better_home_data_centre,
    fits_catalogue,
    home_data_centre,
    scheduling_rounds,
)

RACK = Rack("r1", ("w1", "w2"), 4)
URGENT_START_MS = 4_000


def configuration_of(*organisations, racks=(RACK,), revision=1):
    by_name = {organisation.name: organisation for organisation in organisations}
    return Configuration(revision, by_name, {"dc": DataCentre("dc", "home", racks)})


def scheduler_of(*organisations, racks=(RACK,)):
    scheduler = DataCentreScheduler("dc")
    scheduler.set_configuration(configuration_of(*organisations, racks=racks), 0)
    for rack in racks:
        for worker in rack.workers:
            size = rack.accelerators_per_worker
            scheduler.set_worker(worker, rack.name, size, 0)
    return scheduler


def job(job_id, organisation, accelerators, reclaimable=True, **fields):
    fields.setdefault("adjacency", Adjacency.RACK)
    return JobSpec(
        job_id,
        organisation,
        "dc",
        accelerators,
        is_idempotent=reclaimable,
        is_checkpointable=reclaimable,
        **fields,
    )


def run(scheduler, now_ms):
    """Decide, report all placements as running at once, and return the actions."""
    actions = scheduler.decide(now_ms)
    for action in actions:
        if isinstance(action, Place):
            scheduler.set_running(action.spec, action.grants, now_ms)
    return actions


def of_type(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


OWNER = Organisation("owner", guarantees=(Shape("dc", 4, Adjacency.WORKER),))
GUEST = Organisation("guest")


def test_urgent_work_reclaims_its_guarantee_in_time_with_the_least_lost_work():
    scheduler = scheduler_of(OWNER, GUEST)
    for number in range(4):
        scheduler.add_waiting(job(f"g{number}", "guest", 2), 0)
    assert all(action.is_borrowed for action in run(scheduler, 0))
    scheduler.checkpointed("g1", 59_000)
    scheduler.checkpointed("g3", 59_000)
    urgent = job("u", "owner", 2, False, priority=Priority.URGENT)
    scheduler.add_waiting(urgent, 60_000)
    (reclaim,) = run(scheduler, 60_000)
    assert isinstance(reclaim, Reclaim)
    assert reclaim.job_id in ("g1", "g3")
    assert reclaim.for_job_id == "u"
    assert 60_000 < reclaim.deadline_ms < 60_000 + URGENT_START_MS
    assert run(scheduler, reclaim.deadline_ms - 1) == ()
    scheduler.remove(reclaim.job_id, reclaim.deadline_ms)
    (place,) = of_type(run(scheduler, reclaim.deadline_ms), Place)
    assert place.spec == urgent
    assert not place.is_borrowed


def test_non_reclaimable_work_waits_rather_than_occupy_a_guarantee():
    scheduler = scheduler_of(OWNER, GUEST)
    for number in range(3):
        scheduler.add_waiting(job(f"g{number}", "guest", 2, False), 0)
    assert len(run(scheduler, 0)) == 2
    assert "cannot be stopped" in scheduler.explain("g2").reason
    assert all(status.is_met for status in scheduler.guarantees())


def test_foreign_lease_is_never_assigned_and_is_named_as_cause_of_the_shortage():
    scheduler = scheduler_of(OWNER)
    scheduler.set_foreign_lease("w1", (0,), "x")
    scheduler.set_foreign_lease("w2", (3,), "y")
    (status,) = scheduler.guarantees()
    assert not status.is_met
    assert "foreign:w1:x on w1 cannot be stopped" in status.detail
    (decision,) = scheduler.take_guarantee_decisions()
    assert (decision.choice, decision.organisation) == ("short", "owner")
    scheduler.add_waiting(job("a", "owner", 6), 0)
    (place,) = of_type(run(scheduler, 0), Place)
    assigned = {(g.worker, i) for g in place.grants for i in g.accelerators}
    assert not assigned & {("w1", 0), ("w2", 3)}
    scheduler.clear_foreign_lease("w2", "y")
    assert scheduler.guarantees()[0].is_met


@pytest.mark.parametrize("reclaimable", [True, False])
def test_blocked_group_starts_under_continuous_small_arrivals(reclaimable):
    scheduler = scheduler_of(Organisation("big"), Organisation("small"))
    ends_ms = {}
    started_ms = None
    for step in range(400):
        now_ms = step * 1_000
        for job_id in [j for j, end_ms in ends_ms.items() if end_ms <= now_ms]:
            del ends_ms[job_id]
            scheduler.remove(job_id, now_ms)
        for number in range(3):
            small = job(f"s{step}.{number}", "small", 1, reclaimable)
            scheduler.add_waiting(small, now_ms)
        if step == 20:
            scheduler.add_waiting(job("b", "big", 8, False), now_ms)
        for action in run(scheduler, now_ms):
            if isinstance(action, Place):
                ends_ms[action.spec.job_id] = now_ms + 7_000
                if action.spec.job_id == "b":
                    started_ms = now_ms
            elif isinstance(action, Reclaim | Move):
                ends_ms[action.job_id] = now_ms + 1_000
        if started_ms is not None:
            break
    assert started_ms is not None


def test_organisations_share_borrowed_accelerators_by_weight():
    racks = (Rack("r1", tuple(f"w{i}" for i in range(4)), 4),)
    heavy = Organisation("heavy", weight=3)
    scheduler = scheduler_of(heavy, Organisation("light"), racks=racks)
    for number in range(40):
        scheduler.add_waiting(job(f"l{number}", "light", 1), 0)
        scheduler.add_waiting(job(f"h{number}", "heavy", 1), 0)
    placed = [action.spec.organisation for action in run(scheduler, 0)]
    assert (placed.count("heavy"), placed.count("light")) == (12, 4)


def test_quota_covers_all_data_centres():
    capped = Organisation("capped", quota_accelerators=5)
    scheduler = scheduler_of(capped)
    scheduler.set_held_elsewhere("capped", 2)
    for number in range(3):
        scheduler.add_waiting(job(f"c{number}", "capped", 2), 0)
    assert len(run(scheduler, 0)) == 1
    assert "quota" in scheduler.explain("c1").reason
    scheduler.set_held_elsewhere("capped", 0)
    assert len(run(scheduler, 1)) == 1


def test_worker_that_fails_every_job_is_quarantined_probed_and_used_again():
    scheduler = scheduler_of(GUEST)
    on_bad_worker = 0
    for step in range(60):
        scheduler.add_waiting(job(f"j{step}", "guest", 1, kind=f"k{step % 3}"), step)
        for action in of_type(run(scheduler, step), Place):
            (grant,) = action.grants
            is_bad = grant.worker == "w1"
            on_bad_worker += is_bad
            kind = action.spec.kind
            job_id = action.spec.job_id
            scheduler.task_ended(job_id, kind, (grant.worker,), not is_bad, step)
            scheduler.remove(job_id, step)
            if is_bad:
                scheduler.add_waiting(action.spec, step)
    assert 0 < on_bad_worker <= 3
    conditions = {status.worker: status.condition for status in scheduler.workers()}
    assert conditions["w1"] is WorkerCondition.QUARANTINED
    assert conditions["w2"] is WorkerCondition.USABLE
    due_ms = scheduler.next_wakeup_ms(60)
    (probe,) = of_type(run(scheduler, due_ms), Probe)
    scheduler.probe_ended(probe.worker, False, due_ms)
    assert scheduler.next_wakeup_ms(due_ms) > due_ms + 30_000
    due_ms = scheduler.next_wakeup_ms(due_ms)
    (probe,) = of_type(run(scheduler, due_ms), Probe)
    scheduler.probe_ended(probe.worker, True, due_ms)
    assert {s.condition for s in scheduler.workers()} == {WorkerCondition.USABLE}
    scheduler.add_waiting(job("after", "guest", 1), due_ms)
    assert len(of_type(run(scheduler, due_ms), Place)) == 1
    scheduler.task_ended("after", "k", ("w1",), False, due_ms)
    statuses = {status.worker: status.condition for status in scheduler.workers()}
    assert statuses["w1"] is WorkerCondition.QUARANTINED


def test_job_that_fails_everywhere_is_rejected_and_closes_no_worker():
    racks = (Rack("r1", ("w1", "w2", "w3", "w4"), 1),)
    scheduler = scheduler_of(GUEST, racks=racks)
    spec = job("broken", "guest", 1, kind="broken")
    scheduler.add_waiting(spec, 0)
    results = []
    for now_ms in range(4):
        for action in run(scheduler, now_ms):
            if isinstance(action, Reject):
                assert action.reason is Reason.FAILS_EVERYWHERE
                results.append("rejected")
                continue
            worker = action.grants[0].worker
            results.append(worker)
            scheduler.task_ended("broken", "broken", (worker,), False, now_ms)
            scheduler.remove("broken", now_ms)
            scheduler.add_waiting(spec, now_ms)
    assert len(set(results)) == 4
    assert results[-1] == "rejected"
    assert {s.condition for s in scheduler.workers()} == {WorkerCondition.USABLE}


def test_operator_quarantine_lasts_until_the_operator_ends_it():
    scheduler = scheduler_of(GUEST)
    scheduler.set_quarantine("w1", True, 0)
    assert of_type(run(scheduler, 10_000_000), Probe) == []
    scheduler.add_waiting(job("a", "guest", 6), 0)
    assert run(scheduler, 1) == ()
    scheduler.set_quarantine("w1", False, 2)
    assert len(run(scheduler, 2)) == 1


def test_refused_lease_backs_off_from_that_worker_only():
    scheduler = scheduler_of(GUEST)
    scheduler.add_waiting(job("a", "guest", 4, adjacency=Adjacency.WORKER), 0)
    (first,) = scheduler.decide(0)
    scheduler.placement_failed("a", first.grants[0].worker, 0)
    (second,) = scheduler.decide(0)
    assert second.grants[0].worker != first.grants[0].worker
    scheduler.placement_failed("a", second.grants[0].worker, 0)
    assert scheduler.decide(0) == ()
    now_ms = 0
    actions = ()
    while not actions and now_ms < 5_000:
        now_ms = scheduler.next_wakeup_ms(now_ms)
        actions = scheduler.decide(now_ms)
    assert len(actions) == 1


def test_job_is_rejected_when_its_capacity_is_withdrawn():
    scheduler = scheduler_of(GUEST)
    scheduler.add_waiting(job("blocker", "guest", 8), 0)
    run(scheduler, 0)
    scheduler.add_waiting(job("large", "guest", 8), 1)
    assert of_type(run(scheduler, 1), Reject) == []
    smaller = configuration_of(GUEST, racks=(Rack("r1", ("w1",), 4),), revision=2)
    scheduler.set_configuration(smaller, 2)
    (reject,) = of_type(run(scheduler, 2), Reject)
    assert (reject.job_id, reject.reason) == ("large", Reason.NEVER_FITS)


def test_smaller_job_moves_to_free_a_whole_worker():
    scheduler = scheduler_of(GUEST)
    for job_id, worker in (("a", "w1"), ("b", "w2")):
        spec = job(job_id, "guest", 1)
        scheduler.set_running(spec, (Grant(worker, (0,)),), 0)
    large = job("large", "guest", 4, False, adjacency=Adjacency.WORKER)
    scheduler.add_waiting(large, 1_000)
    now_ms = 1_000
    moves = []
    while not moves and now_ms < 60_000:
        moves = of_type(run(scheduler, now_ms), Move)
        now_ms += 500
    scheduler.remove(moves[0].job_id, now_ms)
    scheduler.add_waiting(job(moves[0].job_id, "guest", 1), now_ms, 1)
    placed = {p.spec.job_id: p.grants for p in of_type(run(scheduler, now_ms), Place)}
    assert len(placed["large"]) == 1
    assert placed[moves[0].job_id][0].worker != placed["large"][0].worker


def test_burst_and_mass_cancellation_search_once_for_equivalent_jobs(monkeypatch):
    searches = []

    class CountingSearch(scheduling_rounds.PlacementSearch):
        def __init__(self, state, reservations, spec, now_ms):
            searches.append(spec.job_id)
            super().__init__(state, reservations, spec, now_ms)

    monkeypatch.setattr(scheduling_rounds, "PlacementSearch", CountingSearch)
    scheduler = scheduler_of(GUEST)
    for number in range(10_000):
        scheduler.add_waiting(job(f"j{number}", "guest", 1 + number % 2), 0)
    placed = len(run(scheduler, 0))
    tiers_and_sizes = 2 * 2
    assert len(searches) <= 2 * placed + tiers_and_sizes
    searches.clear()
    for number in range(9_000):
        scheduler.remove(f"j{number + 500}", 1)
    assert run(scheduler, 1) == ()
    assert len(searches) <= tiers_and_sizes


def test_new_scheduler_adopts_running_work_and_continues():
    first = scheduler_of(OWNER, GUEST)
    specs = [job("o", "owner", 4, False), job("g", "guest", 3)]
    for spec in specs:
        first.add_waiting(spec, 0)
    placed = run(first, 0)
    second = scheduler_of(OWNER, GUEST)
    for place in placed:
        second.set_running(place.spec, place.grants, 10)
    assert second.decide(10) == ()
    assert second.guarantees() == first.guarantees()
    second.add_waiting(job("more", "guest", 1), 11)
    (place,) = run(second, 11)
    assert {place.grants[0].worker}.isdisjoint({placed[0].grants[0].worker})


def test_admission_and_home_are_pure_functions_of_the_configuration():
    far = DataCentre("far", "away", (Rack("r2", ("v1", "v2", "v3"), 4),))
    near = DataCentre("dc", "home", (RACK,))
    owner = Organisation(
        "owner",
        guarantees=(Shape("dc", 4, Adjacency.WORKER),),
        home_region="home",
        quota_accelerators=10,
    )
    configuration = Configuration(1, {"owner": owner}, {"far": far, "dc": near})
    assert home_data_centre(job("a", "owner", 4), configuration) == "dc"
    assert home_data_centre(job("b", "owner", 10), configuration) == "far"
    assert fits_catalogue(job("b", "owner", 10), configuration)
    assert not fits_catalogue(job("c", "owner", 10, False), configuration)
    assert not fits_catalogue(job("d", "owner", 11), configuration)
    assert not fits_catalogue(job("e", "nobody", 1), configuration)
    wide = job("f", "owner", 5, adjacency=Adjacency.WORKER)
    assert not fits_catalogue(wide, configuration)


def test_home_changes_only_for_a_clear_gain():
    assert better_home_data_centre({"a": 100, "b": 90}, {}, "a") is None
    assert better_home_data_centre({"a": 100, "b": 60}, {}, "a") == "b"
    assert better_home_data_centre({"a": 100, "b": 60}, {"b": 1}, "a") is None
    assert better_home_data_centre({"b": 60}, {"b": 9}, "a") == "b"
    assert better_home_data_centre({}, {}, "a") is None


def test_non_reclaimable_group_that_no_region_can_hold_never_fits():
    other = Organisation("other", guarantees=(Shape("dc", 4, Adjacency.RACK),))
    configuration = configuration_of(OWNER, other)
    assert fits_catalogue(job("a", "owner", 4, False), configuration)
    assert not fits_catalogue(job("b", "owner", 5, False), configuration)
    assert fits_catalogue(job("c", "owner", 5), configuration)
