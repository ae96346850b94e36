"""Group commit: records of concurrent callers are appended together."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from ..daemon.logs import log_failure
from .clock import monotonic_ms
from .interfaces import Appended, Entry, KeyedLog, LogRefused, entry_bytes
from .settings import SchedulingSettings

__all__ = ["Committed", "GroupWriter", "NotCommitted"]

GROUP_ENTRIES_MAX = 400
"""Number of entries at which a group of several callers is full."""


@dataclass(frozen=True, slots=True)
class Committed:
    """The records are in the log, at offsets below ``end``."""

    end: int


@dataclass(frozen=True, slots=True)
class NotCommitted:
    """The append was not confirmed in the time that the caller allowed.

    ``may_be_appended`` is False only if there was no attempt, or the log refused each.
    """

    detail: str
    may_be_appended: bool


class _PendingAppend:
    def __init__(self, entries: list[Entry], last_try_ms: int):
        self.entries = entries
        self.bytes = sum(map(entry_bytes, entries))
        self.last_try_ms = last_try_ms
        self.is_in_flight = False
        self.may_be_appended = False
        self.detail = "not tried in time"
        self.outcome: Committed | NotCommitted | None = None
        self.done = trio.Event()

    def end(self, outcome: Committed | NotCommitted) -> None:
        """Set the outcome, unless the append has ended already."""
        if self.outcome is None:
            self.outcome = outcome
            self.done.set()

    def end_not_committed(self) -> None:
        may_be_appended = self.may_be_appended or self.is_in_flight
        self.end(NotCommitted(self.detail, may_be_appended))


class GroupWriter:
    """Appends the records of concurrent callers, each of which awaits its own outcome.

    A failed append is retried while the callers allow it. Records may be in the log
    twice after a lost answer; the table ignores the repetition.
    """

    def __init__(self, log: KeyedLog, settings: SchedulingSettings):
        self._log = log
        self.settings = settings
        self._waiting: list[_PendingAppend] = []
        self._wake = trio.Event()

    async def commit(
        self, entries: list[Entry], deadline_ms: int, last_try_ms: int | None = None
    ) -> Committed | NotCommitted:
        """Append ``entries``; returns when that is confirmed, or by the deadline.

        No attempt begins after ``last_try_ms``, by default the deadline.
        """
        last_try_ms = deadline_ms if last_try_ms is None else last_try_ms
        item = _PendingAppend(entries, min(deadline_ms, last_try_ms))
        self._waiting.append(item)
        self._wake.set()
        remaining_ms = max(0, deadline_ms - monotonic_ms())
        with trio.move_on_after(remaining_ms / 1000):
            await item.done.wait()
        item.end_not_committed()
        return item.outcome

    async def run(self) -> None:
        """Append groups until cancelled."""
        while True:
            if not self._waiting:
                self._wake = trio.Event()
                await self._wake.wait()
            group = self._take_group()
            if group:
                await self._append_or_end(group)

    def _take_group(self) -> list[_PendingAppend]:
        """Return the first items that fit into one append; a larger one is alone."""
        self._drop_ended_items()
        bytes_max = self.settings.append_bytes_max()
        group: list[_PendingAppend] = []
        entries = size = 0
        for item in self._waiting:
            entries += len(item.entries)
            size += item.bytes
            if group and (entries > GROUP_ENTRIES_MAX or size > bytes_max):
                break
            group.append(item)
        del self._waiting[: len(group)]
        return group

    def _drop_ended_items(self) -> None:
        now = monotonic_ms()
        for item in self._waiting:
            if item.last_try_ms <= now:
                item.end_not_committed()
        self._waiting = [item for item in self._waiting if item.outcome is None]

    async def _append_or_end(self, group: list[_PendingAppend]) -> None:
        for item in group:
            item.is_in_flight = True
            item.detail = "no answer by the deadline"
        try:
            await self._append(group)
        except Exception as error:
            log_failure("group_append_failed", entries=len(group))
            for item in group:
                item.end(NotCommitted(repr(error), may_be_appended=True))

    async def _append(self, group: list[_PendingAppend]) -> None:
        entries = [entry for item in group for entry in item.entries]
        outcome = await self._log.append(
            entries, timeout_ms=self.settings.log_call_timeout_ms
        )
        if isinstance(outcome, Appended):
            for item in group:
                item.end(Committed(outcome.end))
            return
        was_refused = isinstance(outcome, LogRefused)
        retry: list[_PendingAppend] = []
        next_try_ms = monotonic_ms() + self.settings.log_retry_ms
        for item in group:
            item.is_in_flight = False
            item.may_be_appended |= not was_refused
            item.detail = getattr(outcome, "detail", "not appended")
            if next_try_ms < item.last_try_ms:
                retry.append(item)
            else:
                item.end_not_committed()
        if retry:
            self._waiting[:0] = retry
            await trio.sleep(self.settings.log_retry_ms / 1000)
