"""Progress deadlines: how long a request may bring no answer before it is suspect."""

from __future__ import annotations

from .entries import Entry, EntryTable
from .run_times import RunTimes

__all__ = ["ProgressRules"]

SUSPECT_FACTOR = 2
SILENT_ALLOWANCE_FACTOR = 4


class ProgressRules:
    """Sets the progress deadlines of open attempts.

    At its progress deadline a request is not given up: its siblings, the connections to
    the same endpoint that were open when it was sent, tell whether the connection or
    the request is slow. Only if none of them has answered since, all are suspect, and
    what runs on them for longer than twice the 95th percentile of its class is cut off.
    """

    def __init__(self, entries: EntryTable, run_times: RunTimes):
        self._entries = entries
        self._run_times = run_times

    def plan(self, entry: Entry, now_ms: int) -> None:
        """Set the next progress deadline; each silent attempt allows more time."""
        allowance_ms = self._run_times.progress_ms(entry.request.request_class)
        allowance_ms *= SILENT_ALLOWANCE_FACTOR**entry.silent_attempts
        self._set(entry, now_ms + allowance_ms)

    def suspect(self, request_ids: tuple[str, ...], now_ms: int) -> None:
        """Bring forward the deadlines of what runs on suspect connections."""
        for request_id in request_ids:
            entry = self._entries.get(request_id)
            if entry is None or entry.endpoint is None:
                continue
            entry.is_suspect = True
            entry.has_silent_siblings |= len(request_ids) > 1
            soon_ms = max(now_ms + 1, self._overdue_ms(entry))
            if soon_ms < entry.progress_deadline_ms:
                self._set(entry, soon_ms)

    def is_overdue(self, entry: Entry, now_ms: int) -> bool:
        """Whether an open attempt takes longer than is likely for its class."""
        return now_ms >= self._overdue_ms(entry)

    def _overdue_ms(self, entry: Entry) -> int:
        high_ms = self._run_times.high_ms(entry.request.request_class)
        return entry.sent_ms + int(SUSPECT_FACTOR * high_ms)

    def _set(self, entry: Entry, deadline_ms: int) -> None:
        entry.progress_deadline_ms = deadline_ms
        self._entries.wake_at(entry, deadline_ms)
