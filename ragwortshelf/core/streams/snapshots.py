"""Snapshots in the log: splitting, reassembling and scheduling them.

A snapshot covers its stream up to but excluding ``covers_offset``. Any instance may
write one, even while another instance does: readers use the newest complete one. A
snapshot with missing chunks or a wrong checksum is ignored.
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
    "CompleteSnapshot",
    "split_snapshot",
]

MAX_CHUNK_BYTES = 48 * 1024
MAX_CHUNKS = 4_096
MAX_PARTIAL_SNAPSHOTS = 4
"""Number of incomplete snapshots that a reader keeps per stream."""


def split_snapshot(
    stream: str, covers_offset: int, writer: str, data: bytes, written_wall_ms: int
) -> tuple[SnapshotChunk, ...]:
    """Split a snapshot into chunks; the snapshot id contains a checksum of it.

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
class CompleteSnapshot:
    """A snapshot that was reassembled from all its chunks.

    ``chunk_offset`` is the offset in the snapshots' own stream at which the first of
    its chunks was read.
    """

    stream: str
    covers_offset: int
    data: bytes
    chunk_offset: int
    written_wall_ms: int


class _PartialSnapshot:
    """The chunks of one snapshot that have been read so far."""

    def __init__(self, chunk, offset):
        self.first = chunk
        self.chunk_offset = offset
        self.data_by_index = {}

    def add(self, chunk):
        if self._matches(chunk):
            self.data_by_index[chunk.index] = chunk.data

    def _matches(self, chunk):
        first = self.first
        return (chunk.covers_offset, chunk.total) == (
            first.covers_offset,
            first.total,
        ) and 0 <= chunk.index < chunk.total <= MAX_CHUNKS

    def assemble(self):
        first = self.first
        if len(self.data_by_index) < first.total:
            return None
        data = b"".join(self.data_by_index[index] for index in range(first.total))
        if not first.snapshot_id.endswith(f".{zlib.crc32(data):08x}"):
            return None
        return CompleteSnapshot(
            first.stream,
            first.covers_offset,
            data,
            self.chunk_offset,
            first.written_wall_ms,
        )


class SnapshotReader:
    """Reassembles snapshots and keeps the newest complete one of each stream."""

    def __init__(self):
        self.newest_by_stream: dict[str, CompleteSnapshot] = {}
        self._partial_by_id_by_stream: dict[str, dict[str, _PartialSnapshot]] = {}

    def on_chunk(self, offset: int, chunk: SnapshotChunk) -> CompleteSnapshot | None:
        """Add a chunk, and return the snapshot that it completes, if any.

        Chunks of snapshots that cover less than the newest one are ignored. A snapshot
        that covers the same replaces it, since the log retains its chunks for longer.
        """
        newest = self.newest_by_stream.get(chunk.stream)
        if newest is not None and chunk.covers_offset < newest.covers_offset:
            return None
        partials = self._partial_by_id_by_stream.setdefault(chunk.stream, {})
        partial = partials.setdefault(
            chunk.snapshot_id, _PartialSnapshot(chunk, offset)
        )
        partial.add(chunk)
        complete = partial.assemble()
        if complete is not None:
            del partials[chunk.snapshot_id]
            self.newest_by_stream[chunk.stream] = complete
            self._drop_older(partials, complete.covers_offset)
        while len(partials) > MAX_PARTIAL_SNAPSHOTS:
            del partials[next(iter(partials))]
        return complete

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
    """When a new snapshot is due; every limit is well below the log's retention.

    A snapshot is due after ``every_records`` records of its stream, when the newest
    one is ``every_ms`` old, or when ``every_chunks`` records follow it in the
    snapshots' own stream. Each instance then waits for a random time of up to
    ``max_jitter_ms``, so that usually only one of them writes.
    """

    every_records: int = 5_000
    every_ms: int = 3_600_000
    every_chunks: int = 1_000
    max_jitter_ms: int = 10_000


class SnapshotSchedule:
    """Decides when one instance writes a snapshot of one stream."""

    def __init__(self, policy: SnapshotPolicy, rng: random.Random):
        self._policy = policy
        self._rng = rng
        self._newest: CompleteSnapshot | None = None
        self._seen_at_ms = 0
        self._write_at_ms: int | None = None

    def on_complete_snapshot(self, snapshot: CompleteSnapshot, now_ms: int) -> None:
        """Record the newest complete snapshot in the log, written by any instance."""
        self._newest = snapshot
        self._seen_at_ms = now_ms
        self._write_at_ms = None

    def should_write(
        self, next_offset: int, snapshots_end: int, now_ms: int, now_wall_ms: int
    ) -> bool:
        """Whether to write a snapshot now; to be called periodically.

        A snapshot would cover its stream up to but excluding ``next_offset``;
        ``snapshots_end`` is the end of the snapshots' own stream. After returning True,
        it returns True again after one to two times ``max_jitter_ms``, unless a
        snapshot appears in the log before then.
        """
        if not self._is_due(next_offset, snapshots_end, now_ms, now_wall_ms):
            self._write_at_ms = None
            return False
        max_jitter_ms = self._policy.max_jitter_ms
        if self._write_at_ms is None:
            self._write_at_ms = now_ms + self._rng.randint(0, max_jitter_ms)
        if now_ms < self._write_at_ms:
            return False
        # If the snapshot is lost, retry later than the first attempts of all others.
        self._write_at_ms = now_ms + max_jitter_ms + self._rng.randint(0, max_jitter_ms)
        return True

    def _is_due(self, next_offset, snapshots_end, now_ms, now_wall_ms):
        policy = self._policy
        if self._newest is None:
            return next_offset > 0
        # The writer's clock may be wrong, so the time since it was read counts too.
        age_ms = max(
            now_wall_ms - self._newest.written_wall_ms, now_ms - self._seen_at_ms
        )
        return (
            next_offset - self._newest.covers_offset >= policy.every_records
            or age_ms >= policy.every_ms
            or snapshots_end - self._newest.chunk_offset >= policy.every_chunks
        )
