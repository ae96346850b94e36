"""Progress deadlines of requests, for detecting connections that stopped responding."""

from __future__ import annotations

from .entries import Entry, EntryTable
from .run_times import RunTimes

__all__ = ["ProgressRules"]

SUSPECT_FACTOR = 2
SILENT_ALLOWANCE_FACTOR = 4


class ProgressRules:
    """Sets the progress deadlines of open attempts.

    A request continues after its progress deadline until its connection is suspect. The
    siblings of the connection, which were open to the same endpoint when the request
    was sent, show whether the connection or only the request is slow. If none of them
    has answered since, all of them are suspect, and requests that have run on them for
    longer than twice the 95th percentile of their class are aborted. A non-idempotent
    request is aborted only if one of the siblings carries a request as well.
    """

    def __init__(self, entries: EntryTable, run_times: RunTimes):
        self._entries = entries
        self._run_times = run_times

    def set_next_deadline(self, entry: Entry, now_ms: int) -> None:
        """Set the next progress deadline.

        The allowance grows by ``SILENT_ALLOWANCE_FACTOR`` with each silent attempt.
        """
        allowance_ms = self._run_times.progress_ms(entry.request.request_class)
        allowance_ms *= SILENT_ALLOWANCE_FACTOR**entry.silent_attempts
        self._store_deadline(entry, now_ms + allowance_ms)

    def mark_suspect(self, request_ids: tuple[str, ...], now_ms: int) -> None:
        """Bring forward the progress deadlines of requests on suspect connections."""
        for request_id in request_ids:
            entry = self._entries.get(request_id)
            if entry is None or entry.endpoint is None:
                continue
            entry.is_suspect = True
            entry.has_silent_siblings |= len(request_ids) > 1
            new_deadline_ms = max(now_ms + 1, self._overdue_ms(entry))
            if new_deadline_ms < entry.progress_deadline_ms:
                self._store_deadline(entry, new_deadline_ms)

    def is_overdue(self, entry: Entry, now_ms: int) -> bool:
        """Whether an open attempt has run longer than its class is likely to take.

        The threshold is ``SUSPECT_FACTOR`` times the 95th percentile of the run time.
        """
        return now_ms >= self._overdue_ms(entry)

    def _overdue_ms(self, entry: Entry) -> int:
        p95_ms = self._run_times.p95_ms(entry.request.request_class)
        return entry.sent_ms + int(SUSPECT_FACTOR * p95_ms)

    def _store_deadline(self, entry: Entry, deadline_ms: int) -> None:
        entry.progress_deadline_ms = deadline_ms
        self._entries.wake_at(entry, deadline_ms)
