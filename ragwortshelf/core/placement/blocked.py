"""Helps groups that have been blocked for long: moves for them, or a reservation."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from ..model import JobSpec
from .ledger import Accelerator, ActiveJob, accelerators_of
from .placer import Found, Placer
from .pool import PoolWorker
from .reservations import Reservation, Reservations
from .state import State
from .victims import STOP_COST_MS, ReclaimPlan, plan_reclaim
from .waiting import GroupKey, WaitingJob

__all__ = ["BlockedGroups"]

DEFAULT_RESERVATION_AFTER_MS = 30_000
RESERVATION_RENEWAL_MS = 120_000
RESERVED_ORGANISATIONS_MAX = 8
HEADS_PER_LOOK_MAX = 8
MOVE_AFTER_MS = 1_000
MOVED_JOB_MIN_RUN_MS = 5_000
UNSAVED_RISK = 0.1  # share of stops whose last checkpoint does not become whole
MIN_GROUP_ACCELERATORS = 2
LOOK_INTERVAL_MS = 500


class BlockedGroups:
    """Looks at the oldest blocked group of each organisation.

    `help` yields what can be done at once: a move of smaller work that can go on
    elsewhere, where the waiting that it ends is worth more than the work that it
    loses, or a reclaim of what borrows reserved accelerators.
    """

    def __init__(self, state: State, reservations: Reservations) -> None:
        self._state = state
        self._reservations = reservations
        self._next_look_ms = 0
        self.next_wakeup_ms: int | None = None

    def help(self, now_ms: int) -> Iterator[tuple[WaitingJob, Found, bool]]:
        """Yield (job, where it goes, whether by a move) for groups helped now.

        The caller carries out each before it asks for the next.
        """
        if now_ms < self._next_look_ms:
            self.next_wakeup_ms = self._next_look_ms
            return
        self._next_look_ms = now_ms + LOOK_INTERVAL_MS
        self.next_wakeup_ms = None
        after_ms = int(
            self._state.configuration.rule(
                "reservation_after_ms", DEFAULT_RESERVATION_AFTER_MS
            )
        )
        self._drop_outdated()
        for waiting in self._oldest_heads():
            waited_ms = now_ms - waiting.since_ms
            placer = Placer(self._state, self._reservations, waiting.spec, now_ms)
            found = None
            if waited_ms >= MOVE_AFTER_MS:
                found = self._move(waiting, placer, now_ms)
            if found is not None:
                yield waiting, found, True
                continue
            if waited_ms >= after_ms and self._may_reserve(waiting.spec):
                found = self._reserve(waiting.spec, placer, now_ms)
                if found is not None:
                    yield waiting, found, False
                    continue
            self._wake_at(self._next_look(waiting, after_ms, now_ms))

    def _next_look(self, waiting: WaitingJob, after_ms: int, now_ms: int) -> int:
        """Return when the job should be looked at again if no event comes."""
        waited_ms = now_ms - waiting.since_ms
        if waited_ms < MOVE_AFTER_MS:
            return waiting.since_ms + MOVE_AFTER_MS
        if waited_ms < after_ms:
            return min(waiting.since_ms + after_ms, now_ms + MOVE_AFTER_MS)
        return now_ms + MOVE_AFTER_MS

    def _wake_at(self, at_ms: int) -> None:
        if self.next_wakeup_ms is None or at_ms < self.next_wakeup_ms:
            self.next_wakeup_ms = at_ms

    def _oldest_heads(self) -> list[WaitingJob]:
        """Return the job that has waited longest for each search that failed.

        There are few different searches, and only the oldest heads are looked at.
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
            HEADS_PER_LOOK_MAX,
            head_by_search.values(),
            key=lambda head: (head.since_ms, -head.spec.accelerators, head.spec.job_id),
        )

    def _drop_outdated(self) -> None:
        """Give up reservations for which no job waits any more."""
        for name, reservation in list(self._reservations.by_organisation.items()):
            groups = self._state.waiting.groups_by_organisation.get(name, {})
            heads = (group.head.spec for group in groups.values())
            if not any(reservation.is_for(spec) for spec in heads):
                self._reservations.drop(name)

    def _may_reserve(self, spec: JobSpec) -> bool:
        """Return whether the job has its organisation's reservation or may get it."""
        if spec.accelerators < MIN_GROUP_ACCELERATORS:
            return False
        known = self._reservations.by_organisation.get(spec.organisation)
        if known is not None:
            return known.is_for(spec)
        return len(self._reservations.by_organisation) < RESERVED_ORGANISATIONS_MAX

    def _move(self, waiting: WaitingJob, placer: Placer, now_ms: int) -> Found | None:
        state = self._state
        spec = waiting.spec
        free = state.pool.open_free + state.free_elsewhere
        if not state.policy.defragments or free < spec.accelerators:
            return None

        largest = max(1, spec.accelerators // 2)

        def usable(worker: PoolWorker, index: int) -> str | None:
            if not placer.permitted(worker, index):
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
        cost = STOP_COST_MS * moved + UNSAVED_RISK * unsaved
        gain = (now_ms - waiting.since_ms) * spec.accelerators
        if moved > largest or cost > state.policy.move_gain_weight * gain:
            return None
        claim = placer.part_in_region(plan.grants)
        reason = f"moves {moved} accelerators of smaller work that fits elsewhere"
        return Found(plan.grants, claim, reason, victims=plan.victims)

    def _reserve(self, spec: JobSpec, placer: Placer, now_ms: int) -> Found | None:
        """Reclaim smaller borrowed work if that is enough, else keep a reservation."""
        found = self._reclaim_smaller(spec, placer, None, now_ms)
        if found is not None:
            return found
        state = self._state
        reservation = self._reservations.by_organisation.get(spec.organisation)
        if (
            reservation is None
            or not reservation.is_for(spec)
            or now_ms >= reservation.until_ms
        ):
            reservation = self._choose(spec, placer, now_ms)
            if reservation is None:
                return None
            owners = state.witness.owner_by_accelerator
            self._reservations.set(reservation, owners)

        return self._reclaim_smaller(spec, placer, reservation.accelerators, now_ms)

    def _reclaim_smaller(
        self,
        spec: JobSpec,
        placer: Placer,
        kept: frozenset[Accelerator] | None,
        now_ms: int,
    ) -> Found | None:
        """Reclaim smaller borrowed work, on the ``kept`` accelerators or anywhere."""
        state = self._state

        def usable(worker: PoolWorker, index: int) -> str | None:
            if kept is not None and (worker.name, index) not in kept:
                return None
            if not placer.permitted(worker, index):
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
            None if kept is None else {worker for worker, _ in kept},
        )
        if plan is None:
            return None
        claim = placer.part_in_region(plan.grants)
        reason = "blocked for long; reclaims smaller borrowed work"
        return Found(plan.grants, claim, reason, victims=plan.victims)

    def _has_just_started(self, job_id: str, now_ms: int) -> bool:
        started_ms = self._state.ledger.job_by_id[job_id].started_ms
        return now_ms - started_ms < MOVED_JOB_MIN_RUN_MS

    def _smaller_holder(
        self, spec: JobSpec, worker: PoolWorker, index: int, largest: int
    ) -> str | None:
        """Return "" if free, or a smaller job that can make way, else None."""
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

    def _blocking_cost(self, spec: JobSpec, job: ActiveJob, now_ms: int) -> int:
        """Return the expected rest of work that will not make way, in accelerator-ms.

        The learned run time only chooses the place; nothing is started by it.
        """
        if (
            job.can_be_stopped
            and job.is_borrowed
            and job.spec.accelerators < spec.accelerators
        ):
            return 0
        expected_ms = self._state.run_times.expected_ms(job.spec)
        rest_ms = max(expected_ms // 4, expected_ms - (now_ms - job.started_ms))
        return rest_ms * spec.accelerators

    def _choose(self, spec: JobSpec, placer: Placer, now_ms: int) -> Reservation | None:
        """Reserve where the least work stands that nothing can move."""
        plan = self._least_blocked(spec, placer, now_ms)
        if plan is None:
            return None
        accelerators = frozenset(accelerators_of(plan.grants))
        return Reservation(spec, accelerators, now_ms + RESERVATION_RENEWAL_MS)

    def blocking_cost(self, spec: JobSpec, placer: Placer, now_ms: int) -> int | None:
        """Return the cost of the place where the least work is in the way."""
        plan = self._least_blocked(spec, placer, now_ms)
        return None if plan is None else plan.cost_ms

    def _least_blocked(
        self, spec: JobSpec, placer: Placer, now_ms: int
    ) -> ReclaimPlan | None:
        state = self._state
        owners = state.witness.owner_by_accelerator

        def usable(worker: PoolWorker, index: int) -> str | None:
            place = (worker.name, index)
            if not placer.permitted(worker, index):
                return None
            if self._reservations.is_reserved(place, spec.organisation):
                return None
            holder = worker.holder_by_index[index]
            if holder is None:
                return ""
            job = state.ledger.job_by_id.get(holder)
            is_owners = job is not None and owners.get(place) == job.spec.organisation
            if job is None or (
                is_owners and job.spec.organisation != spec.organisation
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
            extra_cost=lambda job: self._blocking_cost(spec, job, now_ms),
        )
