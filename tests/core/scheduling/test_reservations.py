"""Room that is reserved for a unit that waits, and how long it keeps others out."""

from collections import Counter
from dataclasses import replace
from unittest import mock

import pytest
from harness import SMALL, Fleet
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from benchmarks import fleet_load
from benchmarks.fleet_load import ENDPOINT, KINDS, Arrival, FleetDay
from ragwortshelf.core.scheduling import EndpointInfo, JobSpec, Resources, Step
from ragwortshelf.core.scheduling.listings import EndpointListing
from ragwortshelf.core.scheduling.reservations import EXCLUSIVE_MAX_MS
from ragwortshelf.core.scheduling.unit import STARVATION_MS

WHOLE = Resources(8_000, 8_000, 8)

WAIT_MAX_MS = 3_000
"""Longest wait on an idle service that the platform allows."""


# Guards against small work that waits on an idle service for as long as the last run
# takes that is in the way of a gang.
@pytest.mark.parametrize("queue", ["p1", "p2"])
def test_small_work_waits_no_longer_than_allowed_behind_a_reservation(queue):
    fleet = Fleet(endpoints=4, guaranteed=0)
    fleet.submit("last", "p1", estimate_ms=60_000)
    fleet.accept_starts()
    fleet.submit("gang", "p1", "b", count=4, request=WHOLE, is_gang=True)
    fleet.submit("small", queue, "c", fleet.now, request=SMALL)
    fleet.wait(WAIT_MAX_MS)
    assert fleet.started_jobs() == {"small"}


# Guards against reservations that expire one after the other, so that at no time enough
# of the room is open.
def test_all_reservations_of_an_idle_service_are_open_at_the_same_time():
    fleet = Fleet(endpoints=6, racks=2, guaranteed=0)
    for rack in ("r0", "r1"):
        fleet.submit(f"last-{rack}", required_label=rack, estimate_ms=60_000)
    fleet.accept_starts()
    for n, rack in enumerate(("r0", "r1")):
        fleet.submit(
            f"gang-{rack}", "p1", "b", count=3, request=WHOLE, is_gang=True,
            required_label=rack,
        )  # fmt: skip
        fleet.wait(500 * (n + 1))
    two = {"count": 2, "request": WHOLE, "is_gang": True}
    fleet.submit("wide", "p2", "c", fleet.now, **two)
    fleet.wait(WAIT_MAX_MS)
    assert fleet.started_jobs() == {"wide"}


# Guards against room that is reserved for a gang although lasting work keeps the rest
# of it for good, which shut out all later work (case 5 of the review).
def test_room_that_lasting_work_occupies_is_not_awaited():
    fleet = Fleet(endpoints=4, guaranteed=0)
    three = Resources(3_000, 1_000, 3)
    fleet.submit(
        "lasting",
        count=4,
        request=three,
        is_long_running=True,
        tasks_per_endpoint_max=1,
    )
    fleet.accept_starts()
    six = Resources(6_000, 1_000, 6)
    fleet.submit("gang", "p1", "b", count=4, request=six, is_gang=True)
    for n in range(8):
        fleet.submit(f"small{n}", "p1", "c", fleet.now, request=SMALL)
    assert fleet.started_jobs() == {f"small{n}" for n in range(8)}


# Guards against lasting work that waits behind a reservation on a service that is more
# than half in use, where its wait counts as well.
def test_lasting_work_does_not_wait_behind_a_reservation_on_a_busy_service():
    fleet = Fleet(endpoints=4, guaranteed=0)
    fleet.submit("long", count=3, request=WHOLE, is_gang=True, estimate_ms=60_000)
    fleet.accept_starts()
    fleet.submit("gang", "p1", "b", count=4, request=WHOLE, is_gang=True)
    fleet.submit("small", "p2", "c", fleet.now, request=SMALL)
    fleet.submit("lasting", "p2", "c", fleet.now, request=SMALL, is_long_running=True)
    fleet.wait(WAIT_MAX_MS // 2)
    assert not fleet.starts
    fleet.wait(WAIT_MAX_MS // 2)
    assert fleet.starts[0].unit_key.job_id == "lasting"


# Guards against room that stays exclusive to a guaranteed gang for as long as a run
# that is being stopped does not end.
def test_room_is_exclusive_to_a_guaranteed_unit_for_a_short_time_only():
    fleet = Fleet(endpoints=3, guaranteed=24)
    fleet.submit("last", "p2", "b", request=WHOLE, estimate_ms=60_000)
    fleet.accept_starts()
    gang = {"count": 3, "request": WHOLE, "is_gang": True}
    fleet.submit("gang", "p0", "a", fleet.now, **gang)
    assert [stop.task for stop in fleet.stops] == ["last.0.0.0"]
    fleet.submit("small", "p0", "c", fleet.now, estimate_ms=10)
    submitted_ms = fleet.now
    for endpoint_id in fleet.running:
        fleet.list(endpoint_id)
    while not fleet.starts and fleet.now < submitted_ms + WAIT_MAX_MS:
        fleet.advance(100)
    assert fleet.started_jobs() == {"small"}
    assert fleet.now >= submitted_ms + EXCLUSIVE_MAX_MS


# Guards against a gang that waits for a rack although the fleet is idle.
def test_a_gang_leaves_its_rack_where_the_wait_would_be_too_long():
    fleet = Fleet(endpoints=8, racks=4, guaranteed=0)
    for n in range(4):
        fleet.submit(f"last{n}", required_label=f"r{n}", estimate_ms=60_000)
    fleet.accept_starts()
    gang = {"count": 2, "request": WHOLE, "is_gang": True, "is_rack_sensitive": True}
    fleet.submit("gang", "p2", "b", estimate_ms=20_000, **gang)
    fleet.wait(WAIT_MAX_MS // 2)
    assert not fleet.starts
    fleet.wait(WAIT_MAX_MS // 2)
    assert fleet.started_jobs() == {"gang"}


# Guards against large gangs that never start while small work keeps arriving, as their
# reservations are open to it again and again.
@pytest.mark.parametrize("queue", ["p1", "p2"])
@pytest.mark.parametrize("small_ms", [700, 10_000])
def test_a_large_gang_starts_in_the_end_on_an_idle_service(queue, small_ms):
    fleet = Fleet(endpoints=4, guaranteed=0)
    fleet.now = 10_000
    fleet.submit("s", "p2", "c", fleet.now, estimate_ms=small_ms)
    fleet.accept_starts()
    gang = {"count": 4, "request": WHOLE, "is_gang": True}
    fleet.submit("gang", queue, "b", fleet.now, **gang)
    submitted_ms = fleet.now
    while fleet.now < submitted_ms + STARVATION_MS + 5_000:
        fleet.submit(f"s{fleet.now}", "p2", "c", fleet.now, estimate_ms=small_ms)
        fleet.wait(500)
        if "gang" in fleet.started_jobs():
            break
        fleet.accept_starts()
        fleet.end_runs_of(small_ms)
    assert "gang" in fleet.started_jobs()


_LARGE = st.builds(
    Step,
    count=st.integers(2, 6),
    request=st.sampled_from([Resources(2_000, 2_000, n) for n in (4, 6, 8)]),
    estimate_ms=st.integers(300, 10_000),
    is_gang=st.just(True),
    is_rack_sensitive=st.booleans(),
    is_checkpointing=st.booleans(),
    required_label=st.sampled_from(["", "", "r0"]),
    tasks_per_endpoint_max=st.integers(0, 2),
)

_SMALL = st.builds(
    Step,
    count=st.integers(1, 3),
    request=st.sampled_from([Resources(2_000, 2_000, n) for n in (1, 2, 3)]),
    estimate_ms=st.integers(300, 60_000),
    is_gang=st.booleans(),
    is_checkpointing=st.booleans(),
    is_long_running=st.sampled_from([False, False, True]),
    required_label=st.sampled_from(["", "", "r0", "r1"]),
    preferred_rack=st.sampled_from(["", "", "r0", "r1"]),
    tasks_per_endpoint_max=st.integers(0, 2),
)

_JOBS = st.lists(
    st.tuples(
        st.one_of(_LARGE, _SMALL),
        st.integers(0, 2),
        st.integers(0, 8_000),
        st.floats(0.3, 3),
        st.integers(0, 3),
    ),
    min_size=3,
    max_size=12,
)
"""Steps with their priority, arrival (ms), work in estimates, and organisation."""

LASTING_MS = 10**7


class _RuleDay(FleetDay):
    """A day that notes for how long work waits that the platform's rule names.

    It looks at what runs on the simulated endpoints, and not at the scheduler.
    """

    def __init__(self, arrivals, endpoints, endpoints_per_rack=3):
        self._endpoints_per_rack = endpoints_per_rack
        super().__init__(arrivals, endpoints, guaranteed_gpus=270)
        self.since_ms_by_job = {}
        self.longest_wait_by_job = Counter()

    def _add_endpoint(self, n):
        super()._add_endpoint(n)
        name = f"e{n:03d}"
        rack = f"r{n // self._endpoints_per_rack}"
        info = EndpointInfo(name, "pool", name, "dc", ENDPOINT, ("a", rack))
        self.rack_by_id = getattr(self, "rack_by_id", {}) | {name: rack}
        self.scheduler.endpoint_updated(info, 0)
        self.scheduler.listing_received(EndpointListing(name, 1, 0), 0, 0)

    def _plan(self):
        super()._plan()
        free_by_id = {}
        running = set()
        used = Resources()
        for endpoint in self.endpoint_by_id.values():
            free = ENDPOINT
            for run in endpoint.runs.values():
                request = run.job.spec.steps[0].request
                used = used.plus(request)
                free = free.plus(request, -1)
                running.add(run.job.spec.id)
            free_by_id[endpoint.name] = free
        capacity = Resources().plus(ENDPOINT, len(free_by_id))
        spare = capacity.plus(used, -2)
        is_idle = min(spare.cpu_milli, spare.memory_mb, spare.gpus) > 0
        for job in self.arrivals:
            step = job.spec.steps[0]
            waits = (
                job.spec.accepted_wall_ms <= self.now_ms
                and job.open_tasks
                and job.spec.id not in running
                and (is_idle or step.is_long_running)
                and self._fits_twice(step, free_by_id)
            )
            if not waits:
                self.since_ms_by_job.pop(job.spec.id, None)
                continue
            since_ms = self.since_ms_by_job.setdefault(job.spec.id, self.now_ms)
            waited_ms = self.now_ms - since_ms
            longest_ms = max(self.longest_wait_by_job[job.spec.id], waited_ms)
            self.longest_wait_by_job[job.spec.id] = longest_ms

    def _fits_twice(self, step, free_by_id):
        count = step.count if step.is_gang else 1
        allowed = slots = 0
        for name, free in free_by_id.items():
            if step.required_label in ("", "a", self.rack_by_id[name]):
                fits = step.request.times_in(free)
                slots += fits
                allowed += min(fits, step.tasks_per_endpoint_max or fits)
        return slots >= 2 * count and allowed >= count


def _arrivals(jobs):
    arrivals = []
    for n, (step, priority, at_ms, factor, organisation) in enumerate(jobs):
        kind = replace(KINDS[priority], failing_share=0.0)
        job_id = f"{priority}{n:015x}"
        spec = JobSpec(
            job_id, kind.queue, "pool", f"o{organisation}", "", (step,), at_ms
        )
        work_ms = LASTING_MS if step.is_long_running else factor * step.estimate_ms
        work_ms_by_task = {f"{job_id}.0.0.{i}": work_ms for i in range(step.count)}
        arrivals.append(Arrival(kind, spec, work_ms_by_task, False))
    return arrivals


# Guards against every way in which the scheduler keeps work waiting on an idle service:
# reservations, racks, labels and limits for each endpoint, in any mix of priorities.
@given(_JOBS, st.integers(3, 7))
# To shrink a mix takes minutes.
@settings(phases=[Phase.explicit, Phase.reuse, Phase.generate])
def test_nothing_waits_on_an_idle_service(jobs, endpoints):
    # Few plans, so that the test takes little time.
    with mock.patch.object(fleet_load, "PLAN_GAP_MS", 50):
        day = _RuleDay(_arrivals(jobs), endpoints)
        day.run(20)
    late = {job: ms for job, ms in day.longest_wait_by_job.items() if ms > WAIT_MAX_MS}
    assert not late


# Guards against work on an idle service that waits while an urgent gang beyond its
# guarantee and long-running work stop each other again and again.
def test_nothing_waits_while_urgent_and_lasting_work_compete():
    def request(gpus):
        return Resources(2_000, 2_000, gpus)

    urgent = Step(
        3, request(8), 1_889, is_gang=True, is_rack_sensitive=True,
        required_label="r0", tasks_per_endpoint_max=1,
    )  # fmt: skip
    wide = Step(6, request(4), 688, is_gang=True, is_rack_sensitive=True)
    saving = Step(2, request(3), 9_133, is_checkpointing=True)
    gang = Step(
        3, request(2), 50_175, is_gang=True, is_checkpointing=True,
        tasks_per_endpoint_max=2,
    )  # fmt: skip
    jobs = [
        (urgent, 0, 4_957, 2.41, 0),
        (wide, 1, 5_304, 2.96, 3),
        (Step(3, request(1), 60_000, preferred_rack="r1"), 2, 7_359, 1.73, 3),
        (saving, 2, 146, 2.12, 1),
        (gang, 2, 7_999, 1.47, 3),
        (replace(gang, is_long_running=True), 1, 540, 2.65, 3),
    ]
    with mock.patch.object(fleet_load, "PLAN_GAP_MS", 50):
        day = _RuleDay(_arrivals(jobs), 4)
        day.run(20)
    assert max(day.longest_wait_by_job.values(), default=0) <= WAIT_MAX_MS
