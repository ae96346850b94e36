"""Service that follows streams of the log, appends records and writes snapshots."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import trio
from absl import logging

from ..core.model import NotRun, Unreachable
from ..core.streams import (
    SNAPSHOTS_STREAM,
    CommitLimits,
    GroupCommitter,
    LogHealth,
    Record,
    SnapshotChunk,
    SnapshotPolicy,
    SnapshotReader,
    SnapshotSchedule,
    Undecodable,
    decode,
    encode,
    encode_record,
    split_snapshot,
)
from ..net.interfaces import Appended, LogService
from .streams_appends import LogAppender
from .streams_fold import Clock, Fold
from .streams_following import FollowedStream

__all__ = ["StreamService", "StreamStatus"]

SNAPSHOT_CHECK_INTERVAL_S = 1.0
INITIAL_READ_WAIT_MS = 0
MAX_CONCURRENT_CHUNKS = 5
CHUNK_TIMEOUT_MS = 60_000


@dataclass(frozen=True, slots=True)
class StreamStatus:
    """Progress of this instance in one stream.

    ``end_offset`` is the end of the stream as last read, ``skipped`` the number of
    undecodable records, and ``waiting_appends`` that of records not yet in the log.
    """

    stream: str
    next_offset: int
    end_offset: int
    is_caught_up: bool
    is_missing_records: bool
    skipped: int
    waiting_appends: int


@dataclass(frozen=True, slots=True)
class _PeerStream:
    stream: str
    next_offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class _PeerState:
    """The folds of an instance, as sent to a peer; its class name is in the message."""

    streams: tuple[_PeerStream, ...]


class StreamService:
    """Applies streams to folds, appends records and keeps snapshots in the log.

    ``folds`` maps each stream to its fold. Positions only move forward, and a fold is
    never restored to a state older than its own.

    A new instance first reads the snapshots, then each stream from the offset that its
    newest snapshot covers; ``is_caught_up`` becomes true when it has finished.
    """

    def __init__(
        self,
        log: LogService,
        instance: str,
        folds: Mapping[str, Fold],
        rng: random.Random,
        *,
        limits: CommitLimits | None = None,
        snapshot_policy: SnapshotPolicy | None = None,
        clock: Clock | None = None,
    ):
        self._instance = instance
        self._clock = clock or Clock()
        self._reads = LogHealth(rng)
        self._snapshots = SnapshotReader()
        self._schedule_by_stream = {
            stream: SnapshotSchedule(snapshot_policy or SnapshotPolicy(), rng)
            for stream in folds
        }

        shared = (self._reads, self._clock, self._snapshots)
        self._followed_by_stream = {
            stream: FollowedStream(log, stream, fold, *shared)
            for stream, fold in folds.items()
        }
        self._snapshot_stream = FollowedStream(
            log,
            SNAPSHOTS_STREAM,
            _SnapshotsFold(self._on_chunk),
            *shared,
            skips_gaps=True,
        )
        self._committer = GroupCommitter(limits or CommitLimits())
        self._appender = LogAppender(
            log, self._committer, LogHealth(rng), self._clock, self._known_end
        )

    async def run(self) -> None:
        """Follow, append and write snapshots until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._appender.run)
            await self._read_snapshots()
            nursery.start_soon(self._snapshot_stream.run)
            for followed in self._followed_by_stream.values():
                followed.restore_newest_snapshot()
                nursery.start_soon(followed.run)
            nursery.start_soon(self._write_due_snapshots)

    async def append(
        self,
        stream: str,
        record: Record,
        *,
        deadline_ms: int | None = None,
        keep_until_appended: bool = False,
    ) -> Appended | Unreachable | NotRun:
        """Append one record, grouped with others, and return its offset.

        ``NotRun`` means that the record is not in the log and never will be, because
        the log is unavailable or the buffer is full. ``Unreachable`` means that the
        record may be in the log now or be added later, and is returned only after
        ``deadline_ms``. With ``keep_until_appended``, the record stays buffered in
        order during an outage, even if the caller stops waiting.
        """
        return await self._appender.append(
            stream,
            encode_record(record),
            deadline_ms=deadline_ms,
            keep_until_appended=keep_until_appended,
        )

    async def wait_for(
        self, stream: str, offset: int, deadline_ms: int | None = None
    ) -> bool:
        """Wait until the record at ``offset`` is applied; False after the deadline."""
        deadline_s = float("inf") if deadline_ms is None else deadline_ms / 1000
        with trio.move_on_at(deadline_s):
            await self._followed_by_stream[stream].wait_applied(offset)
            return True
        return False

    def position(self, stream: str) -> int:
        """Return the offset of the next record to apply."""
        return self._followed_by_stream[stream].follower.next_offset

    def is_caught_up(self, stream: str | None = None) -> bool:
        """Whether a stream, or by default every stream, was read to its known end."""
        names = self._followed_by_stream if stream is None else (stream,)
        return all(
            self._followed_by_stream[name].follower.is_caught_up for name in names
        )

    def is_log_up(self) -> bool:
        """Whether the log answers reads and is not known to refuse appends."""
        now_ms = self._clock.now_ms()
        return self._reads.is_up(now_ms) and self._appender.is_up()

    def status(self) -> tuple[StreamStatus, ...]:
        """Return the progress of every followed stream."""
        return tuple(
            StreamStatus(
                stream,
                followed.follower.next_offset,
                followed.follower.end_offset,
                followed.follower.is_caught_up,
                followed.follower.is_missing_records,
                followed.follower.skipped,
                self._committer.waiting(stream),
            )
            for stream, followed in self._followed_by_stream.items()
        )

    def set_instances(self, count: int) -> None:
        """Divide the append budget among ``count`` live instances."""
        self._committer.set_instances(count)

    def on_record(self, stream: str, callback: Callable[[int, Record], None]) -> None:
        """Register a callback for each applied record; it must not block."""
        self._followed_by_stream[stream].on_record.append(callback)

    def on_restored(self, stream: str, callback: Callable[[int], None]) -> None:
        """Register a callback that gets the new position after a fold was restored."""
        self._followed_by_stream[stream].on_restored.append(callback)

    def state_for_peer(self) -> bytes:
        """Encode the state of every stream for an instance that cannot read the log."""
        return encode(
            _PeerState(
                tuple(
                    _PeerStream(
                        stream, followed.follower.next_offset, followed.fold.snapshot()
                    )
                    for stream, followed in self._followed_by_stream.items()
                    if followed.follower.next_offset and not followed.fold.is_halted
                )
            )
        )

    def adopt_from_peer(self, data: bytes) -> tuple[str, ...]:
        """Restore the streams in which a peer is ahead, and return their names."""
        state = decode(data, {"_PeerState": _PeerState})
        if isinstance(state, Undecodable):
            logging.error("state of a peer cannot be read: %s", state.detail)
            return ()
        return tuple(
            part.stream
            for part in state.streams
            if part.stream in self._followed_by_stream
            and self._followed_by_stream[part.stream].restore(
                part.next_offset, part.data
            )
        )

    def _known_end(self, stream):
        if stream == SNAPSHOTS_STREAM:
            return self._snapshot_stream.follower.next_offset
        followed = self._followed_by_stream.get(stream)
        return 0 if followed is None else followed.follower.next_offset

    async def _read_snapshots(self):
        """Read the snapshots stream to its end, retrying through log outages."""
        while not self._snapshot_stream.follower.is_caught_up:
            await self._snapshot_stream.read_once(INITIAL_READ_WAIT_MS)

    def _on_chunk(self, offset, chunk):
        complete_snapshot = self._snapshots.on_chunk(offset, chunk)
        schedule = self._schedule_by_stream.get(chunk.stream)
        if complete_snapshot is not None and schedule is not None:
            schedule.on_complete_snapshot(complete_snapshot, self._clock.now_ms())

    async def _write_due_snapshots(self):
        while True:
            await trio.sleep(SNAPSHOT_CHECK_INTERVAL_S)
            for stream, followed in self._followed_by_stream.items():
                if self._should_write(stream, followed):
                    await self._write_snapshot(stream, followed)

    def _should_write(self, stream, followed):
        if not self.is_log_up() or followed.fold.is_halted:
            return False
        return self._schedule_by_stream[stream].should_write(
            followed.follower.next_offset,
            self._snapshot_stream.follower.end_offset,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )

    async def _write_snapshot(self, stream, followed):
        chunks = split_snapshot(
            stream,
            followed.follower.next_offset,
            self._instance,
            followed.fold.snapshot(),
            self._clock.wall_ms(),
        )
        for start in range(0, len(chunks), MAX_CONCURRENT_CHUNKS):
            if not await self._append_chunks(
                chunks[start : start + MAX_CONCURRENT_CHUNKS]
            ):
                # Readers ignore an incomplete snapshot, and it remains due here.
                logging.warning(
                    "the snapshot of stream %s was written only in part", stream
                )
                return

    async def _append_chunks(self, chunks):
        outcomes = []

        async def append_chunk(chunk):
            deadline_ms = self._clock.now_ms() + CHUNK_TIMEOUT_MS
            outcomes.append(
                await self.append(SNAPSHOTS_STREAM, chunk, deadline_ms=deadline_ms)
            )

        async with trio.open_nursery() as nursery:
            for chunk in chunks:
                nursery.start_soon(append_chunk, chunk)
        return all(isinstance(outcome, Appended) for outcome in outcomes)


class _SnapshotsFold(Fold):
    """Forwards the chunks of the snapshots stream, without any state of its own."""

    def __init__(self, on_chunk):
        self._on_chunk = on_chunk

    def apply(self, offset, record):
        if isinstance(record, SnapshotChunk):
            self._on_chunk(offset, record)

    def snapshot(self):
        return b""

    def restore(self, data):
        return False
