"""What the placer knows of the workers besides its own gangs."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from ..model import Grant, Lease, MemberState, WorkerInfo
from ..model import WorkerState as WorkerReport
from ..placement import Scheduler
from ..streams import Undecodable
from .actions import Action, ObserveWorker, RenewLeases
from .gang import Gang
from .label import LeaseLabel, decode_label
from .members import canonical_grants
from .stages import LEASE_TTL_MS, RENEW_EVERY_MS

__all__ = ["WorkerTable"]

RENEWAL_RETRY_MS = 1_000


class WorkerTable:
    """Boots, usability, and leases of others, told to the scheduler."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._info_by_name: dict[str, WorkerInfo] = {}
        self._boot_by_name: dict[str, str] = {}
        self._foreign_by_name: dict[str, set[str]] = {}
        self._renew_at_by_name: dict[str, int] = {}
        self._probed: set[str] = set()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all listed workers."""
        return tuple(self._info_by_name)

    def listed(self, workers: Collection[WorkerInfo], now_ms: int) -> list[Action]:
        """Take over the instance list; a worker is used once it was observed."""
        info_by_name = {info.name: info for info in workers}
        actions: list[Action] = []
        for name in self._info_by_name.keys() - info_by_name.keys():
            self._scheduler.remove_worker(name, now_ms)
            self._boot_by_name.pop(name, None)
            self._foreign_by_name.pop(name, None)
        for name, info in info_by_name.items():
            known = self._info_by_name.get(name)
            if known == info:
                continue
            self._scheduler.set_worker(name, info.rack, info.accelerators, now_ms)
            is_usable = name in self._boot_by_name and info.state is MemberState.LIVE
            self._scheduler.set_worker_usable(name, is_usable, info.state, now_ms)
            actions.append(ObserveWorker(name))
        self._info_by_name = info_by_name
        return actions

    def unreachable(self, worker: str, now_ms: int) -> None:
        """Place nothing on the worker until it answers again."""
        if worker in self._info_by_name:
            self._scheduler.set_worker_usable(worker, False, "unreachable", now_ms)
        if worker in self._probed:
            self._probed.discard(worker)
            self._scheduler.probe_ended(worker, False, now_ms)

    def observed(
        self, report: WorkerReport, gang_by_id: Mapping[str, Gang], now_ms: int
    ) -> None:
        """Take over boot and leases; other holders' leases block the scheduler."""
        info = self._info_by_name.get(report.worker)
        if info is None:
            return
        self._boot_by_name[report.worker] = report.boot_id
        is_usable = info.state is MemberState.LIVE
        self._scheduler.set_worker_usable(report.worker, is_usable, "", now_ms)
        if report.worker in self._probed:
            self._probed.discard(report.worker)
            self._scheduler.probe_ended(report.worker, True, now_ms)
        foreign = {
            lease.job_id: lease.accelerators
            for lease in report.leases
            if lease.is_live and not _is_ours(lease, report.worker, gang_by_id)
        }
        known = self._foreign_by_name.get(report.worker, set())
        for job_id in known - foreign.keys():
            self._scheduler.clear_foreign_lease(report.worker, job_id)
        for job_id in foreign.keys() - known:
            self._scheduler.set_foreign_lease(report.worker, foreign[job_id], job_id)
        self._foreign_by_name[report.worker] = set(foreign)

    def probe(self, worker: str) -> None:
        """Tell the scheduler how the next look at the worker goes."""
        self._probed.add(worker)

    def boot_ids(self, grants: Iterable[Grant]) -> tuple[str, ...] | None:
        """Return the boots last seen, in canonical order; None if one is unknown."""
        boots = [
            self._boot_by_name.get(grant.worker) for grant in canonical_grants(grants)
        ]
        return None if None in boots else tuple(boots)

    def label(self, lease: Lease) -> LeaseLabel | Undecodable:
        """Decode the lease's label."""
        return decode_label(lease.label)

    def renewals(self, gangs: Iterable[Gang], now_ms: int) -> list[Action]:
        """Return one message for each worker with a lease that is due.

        All leases of that worker go along, so that they fall due together.
        """
        due: set[str] = set()
        ids_by_worker: dict[str, list[str]] = {}
        for gang in gangs:
            for member in gang.renewable():
                ids_by_worker.setdefault(member.worker, []).append(member.lease_id)
                if member.deadline_ms - now_ms < LEASE_TTL_MS - RENEW_EVERY_MS:
                    due.add(member.worker)
        actions: list[Action] = []
        for worker in sorted(due):
            if now_ms < self._renew_at_by_name.get(worker, now_ms):
                continue
            self._renew_at_by_name[worker] = now_ms + RENEWAL_RETRY_MS
            lease_ids = tuple(ids_by_worker[worker])
            actions.append(RenewLeases(worker, lease_ids, LEASE_TTL_MS, now_ms))
        return actions


def _is_ours(lease: Lease, worker: str, gang_by_id: Mapping[str, Gang]) -> bool:
    gang = gang_by_id.get(lease.job_id)
    if gang is None or worker not in gang.member_by_worker:
        return False
    return gang.member_by_worker[worker].lease_id == lease.lease_id
