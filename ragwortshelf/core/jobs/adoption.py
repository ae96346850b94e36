"""Brings gangs in line with what workers report."""

from __future__ import annotations

from ..streams import (
    AttemptClaimed,
)
from . import events
from .actions import (
    Action,
    ReleaseLease,
)
from .entry import JobEntry
from .gang import Gang
from .label import LeaseLabel
from .stages import Stage
from .syncing import JobSync

__all__ = ["WorkerSync"]


class WorkerSync(JobSync):
    """Follows the workers: cleans up, watches gangs, and adopts those it finds."""

    def _workers_listed(self, event: events.WorkersListed, now_ms: int) -> list[Action]:
        return self._workers.listed(event.workers, now_ms) if event.workers else []

    def _worker_unreachable(
        self, event: events.WorkerUnreachable, now_ms: int
    ) -> list[Action]:
        self._workers.unreachable(event.worker, now_ms)
        return []

    def _worker_observed(
        self, event: events.WorkerObserved, now_ms: int
    ) -> list[Action]:
        report = event.report
        actions: list[Action] = []
        for job_id in dict.fromkeys(lease.job_id for lease in report.leases):
            gang = self.gang_by_id.get(job_id)
            if gang is not None and report.worker not in gang.member_by_worker:
                continue
            actions += self._job_observed(job_id, event, now_ms)
        for gang in list(self.gang_by_id.values()):
            if report.worker in gang.member_by_worker:
                known_checkpoint = gang.checkpoint_seen
                observed = gang.observed(report, event.asked_ms, now_ms)
                if gang.checkpoint_seen != known_checkpoint:
                    self._scheduler.checkpointed(gang.spec.job_id, now_ms)
                actions += self._follow(gang, observed, now_ms)
        self._workers.observed(report, self.gang_by_id, now_ms)
        return actions

    def _job_observed(
        self, job_id: str, event: events.WorkerObserved, now_ms: int
    ) -> list[Action]:
        """Clean up leases that are over; adopt gangs that the log does not know."""
        actions: list[Action] = []
        entry = self.entry(job_id)
        for lease in event.report.leases:
            if lease.job_id != job_id or not self.is_placer:
                continue
            if self._is_over(lease, entry):
                release = ReleaseLease(event.report.worker, lease.lease_id)
                actions.append(release)
            elif entry is None and job_id not in self.gang_by_id:
                self._adopt_label(lease, now_ms)
        return actions

    def _is_over(self, lease, entry: JobEntry | None) -> bool:
        """Whether the log or ourselves have no more use for the lease."""
        if self.ledger.has_ended(lease.job_id):
            return True
        if entry is None or lease.job_id in self.gang_by_id:
            return False
        if entry.is_waiting and lease.attempt <= entry.attempt:
            return True
        floor = self._attempt_floor_by_id.get(lease.job_id, 0)
        return lease.holder == self.holder and entry.attempt < lease.attempt <= floor

    def _adopt_label(self, lease, now_ms: int) -> None:
        """Rebuild an attempt from a lease alone; the log may be down or behind."""
        label = self._workers.label(lease)
        if not isinstance(label, LeaseLabel):
            return
        is_running = lease.has_started and lease.is_live
        if not is_running and not label.is_off_log:
            return
        claim = AttemptClaimed(
            lease.job_id,
            lease.attempt,
            lease.holder,
            self.data_centre,
            label.grants,
            label.boot_ids,
            self._wall_ms(now_ms),
        )
        gang = Gang(
            label.spec,
            claim,
            Stage.ADOPTING,
            now_ms,
            accepted_by=label.accepted_by,
            is_off_log=label.is_off_log,
        )
        self._add_gang(gang, now_ms)
        self._scheduler.set_running(label.spec, label.grants, now_ms)
