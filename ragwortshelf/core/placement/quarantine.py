"""Quarantine of failing workers, distinguished from jobs that fail on every worker.

A failure is attributed to the job's kind if that kind fails on several workers without
a success on any, and otherwise to the worker. A worker to which a failure is attributed
is *suspect*: it gets one job at a time until one succeeds, so that it cannot consume
the queue by failing quickly. Several such failures in a row put it in quarantine. It is
then probed at growing intervals, and is suspect again after a successful probe.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

__all__ = ["Quarantine", "TrustState"]

FAILURES_TO_QUARANTINE = 3
WORKERS_TO_BLAME_JOB = 3
PROBE_INTERVAL_MS = 30_000
PROBE_INTERVAL_MAX_MS = 1_800_000
PROBE_TIMEOUT_MS = 60_000


class TrustState(enum.StrEnum):
    """How far a worker is trusted with jobs."""

    TRUSTED = "trusted"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    PROBING = "probing"


@dataclass(slots=True)
class _WorkerRecord:
    """Trust state, failures and probe schedule of one worker.

    A failure of a job on n workers counts 1/n for each in ``failures_by_kind``.
    A worker that an operator has quarantined (``is_set_by_operator``) is not probed.
    """

    trust_state: TrustState = TrustState.TRUSTED
    failures_by_kind: dict[str, float] = field(default_factory=dict)
    probe_at_ms: int = 0
    probe_interval_ms: int = PROBE_INTERVAL_MS
    is_set_by_operator: bool = False


class Quarantine:
    """Tracks the trust state of workers from the results of tasks and of probes."""

    def __init__(self) -> None:
        self._record_by_worker: dict[str, _WorkerRecord] = {}
        self._failed_workers_by_kind: dict[str, set[str]] = {}
        self._failed_workers_by_job: dict[str, set[str]] = {}

    def trust_state(self, worker: str) -> TrustState:
        """Return the trust state of the worker."""
        record = self._record_by_worker.get(worker)
        return TrustState.TRUSTED if record is None else record.trust_state

    def is_closed(self, worker: str) -> bool:
        """Return whether the worker gets no jobs, being in quarantine or probed."""
        return self.trust_state(worker) in (TrustState.QUARANTINED, TrustState.PROBING)

    def failed_workers(self, job_id: str) -> frozenset[str]:
        """Return the workers on which the job has failed."""
        return frozenset(self._failed_workers_by_job.get(job_id, ()))

    def fails_everywhere(self, job_id: str) -> bool:
        """Return whether the job failed on several workers outside quarantine."""
        failed = self._failed_workers_by_job.get(job_id, ())
        healthy = [worker for worker in failed if not self.is_closed(worker)]
        return len(healthy) >= WORKERS_TO_BLAME_JOB

    def record_result(
        self,
        job_id: str,
        kind: str,
        workers: tuple[str, ...],
        succeeded: bool,
        now_ms: int,
    ) -> tuple[str, ...]:
        """Record the result of a job; return workers whose trust state changed."""
        before = {worker: self.trust_state(worker) for worker in self._record_by_worker}
        if succeeded:
            self._record_success(kind, workers)
        else:
            self._record_failure(job_id, kind, workers, now_ms)
        return tuple(
            worker
            for worker in self._record_by_worker
            if self.trust_state(worker) is not before.get(worker, TrustState.TRUSTED)
        )

    def forget_job(self, job_id: str) -> None:
        """Drop the failures of a job that has ended."""
        self._failed_workers_by_job.pop(job_id, None)

    def forget_worker(self, worker: str) -> None:
        """Drop the record of a worker that was removed."""
        self._record_by_worker.pop(worker, None)

    def set_by_operator(self, worker: str, is_quarantined: bool) -> None:
        """Quarantine or release the worker at an operator's request, without probes."""
        record = self._record_by_worker.setdefault(worker, _WorkerRecord())
        record.is_set_by_operator = is_quarantined
        record.trust_state = (
            TrustState.QUARANTINED if is_quarantined else TrustState.TRUSTED
        )
        if not is_quarantined:
            record.failures_by_kind.clear()

    def due_probes(self, now_ms: int) -> tuple[str, ...]:
        """Return the workers to probe now, and mark them as being probed.

        A probe without a result is due again after a timeout.
        """
        due = []
        for worker, record in self._record_by_worker.items():
            is_closed = record.trust_state in (
                TrustState.QUARANTINED,
                TrustState.PROBING,
            )
            if (
                is_closed
                and not record.is_set_by_operator
                and record.probe_at_ms <= now_ms
            ):
                record.trust_state = TrustState.PROBING
                record.probe_at_ms = now_ms + PROBE_TIMEOUT_MS
                due.append(worker)
        return tuple(due)

    def next_probe_ms(self) -> int | None:
        """Return when the next probe is due, None if no worker is to be probed."""
        return min(
            (
                record.probe_at_ms
                for record in self._record_by_worker.values()
                if record.trust_state in (TrustState.QUARANTINED, TrustState.PROBING)
                and not record.is_set_by_operator
            ),
            default=None,
        )

    def probe_ended(self, worker: str, succeeded: bool, now_ms: int) -> None:
        """Make the worker suspect after a success, else schedule a later probe."""
        record = self._record_by_worker.get(worker)
        if record is None or record.trust_state is not TrustState.PROBING:
            return
        record.probe_interval_ms = min(
            record.probe_interval_ms * 2, PROBE_INTERVAL_MAX_MS
        )
        if succeeded:
            record.trust_state = TrustState.SUSPECT
            # One more failure quarantines it again.
            record.failures_by_kind = {"": FAILURES_TO_QUARANTINE - 1}
        else:
            record.trust_state = TrustState.QUARANTINED
            record.probe_at_ms = now_ms + record.probe_interval_ms

    def _record_success(self, kind: str, workers: tuple[str, ...]) -> None:
        self._failed_workers_by_kind.pop(kind, None)
        for worker in workers:
            record = self._record_by_worker.get(worker)
            if record is not None and not record.is_set_by_operator:
                del self._record_by_worker[worker]

    def _record_failure(
        self, job_id: str, kind: str, workers: tuple[str, ...], now_ms: int
    ) -> None:
        self._failed_workers_by_job.setdefault(job_id, set()).update(workers)
        failed = self._failed_workers_by_kind.setdefault(kind, set())
        failed.update(w for w in workers if not self.is_closed(w))
        if len(failed) >= WORKERS_TO_BLAME_JOB + len(workers) - 1:
            self._clear_failures_of_kind(kind)
            return
        for worker in workers:
            record = self._record_by_worker.setdefault(worker, _WorkerRecord())
            counted = record.failures_by_kind.get(kind, 0.0) + 1 / len(workers)
            record.failures_by_kind[kind] = counted
            if record.trust_state is TrustState.TRUSTED:
                record.trust_state = TrustState.SUSPECT
            total = sum(record.failures_by_kind.values())
            if (
                record.trust_state is TrustState.SUSPECT
                and total >= FAILURES_TO_QUARANTINE
            ):
                record.trust_state = TrustState.QUARANTINED
                record.probe_at_ms = now_ms + record.probe_interval_ms

    def _clear_failures_of_kind(self, kind: str) -> None:
        """Remove the failures of a kind that fails everywhere from all workers."""
        for worker, record in list(self._record_by_worker.items()):
            if record.is_set_by_operator or kind not in record.failures_by_kind:
                continue
            del record.failures_by_kind[kind]
            total = sum(record.failures_by_kind.values())
            if total == 0:
                del self._record_by_worker[worker]
            elif total < FAILURES_TO_QUARANTINE and self.is_closed(worker):
                record.trust_state = TrustState.SUSPECT
