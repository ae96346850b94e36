"""State of the workers of a data centre, as its placer knows it."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from ..model import Grant, Lease, MemberState, WorkerInfo
from ..model import WorkerState as WorkerReport
from ..placement import DataCentreScheduler
from ..streams import Undecodable
from .actions import Action, ObserveWorker, RenewLeases
from .gang import Gang
from .lease_label import LeaseLabel, decode_label
from .members import canonical_grants
from .stages import LEASE_TTL_MS, RENEWAL_INTERVAL_MS

__all__ = ["WorkerTable"]

RENEWAL_RETRY_INTERVAL_MS = 1_000


class WorkerTable:
    """Tracks workers, and tells the scheduler which of their accelerators are usable.

    A foreign lease is one that belongs to no gang of this placer.
    """

    def __init__(self, scheduler: DataCentreScheduler) -> None:
        self._scheduler = scheduler
        self._info_by_worker: dict[str, WorkerInfo] = {}
        self._boot_id_by_worker: dict[str, str] = {}
        self._foreign_jobs_by_worker: dict[str, set[str]] = {}
        self._renew_at_ms_by_worker: dict[str, int] = {}
        self._probed_workers: set[str] = set()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all listed workers."""
        return tuple(self._info_by_worker)

    def update_listed(
        self, workers: Collection[WorkerInfo], now_ms: int
    ) -> list[Action]:
        """Apply the instance list; a worker is usable only once it was observed."""
        info_by_name = {info.name: info for info in workers}
        actions: list[Action] = []
        for name in self._info_by_worker.keys() - info_by_name.keys():
            self._scheduler.remove_worker(name, now_ms)
            self._boot_id_by_worker.pop(name, None)
            self._foreign_jobs_by_worker.pop(name, None)
        for name, info in info_by_name.items():
            previous_info = self._info_by_worker.get(name)
            if previous_info == info:
                continue
            self._scheduler.set_worker(name, info.rack, info.accelerators, now_ms)
            is_usable = (
                name in self._boot_id_by_worker and info.state is MemberState.LIVE
            )
            self._scheduler.set_worker_usable(name, is_usable, info.state, now_ms)
            actions.append(ObserveWorker(name))
        self._info_by_worker = info_by_name
        return actions

    def mark_unreachable(self, worker: str, now_ms: int) -> None:
        """Make the worker unusable until it answers again."""
        if worker in self._info_by_worker:
            self._scheduler.set_worker_usable(worker, False, "unreachable", now_ms)
        if worker in self._probed_workers:
            self._probed_workers.discard(worker)
            self._scheduler.probe_ended(worker, False, now_ms)

    def handle_report(
        self, report: WorkerReport, gang_by_id: Mapping[str, Gang], now_ms: int
    ) -> None:
        """Apply a worker's report; foreign leases reserve their accelerators."""
        info = self._info_by_worker.get(report.worker)
        if info is None:
            return
        self._boot_id_by_worker[report.worker] = report.boot_id
        is_usable = info.state is MemberState.LIVE
        self._scheduler.set_worker_usable(report.worker, is_usable, "", now_ms)
        if report.worker in self._probed_workers:
            self._probed_workers.discard(report.worker)
            self._scheduler.probe_ended(report.worker, True, now_ms)
        accelerators_by_foreign_job = {
            lease.job_id: lease.accelerators
            for lease in report.leases
            if lease.is_live and not _belongs_to_gang(lease, report.worker, gang_by_id)
        }
        previous_job_ids = self._foreign_jobs_by_worker.get(report.worker, set())
        for job_id in previous_job_ids - accelerators_by_foreign_job.keys():
            self._scheduler.clear_foreign_lease(report.worker, job_id)
        for job_id in accelerators_by_foreign_job.keys() - previous_job_ids:
            self._scheduler.set_foreign_lease(
                report.worker, accelerators_by_foreign_job[job_id], job_id
            )
        self._foreign_jobs_by_worker[report.worker] = set(accelerators_by_foreign_job)

    def start_probe(self, worker: str) -> None:
        """Treat the next observation of the worker as the result of a probe."""
        self._probed_workers.add(worker)

    def boot_ids(self, grants: Iterable[Grant]) -> tuple[str, ...] | None:
        """Return the last observed boot ids, in the order of `canonical_grants`.

        Return None if the boot of any worker is unknown.
        """
        last_boot_ids = [
            self._boot_id_by_worker.get(grant.worker)
            for grant in canonical_grants(grants)
        ]
        return None if None in last_boot_ids else tuple(last_boot_ids)

    def label(self, lease: Lease) -> LeaseLabel | Undecodable:
        """Decode the lease's label."""
        return decode_label(lease.label)

    def renewals(self, gangs: Iterable[Gang], now_ms: int) -> list[Action]:
        """Return one renewal for each worker with a lease that is due.

        It renews all leases on that worker, so that they fall due together.
        """
        due_workers: set[str] = set()
        ids_by_worker: dict[str, list[str]] = {}
        for gang in gangs:
            for member in gang.members_to_renew():
                ids_by_worker.setdefault(member.worker, []).append(member.lease_id)
                if member.deadline_ms - now_ms < LEASE_TTL_MS - RENEWAL_INTERVAL_MS:
                    due_workers.add(member.worker)
        actions: list[Action] = []
        for worker in sorted(due_workers):
            if now_ms < self._renew_at_ms_by_worker.get(worker, now_ms):
                continue
            self._renew_at_ms_by_worker[worker] = now_ms + RENEWAL_RETRY_INTERVAL_MS
            lease_ids = tuple(ids_by_worker[worker])
            actions.append(RenewLeases(worker, lease_ids, LEASE_TTL_MS, now_ms))
        return actions


def _belongs_to_gang(lease: Lease, worker: str, gang_by_id: Mapping[str, Gang]) -> bool:
    gang = gang_by_id.get(lease.job_id)
    if gang is None or worker not in gang.member_by_worker:
        return False
    return gang.member_by_worker[worker].lease_id == lease.lease_id
