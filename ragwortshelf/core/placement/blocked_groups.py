"""Frees accelerators for groups that have been blocked for long.

Smaller jobs are moved elsewhere or, for a group blocked even longer, smaller borrowed
work is reclaimed. If neither makes a placement possible, accelerators are reserved for
the group.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from ..model import JobSpec
from .active_jobs import Accelerator, ActiveJob, accelerators_of
from .placement_search import Placement, PlacementSearch
from .pool import PoolWorker
from .reservations import AcceleratorReservations, Reservation
from .state import DataCentreState
from .victims import STOP_COST_MS, ReclaimPlan, plan_reclaim
from .waiting_jobs import GroupKey, WaitingJob

__all__ = ["BlockedGroups"]

DEFAULT_RESERVATION_AFTER_MS = 30_000
RESERVATION_RENEWAL_MS = 120_000
RESERVATIONS_MAX = 8
JOBS_PER_SCAN_MAX = 8
MOVE_AFTER_MS = 1_000
MOVED_JOB_MIN_RUN_MS = 5_000
# Fraction of stops in which the last checkpoint is not completed.
CHECKPOINT_LOSS_PROBABILITY = 0.1
RESERVATION_MIN_ACCELERATORS = 2
SCAN_INTERVAL_MS = 500


class BlockedGroups:
    """Scans the jobs that have been blocked longest, a limited number at a time.

    Smaller jobs that can continue elsewhere are moved if the job's wait outweighs the
    work lost. Otherwise smaller borrowed work is reclaimed once the job has waited for
    the rule ``reservation_after_ms``; if that does not suffice, accelerators are
    reserved, and reclaimed as soon as no other work holds them.
    """

    def __init__(
        self, state: DataCentreState, reservations: AcceleratorReservations
    ) -> None:
        self._state = state
        self._reservations = reservations
        self._next_scan_ms = 0
        self.next_wakeup_ms: int | None = None

    def unblock(self, now_ms: int) -> Iterator[tuple[WaitingJob, Placement, bool]]:
        """Yield (job, placement, is_move) for each job that can be unblocked now.

        ``is_move`` is true if the jobs to stop are moved rather than reclaimed. The
        caller must commit each placement before it requests the next one.
        """
        if now_ms < self._next_scan_ms:
            self.next_wakeup_ms = self._next_scan_ms
            return
        self._next_scan_ms = now_ms + SCAN_INTERVAL_MS
        self.next_wakeup_ms = None
        reserve_after_ms = int(
            self._state.configuration.rule(
                "reservation_after_ms", DEFAULT_RESERVATION_AFTER_MS
            )
        )
        self._drop_unneeded_reservations()
        for waiting in self._oldest_blocked_jobs():
            waited_ms = now_ms - waiting.since_ms
            search = PlacementSearch(
                self._state, self._reservations, waiting.spec, now_ms
            )
            placement = None
            if waited_ms >= MOVE_AFTER_MS:
                placement = self._plan_move(waiting, search, now_ms)
            if placement is not None:
                yield waiting, placement, True
                continue
            if waited_ms >= reserve_after_ms and self._may_reserve(waiting.spec):
                placement = self._reclaim_or_reserve(waiting.spec, search, now_ms)
                if placement is not None:
                    yield waiting, placement, False
                    continue
            self._wake_at(self._next_scan_for(waiting, reserve_after_ms, now_ms))

    def _next_scan_for(
        self, waiting: WaitingJob, reserve_after_ms: int, now_ms: int
    ) -> int:
        """Return when to scan the job again if no event occurs before."""
        waited_ms = now_ms - waiting.since_ms
        if waited_ms < MOVE_AFTER_MS:
            return waiting.since_ms + MOVE_AFTER_MS
        if waited_ms < reserve_after_ms:
            return min(waiting.since_ms + reserve_after_ms, now_ms + MOVE_AFTER_MS)
        return now_ms + MOVE_AFTER_MS

    def _wake_at(self, at_ms: int) -> None:
        if self.next_wakeup_ms is None or at_ms < self.next_wakeup_ms:
            self.next_wakeup_ms = at_ms

    def _oldest_blocked_jobs(self) -> list[WaitingJob]:
        """Return the oldest waiting jobs, at most one for each search key.

        A search has the same result for all jobs with the same key. The number of jobs
        returned is limited to bound the time of a scan.
        """
        job_by_search_key: dict[tuple[str, GroupKey], WaitingJob] = {}
        for name, groups in self._state.waiting.groups_by_organisation.items():
            for group in groups.values():
                if self._state.over_quota(name, group.key.accelerators):
                    continue
                key = (name, group.key.search_key)
                oldest = job_by_search_key.get(key)
                if oldest is None or group.head.since_ms < oldest.since_ms:
                    job_by_search_key[key] = group.head
        return heapq.nsmallest(
            JOBS_PER_SCAN_MAX,
            job_by_search_key.values(),
            key=lambda head: (head.since_ms, -head.spec.accelerators, head.spec.job_id),
        )

    def _drop_unneeded_reservations(self) -> None:
        """Release reservations that no waiting job can use any more."""
        for name, reservation in list(self._reservations.by_organisation.items()):
            groups = self._state.waiting.groups_by_organisation.get(name, {})
            heads = (group.head.spec for group in groups.values())
            if not any(reservation.is_for(spec) for spec in heads):
                self._reservations.drop(name)

    def _may_reserve(self, spec: JobSpec) -> bool:
        """Return whether the job may use or obtain its organisation's reservation."""
        if spec.accelerators < RESERVATION_MIN_ACCELERATORS:
            return False
        reservation = self._reservations.by_organisation.get(spec.organisation)
        if reservation is not None:
            return reservation.is_for(spec)
        return len(self._reservations.by_organisation) < RESERVATIONS_MAX

    def _plan_move(
        self, waiting: WaitingJob, search: PlacementSearch, now_ms: int
    ) -> Placement | None:
        """Return a placement that requires smaller jobs to move, if the gain suffices.

        The gain is the job's wait multiplied by its accelerators, weighted by the
        policy. It must be at least the cost of stopping the jobs to move, which
        together may hold at most half as many accelerators as the job. The free
        accelerators, here and elsewhere, must be as many as the job needs.
        """
        state = self._state
        spec = waiting.spec
        free = state.pool.open_free + state.free_elsewhere
        if not state.policy.defragments or free < spec.accelerators:
            return None

        max_accelerators = max(1, spec.accelerators // 2)

        def usable_holder(worker: PoolWorker, index: int) -> str | None:
            if not search.may_use(worker, index):
                return None
            if self._reservations.blocks(spec, worker.name, index, True):
                return None
            holder = self._smaller_holder(spec, worker, index, max_accelerators)
            if holder and self._has_just_started(holder, now_ms):
                return None
            return holder

        plan = plan_reclaim(
            state.pool,
            usable_holder,
            state.active_jobs.job_by_id,
            spec.accelerators,
            spec.adjacency,
            now_ms,
        )
        if plan is None or not plan.victims:
            return None
        moved = sum(victim.spec.accelerators for victim in plan.victims)
        unsaved = sum(victim.lost_accelerator_ms(now_ms) for victim in plan.victims)
        cost = STOP_COST_MS * moved + CHECKPOINT_LOSS_PROBABILITY * unsaved
        gain = (now_ms - waiting.since_ms) * spec.accelerators
        if moved > max_accelerators or cost > state.policy.move_gain_weight * gain:
            return None
        claim = search.claim_within_region(plan.grants)
        reason = f"moves {moved} accelerators of smaller work that fits elsewhere"
        return Placement(plan.grants, claim, reason, victims=plan.victims)

    def _reclaim_or_reserve(
        self, spec: JobSpec, search: PlacementSearch, now_ms: int
    ) -> Placement | None:
        """Reclaim smaller borrowed work if that suffices, else reserve accelerators.

        A reservation may allow a placement at once, which is then returned.
        """
        placement = self._reclaim_smaller(spec, search, None, now_ms)
        if placement is not None:
            return placement
        state = self._state
        reservation = self._reservations.by_organisation.get(spec.organisation)
        if (
            reservation is None
            or not reservation.is_for(spec)
            or now_ms >= reservation.until_ms
        ):
            reservation = self._choose_reservation(spec, search, now_ms)
            if reservation is None:
                return None
            owners = state.witness.owner_by_accelerator
            self._reservations.reserve(reservation, owners)
        return self._reclaim_smaller(spec, search, reservation.accelerators, now_ms)

    def _reclaim_smaller(
        self,
        spec: JobSpec,
        search: PlacementSearch,
        within: frozenset[Accelerator] | None,
        now_ms: int,
    ) -> Placement | None:
        """Return a placement that reclaims smaller borrowed work, None if none fits.

        It is limited to the accelerators ``within``, or not limited if that is None.
        """
        state = self._state

        def usable_holder(worker: PoolWorker, index: int) -> str | None:
            if within is not None and (worker.name, index) not in within:
                return None
            if not search.may_use(worker, index):
                return None
            if self._reservations.blocks(spec, worker.name, index, True):
                return None
            return self._smaller_holder(spec, worker, index, spec.accelerators - 1)

        plan = plan_reclaim(
            state.pool,
            usable_holder,
            state.active_jobs.job_by_id,
            spec.accelerators,
            spec.adjacency,
            now_ms,
            None if within is None else {worker for worker, _ in within},
        )
        if plan is None:
            return None
        claim = search.claim_within_region(plan.grants)
        reason = "blocked for long; reclaims smaller borrowed work"
        return Placement(plan.grants, claim, reason, victims=plan.victims)

    def _has_just_started(self, job_id: str, now_ms: int) -> bool:
        started_ms = self._state.active_jobs.job_by_id[job_id].started_ms
        return now_ms - started_ms < MOVED_JOB_MIN_RUN_MS

    def _smaller_holder(
        self, spec: JobSpec, worker: PoolWorker, index: int, max_accelerators: int
    ) -> str | None:
        """Return "" if the accelerator is free, its holder if reclaimable, else None.

        The holder must have at most ``max_accelerators`` and no higher priority than
        ``spec``. A holder with a claim must belong to the organisation of ``spec``.
        """
        holder = worker.holder_by_index[index]
        if holder is None:
            return ""
        active_jobs = self._state.active_jobs
        if (worker.name, index) in active_jobs.target_by_accelerator:
            return None
        job = active_jobs.job_by_id.get(holder)
        if (
            job is None
            or not job.can_be_stopped
            or job.spec.accelerators > max_accelerators
        ):
            return None
        if job.spec.priority < spec.priority:
            return None
        if job.claim and job.spec.organisation != spec.organisation:
            return None
        return holder

    def _waiting_cost(self, spec: JobSpec, job: ActiveJob, now_ms: int) -> int:
        """Return the cost of waiting for the end of the job, in accelerator-ms.

        It is the job's expected remaining run time, multiplied by the accelerators of
        ``spec``; it is 0 for smaller borrowed work, which can be reclaimed. It rests on
        learned run times, so it is used only to compare locations and never to decide
        when something starts.
        """
        if (
            job.can_be_stopped
            and job.is_borrowed
            and job.spec.accelerators < spec.accelerators
        ):
            return 0
        expected_ms = self._state.run_times.expected_ms(job.spec)
        remaining_ms = max(expected_ms // 4, expected_ms - (now_ms - job.started_ms))
        return remaining_ms * spec.accelerators

    def _choose_reservation(
        self, spec: JobSpec, search: PlacementSearch, now_ms: int
    ) -> Reservation | None:
        """Choose the accelerators with the least remaining non-reclaimable work."""
        plan = self._least_blocked_plan(spec, search, now_ms)
        if plan is None:
            return None
        accelerators = frozenset(accelerators_of(plan.grants))
        return Reservation(spec, accelerators, now_ms + RESERVATION_RENEWAL_MS)

    def blocking_cost(
        self, spec: JobSpec, search: PlacementSearch, now_ms: int
    ) -> int | None:
        """Return the cost of the least blocked location, in accelerator-ms.

        None means that the job would fit nowhere even after other work has ended.
        """
        plan = self._least_blocked_plan(spec, search, now_ms)
        return None if plan is None else plan.cost_ms

    def _least_blocked_plan(
        self, spec: JobSpec, search: PlacementSearch, now_ms: int
    ) -> ReclaimPlan | None:
        """Return the accelerators with the least work to wait for or to stop.

        Accelerators that others have reserved are excluded, and those that another
        organisation uses in its own region.
        """
        state = self._state
        owners = state.witness.owner_by_accelerator

        def usable_holder(worker: PoolWorker, index: int) -> str | None:
            accelerator = (worker.name, index)
            if not search.may_use(worker, index):
                return None
            if self._reservations.is_reserved(accelerator, spec.organisation):
                return None
            holder = worker.holder_by_index[index]
            if holder is None:
                return ""
            job = state.active_jobs.job_by_id.get(holder)
            is_in_own_region = (
                job is not None and owners.get(accelerator) == job.spec.organisation
            )
            if job is None or (
                is_in_own_region and job.spec.organisation != spec.organisation
            ):
                return None
            return holder

        return plan_reclaim(
            state.pool,
            usable_holder,
            state.active_jobs.job_by_id,
            spec.accelerators,
            spec.adjacency,
            now_ms,
            extra_cost=lambda job: self._waiting_cost(spec, job, now_ms),
        )
