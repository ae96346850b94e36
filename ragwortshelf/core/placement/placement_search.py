"""Finds accelerators for one waiting job, within its guarantee or beyond it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..model import Adjacency, Grant, JobSpec, Priority
from .active_jobs import ActiveJob
from .packing import find_group
from .pool import PoolRack, PoolWorker
from .reservations import AcceleratorReservations
from .state import DataCentreState
from .victims import ReclaimPlan, plan_reclaim

__all__ = ["Placement", "PlacementSearch"]

# Returns the indices of the accelerators that a worker can provide for the job.
IndexSelector = Callable[[PoolWorker], list[int]]


@dataclass(frozen=True, slots=True)
class Placement:
    """Accelerators for a job, the claim it makes, and the jobs to stop for it first.

    ``reason`` and ``passed_over`` go to the decision log.
    """

    grants: tuple[Grant, ...]
    claim: tuple[Grant, ...]
    reason: str
    passed_over: tuple[str, ...] = ()
    victims: tuple[ActiveJob, ...] = ()


class PlacementSearch:
    """Read-only search for a placement of one job in the state at ``now_ms``."""

    def __init__(
        self,
        state: DataCentreState,
        reservations: AcceleratorReservations,
        spec: JobSpec,
        now_ms: int,
    ) -> None:
        self._state = state
        self._reservations = reservations
        self._spec = spec
        self._now_ms = now_ms
        self._avoided_workers = self._workers_to_avoid()
        regions = state.witness.accelerators_by_organisation
        self._region = regions.get(spec.organisation, {})

    def _workers_to_avoid(self) -> frozenset[str]:
        """Return the workers on which the job has failed, if it fits on the others.

        Otherwise no worker is avoided, since the job would wait for ever and it would
        remain unknown whether the job or the worker is at fault.
        """
        state, spec = self._state, self._spec
        failed = state.quarantine.failed_workers(spec.job_id)
        if not failed:
            return failed
        parts = find_group(
            state.pool,
            lambda worker: 0 if worker.name in failed else worker.size,
            spec.accelerators,
            spec.adjacency,
            state.policy,
        )
        return frozenset() if parts is None else failed

    def within_guarantee(self) -> Placement | str:
        """Return a placement within the guarantee, or why there is none."""
        if not self._region:
            return "nothing is promised here"
        claim = (
            None
            if self._has_too_few_unclaimed()
            else self._find_grants(self._claimable)
        )
        if claim is None:
            return "the guarantee is in use by the organisation itself"
        free = self._best_free_placement(claim)
        if free is not None:
            return free
        passed_over = ("free accelerators: they do not fit",)
        plan = self._cheapest_reclaim()
        if plan is None:
            return "placed work on the region has not started yet"
        is_inside_region = all(
            index in self._region.get(grant.worker, ())
            for grant in plan.grants
            for index in grant.accelerators
        )
        return Placement(
            plan.grants,
            plan.grants if is_inside_region else claim,
            f"reclaims at a cost of {plan.cost_ms} accelerator-ms",
            passed_over,
            plan.victims,
        )

    def _has_too_few_unclaimed(self) -> bool:
        """Return whether the region has too few unclaimed accelerators for the job.

        It is false for urgent work, which may take claims over.
        """
        spec = self._spec
        if spec.priority is Priority.URGENT:
            return False
        state = self._state
        size = state.witness.size_by_organisation.get(spec.organisation, 0)
        claimed = state.active_jobs.claimed_by_organisation.get(spec.organisation, 0)
        return size - claimed < spec.accelerators

    def fragmentation_cost(self, grants: tuple[Grant, ...]) -> float:
        """Return the sum of the policy's scores over the workers of the grants."""
        workers = self._state.pool.workers_by_name
        return sum(
            self._state.policy.place_score(
                workers[grant.worker].free,
                len(grant.accelerators),
                workers[grant.worker].size,
            )
            for grant in grants
        )

    def _best_free_placement(self, claim: tuple[Grant, ...]) -> Placement | None:
        """Return the better of a free placement inside the region and one outside.

        Placements partly inside are not considered, since a job with a claim has to
        claim every accelerator of the region that it holds.
        """
        inside = self._find_grants(self._free_inside)
        outside = None
        if self._spec.is_reclaimable:
            outside = self._find_grants(self._free_outside)
        else:
            outside = self._find_grants(self._free_for_non_reclaimable)
            claim = () if outside is None else self.claim_within_region(outside)
        if inside is None and outside is None:
            return None
        if inside is not None and (
            outside is None
            or self.fragmentation_cost(inside) <= self.fragmentation_cost(outside)
        ):
            return Placement(inside, inside, "free in the organisation's region")
        return Placement(outside, claim, "free outside the organisation's region")

    def beyond_guarantee(self) -> Placement | str:
        """Return a placement that may borrow accelerators, or why there is none."""
        spec = self._spec
        if spec.is_reclaimable:
            grants = self._find_grants(self._free_to_borrow)
        else:
            grants = self._find_grants(self._free_for_non_reclaimable)
        if grants is None and spec.priority is Priority.URGENT:
            reclaimed = self._reclaim_for_urgent()
            if reclaimed is not None:
                return reclaimed
        if grants is None:
            return self._blocked_reason()
        claim = () if spec.is_reclaimable else self.claim_within_region(grants)
        return Placement(grants, claim, "tightest fit among free accelerators")

    def _reclaim_for_urgent(self) -> Placement | None:
        """Return a placement that reclaims borrowed work for urgent work.

        The organisation must stay within its fair share. Without that limit, an
        organisation that marks all its work as urgent would take every accelerator that
        others borrow.
        """
        spec = self._spec
        if not self._state.is_within_fair_share(spec.organisation, spec.accelerators):
            return None
        plan = self._plan(self._usable_holder_outside)
        if plan is None:
            return None
        reason = f"urgent; reclaims at a cost of {plan.cost_ms} accelerator-ms"
        claim = self.claim_within_region(plan.grants)
        return Placement(
            plan.grants, claim, reason, ("free accelerators: no fit",), plan.victims
        )

    def may_use(self, worker: PoolWorker, index: int) -> bool:
        """Return whether the job may use the accelerator once it is free.

        Backoff and suspicion of the worker are ignored, since they are temporary.
        """
        if not worker.is_open or worker.name in self._avoided_workers:
            return False
        return self._state.permits(self._spec, worker.name, index)

    def _find_grants(self, indices: IndexSelector) -> tuple[Grant, ...] | None:
        spec = self._spec
        parts = find_group(
            self._state.pool,
            lambda worker: len(indices(worker)),
            spec.accelerators,
            spec.adjacency,
            self._state.policy,
            self._racks(indices),
        )
        if parts is None:
            return None
        return tuple(
            Grant(worker.name, tuple(indices(worker)[:count]))
            for worker, count in parts
        )

    def _racks(self, indices: IndexSelector) -> list[PoolRack]:
        """Return the racks to search, omitting those that cannot contribute."""
        pool = self._state.pool
        if indices in (self._claimable, self._free_inside):
            names = {
                pool.workers_by_name[worker].rack.name: None
                for worker in self._region
                if worker in pool.workers_by_name
            }
            return [pool.racks_by_name[name] for name in names]
        min_open_free = self._spec.accelerators
        if self._spec.adjacency is Adjacency.DATA_CENTRE:
            min_open_free = 1
        return [r for r in pool.racks_by_name.values() if r.open_free >= min_open_free]

    def _may_receive(self, worker: PoolWorker) -> bool:
        return worker.name not in self._avoided_workers and self._state.may_receive(
            worker, self._now_ms
        )

    def _free_inside(self, worker: PoolWorker) -> list[int]:
        if worker.free == 0 or not self._may_receive(worker):
            return []
        return [
            index
            for index in self._region.get(worker.name, ())
            if worker.holder_by_index[index] is None
            and self._may_claim(worker.name, index)
        ]

    def _claimable(self, worker: PoolWorker) -> list[int]:
        if not self._may_receive(worker):
            return []
        return [
            index
            for index in self._region.get(worker.name, ())
            if self._may_claim(worker.name, index)
            and self._reclaimable_holder(worker, index, True) is not None
        ]

    def _free_outside(self, worker: PoolWorker) -> list[int]:
        if worker.open_free == 0 or not self._may_receive(worker):
            return []
        region = self._region.get(worker.name, ())
        return [
            index
            for index in worker.free_indices()
            if index not in region
            and not self._reservations.blocks(self._spec, worker.name, index, True)
        ]

    def _free_to_borrow(self, worker: PoolWorker) -> list[int]:
        if worker.open_free == 0 or not self._may_receive(worker):
            return []
        free = worker.free_indices()
        if not self._reservations.has_any:
            return free
        return [
            index
            for index in free
            if not self._reservations.blocks(self._spec, worker.name, index, False)
        ]

    def _free_for_non_reclaimable(self, worker: PoolWorker) -> list[int]:
        if worker.open_free == 0 or not self._may_receive(worker):
            return []
        return [
            index
            for index in worker.free_indices()
            if self.may_use(worker, index)
            and self._may_claim(worker.name, index)
            and not self._reservations.blocks(self._spec, worker.name, index, True)
        ]

    def _may_claim(self, worker: str, index: int) -> bool:
        """Return whether the job may claim the accelerator.

        Urgent work may take over the claim of a less urgent job of its organisation
        that can be stopped.
        """
        # After a failure, the witness may overlap another organisation's home region.
        if not self._state.permits(self._spec, worker, index):
            return False
        is_urgent = self._spec.priority is Priority.URGENT
        if not is_urgent and self._reservations.blocks(self._spec, worker, index, True):
            return False
        active_jobs = self._state.active_jobs
        claimant = active_jobs.claimant_by_accelerator.get((worker, index))
        if claimant is None:
            return True
        job = active_jobs.job_by_id[claimant]
        return (
            is_urgent
            and job.can_be_stopped
            and job.spec.priority is not Priority.URGENT
        )

    def _reclaimable_holder(
        self, worker: PoolWorker, index: int, is_inside: bool
    ) -> str | None:
        """Return "" if the accelerator is free, its holder if reclaimable, else None.

        Inside the job's region, every job that can be stopped may be reclaimed.
        Outside, only borrowed work may be reclaimed, and urgent work may not reclaim
        other urgent work.
        """
        holder = worker.holder_by_index[index]
        if holder is None:
            return ""
        active_jobs = self._state.active_jobs
        if (worker.name, index) in active_jobs.target_by_accelerator:
            return None
        job = active_jobs.job_by_id.get(holder)
        if job is None or not job.can_be_stopped:
            return None
        if is_inside:
            return holder
        if job.claim or job.spec.priority <= self._spec.priority is Priority.URGENT:
            return None
        return holder

    def _cheapest_reclaim(self) -> ReclaimPlan | None:
        inside = self._plan(self._usable_holder_inside, set(self._region))
        outside = None
        if self._spec.is_reclaimable:
            outside = self._plan(self._usable_holder_outside)
        plans = [plan for plan in (inside, outside) if plan is not None]
        return min(plans, key=lambda plan: plan.cost_ms, default=None)

    def _plan(
        self,
        usable_holder: Callable[[PoolWorker, int], str | None],
        within: set[str] | None = None,
    ) -> ReclaimPlan | None:
        return plan_reclaim(
            self._state.pool,
            usable_holder,
            self._state.active_jobs.job_by_id,
            self._spec.accelerators,
            self._spec.adjacency,
            self._now_ms,
            within,
        )

    def _usable_holder_inside(self, worker: PoolWorker, index: int) -> str | None:
        region = self._region.get(worker.name)
        if region is None or index not in region or not self._may_receive(worker):
            return None
        if not self._may_claim(worker.name, index):
            return None
        return self._reclaimable_holder(worker, index, True)

    def _usable_holder_outside(self, worker: PoolWorker, index: int) -> str | None:
        if index in self._region.get(worker.name, ()):
            return None
        if not self._may_receive(worker) or not self.may_use(worker, index):
            return None
        if self._reservations.blocks(self._spec, worker.name, index, True):
            return None
        return self._reclaimable_holder(worker, index, False)

    def claim_within_region(self, grants: tuple[Grant, ...]) -> tuple[Grant, ...]:
        """Return the claim for grants that were found without one.

        Non-reclaimable work claims every accelerator of its region that it holds; other
        work claims its grants only if all of them are inside the region.
        """
        parts = []
        for grant in grants:
            region = self._region.get(grant.worker, ())
            indices = tuple(i for i in grant.accelerators if i in region)
            if indices:
                parts.append(Grant(grant.worker, indices))
        count = sum(len(grant.accelerators) for grant in parts)
        if self._spec.is_reclaimable and count < self._spec.accelerators:
            return ()
        return tuple(parts)

    def _blocked_reason(self) -> str:
        spec = self._spec
        free = self._state.pool.open_free
        if free < spec.accelerators:
            return f"{free} accelerators are free, {spec.accelerators} are needed"
        if not spec.is_reclaimable:
            return "it cannot be stopped, and too little is free where it may run"
        return f"{free} free accelerators are not adjacent by {spec.adjacency}"
