"""Group commit: many records in few appends, within this instance's share of them.

The log takes a few hundred appends a second for everybody, so an instance spends at
most its share of the budget. While an append of a stream is on its way, the next
records of that stream gather into one batch; the batch goes when its turn comes.
Release notes go first. The other streams share the appends by weight, so that none
starves. Buffers are bounded for each stream: a record that finds its buffer full is
refused at once.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from .records import (
    JOBS_STREAM,
    RELEASES_STREAM,
    SNAPSHOTS_STREAM,
    USAGE_STREAM,
)

__all__ = ["Batch", "CommitLimits", "Full", "GroupCommitter", "Queued"]

URGENT_STREAM = RELEASES_STREAM
WEIGHT_BY_STREAM: Mapping[str, int] = {
    JOBS_STREAM: 8,
    SNAPSHOTS_STREAM: 2,
    USAGE_STREAM: 1,
}
BURST_MS = 250


@dataclass(frozen=True, slots=True)
class CommitLimits:
    """``appends_per_s`` is the budget of all instances together."""

    appends_per_s: int = 200
    batch_records: int = 256
    batch_bytes: int = 256 * 1024
    buffer_records: int = 10_000
    buffer_bytes: int = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Queued:
    """The record waits for its append under this ticket."""

    ticket: int


@dataclass(frozen=True, slots=True)
class Full:
    """The stream's buffer is full; nothing was queued."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Batch:
    """Records that go to the log in one append."""

    stream: str
    tickets: tuple[int, ...]
    records: tuple[bytes, ...]


@dataclass(slots=True)
class _Entry:
    """``may_be_in_log`` holds once an append of it had no usable answer."""

    stream: str
    ticket: int
    data: bytes
    is_kept: bool
    may_be_in_log: bool = False
    is_in_flight: bool = False
    is_dropped: bool = False


class _Buffer:
    """Waiting records of one stream, in order, and the batch on its way.

    Dropped entries stay in the queue and are passed over, so that dropping is cheap.
    """

    def __init__(self, weight):
        self.entries: deque[_Entry] = deque()
        self.in_flight: tuple[_Entry, ...] = ()
        self.count = 0
        self.size_bytes = 0
        self.stride = 1.0 / weight
        self.turn = 0.0

    @property
    def is_ready(self):
        while self.entries and self.entries[0].is_dropped:
            self.entries.popleft()
        return bool(self.entries) and not self.in_flight

    def add(self, entry):
        self.entries.append(entry)
        self.count += 1
        self.size_bytes += len(entry.data)

    def forget(self, entry):
        self.count -= 1
        self.size_bytes -= len(entry.data)


class GroupCommitter:
    """Decides which records go to the log in the next append, and when.

    >>> committer = GroupCommitter(CommitLimits())
    >>> committer.offer("jobs", b"a"), committer.offer("jobs", b"b")
    (Queued(ticket=0), Queued(ticket=1))
    >>> committer.next_batch(0)
    Batch(stream='jobs', tickets=(0, 1), records=(b'a', b'b'))
    """

    def __init__(self, limits: CommitLimits, now_ms: int = 0):
        self._limits = limits
        self._buffer_by_stream: dict[str, _Buffer] = {}
        self._entry_by_ticket: dict[int, _Entry] = {}
        self._tickets = itertools.count()
        self._instances = 1
        self._tokens = self._burst()
        self._filled_at_ms = now_ms
        self._last_turn = 0.0

    def set_instances(self, count: int) -> None:
        """Share the budget among ``count`` live instances, this one included."""
        self._instances = max(1, count)
        self._tokens = min(self._tokens, self._burst())

    def offer(
        self, stream: str, data: bytes, *, is_kept: bool = False
    ) -> Queued | Full:
        """Queue a record; a kept one stays queued while the log is out."""
        buffer = self._buffer(stream)
        limits = self._limits
        if (
            buffer.count >= limits.buffer_records
            or buffer.size_bytes + len(data) > limits.buffer_bytes
        ):
            return Full(self._drain_ms(buffer))
        if not buffer.entries:
            # A stream that was idle starts at the present turn and claims no arrears.
            buffer.turn = max(buffer.turn, self._last_turn)
        entry = _Entry(stream, next(self._tickets), data, is_kept)
        buffer.add(entry)
        self._entry_by_ticket[entry.ticket] = entry
        return Queued(entry.ticket)

    def give_up(self, ticket: int) -> bool:
        """Take back a record nobody waits for; True if it provably was not sent.

        A kept record stays queued, and one that is on its way stays so.
        """
        entry = self._entry_by_ticket.get(ticket)
        if entry is None or entry.is_kept:
            return False
        if entry.is_in_flight:
            entry.is_dropped = True
            return False
        self._drop(entry)
        return not entry.may_be_in_log

    def withdraw_unsent(self) -> tuple[int, ...]:
        """Take back what provably was not sent and is not kept; return the tickets."""
        unsent = [
            entry
            for entry in self._entry_by_ticket.values()
            if not (entry.is_kept or entry.is_in_flight or entry.may_be_in_log)
        ]
        for entry in unsent:
            self._drop(entry)
        return tuple(entry.ticket for entry in unsent)

    def next_batch(self, now_ms: int) -> Batch | int | None:
        """Return the batch to append now, else the time to ask again, None if idle."""
        self._fill(now_ms)
        stream = self._next_stream()
        if stream is None:
            return None
        if self._tokens < 1.0:
            return now_ms + max(1, int((1.0 - self._tokens) / self._rate_per_ms()) + 1)
        self._tokens -= 1.0
        buffer = self._buffer_by_stream[stream]
        self._last_turn = max(self._last_turn, buffer.turn)
        buffer.turn += buffer.stride
        buffer.in_flight = self._cut(buffer)
        return self._batch(stream)

    def on_done(self, stream: str) -> None:
        """The batch on its way is in the log, or was found there."""
        buffer = self._buffer_by_stream[stream]
        for entry in buffer.in_flight:
            buffer.forget(entry)
            del self._entry_by_ticket[entry.ticket]
        buffer.in_flight = ()

    def on_not_in_log(self, stream: str, *, may_have_applied: bool) -> None:
        """The batch on its way was not found in the log: its records go first again.

        ``may_have_applied`` False means that the log did not act on the append at all.
        """
        buffer = self._buffer_by_stream[stream]
        for entry in reversed(buffer.in_flight):
            entry.is_in_flight = False
            entry.may_be_in_log |= may_have_applied
            if entry.is_dropped:
                self._drop(entry)
            else:
                buffer.entries.appendleft(entry)
        buffer.in_flight = ()

    def waiting(self, stream: str) -> int:
        """Number of records of a stream that are not known to be in the log."""
        return self._buffer(stream).count

    def _drop(self, entry):
        entry.is_dropped = True
        self._buffer_by_stream[entry.stream].forget(entry)
        del self._entry_by_ticket[entry.ticket]

    def _buffer(self, stream):
        if stream not in self._buffer_by_stream:
            weight = WEIGHT_BY_STREAM.get(stream, 1)
            self._buffer_by_stream[stream] = _Buffer(weight)
        return self._buffer_by_stream[stream]

    def _next_stream(self):
        ready = [s for s, buffer in self._buffer_by_stream.items() if buffer.is_ready]
        if URGENT_STREAM in ready:
            return URGENT_STREAM
        return min(
            ready, key=lambda s: (self._buffer_by_stream[s].turn, s), default=None
        )

    def _cut(self, buffer):
        size = 0
        entries = []
        while buffer.entries and len(entries) < self._limits.batch_records:
            entry = buffer.entries[0]
            if entry.is_dropped:
                buffer.entries.popleft()
                continue
            size += len(entry.data)
            if entries and size > self._limits.batch_bytes:
                break
            entry.is_in_flight = True
            entries.append(buffer.entries.popleft())
        return tuple(entries)

    def _batch(self, stream):
        entries = self._buffer_by_stream[stream].in_flight
        return Batch(
            stream,
            tuple(entry.ticket for entry in entries),
            tuple(entry.data for entry in entries),
        )

    def _rate_per_ms(self):
        return self._limits.appends_per_s / self._instances / 1000

    def _burst(self):
        return max(1.0, self._rate_per_ms() * BURST_MS)

    def _fill(self, now_ms):
        elapsed_ms = max(0, now_ms - self._filled_at_ms)
        self._filled_at_ms = now_ms
        self._tokens = min(
            self._burst(), self._tokens + elapsed_ms * self._rate_per_ms()
        )

    def _drain_ms(self, buffer):
        batches = buffer.count / self._limits.batch_records + 1
        return int(batches / self._rate_per_ms()) + 1
