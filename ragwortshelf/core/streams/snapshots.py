"""Snapshots in the log: cut into records, put together again, and when one is due.

A snapshot covers its stream up to but excluding ``covers_offset``. Any instance may
write one, and two at once do no harm: readers take the newest whole one. A snapshot
whose chunks are not all there, or whose sum does not match, is passed over.
"""

from __future__ import annotations

import random
import zlib
from dataclasses import dataclass

from .records import SnapshotChunk

__all__ = [
    "SnapshotPolicy",
    "SnapshotReader",
    "SnapshotSchedule",
    "WholeSnapshot",
    "split_snapshot",
]

MAX_CHUNK_BYTES = 48 * 1024
MAX_CHUNKS = 4_096
MAX_PARTIAL_SNAPSHOTS = 4
"""Unfinished snapshots of a stream that a reader keeps."""


def split_snapshot(
    stream: str, covers_offset: int, writer: str, data: bytes, written_wall_ms: int
) -> tuple[SnapshotChunk, ...]:
    """Cut a snapshot into chunks; the id holds a check sum of the whole.

    >>> [chunk.total for chunk in split_snapshot("jobs", 7, "i1", b"x" * 50_000, 0)]
    [2, 2]
    """
    checksum = zlib.crc32(data)
    snapshot_id = f"{writer}.{covers_offset}.{written_wall_ms}.{checksum:08x}"
    starts = range(0, max(1, len(data)), MAX_CHUNK_BYTES)
    return tuple(
        SnapshotChunk(
            stream,
            covers_offset,
            snapshot_id,
            index,
            len(starts),
            data[start : start + MAX_CHUNK_BYTES],
            written_wall_ms,
        )
        for index, start in enumerate(starts)
    )


@dataclass(frozen=True, slots=True)
class WholeSnapshot:
    """A snapshot that was put together; its chunks start at ``chunk_offset``."""

    stream: str
    covers_offset: int
    data: bytes
    chunk_offset: int
    written_wall_ms: int


class _Partial:
    def __init__(self, chunk, offset):
        self.first = chunk
        self.chunk_offset = offset
        self.data_by_index = {}

    def add(self, chunk):
        if self._fits(chunk):
            self.data_by_index[chunk.index] = chunk.data

    def _fits(self, chunk):
        first = self.first
        return (chunk.covers_offset, chunk.total) == (
            first.covers_offset,
            first.total,
        ) and 0 <= chunk.index < chunk.total <= MAX_CHUNKS

    def whole(self):
        first = self.first
        if len(self.data_by_index) < first.total:
            return None
        data = b"".join(self.data_by_index[index] for index in range(first.total))
        if not first.snapshot_id.endswith(f".{zlib.crc32(data):08x}"):
            return None
        return WholeSnapshot(
            first.stream,
            first.covers_offset,
            data,
            self.chunk_offset,
            first.written_wall_ms,
        )


class SnapshotReader:
    """Keeps the newest whole snapshot of each stream."""

    def __init__(self):
        self.newest_by_stream: dict[str, WholeSnapshot] = {}
        self._partial_by_id_by_stream: dict[str, dict[str, _Partial]] = {}

    def on_chunk(self, offset: int, chunk: SnapshotChunk) -> WholeSnapshot | None:
        """Take one chunk; returns the snapshot that it completes, if that is news.

        A snapshot that covers as much as the newest one is news too, since its chunks
        stay in the log for longer.
        """
        newest = self.newest_by_stream.get(chunk.stream)
        if newest is not None and chunk.covers_offset < newest.covers_offset:
            return None
        partials = self._partial_by_id_by_stream.setdefault(chunk.stream, {})
        partial = partials.setdefault(chunk.snapshot_id, _Partial(chunk, offset))
        partial.add(chunk)
        whole = partial.whole()
        if whole is not None:
            del partials[chunk.snapshot_id]
            self.newest_by_stream[chunk.stream] = whole
            self._drop_older(partials, whole.covers_offset)
        while len(partials) > MAX_PARTIAL_SNAPSHOTS:
            del partials[next(iter(partials))]
        return whole

    def _drop_older(self, partials, covers_offset):
        older = [
            snapshot_id
            for snapshot_id, partial in partials.items()
            if partial.first.covers_offset < covers_offset
        ]
        for snapshot_id in older:
            del partials[snapshot_id]


@dataclass(frozen=True, slots=True)
class SnapshotPolicy:
    """When a new snapshot is due; every bound is well below the log's retention.

    A snapshot is due after ``every_records`` records of its stream, when the newest
    one is ``every_ms`` old, and when ``every_chunks`` records followed it in the
    snapshots' own stream. The instances wait up to ``spread_ms`` each, so that mostly
    one of them writes.
    """

    every_records: int = 5_000
    every_ms: int = 3_600_000
    every_chunks: int = 1_000
    spread_ms: int = 10_000


class SnapshotSchedule:
    """Tells one instance when to write a snapshot of one stream."""

    def __init__(self, policy: SnapshotPolicy, rng: random.Random):
        self._policy = policy
        self._rng = rng
        self._newest: WholeSnapshot | None = None
        self._seen_at_ms = 0
        self._fire_at_ms: int | None = None

    def on_whole(self, snapshot: WholeSnapshot, now_ms: int) -> None:
        """Note the newest whole snapshot in the log, whoever wrote it."""
        self._newest = snapshot
        self._seen_at_ms = now_ms
        self._fire_at_ms = None

    def should_write(
        self, next_offset: int, snapshots_end: int, now_ms: int, now_wall_ms: int
    ) -> bool:
        """Whether to write now; asked again from time to time.

        ``next_offset`` is what a snapshot would cover, ``snapshots_end`` the end of the
        snapshots' stream. After a True the next one comes only if no snapshot appears.
        """
        if not self._is_due(next_offset, snapshots_end, now_ms, now_wall_ms):
            self._fire_at_ms = None
            return False
        spread_ms = self._policy.spread_ms
        if self._fire_at_ms is None:
            self._fire_at_ms = now_ms + self._rng.randint(0, spread_ms)
        if now_ms < self._fire_at_ms:
            return False
        # One that is lost on the way is written again, later than all first tries.
        self._fire_at_ms = now_ms + spread_ms + self._rng.randint(0, spread_ms)
        return True

    def _is_due(self, next_offset, snapshots_end, now_ms, now_wall_ms):
        policy = self._policy
        if self._newest is None:
            return next_offset > 0
        # The writer's clock may be wrong, so the time since it was seen counts too.
        age_ms = max(
            now_wall_ms - self._newest.written_wall_ms, now_ms - self._seen_at_ms
        )
        return (
            next_offset - self._newest.covers_offset >= policy.every_records
            or age_ms >= policy.every_ms
            or snapshots_end - self._newest.chunk_offset >= policy.every_chunks
        )
