"""Scheduling rounds: urgent work is placed first, then guaranteed, then borrowed work.

Within a tier, the organisation that holds the fewest accelerators relative to its
weight goes first. What it holds counts for less the longer its oldest job has waited.
Equivalent jobs share one search: if the oldest of them does not fit, none does.
"""

from __future__ import annotations

import enum
import heapq

from ..model import Decision, Grant, JobSpec, Priority, Reason
from .actions import Action, Move, Place, Probe, Reclaim, Reject
from .active_jobs import ActiveJob, ActiveState, accelerators_of
from .admission import fits_catalogue
from .blocked_groups import BlockedGroups
from .compaction import Compaction
from .placement_search import Placement, PlacementSearch
from .policy import JobView
from .reservations import AcceleratorReservations
from .state import DataCentreState
from .waiting_jobs import GroupKey, WaitingGroup, WaitingJob

__all__ = ["SchedulingRounds", "grants_text"]

AGEING_MS = 600_000  # a wait of this length halves an organisation's weighted share
DEFAULT_RECLAIM_GRACE_MS = 2_000


class _Tier(enum.IntEnum):
    """Parts of a scheduling round, in the order in which they run."""

    URGENT = 0
    GUARANTEED = 1
    BORROWED = 2


class SchedulingRounds:
    """Runs scheduling rounds over the state, and keeps reservations between them."""

    def __init__(self, state: DataCentreState) -> None:
        self._state = state
        self.reservations = AcceleratorReservations()
        self._blocked = BlockedGroups(state, self.reservations)
        self._compaction = Compaction(state)
        self._unchecked_job_ids: dict[str, None] = {}
        self._actions: list[Action] = []

    def check_admission(self, job_id: str) -> None:
        """Check in the next round whether the waiting job can run at all."""
        self._unchecked_job_ids[job_id] = None

    def check_all_admissions(self) -> None:
        """Check all waiting jobs in the next round, after a configuration change."""
        self._unchecked_job_ids.update(dict.fromkeys(self._state.waiting.job_by_id))

    def blocking_cost(self, spec: JobSpec, now_ms: int) -> int | None:
        """Return the expected work that blocks the job, in accelerator-ms.

        None means that the job would fit nowhere even after other work has ended.
        """
        search = PlacementSearch(self._state, self.reservations, spec, now_ms)
        return self._blocked.blocking_cost(spec, search, now_ms)

    def next_wakeup_ms(self) -> int | None:
        """Return when blocked groups or compaction are due without any event."""
        times = (self._blocked.next_wakeup_ms, self._compaction.next_wakeup_ms)
        return min((time for time in times if time is not None), default=None)

    def run_round(self, now_ms: int) -> tuple[Action, ...]:
        """Return the actions that are due now, and record them in the state."""
        self._actions = []
        self._finish_pending(now_ms)
        self._reject_impossible()
        self._state.has_changed = False
        for tier in _Tier:
            self._run_tier(tier, now_ms)
        for waiting, placement, is_move in self._blocked.unblock(now_ms):
            self._commit(waiting, placement, now_ms, is_move)
        self._compact(now_ms)
        for worker in self._state.quarantine.due_probes(now_ms):
            decision = Decision(
                "probe_worker", worker, "probe", "quarantine interval over"
            )
            self._actions.append(Probe(worker, decision))
        return tuple(self._actions)

    def _compact(self, now_ms: int) -> None:
        job = self._compaction.choose(now_ms)
        if job is None:
            return
        job.reclaim_deadline_ms = now_ms + self._grace_ms()
        decision = Decision(
            "move_job",
            job.spec.job_id,
            f"stop by {job.reclaim_deadline_ms} ms",
            f"leaves {grants_text(job.grants)} to join free accelerators",
            organisation=job.spec.organisation,
        )
        self._actions.append(
            Move(job.spec.job_id, "", job.reclaim_deadline_ms, decision)
        )

    def _grace_ms(self) -> int:
        return int(
            self._state.configuration.rule("reclaim_grace_ms", DEFAULT_RECLAIM_GRACE_MS)
        )

    def _finish_pending(self, now_ms: int) -> None:
        """Place pending jobs whose accelerators are free, and queue failed ones again.

        A pending job fails if it may no longer use its accelerators, if a worker is
        lost or closed, or at its deadline.
        """
        active_jobs = self._state.active_jobs
        for job in list(active_jobs.pending_by_id.values()):
            is_permitted = all(
                self._state.permits(job.spec, worker, index)
                for worker, index in accelerators_of(job.grants)
            )
            if (
                is_permitted
                and active_jobs.holds_all_grants(job)
                and self._are_workers_open(job)
            ):
                active_jobs.mark_held(job)
                if not job.claim:
                    self._state.choose_claim(job)
                self._emit_place(job, "reclaimed accelerators are free")
            elif (
                not (is_permitted and self._are_workers_open(job))
                or now_ms >= job.pending_deadline_ms
            ):
                active_jobs.release(job.spec.job_id)
                self._state.waiting.add(
                    WaitingJob(
                        job.spec,
                        job.waiting_since_ms,
                        job.checkpoint,
                        GroupKey.of(
                            job.spec, self._state.run_times.expected_ms(job.spec)
                        ),
                        "accelerators to be reclaimed were lost or late",
                    )
                )

    def _are_workers_open(self, job: ActiveJob) -> bool:
        workers = self._state.pool.workers_by_name
        return all(
            grant.worker in workers and workers[grant.worker].is_open
            for grant in job.grants
        )

    def _reject_impossible(self) -> None:
        state = self._state
        unchecked, self._unchecked_job_ids = self._unchecked_job_ids, {}
        fits_by_group: dict[tuple[str, GroupKey], bool] = {}
        for job_id in unchecked:
            waiting = state.waiting.job_by_id.get(job_id)
            if waiting is None:
                continue
            if state.quarantine.fails_everywhere(job_id):
                detail = "it failed on several workers on which other work succeeds"
                self._reject(waiting, Reason.FAILS_EVERYWHERE, detail)
                continue
            group = (waiting.spec.organisation, waiting.key)
            if group not in fits_by_group:
                fits = fits_catalogue(waiting.spec, state.configuration)
                fits_by_group[group] = fits
            if not fits_by_group[group]:
                detail = "no configured data centre can hold its group"
                self._reject(waiting, Reason.NEVER_FITS, detail)

    def _reject(self, waiting: WaitingJob, reason: Reason, detail: str) -> None:
        spec = waiting.spec
        self._state.waiting.discard(spec.job_id)
        decision = Decision(
            "place_job", spec.job_id, "reject", detail, organisation=spec.organisation
        )
        self._actions.append(Reject(spec.job_id, reason, detail, decision))

    def _run_tier(self, tier: _Tier, now_ms: int) -> None:
        state = self._state
        queue = []
        for name in state.waiting.groups_by_organisation:
            groups = self._ordered_groups(tier, name, now_ms)
            if groups:
                queue.append((self._weighted_share(name, now_ms), name, groups))
        heapq.heapify(queue)
        failed: set[tuple[str, GroupKey]] = set()
        while queue:
            _, name, groups = heapq.heappop(queue)
            if self._place_one(tier, name, groups, failed, now_ms) and groups:
                heapq.heappush(
                    queue, (self._weighted_share(name, now_ms), name, groups)
                )

    def _weighted_share(self, organisation: str, now_ms: int) -> float:
        """Return the accelerators that the organisation holds per unit of weight.

        The wait of its oldest job reduces the number.
        """
        state = self._state
        entry = state.configuration.organisations_by_name.get(organisation)
        weight = max(1, entry.weight) if entry is not None else 1
        held = state.active_jobs.held_by_organisation.get(organisation, 0)
        groups = state.waiting.groups_by_organisation[organisation].values()
        oldest_ms = min(group.head.since_ms for group in groups)
        return held / weight / (1 + max(0, now_ms - oldest_ms) / AGEING_MS)

    def _ordered_groups(
        self, tier: _Tier, organisation: str, now_ms: int
    ) -> list[tuple[tuple, int, WaitingGroup]]:
        """Return the organisation's groups as a heap, the most urgent first."""
        groups = self._state.waiting.groups_by_organisation[organisation].values()
        ordered = [
            (self._group_order(group, now_ms), number, group)
            for number, group in enumerate(groups)
            if tier is not _Tier.URGENT or group.key.priority is Priority.URGENT
        ]
        heapq.heapify(ordered)
        return ordered

    def _place_one(
        self,
        tier: _Tier,
        organisation: str,
        groups: list[tuple[tuple, int, WaitingGroup]],
        failed: set[tuple[str, GroupKey]],
        now_ms: int,
    ) -> bool:
        """Place one job of the groups; remove the groups of which no job fits.

        ``failed`` collects the keys of searches that found nothing in this tier.
        """
        while groups:
            _, number, group = groups[0]
            search_key = self._search_key(tier, organisation, group)
            if search_key not in failed and self._try_place(tier, group.head, now_ms):
                if group.job_by_id:
                    order = self._group_order(group, now_ms)
                    heapq.heapreplace(groups, (order, number, group))
                else:
                    heapq.heappop(groups)
                return True
            failed.add(search_key)
            heapq.heappop(groups)
        return False

    def _search_key(
        self, tier: _Tier, organisation: str, group: WaitingGroup
    ) -> tuple[str, GroupKey]:
        """Return the key shared by all groups for which a search has the same result.

        The key of a borrowing group omits the organisation if the result does not
        depend on it: the group can be reclaimed, nothing is reserved and its quota is
        not exceeded.
        """
        is_for_all = (
            tier is _Tier.BORROWED
            and group.key.is_reclaimable
            and not self.reservations.has_any
            and not self._state.over_quota(organisation, group.key.accelerators)
        )
        return ("" if is_for_all else organisation, group.key.search_key)

    def _group_order(self, group: WaitingGroup, now_ms: int) -> tuple:
        """Return a sort key; the group with the smallest key is served first."""
        head = group.head
        reservation = self.reservations.by_organisation.get(head.spec.organisation)
        is_reserved = reservation is not None and reservation.is_for(head.spec)
        view = JobView(
            head.spec.accelerators,
            max(0, now_ms - head.since_ms),
            group.key.expected_run_ms,
            head.spec.priority,
        )
        urgency = self._state.policy.urgency(view)
        return (head.spec.priority, not is_reserved, -urgency, head.since_ms)

    def _try_place(self, tier: _Tier, waiting: WaitingJob, now_ms: int) -> bool:
        spec = waiting.spec
        if self._state.over_quota(spec.organisation, spec.accelerators):
            waiting.reason = "its organisation would exceed its quota"
            return False
        search = PlacementSearch(self._state, self.reservations, spec, now_ms)
        placement: Placement | str = "borrows only after all guaranteed work"
        if tier is not _Tier.BORROWED:
            placement = search.within_guarantee()
        if isinstance(placement, str) and tier is not _Tier.GUARANTEED:
            placement = search.beyond_guarantee()
        if isinstance(placement, str):
            waiting.reason = placement
            return False
        self._commit(waiting, placement, now_ms, False)
        return True

    def _commit(
        self, waiting: WaitingJob, placement: Placement, now_ms: int, is_move: bool
    ) -> None:
        state = self._state
        spec = waiting.spec
        state.waiting.discard(spec.job_id)
        self._drop_reservation(spec)
        grace_ms = self._grace_ms()
        job = ActiveJob(
            spec,
            ActiveState.PENDING if placement.victims else ActiveState.HELD,
            placement.grants,
            waiting_since_ms=waiting.since_ms,
            checkpoint=waiting.checkpoint,
            # The jobs to stop have one grace period. The rest of the deadline allows
            # for late reports of their end.
            pending_deadline_ms=now_ms + 4 * grace_ms,
        )
        state.active_jobs.add(job)
        state.active_jobs.set_claim(job, placement.claim)
        if not placement.victims:
            self._emit_place(job, placement.reason, placement.passed_over)
            return
        for victim in placement.victims:
            if victim.reclaim_deadline_ms is None:
                victim.reclaim_deadline_ms = now_ms + grace_ms
                self._emit_reclaim(victim, job, is_move, now_ms)

    def _drop_reservation(self, spec: JobSpec) -> None:
        reservation = self.reservations.by_organisation.get(spec.organisation)
        if reservation is not None and reservation.is_for(spec):
            self.reservations.drop(spec.organisation)

    def _emit_place(
        self, job: ActiveJob, reason: str, passed_over: tuple[str, ...] = ()
    ) -> None:
        spec = job.spec
        decision = Decision(
            "place_job",
            spec.job_id,
            grants_text(job.grants),
            reason + ("; borrowed" if job.is_borrowed else "; guaranteed"),
            passed_over,
            spec.organisation,
        )
        self._actions.append(
            Place(spec, job.grants, job.is_borrowed, decision, job.checkpoint)
        )

    def _emit_reclaim(
        self, victim: ActiveJob, job: ActiveJob, is_move: bool, now_ms: int
    ) -> None:
        lost = victim.lost_accelerator_ms(now_ms)
        decision = Decision(
            "move_job" if is_move else "reclaim_job",
            victim.spec.job_id,
            f"stop by {victim.reclaim_deadline_ms} ms",
            f"for {job.spec.job_id} on {grants_text(job.grants)}; "
            f"{lost} accelerator-ms since its checkpoint",
            organisation=victim.spec.organisation,
        )
        action = Move if is_move else Reclaim
        self._actions.append(
            action(
                victim.spec.job_id,
                job.spec.job_id,
                victim.reclaim_deadline_ms,
                decision,
            )
        )


def grants_text(grants: tuple[Grant, ...]) -> str:
    """Return the grants as ``worker:0,1+worker:2``."""
    return "+".join(
        f"{grant.worker}:{','.join(map(str, grant.accelerators))}" for grant in grants
    )
