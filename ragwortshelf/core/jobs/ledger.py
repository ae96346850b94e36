"""Fold of the jobs stream into the state of every job."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from ..charging import ForgottenIds, ForgottenIdSet
from ..model import JobPhase, Reason
from ..streams import (
    AttemptClaimed,
    AttemptEnded,
    AttemptStarted,
    CancelRequested,
    JobAccepted,
    JobEnded,
    JobMoved,
    Record,
    StreamLedger,
)
from .job_entry import JobEntry, LostWork

__all__ = ["LedgerSnapshot", "JobLedger"]

ENDED_JOBS_KEPT = 20_000
FORGOTTEN_PREFIXES_KEPT = 20_000
REASONS_OUTSIDE_RETRY_BUDGET = frozenset({Reason.RECLAIMED})


@dataclass(frozen=True, slots=True)
class LedgerSnapshot:
    """Contents of a `JobLedger`, in the order on which its behaviour depends."""

    entries: tuple[JobEntry, ...]
    ended_ids: tuple[str, ...]
    forgotten: tuple[ForgottenIds, ...]


class JobLedger(StreamLedger):
    """State of all jobs according to the records applied so far.

    The state depends only on the order of the records, so all instances agree. A claim
    wins if the job is waiting, its home is the claim's data centre and the attempt is
    new. A record about an attempt takes effect only while that attempt is the newest.
    The first outcome is final. A duplicate of any record changes nothing.

    The newest ``ended_kept`` ended jobs stay readable. Of older ones only the numbers
    in their ids are kept, as ranges, so that a late duplicate of `JobAccepted` cannot
    run them again.
    """

    SNAPSHOT_TYPE = LedgerSnapshot

    def __init__(self, *, ended_kept: int = ENDED_JOBS_KEPT) -> None:
        self._ended_kept = ended_kept
        self._entry_by_id: dict[str, JobEntry] = {}
        self._active_ids: dict[str, None] = {}
        self._ended_ids: dict[str, None] = {}
        self._forgotten = ForgottenIdSet(FORGOTTEN_PREFIXES_KEPT)

    def get(self, job_id: str) -> JobEntry | None:
        """Return the state of the job, or None if it is unknown or forgotten."""
        return self._entry_by_id.get(job_id)

    def active(self) -> Iterator[JobEntry]:
        """Iterate over jobs without an outcome, oldest first."""
        return (self._entry_by_id[job_id] for job_id in self._active_ids)

    def entries(self) -> Iterator[JobEntry]:
        """Iterate over all jobs that are still readable."""
        return iter(tuple(self._entry_by_id.values()))

    def of_organisation(self, organisation: str) -> tuple[JobEntry, ...]:
        """Return the organisation's jobs that are still readable."""
        return tuple(
            entry
            for entry in self._entry_by_id.values()
            if entry.spec.organisation == organisation
        )

    @property
    def active_count(self) -> int:
        """Number of jobs without an outcome."""
        return len(self._active_ids)

    def has_ended(self, job_id: str) -> bool:
        """Whether the job has an outcome, including forgotten jobs."""
        return job_id in self._ended_ids or job_id in self._forgotten

    def apply(self, record: Record) -> JobEntry | None:
        """Apply the next record of the stream; return the changed job, if any."""
        if isinstance(record, JobAccepted):
            return self._apply_acceptance(record)
        job_id = getattr(record, "job_id", None)
        entry = self._entry_by_id.get(job_id)
        if entry is None or entry.phase.is_final:
            return None
        changed = _apply_to_entry(entry, record)
        if changed is None:
            return None
        self._entry_by_id[job_id] = changed
        if changed.phase.is_final:
            self._mark_ended(job_id)
        return changed

    def to_snapshot(self) -> LedgerSnapshot:
        """Return everything that the ledger holds."""
        return LedgerSnapshot(
            tuple(self._entry_by_id.values()),
            tuple(self._ended_ids),
            self._forgotten.to_tuple(),
        )

    def _load(self, snapshot: LedgerSnapshot) -> None:
        self._entry_by_id = {entry.spec.job_id: entry for entry in snapshot.entries}
        self._ended_ids = dict.fromkeys(snapshot.ended_ids)
        self._active_ids = {
            job_id: None
            for job_id, entry in self._entry_by_id.items()
            if not entry.phase.is_final
        }
        self._forgotten.load(snapshot.forgotten)

    def _apply_acceptance(self, record: JobAccepted) -> JobEntry | None:
        job_id = record.spec.job_id
        if job_id in self._entry_by_id or job_id in self._forgotten:
            return None
        entry = JobEntry(record.spec, record.accepted_by, record.spec.home_data_centre)
        if record.claim is not None:
            entry = _apply_claim(entry, record.claim) or entry
        self._entry_by_id[job_id] = entry
        self._active_ids[job_id] = None
        return entry

    def _mark_ended(self, job_id: str) -> None:
        del self._active_ids[job_id]
        self._ended_ids[job_id] = None
        while len(self._ended_ids) > self._ended_kept:
            oldest = next(iter(self._ended_ids))
            del self._ended_ids[oldest]
            del self._entry_by_id[oldest]
            self._forgotten.add(oldest)


def _apply_to_entry(entry: JobEntry, record: Record) -> JobEntry | None:
    """Return the job after ``record``, or None if the record changes nothing."""
    if isinstance(record, AttemptClaimed):
        return _apply_claim(entry, record)
    if isinstance(record, CancelRequested):
        if entry.is_cancel_requested:
            return None
        return replace(entry, is_cancel_requested=True)
    if isinstance(record, JobMoved):
        if record.move != entry.moves + 1 or entry.is_open:
            return None
        return replace(entry, moves=record.move, home_data_centre=record.to_data_centre)
    if record.attempt != entry.attempt:
        return None
    if isinstance(record, AttemptStarted):
        if not entry.is_open or entry.phase is JobPhase.STARTED:
            return None
        return replace(
            entry, phase=JobPhase.STARTED, started_wall_ms=record.started_wall_ms
        )
    if isinstance(record, AttemptEnded):
        return _apply_attempt_end(entry, record)
    if isinstance(record, JobEnded):
        return _apply_job_end(entry, record)
    return None


def _apply_job_end(entry: JobEntry, record: JobEnded) -> JobEntry:
    lost = entry.lost
    if record.phase is JobPhase.INTERRUPTED and entry.is_open:
        accelerator_ms = _lost_accelerator_ms(entry, record.lost_ms)
        lost = (*lost, LostWork(record.attempt, accelerator_ms))
    return replace(entry, phase=record.phase, is_open=False, ended=record, lost=lost)


def _lost_accelerator_ms(entry: JobEntry, lost_ms: int | None) -> int | None:
    return None if lost_ms is None else lost_ms * entry.spec.accelerators


def _apply_claim(entry: JobEntry, record: AttemptClaimed) -> JobEntry | None:
    if not entry.is_waiting or record.attempt <= entry.attempt:
        return None
    if record.data_centre != entry.home_data_centre:
        return None
    return replace(
        entry,
        phase=JobPhase.LEASED,
        attempt=record.attempt,
        claim=record,
        is_open=True,
    )


def _apply_attempt_end(entry: JobEntry, record: AttemptEnded) -> JobEntry | None:
    if not entry.is_open:
        return None
    is_loss = record.has_started and record.reason not in REASONS_OUTSIDE_RETRY_BUDGET
    failed_workers = entry.failed_workers
    if record.reason is Reason.TASK_FAILED:
        workers = {grant.worker for grant in entry.claim.grants}
        failed_workers = tuple(sorted(workers.union(failed_workers)))
    lost = LostWork(record.attempt, _lost_accelerator_ms(entry, record.lost_ms))
    return replace(
        entry,
        phase=JobPhase.ACCEPTED,
        is_open=False,
        lost=(*entry.lost, lost),
        has_started=entry.has_started or record.has_started,
        checkpoint=max(entry.checkpoint, record.checkpoint),
        attempts_lost=entry.attempts_lost + is_loss,
        failed_workers=failed_workers,
    )
