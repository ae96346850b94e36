"""Follows one stream of the log by long polling, and handles gaps and outages."""

from __future__ import annotations

from collections.abc import Callable

import trio
from absl import logging

from ..core.streams import (
    LogHealth,
    Record,
    Skipped,
    SnapshotReader,
    StreamFollower,
)
from ..net.interfaces import LogService, Page, Truncated
from .streams_fold import Clock, Fold

__all__ = ["FollowedStream"]

PAGE_RECORDS = 500
POLL_WAIT_MS = 2_000
RECORDS_BETWEEN_YIELDS = 50
GAP_RETRY_INTERVAL_S = 1.0
SKIPPED_RECORDS_LOGGED_MAX = 20


class FollowedStream:
    """A stream with its fold, its callbacks and the tasks waiting for progress."""

    def __init__(
        self,
        log: LogService,
        stream: str,
        fold: Fold,
        health: LogHealth,
        clock: Clock,
        snapshots: SnapshotReader,
        *,
        skips_gaps: bool = False,
    ):
        """``skips_gaps`` is for a stream whose expired records are not needed."""
        self.fold = fold
        self.follower = StreamFollower(stream)
        self.on_record: list[Callable[[int, Record], None]] = []
        self.on_restored: list[Callable[[int], None]] = []
        self._log = log
        self._health = health
        self._clock = clock
        self._snapshots = snapshots
        self._skips_gaps = skips_gaps
        self._advanced = trio.Event()
        self._has_logged_end_moved_back = False

    @property
    def stream(self) -> str:
        """The name of the stream."""
        return self.follower.stream

    async def run(self) -> None:
        """Read and apply pages until cancelled."""
        while True:
            await self.read_once(POLL_WAIT_MS)

    async def read_once(self, wait_ms: int) -> bool:
        """Read and apply one page; returns whether the log answered."""
        answer = await self._log.read(
            self.stream,
            self.follower.next_offset,
            limit=PAGE_RECORDS,
            wait_ms=wait_ms,
        )
        if isinstance(answer, Page):
            self._health.on_answer()
            await self._apply_page(answer)
        elif isinstance(answer, Truncated):
            self._health.on_answer()
            self.follower.mark_truncated(answer.first_available, answer.end_offset)
        else:
            self._health.on_failure(self._clock.now_ms())
            await trio.sleep(self._health.retry_delay_ms() / 1000)
            return False
        if self.follower.is_missing_records:
            await self._close_gap()
        return True

    def restore(self, next_offset: int, data: bytes) -> bool:
        """Restore a newer state; False if it is not newer or cannot be decoded."""
        if next_offset <= self.follower.next_offset or not self.fold.restore(data):
            return False
        self.follower.advance_to(next_offset)
        for callback in self.on_restored:
            callback(next_offset)
        self._notify_waiters()
        return True

    def restore_newest_snapshot(self) -> bool:
        """Restore the newest complete snapshot of the log, if it is ahead."""
        newest = self._snapshots.newest_by_stream.get(self.stream)
        return newest is not None and self.restore(newest.covers_offset, newest.data)

    async def wait_applied(self, offset: int) -> None:
        """Wait until the record at ``offset`` has been applied."""
        while self.follower.next_offset <= offset:
            await self._advanced.wait()

    async def _apply_page(self, page):
        items = self.follower.deliver(page.first_offset, page.records, page.end_offset)
        for processed, item in enumerate(items, 1):
            if isinstance(item, Skipped):
                self._log_skipped(item)
            else:
                self.fold.apply(item.offset, item.record)
                for callback in self.on_record:
                    callback(item.offset, item.record)
            if processed % RECORDS_BETWEEN_YIELDS == 0:
                # Let other tasks run regularly while catching up.
                self._notify_waiters()
                await trio.lowlevel.checkpoint()
        self._log_if_end_moved_back()
        self._notify_waiters()
        if not page.records:
            # A log that answers empty pages immediately must not block other tasks.
            await trio.lowlevel.checkpoint()

    async def _close_gap(self):
        """Skip expired records if they are not needed, else restore a newer snapshot.

        Without such a snapshot, the gap stays until a peer's state is adopted.
        """
        if self._skips_gaps:
            self.follower.advance_to(self.follower.first_available)
            return
        if not self.restore_newest_snapshot():
            logging.warning(
                "stream %s: records from %d to %d are past retention",
                self.stream,
                self.follower.next_offset,
                self.follower.first_available,
            )
        if self.follower.is_missing_records:
            await trio.sleep(GAP_RETRY_INTERVAL_S)

    def _log_skipped(self, skipped):
        if self.follower.skipped <= SKIPPED_RECORDS_LOGGED_MAX:
            logging.error(
                "stream %s: record %d is skipped: %s",
                self.stream,
                skipped.offset,
                skipped.detail,
            )

    def _log_if_end_moved_back(self):
        if self.follower.is_ahead_of_log and not self._has_logged_end_moved_back:
            self._has_logged_end_moved_back = True
            logging.error(
                "stream %s ends at %d, before the applied offset %d",
                self.stream,
                self.follower.end_offset,
                self.follower.next_offset,
            )

    def _notify_waiters(self):
        self._advanced.set()
        self._advanced = trio.Event()
