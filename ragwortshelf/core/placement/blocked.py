"""Helps groups that have been blocked for long: moves for them, or a reservation."""

from __future__ import annotations

from ..model import JobSpec
from .ledger import accelerators_of
from .placer import Found, Placer
from .pool import PoolWorker
from .reservations import Reservation, Reservations
from .state import State
from .victims import plan_reclaim
from .waiting import WaitingJob

__all__ = ["BlockedGroups"]

DEFAULT_RESERVATION_AFTER_MS = 30_000
RESERVATION_RENEWAL_MS = 120_000
RESERVED_ORGANISATIONS_MAX = 8
MOVE_AFTER_MS = 5_000
MOVE_PAUSE_MS = 10_000
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
        self._next_move_ms = 0
        self._next_look_ms = 0
        self.next_wakeup_ms: int | None = None

    def help(self, now_ms: int) -> list[tuple[WaitingJob, Found, bool]]:
        """Return (job, where it goes, whether by a move) for groups helped now."""
        after_ms = int(
            self._state.configuration.rule(
                "reservation_after_ms", DEFAULT_RESERVATION_AFTER_MS
            )
        )
        if now_ms < self._next_look_ms:
            self.next_wakeup_ms = self._next_look_ms
            return []
        self._next_look_ms = now_ms + LOOK_INTERVAL_MS
        helped: list[tuple[WaitingJob, Found, bool]] = []
        self.next_wakeup_ms = None
        for waiting in self._oldest_groups():
            waited_ms = now_ms - waiting.since_ms
            placer = Placer(self._state, self._reservations, waiting.spec, now_ms)
            found = None
            if waited_ms >= MOVE_AFTER_MS and now_ms >= self._next_move_ms:
                found = self._move(waiting, placer, now_ms)
            if found is not None and not helped:
                self._next_move_ms = now_ms + MOVE_PAUSE_MS
                helped.append((waiting, found, True))
                continue
            if waited_ms >= after_ms:
                found = self._reserve(waiting.spec, placer, now_ms)
                if found is not None and not helped:
                    helped.append((waiting, found, False))
            self._wake_at(self._next_look(waiting, after_ms, now_ms))
        return helped

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

    def _oldest_groups(self) -> list[WaitingJob]:
        """Return the oldest waiting group of each organisation, the oldest first."""
        oldest = []
        for name, groups in self._state.waiting.groups_by_organisation.items():
            heads = [
                group.head
                for group in groups.values()
                if group.key.accelerators >= MIN_GROUP_ACCELERATORS
                and not self._state.over_quota(name, group.key.accelerators)
            ]
            if heads:
                oldest.append(
                    min(heads, key=lambda h: (h.since_ms, -h.spec.accelerators))
                )
        names = {waiting.spec.organisation: waiting for waiting in oldest}
        for name, reservation in list(self._reservations.by_organisation.items()):
            job_id = reservation.spec.job_id
            if name not in names or job_id not in self._state.waiting.job_by_id:
                self._reservations.drop(name)
        oldest.sort(key=lambda waiting: (waiting.since_ms, waiting.spec.job_id))
        return oldest[:RESERVED_ORGANISATIONS_MAX]

    def _move(self, waiting: WaitingJob, placer: Placer, now_ms: int) -> Found | None:
        state = self._state
        spec = waiting.spec
        if not state.policy.defragments or state.pool.open_free < spec.accelerators:
            return None

        def usable(worker: PoolWorker, index: int) -> str | None:
            if not placer.permitted(worker, index):
                return None
            if self._reservations.blocks(spec, worker.name, index, True):
                return None
            return self._smaller_holder(spec, worker, index, spec.accelerators // 2)

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
        gain = (now_ms - waiting.since_ms) * spec.accelerators
        if moved > spec.accelerators // 2 or plan.cost_ms > gain:
            return None
        claim = placer.part_in_region(plan.grants)
        reason = f"moves {moved} accelerators of smaller work that fits elsewhere"
        return Found(plan.grants, claim, reason, victims=plan.victims)

    def _reserve(self, spec: JobSpec, placer: Placer, now_ms: int) -> Found | None:
        """Use the reservation if nothing lasting stands on it, else keep or make it."""
        state = self._state
        reservation = self._reservations.by_organisation.get(spec.organisation)
        if (
            reservation is None
            or reservation.spec.job_id != spec.job_id
            or now_ms >= reservation.until_ms
        ):
            reservation = self._choose(spec, placer, now_ms)
            if reservation is None:
                return None
            owners = state.witness.owner_by_accelerator
            self._reservations.set(reservation, owners)

        kept = reservation.accelerators

        def usable(worker: PoolWorker, index: int) -> str | None:
            if (worker.name, index) not in kept:
                return None
            if not placer.permitted(worker, index):
                return None
            return self._smaller_holder(spec, worker, index, spec.accelerators - 1)

        plan = plan_reclaim(
            state.pool,
            usable,
            state.ledger.job_by_id,
            spec.accelerators,
            spec.adjacency,
            now_ms,
            {worker for worker, _ in kept},
        )
        if plan is None:
            return None
        claim = placer.part_in_region(plan.grants)
        reason = "nothing lasting is left on its reserved accelerators"
        return Found(plan.grants, claim, reason, victims=plan.victims)

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

    def _choose(self, spec: JobSpec, placer: Placer, now_ms: int) -> Reservation | None:
        """Reserve where the least work stands that nothing can move."""
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

        plan = plan_reclaim(
            state.pool,
            usable,
            state.ledger.job_by_id,
            spec.accelerators,
            spec.adjacency,
            now_ms,
        )
        if plan is None:
            return None
        accelerators = frozenset(accelerators_of(plan.grants))
        return Reservation(spec, accelerators, now_ms + RESERVATION_RENEWAL_MS)
