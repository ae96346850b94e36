"""Appends records in groups, and resolves appends whose answer was lost."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..core.model import NotRun, Reason, Unreachable
from ..core.streams import (
    AppendSearch,
    Batch,
    BufferFull,
    GroupCommitter,
    LogHealth,
    SearchResult,
)
from ..net.interfaces import Appended, LogService, Page, Truncated
from .streams_fold import Clock

__all__ = ["LogAppender"]

SEARCH_PAGE_RECORDS = 500
LOG_RETRY_AFTER_MS = 5_000

Outcome = Appended | Unreachable | NotRun


class _Waiter:
    """A caller waiting for its record to be appended."""

    def __init__(self):
        self.done = trio.Event()
        self.outcome: Outcome | None = None

    def finish(self, outcome):
        if self.outcome is None:
            self.outcome = outcome
            self.done.set()


class LogAppender:
    """Appends the batches of a ``GroupCommitter`` to the log.

    ``known_end`` returns an offset at or before the end of a stream, where the search
    for a batch without an answer starts.
    """

    def __init__(
        self,
        log: LogService,
        committer: GroupCommitter,
        health: LogHealth,
        clock: Clock,
        known_end: Callable[[str], int],
    ):
        self._log = log
        self._committer = committer
        self._health = health
        self._clock = clock
        self._known_end = known_end
        self._waiter_by_ticket: dict[int, _Waiter] = {}
        self._work_available = trio.Event()

    def is_up(self) -> bool:
        """Whether the log is believed to take appends."""
        return self._health.may_try(self._clock.now_ms())

    async def append(
        self,
        stream: str,
        data: bytes,
        *,
        deadline_ms: int | None,
        keep_until_appended: bool,
    ) -> Outcome:
        """Queue a record and wait for its append; see `StreamService.append`."""
        if not keep_until_appended and not self.is_up():
            return _log_unavailable()
        queued = self._committer.offer(
            stream, data, keep_until_appended=keep_until_appended
        )
        if isinstance(queued, BufferFull):
            return NotRun(
                Reason.QUEUE_FULL,
                f"appends to {stream}",
                retry_after_ms=queued.retry_after_ms,
            )
        waiter = _Waiter()
        self._waiter_by_ticket[queued.ticket] = waiter
        self._notify_runner()
        try:
            with trio.move_on_at(_deadline_s(deadline_ms)):
                await waiter.done.wait()
        finally:
            # Also reached when the caller is cancelled.
            self._waiter_by_ticket.pop(queued.ticket, None)
            if waiter.outcome is None:
                waiter.finish(self._withdraw(queued.ticket))
        return waiter.outcome

    def _withdraw(self, ticket):
        if self._committer.withdraw(ticket):
            return NotRun(
                Reason.LOG_UNAVAILABLE,
                "the log did not take the record in time",
                retry_after_ms=LOG_RETRY_AFTER_MS,
            )
        return Unreachable("the record may be in the log or may get there yet")

    async def run(self) -> None:
        """Append batches, at most one per stream at a time."""
        async with trio.open_nursery() as nursery:
            while True:
                work_available = self._work_available
                batch = self._committer.next_batch(self._clock.now_ms())
                if isinstance(batch, Batch):
                    nursery.start_soon(self._append_batch, batch)
                    continue
                with trio.move_on_at(_deadline_s(batch)):
                    await work_available.wait()

    async def _append_batch(self, batch):
        from_offset = self._known_end(batch.stream)
        answer = await self._log.append(batch.stream, batch.records)
        if isinstance(answer, Appended):
            self._health.on_answer()
            first = answer.first_offset
            self._finish(batch, tuple(range(first, first + len(batch.records))))
            return
        self._record_failure()
        offsets = None
        if answer.may_have_applied:
            offsets = await self._search_log(batch, from_offset)
        else:
            await self._pause()
        if offsets is not None:
            self._finish(batch, offsets)
            return
        self._committer.on_not_in_log(
            batch.stream, may_have_applied=answer.may_have_applied
        )
        self._refuse_unsent_during_outage()
        self._notify_runner()

    async def _search_log(self, batch, from_offset):
        """Return the offsets of a batch in the log, or None if it is not there.

        The first read starts after the answer was lost. While the log answers no reads
        either, the result is undetermined and the search continues.
        """
        search = AppendSearch(batch.records, from_offset)
        while True:
            page = await self._log.read(
                batch.stream,
                search.next_offset,
                limit=SEARCH_PAGE_RECORDS,
                wait_ms=0,
            )
            if isinstance(page, Truncated):
                search.on_truncated(page.first_available)
            elif isinstance(page, Page):
                result = search.on_page(
                    page.first_offset, page.records, page.end_offset
                )
                if result is SearchResult.FOUND:
                    return search.offsets
                if result is SearchResult.MISSING:
                    return None
            else:
                self._record_failure()
                await self._pause()

    def _record_failure(self):
        self._health.on_failure(self._clock.now_ms())
        self._refuse_unsent_during_outage()

    async def _pause(self):
        await trio.sleep(self._health.retry_delay_ms() / 1000)

    def _finish(self, batch, offsets):
        self._committer.on_done(batch.stream)
        for ticket, offset in zip(batch.tickets, offsets, strict=True):
            waiter = self._waiter_by_ticket.get(ticket)
            if waiter is not None:
                waiter.finish(Appended(offset, 1))
        self._notify_runner()

    def _refuse_unsent_during_outage(self):
        """During a log outage, refuse the records that were not sent yet at once."""
        if self.is_up():
            return
        for ticket in self._committer.withdraw_unsent():
            waiter = self._waiter_by_ticket.get(ticket)
            if waiter is not None:
                waiter.finish(_log_unavailable())

    def _notify_runner(self):
        self._work_available.set()
        self._work_available = trio.Event()


def _log_unavailable():
    return NotRun(
        Reason.LOG_UNAVAILABLE, "the log is out", retry_after_ms=LOG_RETRY_AFTER_MS
    )


def _deadline_s(deadline_ms):
    return float("inf") if deadline_ms is None else deadline_ms / 1000
