"""Reconciliation of gangs with the reports of workers, and adoption of gangs."""

from __future__ import annotations

from ..streams import (
    AttemptClaimed,
)
from . import events
from .actions import (
    Action,
    ReleaseLease,
)
from .gang import Gang
from .job_entry import JobEntry
from .lease_label import LeaseLabel
from .log_reconciliation import LogReconciliation
from .stages import Stage

__all__ = ["WorkerReconciliation"]


class WorkerReconciliation(LogReconciliation):
    """Reconciles gangs with worker reports.

    It releases obsolete leases, updates the gangs of this placer, and adopts gangs of
    earlier placers that the log does not hold.
    """

    def _handle_workers_listed(
        self, event: events.WorkersListed, now_ms: int
    ) -> list[Action]:
        return (
            self._workers.update_listed(event.workers, now_ms) if event.workers else []
        )

    def _handle_worker_unreachable(
        self, event: events.WorkerUnreachable, now_ms: int
    ) -> list[Action]:
        self._workers.mark_unreachable(event.worker, now_ms)
        return []

    def _handle_worker_observed(
        self, event: events.WorkerObserved, now_ms: int
    ) -> list[Action]:
        report = event.report
        actions: list[Action] = []
        for job_id in dict.fromkeys(lease.job_id for lease in report.leases):
            gang = self.gang_by_id.get(job_id)
            if gang is not None and report.worker not in gang.member_by_worker:
                continue
            actions += self._handle_observed_leases(job_id, event, now_ms)
        for gang in list(self.gang_by_id.values()):
            if report.worker in gang.member_by_worker:
                previous_checkpoint = gang.group_checkpoint
                gang_actions = gang.handle_report(report, event.requested_ms, now_ms)
                if gang.group_checkpoint != previous_checkpoint:
                    self._scheduler.checkpointed(gang.spec.job_id, now_ms)
                actions += self._handle_stage_change(gang, gang_actions, now_ms)
        self._workers.handle_report(report, self.gang_by_id, now_ms)
        return actions

    def _handle_observed_leases(
        self, job_id: str, event: events.WorkerObserved, now_ms: int
    ) -> list[Action]:
        """Release obsolete leases of the job.

        If the job is not in the log, adopt its gang from a lease instead.
        """
        actions: list[Action] = []
        entry = self.entry(job_id)
        for lease in event.report.leases:
            if lease.job_id != job_id or not self.is_placer:
                continue
            if self._is_obsolete(lease, entry):
                release = ReleaseLease(event.report.worker, lease.lease_id)
                actions.append(release)
            elif entry is None and job_id not in self.gang_by_id:
                self._adopt_lease(lease, now_ms)
        return actions

    def _is_obsolete(self, lease, entry: JobEntry | None) -> bool:
        """Whether the lease's attempt is over, or was dropped by this placer."""
        if self.ledger.has_ended(lease.job_id):
            return True
        if entry is None or lease.job_id in self.gang_by_id:
            return False
        if entry.is_waiting and lease.attempt <= entry.attempt:
            return True
        last_dropped_attempt = self._dropped_attempt_by_id.get(lease.job_id, 0)
        return (
            lease.holder == self.holder
            and entry.attempt < lease.attempt <= last_dropped_attempt
        )

    def _adopt_lease(self, lease, now_ms: int) -> None:
        """Rebuild a gang from the label of one lease, for a job missing in the log.

        The log may be unavailable, or this instance may not have read it to its end.
        """
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
