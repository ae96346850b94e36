"""Frees accelerators for groups that have been blocked for long.

Either smaller jobs are moved elsewhere, or smaller borrowed work is reclaimed, for
which accelerators may be reserved.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from ..model import JobSpec
from .ledger import Accelerator, ActiveJob, accelerators_of
from .placer import Placement, PlacementSearch
from .pool import PoolWorker
from .reservations import Reservation, Reservations
from .state import State
from .victims import STOP_COST_MS, ReclaimPlan, plan_reclaim
from .waiting import GroupKey, WaitingJob

__all__ = ["BlockedGroups"]

DEFAULT_RESERVATION_AFTER_MS = 30_000
RESERVATION_RENEWAL_MS = 120_000
RESERVED_ORGANISATIONS_MAX = 8
HEADS_PER_SCAN_MAX = 8
MOVE_AFTER_MS = 1_000
MOVED_JOB_MIN_RUN_MS = 5_000
# Fraction of stops in which the last checkpoint is not completed.
CHECKPOINT_LOSS_PROBABILITY = 0.1
MIN_GROUP_ACCELERATORS = 2
SCAN_INTERVAL_MS = 500


class BlockedGroups:
    """Scans the jobs that have been blocked longest, a limited number at a time.

    `unblock` yields what can be done at once. Smaller jobs that can continue elsewhere
    are moved if the waiting time saved outweighs the work lost; otherwise smaller
    borrowed work is reclaimed, on reserved accelerators if need be.
    """

    def __init__(self, state: State, reservations: Reservations) -> None:
        self._state = state
        self._reservations = reservations
        self._next_scan_ms = 0
        self.next_wakeup_ms: int | None = None

    def unblock(self, now_ms: int) -> Iterator[tuple[WaitingJob, Placement, bool]]:
        """Yield (job, placement, whether other jobs move for it) for jobs to place.

        The caller must commit each placement before it requests the next one.
        """
        if now_ms < self._next_scan_ms:
            self.next_wakeup_ms = self._next_scan_ms
            return
        self._next_scan_ms = now_ms + SCAN_INTERVAL_MS
        self.next_wakeup_ms = None
        after_ms = int(
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
            found = None
            if waited_ms >= MOVE_AFTER_MS:
                found = self._plan_move(waiting, search, now_ms)
            if found is not None:
                yield waiting, found, True
                continue
            if waited_ms >= after_ms and self._may_reserve(waiting.spec):
                found = self._reclaim_or_reserve(waiting.spec, search, now_ms)
                if found is not None:
                    yield waiting, found, False
                    continue
            self._wake_at(self._next_scan_for(waiting, after_ms, now_ms))

    def _next_scan_for(self, waiting: WaitingJob, after_ms: int, now_ms: int) -> int:
        """Return when to scan the job again if no event occurs before."""
        waited_ms = now_ms - waiting.since_ms
        if waited_ms < MOVE_AFTER_MS:
            return waiting.since_ms + MOVE_AFTER_MS
        if waited_ms < after_ms:
            return min(waiting.since_ms + after_ms, now_ms + MOVE_AFTER_MS)
        return now_ms + MOVE_AFTER_MS

    def _wake_at(self, at_ms: int) -> None:
        if self.next_wakeup_ms is None or at_ms < self.next_wakeup_ms:
            self.next_wakeup_ms = at_ms

    def _oldest_blocked_jobs(self) -> list[WaitingJob]:
        """Return the oldest waiting jobs, at most one for each search key.

        Jobs with the same search key are blocked alike. The number of jobs returned
        is limited to bound the time of a scan.
        """
        head_by_search: dict[tuple[str, GroupKey], WaitingJob] = {}
        for name, groups in self._state.waiting.groups_by_organisation.items():
            for group in groups.values():
                if self._state.over_quota(name, group.key.accelerators):
                    continue
                key = (name, group.key.search_key)
                known = head_by_search.get(key)
                if known is None or group.head.since_ms < known.since_ms:
                    head_by_search[key] = group.head
        return heapq.nsmallest(
            HEADS_PER_SCAN_MAX,
            head_by_search.values(),
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
        if spec.accelerators < MIN_GROUP_ACCELERATORS:
            return False
        known = self._reservations.by_organisation.get(spec.organisation)
        if known is not None:
            return known.is_for(spec)
        return len(self._reservations.by_organisation) < RESERVED_ORGANISATIONS_MAX

    def _plan_move(
        self, waiting: WaitingJob, search: PlacementSearch, now_ms: int
    ) -> Placement | None:
        """Return a placement that smaller jobs make possible by moving, if it pays.

        It pays if the job's accelerator-milliseconds of waiting, weighted by the
        policy, outweigh the cost of stopping the moved jobs.
        """
        state = self._state
        spec = waiting.spec
        free = state.pool.open_free + state.free_elsewhere
        if not state.policy.defragments or free < spec.accelerators:
            return None

        largest = max(1, spec.accelerators // 2)

        def usable(worker: PoolWorker, index: int) -> str | None:
            if not search.permitted(worker, index):
                return None
            if self._reservations.blocks(spec, worker.name, index, True):
                return None
            holder = self._smaller_holder(spec, worker, index, largest)
            if holder and self._has_just_started(holder, now_ms):
                return None
            return holder

        plan = plan_reclaim(
            state.pool,
            usable,
            state.ledger.job_by_id,
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
        if moved > largest or cost > state.policy.move_gain_weight * gain:
            return None
        claim = search.claim_within_region(plan.grants)
        reason = f"moves {moved} accelerators of smaller work that fits elsewhere"
        return Placement(plan.grants, claim, reason, victims=plan.victims)

    def _reclaim_or_reserve(
        self, spec: JobSpec, search: PlacementSearch, now_ms: int
    ) -> Placement | None:
        """Reclaim smaller borrowed work if that suffices, else reserve accelerators."""
        found = self._reclaim_smaller(spec, search, None, now_ms)
        if found is not None:
            return found
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
        """Return a placement that reclaims smaller borrowed work.

        ``within`` limits it to those accelerators; None allows all of them.
        """
        state = self._state

        def usable(worker: PoolWorker, index: int) -> str | None:
            if within is not None and (worker.name, index) not in within:
                return None
            if not search.permitted(worker, index):
                return None
            if self._reservations.blocks(spec, worker.name, index, True):
                return None
            return self._smaller_holder(spec, worker, index, spec.accelerators - 1)

        plan = plan_reclaim(
            state.pool,
            usable,
            state.ledger.job_by_id,
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
        started_ms = self._state.ledger.job_by_id[job_id].started_ms
        return now_ms - started_ms < MOVED_JOB_MIN_RUN_MS

    def _smaller_holder(
        self, spec: JobSpec, worker: PoolWorker, index: int, largest: int
    ) -> str | None:
        """Return "" if free, the holder if it may be reclaimed, else None.

        ``largest`` is the size up to which a job may be reclaimed.
        """
        holder = worker.holder_by_index[index]
        if holder is None:
            return ""
        ledger = self._state.ledger
        if (worker.name, index) in ledger.target_by_accelerator:
            return None
        job = ledger.job_by_id.get(holder)
        if job is None or not job.can_be_stopped or job.spec.accelerators > largest:
            return None
        if job.spec.priority < spec.priority:
            return None
        if job.claim and job.spec.organisation != spec.organisation:
            return None
        return holder

    def _remaining_work(self, spec: JobSpec, job: ActiveJob, now_ms: int) -> int:
        """Return the expected remaining work that cannot be reclaimed for ``spec``.

        It is in accelerator-milliseconds, over the accelerators that ``spec`` needs.
        It rests on learned run times, so it is used only to compare locations and never
        to decide when something starts.
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

        None means that the job fits nowhere as things stand.
        """
        plan = self._least_blocked_plan(spec, search, now_ms)
        return None if plan is None else plan.cost_ms

    def _least_blocked_plan(
        self, spec: JobSpec, search: PlacementSearch, now_ms: int
    ) -> ReclaimPlan | None:
        state = self._state
        owners = state.witness.owner_by_accelerator

        def usable(worker: PoolWorker, index: int) -> str | None:
            place = (worker.name, index)
            if not search.permitted(worker, index):
                return None
            if self._reservations.is_reserved(place, spec.organisation):
                return None
            holder = worker.holder_by_index[index]
            if holder is None:
                return ""
            job = state.ledger.job_by_id.get(holder)
            is_on_own_region = (
                job is not None and owners.get(place) == job.spec.organisation
            )
            if job is None or (
                is_on_own_region and job.spec.organisation != spec.organisation
            ):
                return None
            return holder

        return plan_reclaim(
            state.pool,
            usable,
            state.ledger.job_by_id,
            spec.accelerators,
            spec.adjacency,
            now_ms,
            extra_cost=lambda job: self._remaining_work(spec, job, now_ms),
        )
