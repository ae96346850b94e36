"""Appends records in groups: one append at a time, all that waits goes into it."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from .clock import monotonic_ms
from .interfaces import Appended, Entry, KeyedLog, LogRefused
from .settings import SchedulingSettings

__all__ = ["Commit", "GroupWriter", "NotCommitted"]

GROUP_ENTRIES_MAX = 400
"""Entries of one append; 400 of some hundred bytes stay far below its 2 MB limit."""

GROUP_BYTES_MAX = 1_000_000
"""Bytes of one append, half of what the platform's log takes."""


@dataclass(frozen=True, slots=True)
class Commit:
    """The records are in the log, before offset ``end``."""

    end: int


@dataclass(frozen=True, slots=True)
class NotCommitted:
    """The records were not seen to be appended by the deadline.

    ``may_be_appended`` is False only if no append of them went without an answer.
    """

    detail: str
    may_be_appended: bool


class _Item:
    def __init__(self, entries: list[Entry], deadline_ms: int):
        self.entries = entries
        self.deadline_ms = deadline_ms
        self.may_be_appended = False
        self.outcome: Commit | NotCommitted | None = None
        self.done = trio.Event()

    def end(self, outcome: Commit | NotCommitted) -> None:
        self.outcome = outcome
        self.done.set()


class GroupWriter:
    """Appends what callers hand in; each waits for its own outcome.

    An append without an answer is repeated until its deadline. Its records may then
    be in the log twice, which the table ignores.
    """

    def __init__(self, log: KeyedLog, settings: SchedulingSettings):
        self._log = log
        self.settings = settings
        self._waiting: list[_Item] = []
        self._wake = trio.Event()

    async def commit(
        self, entries: list[Entry], deadline_ms: int
    ) -> Commit | NotCommitted:
        """Append ``entries`` and return once that is known, or at the deadline."""
        item = _Item(entries, deadline_ms)
        self._waiting.append(item)
        self._wake.set()
        await item.done.wait()
        return item.outcome

    async def run(self) -> None:
        """Append groups until cancelled."""
        while True:
            if not self._waiting:
                self._wake = trio.Event()
                await self._wake.wait()
            group = self._take_group()
            if group:
                await self._append(group)

    def _take_group(self) -> list[_Item]:
        group: list[_Item] = []
        entries = size = 0
        while self._waiting and entries < GROUP_ENTRIES_MAX and size < GROUP_BYTES_MAX:
            item = self._waiting.pop(0)
            group.append(item)
            entries += len(item.entries)
            size += sum(len(key) + len(value) for key, value in item.entries)
        return group

    async def _append(self, group: list[_Item]) -> None:
        entries = [entry for item in group for entry in item.entries]
        outcome = await self._log.append(
            entries, timeout_ms=self.settings.log_call_timeout_ms
        )
        if isinstance(outcome, Appended):
            for item in group:
                item.end(Commit(outcome.end))
            return
        was_refused = isinstance(outcome, LogRefused)
        retry: list[_Item] = []
        next_try_ms = monotonic_ms() + self.settings.log_retry_ms
        for item in group:
            item.may_be_appended |= not was_refused
            if next_try_ms < item.deadline_ms:
                retry.append(item)
            else:
                detail = getattr(outcome, "detail", "not appended")
                item.end(NotCommitted(detail, item.may_be_appended))
        if retry:
            self._waiting[:0] = retry
            await trio.sleep(self.settings.log_retry_ms / 1000)
