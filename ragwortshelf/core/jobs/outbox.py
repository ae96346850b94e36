"""Queue of records to be appended to the jobs stream."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass

from ..streams import Record
from .actions import AppendRecord
from .events import ActionResult

__all__ = ["Outbox"]

RETRY_INTERVAL_MS = 500
READ_BACK_TIMEOUT_MS = 5_000


_Key = tuple[str, type]


@dataclass(slots=True)
class _Pending:
    record: Record
    retry_at_ms: int


class Outbox:
    """Schedules appends of records, and repeats them until the records are read back.

    A pending record is repeated until the caller drops it, after reading that record or
    another that makes it void. The backlog holds records of jobs that were accepted
    while the log was down. They are appended one at a time, in order, and each is
    repeated until its append is confirmed.
    """

    def __init__(self) -> None:
        self._pending_by_key: dict[_Key, _Pending] = {}
        # (retry_at_ms, arrival, key); entries whose retry time has changed are skipped.
        self._queue: list[tuple[int, int, _Key]] = []
        self._arrivals = 0
        self._backlog: deque[Record] = deque()
        self._backlog_retry_at_ms = 0

    def set_pending(self, job_id: str, record: Record, now_ms: int) -> None:
        """Schedule ``record``, replacing any pending one of its type and job."""
        key = (job_id, type(record))
        self._pending_by_key[key] = _Pending(record, now_ms)
        self._schedule(key, now_ms)

    def has_pending(self, job_id: str, *record_types: type) -> bool:
        """Whether a record of one of these types is pending for the job."""
        return any((job_id, cls) in self._pending_by_key for cls in record_types)

    def drop(self, job_id: str, *record_types: type) -> None:
        """Forget pending records of these types for the job."""
        for cls in record_types:
            self._pending_by_key.pop((job_id, cls), None)

    def push_backlog(self, record: Record) -> None:
        """Add ``record`` at the end of the backlog."""
        self._backlog.append(record)

    @property
    def is_empty(self) -> bool:
        """Whether no record is pending and the backlog is empty."""
        return not self._pending_by_key and not self._backlog

    def due(self, now_ms: int) -> list[AppendRecord]:
        """Return the appends that are due, and schedule their repetition."""
        actions = []
        if self._backlog and now_ms >= self._backlog_retry_at_ms:
            self._backlog_retry_at_ms = now_ms + READ_BACK_TIMEOUT_MS
            actions.append(AppendRecord(self._backlog[0]))
        while self._queue and self._queue[0][0] <= now_ms:
            at_ms, _, key = heapq.heappop(self._queue)
            pending = self._pending_by_key.get(key)
            if pending is not None and pending.retry_at_ms == at_ms:
                self._schedule(key, now_ms + READ_BACK_TIMEOUT_MS)
                actions.append(AppendRecord(pending.record))
        return actions

    def handle_answer(
        self, action: AppendRecord, result: ActionResult, now_ms: int
    ) -> None:
        """Continue with the backlog, or retry the append if it may have failed."""
        record = action.record
        is_appended = result is ActionResult.APPLIED
        if self._backlog and self._backlog[0] == record:
            self._backlog_retry_at_ms = now_ms + (
                0 if is_appended else RETRY_INTERVAL_MS
            )
            if is_appended:
                self._backlog.popleft()
        job_id = getattr(record, "job_id", "")
        key = (job_id, type(record))
        if key in self._pending_by_key and not is_appended:
            self._schedule(key, now_ms + RETRY_INTERVAL_MS)

    def _schedule(self, key: _Key, at_ms: int) -> None:
        self._pending_by_key[key].retry_at_ms = at_ms
        self._arrivals += 1
        heapq.heappush(self._queue, (at_ms, self._arrivals, key))
