"""Records on their way into the jobs stream."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..streams import Record
from .actions import AppendRecord
from .events import Verdict

__all__ = ["Outbox"]

RETRY_EVERY_MS = 500
READ_BACK_TIMEOUT_MS = 5_000


@dataclass(slots=True)
class _Pending:
    record: Record
    retry_at_ms: int


class Outbox:
    """Appends records until they are read back.

    A pending record is appended again until the caller drops it, having read what
    came of it. The backlog holds records of jobs that were accepted while the log was
    down; they go in one after another, in order.
    """

    def __init__(self) -> None:
        self._pending_by_key: dict[tuple[str, type], _Pending] = {}
        self._backlog: deque[Record] = deque()
        self._backlog_retry_at_ms = 0

    def set_pending(self, job_id: str, record: Record, now_ms: int) -> None:
        """Append ``record`` soon, in place of an earlier one of its type and job."""
        self._pending_by_key[job_id, type(record)] = _Pending(record, now_ms)

    def has_pending(self, job_id: str, *record_types: type) -> bool:
        """Whether a record of one of these types is on its way for the job."""
        return any((job_id, cls) in self._pending_by_key for cls in record_types)

    def drop(self, job_id: str, *record_types: type) -> None:
        """Forget pending records of these types for the job."""
        for cls in record_types:
            self._pending_by_key.pop((job_id, cls), None)

    def push_backlog(self, record: Record) -> None:
        """Append ``record`` after all others of the backlog."""
        self._backlog.append(record)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is on its way."""
        return not self._pending_by_key and not self._backlog

    def due(self, now_ms: int) -> list[AppendRecord]:
        """Return the appends to send now, noting that they are sent."""
        actions = []
        if self._backlog and now_ms >= self._backlog_retry_at_ms:
            self._backlog_retry_at_ms = now_ms + READ_BACK_TIMEOUT_MS
            actions.append(AppendRecord(self._backlog[0]))
        for pending in self._pending_by_key.values():
            if now_ms >= pending.retry_at_ms:
                pending.retry_at_ms = now_ms + READ_BACK_TIMEOUT_MS
                actions.append(AppendRecord(pending.record))
        return actions

    def answered(self, action: AppendRecord, verdict: Verdict, now_ms: int) -> None:
        """Go on after an answer; a record without one is appended again."""
        record = action.record
        is_in = verdict is Verdict.APPLIED
        if self._backlog and self._backlog[0] == record:
            self._backlog_retry_at_ms = now_ms + (0 if is_in else RETRY_EVERY_MS)
            if is_in:
                self._backlog.popleft()
        job_id = getattr(record, "job_id", "")
        pending = self._pending_by_key.get((job_id, type(record)))
        if pending is not None and not is_in:
            pending.retry_at_ms = now_ms + RETRY_EVERY_MS
