"""The witness and the scheduler against an exhaustive search on small pools."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ragwortshelf.core.model import (
    Adjacency,
    Configuration,
    DataCentre,
    JobSpec,
    Organisation,
    Priority,
    Rack,
    Shape,
)
from ragwortshelf.core.placement import (
    DataCentreScheduler,
    Move,
    Place,
    Reclaim,
    Reject,
)
from ragwortshelf.core.placement.regions import home_regions
from ragwortshelf.core.placement.shape_assignment import (
    Domain,
    assign_shapes,
    shape_units,
)

RACKS = (Rack("r1", ("w1", "w2"), 2), Rack("r2", ("w3", "w4"), 2))
RACK_BY_WORKER = {worker: rack.name for rack in RACKS for worker in rack.workers}
SHAPES = [
    Shape("dc", 1, Adjacency.WORKER),
    Shape("dc", 2, Adjacency.WORKER),
    Shape("dc", 2, Adjacency.RACK),
    Shape("dc", 3, Adjacency.RACK),
    Shape("dc", 4, Adjacency.RACK),
    Shape("dc", 3, Adjacency.DATA_CENTRE),
]


def is_adjacent(accelerators, adjacency):
    workers = {worker for worker, _ in accelerators}
    racks = {RACK_BY_WORKER[worker] for worker in workers}
    if adjacency is Adjacency.WORKER:
        return len(workers) == 1
    return adjacency is Adjacency.DATA_CENTRE or len(racks) == 1


def brute_force_witness_exists(units, eligible_by_accelerator):
    """Return whether all units can be assigned, trying every set of accelerators.

    ``eligible_by_accelerator`` holds the organisation that may use each accelerator,
    "" for any and None for none.
    """
    if not units:
        return True
    unit, rest = units[0], units[1:]
    usable = [
        accelerator
        for accelerator, organisation in eligible_by_accelerator.items()
        if organisation in ("", unit.organisation)
    ]
    return any(
        brute_force_witness_exists(
            rest,
            {
                accelerator: organisation
                for accelerator, organisation in eligible_by_accelerator.items()
                if accelerator not in chosen
            },
        )
        for chosen in itertools.combinations(usable, unit.shape.accelerators)
        if is_adjacent(chosen, unit.shape.adjacency)
    )


def configuration_of(shapes_by_name, revision=1, weight=1.0):
    organisations = {
        name: Organisation(name, guarantees=tuple(shapes))
        for name, shapes in shapes_by_name.items()
    }
    return Configuration(revision, organisations, {"dc": DataCentre("dc", "", RACKS)})


guarantees = st.fixed_dictionaries(
    {
        "a": st.lists(st.sampled_from(SHAPES), max_size=2),
        "b": st.lists(st.sampled_from(SHAPES), max_size=2),
    }
)


@settings(max_examples=300)
@given(
    guarantees,
    st.lists(st.sampled_from(["", "", "a", "b", None]), min_size=8, max_size=8),
)
def test_search_finds_an_assignment_exactly_when_one_exists(shapes, eligible):
    units = shape_units(configuration_of(shapes), "dc")
    places = [(worker, index) for worker in RACK_BY_WORKER for index in range(2)]
    eligible_by_accelerator = dict(zip(places, eligible, strict=True))
    domains = []
    for worker, rack in RACK_BY_WORKER.items():
        counts = {"": 0, "a": 0, "b": 0, None: 0}
        for index in range(2):
            counts[eligible_by_accelerator[worker, index]] += 1
        own = {"a": counts["a"], "b": counts["b"]}
        domains.append(Domain(worker, rack, counts[""], own))
    parts_by_unit, left_out = assign_shapes(units, domains)
    assert (not left_out) == brute_force_witness_exists(units, eligible_by_accelerator)
    for unit, parts in parts_by_unit.items():
        assert sum(count for _, count in parts) == unit.shape.accelerators
        assert is_adjacent([(w, 0) for w, _ in parts], unit.shape.adjacency)
    used_by_worker = dict.fromkeys(RACK_BY_WORKER, 0)
    for worker, count in itertools.chain.from_iterable(parts_by_unit.values()):
        used_by_worker[worker] += count
    assert max(used_by_worker.values()) <= 2


class SchedulerMachine(RuleBasedStateMachine):
    """Random events, checked against a model built only from the returned actions."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.number = 0
        self.scheduler = DataCentreScheduler("dc")
        self.closed = set()
        self.spec_by_id = {}
        self.grants_by_id = {}
        self.waiting = set()
        self.leaving = {}
        self.configuration = configuration_of({"a": [SHAPES[4]], "b": [SHAPES[1]]})
        self.scheduler.set_configuration(self.configuration, 0)
        for worker, rack in RACK_BY_WORKER.items():
            self.scheduler.set_worker(worker, rack, 2, 0)

    def eligible_by_accelerator(self):
        eligible = {(w, i): "" for w in RACK_BY_WORKER for i in range(2)}
        for job_id, grants in self.grants_by_id.items():
            spec = self.spec_by_id[job_id]
            for grant in grants:
                for index in grant.accelerators:
                    owner = "" if spec.is_reclaimable else spec.organisation
                    eligible[grant.worker, index] = owner
        return {
            accelerator: organisation
            for accelerator, organisation in eligible.items()
            if accelerator[0] not in self.closed
        }

    def has_witness(self):
        units = shape_units(self.configuration, "dc")
        return brute_force_witness_exists(units, self.eligible_by_accelerator())

    @rule(
        organisation=st.sampled_from("ab"),
        accelerators=st.integers(1, 5),
        adjacency=st.sampled_from(Adjacency),
        priority=st.sampled_from(Priority),
        is_reclaimable=st.booleans(),
    )
    def submit(self, organisation, accelerators, adjacency, priority, is_reclaimable):
        self.number += 1
        job_id = f"j{self.number}"
        spec = JobSpec(
            job_id,
            organisation,
            "dc",
            accelerators,
            adjacency,
            priority=priority,
            is_idempotent=is_reclaimable,
            is_checkpointable=is_reclaimable,
        )
        self.spec_by_id[job_id] = spec
        self.waiting.add(job_id)
        self.scheduler.add_waiting(spec, self.now_ms)

    @rule(step_ms=st.sampled_from([0, 100, 40_000]), fails=st.booleans())
    def decide(self, step_ms, fails):
        self.now_ms += step_ms
        had_witness = self.has_witness()
        for action in self.scheduler.decide(self.now_ms):
            if isinstance(action, Place):
                self.place(action, fails)
            elif isinstance(action, Reclaim | Move):
                assert action.job_id in self.grants_by_id
                assert self.spec_by_id[action.job_id].is_reclaimable
                self.leaving[action.job_id] = action.deadline_ms
            elif isinstance(action, Reject):
                self.waiting.remove(action.job_id)
        assert self.has_witness() or not had_witness

    def place(self, action, fails):
        job_id = action.spec.job_id
        held = {
            (grant.worker, index)
            for grants in self.grants_by_id.values()
            for grant in grants
            for index in grant.accelerators
        }
        chosen = [(g.worker, i) for g in action.grants for i in g.accelerators]
        assert job_id in self.waiting
        assert len(set(chosen)) == len(chosen) == action.spec.accelerators
        assert not held.intersection(chosen)
        assert is_adjacent(chosen, action.spec.adjacency)
        assert not self.closed.intersection(worker for worker, _ in chosen)
        if not action.spec.is_reclaimable:
            owners = home_regions(self.configuration, "dc").owner_by_accelerator
            for accelerator in chosen:
                assert owners.get(accelerator) in (None, action.spec.organisation)
        if fails:
            worker = action.grants[0].worker
            self.scheduler.placement_failed(job_id, worker, self.now_ms)
            return
        self.waiting.remove(job_id)
        self.grants_by_id[job_id] = action.grants
        self.scheduler.set_running(action.spec, action.grants, self.now_ms)

    @precondition(lambda self: self.leaving)
    @rule()
    def stop_reclaimed(self):
        for job_id in self.leaving:
            if self.grants_by_id.pop(job_id, None) is not None:
                self.scheduler.remove(job_id, self.now_ms)
                self.scheduler.add_waiting(self.spec_by_id[job_id], self.now_ms, 1)
                self.waiting.add(job_id)
        self.leaving.clear()

    @precondition(lambda self: self.grants_by_id)
    @rule(data=st.data())
    def end(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.grants_by_id)))
        del self.grants_by_id[job_id]
        self.leaving.pop(job_id, None)
        self.scheduler.remove(job_id, self.now_ms)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.waiting)))
        self.waiting.remove(job_id)
        self.scheduler.remove(job_id, self.now_ms)

    @rule(worker=st.sampled_from(sorted(RACK_BY_WORKER)))
    def close_or_open_worker(self, worker):
        self.closed ^= {worker}
        is_usable = worker not in self.closed
        self.scheduler.set_worker_usable(worker, is_usable, "down", self.now_ms)

    @rule(shapes=guarantees)
    def configure(self, shapes):
        revision = self.configuration.revision + 1
        self.configuration = configuration_of(shapes, revision)
        self.scheduler.set_configuration(self.configuration, self.now_ms)

    @invariant()
    def reports_shortage_exactly_when_there_is_one(self):
        statuses = self.scheduler.guarantees()
        assert len(statuses) == len(shape_units(self.configuration, "dc"))
        assert all(status.is_met for status in statuses) == self.has_witness()
        assert all(status.is_met or status.detail for status in statuses)

    @invariant()
    def waiting_jobs_are_known(self):
        for job_id in self.waiting:
            assert self.scheduler.explain(job_id).choice != "unknown"


SchedulerMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestScheduler = SchedulerMachine.TestCase


def test_non_reclaimable_work_stays_off_a_region_that_replaces_a_failed_one():
    machine = SchedulerMachine()
    machine.close_or_open_worker("w3")
    machine.submit("a", 1, Adjacency.WORKER, Priority.URGENT, False)
    machine.decide(0, False)
    machine.reports_shortage_exactly_when_there_is_one()
