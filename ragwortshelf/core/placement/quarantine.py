"""Tells a worker that fails everything from a job that fails everywhere.

A failure is blamed on the job's kind if that kind fails on several workers without a
success on any, and otherwise on the worker. A worker with a blamed failure is
*suspect*: it gets one job at a time until one succeeds, so it cannot swallow the
queue. Several blamed failures in a row quarantine it; it is probed at growing
intervals, and returns as suspect.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

__all__ = ["Quarantine", "Verdict"]

FAILURES_TO_QUARANTINE = 3
WORKERS_TO_BLAME_JOB = 3
PROBE_INTERVAL_MS = 30_000
PROBE_INTERVAL_MAX_MS = 1_800_000
PROBE_TIMEOUT_MS = 60_000


class Verdict(enum.StrEnum):
    """State of one worker."""

    TRUSTED = "trusted"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    PROBING = "probing"


@dataclass(slots=True)
class _WorkerRecord:
    verdict: Verdict = Verdict.TRUSTED
    failures_by_kind: dict[str, float] = field(default_factory=dict)
    probe_at_ms: int = 0
    probe_interval_ms: int = PROBE_INTERVAL_MS
    is_operators: bool = False


class Quarantine:
    """Verdicts by worker, from the ends of tasks and from probes."""

    def __init__(self) -> None:
        self._record_by_worker: dict[str, _WorkerRecord] = {}
        self._failed_workers_by_kind: dict[str, set[str]] = {}
        self._failed_workers_by_job: dict[str, set[str]] = {}

    def verdict(self, worker: str) -> Verdict:
        """Return the state of the worker."""
        record = self._record_by_worker.get(worker)
        return Verdict.TRUSTED if record is None else record.verdict

    def is_closed(self, worker: str) -> bool:
        """Return whether the worker gets no jobs at all."""
        return self.verdict(worker) in (Verdict.QUARANTINED, Verdict.PROBING)

    def failed_workers(self, job_id: str) -> frozenset[str]:
        """Return the workers on which the job has failed."""
        return frozenset(self._failed_workers_by_job.get(job_id, ()))

    def fails_everywhere(self, job_id: str) -> bool:
        """Return whether the job failed on several workers that are not to blame."""
        failed = self._failed_workers_by_job.get(job_id, ())
        sound = [worker for worker in failed if not self.is_closed(worker)]
        return len(sound) >= WORKERS_TO_BLAME_JOB

    def ended(
        self,
        job_id: str,
        kind: str,
        workers: tuple[str, ...],
        succeeded: bool,
        now_ms: int,
    ) -> tuple[str, ...]:
        """Count the end of a job's tasks; return workers whose verdict has changed."""
        before = {worker: self.verdict(worker) for worker in self._record_by_worker}
        if succeeded:
            self._succeeded(kind, workers)
        else:
            self._failed(job_id, kind, workers, now_ms)
        return tuple(
            worker
            for worker in self._record_by_worker
            if self.verdict(worker) is not before.get(worker, Verdict.TRUSTED)
        )

    def forget_job(self, job_id: str) -> None:
        """Drop what is kept of a job that has ended."""
        self._failed_workers_by_job.pop(job_id, None)

    def forget_worker(self, worker: str) -> None:
        """Drop what is kept of a worker that was removed."""
        self._record_by_worker.pop(worker, None)

    def set(self, worker: str, is_quarantined: bool) -> None:
        """Quarantine or release the worker on an operator's word, without probes."""
        record = self._record_by_worker.setdefault(worker, _WorkerRecord())
        record.is_operators = is_quarantined
        record.verdict = Verdict.QUARANTINED if is_quarantined else Verdict.TRUSTED
        if not is_quarantined:
            record.failures_by_kind.clear()

    def due_probes(self, now_ms: int) -> tuple[str, ...]:
        """Return the workers to probe now, and count them as being probed."""
        due = []
        for worker, record in self._record_by_worker.items():
            is_closed = record.verdict in (Verdict.QUARANTINED, Verdict.PROBING)
            if is_closed and not record.is_operators and record.probe_at_ms <= now_ms:
                record.verdict = Verdict.PROBING
                record.probe_at_ms = now_ms + PROBE_TIMEOUT_MS
                due.append(worker)
        return tuple(due)

    def next_probe_ms(self) -> int | None:
        """Return when the next probe is due."""
        return min(
            (
                record.probe_at_ms
                for record in self._record_by_worker.values()
                if record.verdict in (Verdict.QUARANTINED, Verdict.PROBING)
                and not record.is_operators
            ),
            default=None,
        )

    def probe_ended(self, worker: str, succeeded: bool, now_ms: int) -> None:
        """Return the worker as suspect, or wait longer for the next probe."""
        record = self._record_by_worker.get(worker)
        if record is None or record.verdict is not Verdict.PROBING:
            return
        record.probe_interval_ms = min(
            record.probe_interval_ms * 2, PROBE_INTERVAL_MAX_MS
        )
        if succeeded:
            record.verdict = Verdict.SUSPECT
            # One more failure quarantines it again.
            record.failures_by_kind = {"": FAILURES_TO_QUARANTINE - 1}
        else:
            record.verdict = Verdict.QUARANTINED
            record.probe_at_ms = now_ms + record.probe_interval_ms

    def _succeeded(self, kind: str, workers: tuple[str, ...]) -> None:
        self._failed_workers_by_kind.pop(kind, None)
        for worker in workers:
            record = self._record_by_worker.get(worker)
            if record is not None and not record.is_operators:
                del self._record_by_worker[worker]

    def _failed(
        self, job_id: str, kind: str, workers: tuple[str, ...], now_ms: int
    ) -> None:
        self._failed_workers_by_job.setdefault(job_id, set()).update(workers)
        failed = self._failed_workers_by_kind.setdefault(kind, set())
        failed.update(w for w in workers if not self.is_closed(w))
        if len(failed) >= WORKERS_TO_BLAME_JOB + len(workers) - 1:
            self._acquit_workers(kind)
            return
        for worker in workers:
            record = self._record_by_worker.setdefault(worker, _WorkerRecord())
            counted = record.failures_by_kind.get(kind, 0.0) + 1 / len(workers)
            record.failures_by_kind[kind] = counted
            if record.verdict is Verdict.TRUSTED:
                record.verdict = Verdict.SUSPECT
            total = sum(record.failures_by_kind.values())
            if record.verdict is Verdict.SUSPECT and total >= FAILURES_TO_QUARANTINE:
                record.verdict = Verdict.QUARANTINED
                record.probe_at_ms = now_ms + record.probe_interval_ms

    def _acquit_workers(self, kind: str) -> None:
        """Take the failures of a kind that fails everywhere off all workers."""
        for worker, record in list(self._record_by_worker.items()):
            if record.is_operators or kind not in record.failures_by_kind:
                continue
            del record.failures_by_kind[kind]
            total = sum(record.failures_by_kind.values())
            if total == 0:
                del self._record_by_worker[worker]
            elif total < FAILURES_TO_QUARANTINE and self.is_closed(worker):
                record.verdict = Verdict.SUSPECT
