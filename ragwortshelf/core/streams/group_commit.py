"""Group commit: writes many records in few appends, within a rate limit.

The log accepts a few hundred appends a second from all instances together, so each
instance uses at most its share of that budget (a token bucket). While an append of a
stream is in flight, further records of that stream are collected into the next batch.
Release notes have priority. The other streams share the appends by weight (stride
scheduling), so that none starves. The buffer of each stream is bounded: a record that
does not fit is rejected at once.
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

__all__ = ["Batch", "BufferFull", "CommitLimits", "GroupCommitter", "Queued"]

URGENT_STREAM = RELEASES_STREAM
WEIGHT_BY_STREAM: Mapping[str, int] = {
    JOBS_STREAM: 8,
    SNAPSHOTS_STREAM: 2,
    USAGE_STREAM: 1,
}
BURST_MS = 250
"""Capacity of the token bucket, as the time in which it fills."""


@dataclass(frozen=True, slots=True)
class CommitLimits:
    """Limits of group commit.

    ``appends_per_s`` is the budget of all instances together. The limits of batches
    apply to one append, those of buffers to the waiting records of one stream.
    """

    appends_per_s: int = 200
    batch_records: int = 256
    batch_bytes: int = 256 * 1024
    buffer_records: int = 10_000
    buffer_bytes: int = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Queued:
    """The record was queued; ``ticket`` identifies it until it is in the log."""

    ticket: int


@dataclass(frozen=True, slots=True)
class BufferFull:
    """The stream's buffer is full and the record was not queued.

    ``retry_after_ms`` is the estimated time until the buffer has drained.
    """

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Batch:
    """Records to write to the log in one append."""

    stream: str
    tickets: tuple[int, ...]
    records: tuple[bytes, ...]


@dataclass(slots=True)
class _Entry:
    """A queued record.

    ``may_be_in_log`` is True once an append of it had no conclusive answer. A record
    with ``keep_until_appended`` cannot be withdrawn, so it stays queued during outages
    of the log.
    """

    stream: str
    ticket: int
    data: bytes
    keep_until_appended: bool
    may_be_in_log: bool = False
    is_in_flight: bool = False
    is_dropped: bool = False


class _Buffer:
    """The waiting records of one stream in order, and its batch in flight.

    Dropped entries stay in the queue until they are reached, so dropping is O(1).
    ``virtual_time`` and ``stride`` are those of stride scheduling: the buffer with the
    lowest virtual time goes next, and its virtual time then advances by its stride.
    """

    def __init__(self, weight):
        self.entries: deque[_Entry] = deque()
        self.in_flight: tuple[_Entry, ...] = ()
        self.count = 0
        self.size_bytes = 0
        self.stride = 1.0 / weight
        self.virtual_time = 0.0

    @property
    def is_ready(self):
        while self.entries and self.entries[0].is_dropped:
            self.entries.popleft()
        return bool(self.entries) and not self.in_flight

    def add(self, entry):
        self.entries.append(entry)
        self.count += 1
        self.size_bytes += len(entry.data)

    def subtract(self, entry):
        self.count -= 1
        self.size_bytes -= len(entry.data)


class GroupCommitter:
    """Decides which records to write to the log in the next append, and when.

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
        self._instance_count = 1
        self._tokens = self._burst_tokens()
        self._refilled_at_ms = now_ms
        self._virtual_time = 0.0

    def set_instances(self, count: int) -> None:
        """Divide the budget among ``count`` live instances, including this one."""
        self._instance_count = max(1, count)
        self._tokens = min(self._tokens, self._burst_tokens())

    def offer(
        self, stream: str, data: bytes, *, keep_until_appended: bool = False
    ) -> Queued | BufferFull:
        """Queue a record for the next append of its stream.

        With ``keep_until_appended`` it cannot be withdrawn.
        """
        buffer = self._buffer_of(stream)
        limits = self._limits
        if (
            buffer.count >= limits.buffer_records
            or buffer.size_bytes + len(data) > limits.buffer_bytes
        ):
            return BufferFull(self._estimate_drain_ms(buffer))
        if not buffer.entries:
            # A stream that was idle must not catch up on the appends it did not use.
            buffer.virtual_time = max(buffer.virtual_time, self._virtual_time)
        entry = _Entry(stream, next(self._tickets), data, keep_until_appended)
        buffer.add(entry)
        self._entry_by_ticket[entry.ticket] = entry
        return Queued(entry.ticket)

    def withdraw(self, ticket: int) -> bool:
        """Withdraw a record that nobody waits for.

        Returns True if the record is provably not in the log and never will be. A
        record in flight may still reach the log, but is not sent again. A record with
        ``keep_until_appended`` stays queued.
        """
        entry = self._entry_by_ticket.get(ticket)
        if entry is None or entry.keep_until_appended:
            return False
        if entry.is_in_flight:
            entry.is_dropped = True
            return False
        self._drop(entry)
        return not entry.may_be_in_log

    def withdraw_unsent(self) -> tuple[int, ...]:
        """Withdraw all records that are provably unsent and return their tickets.

        Those with ``keep_until_appended`` stay queued.
        """
        unsent = [
            entry
            for entry in self._entry_by_ticket.values()
            if not (
                entry.keep_until_appended or entry.is_in_flight or entry.may_be_in_log
            )
        ]
        for entry in unsent:
            self._drop(entry)
        return tuple(entry.ticket for entry in unsent)

    def next_batch(self, now_ms: int) -> Batch | int | None:
        """Return the batch to append now, the time to call again, or None if idle."""
        self._refill_tokens(now_ms)
        stream = self._next_stream()
        if stream is None:
            return None
        if self._tokens < 1.0:
            return now_ms + max(1, int((1.0 - self._tokens) / self._rate_per_ms()) + 1)
        self._tokens -= 1.0
        buffer = self._buffer_by_stream[stream]
        self._virtual_time = max(self._virtual_time, buffer.virtual_time)
        buffer.virtual_time += buffer.stride
        buffer.in_flight = self._take_entries(buffer)
        return self._in_flight_batch(stream)

    def on_done(self, stream: str) -> None:
        """Remove the batch in flight, which is known to be in the log."""
        buffer = self._buffer_by_stream[stream]
        for entry in buffer.in_flight:
            buffer.subtract(entry)
            del self._entry_by_ticket[entry.ticket]
        buffer.in_flight = ()

    def on_not_in_log(self, stream: str, *, may_have_applied: bool) -> None:
        """Requeue the batch in flight at the head, since it was not found in the log.

        ``may_have_applied`` False means that the append provably had no effect.
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
        """Return the number of records of a stream not yet known to be in the log."""
        return self._buffer_of(stream).count

    def _drop(self, entry):
        entry.is_dropped = True
        self._buffer_by_stream[entry.stream].subtract(entry)
        del self._entry_by_ticket[entry.ticket]

    def _buffer_of(self, stream):
        if stream not in self._buffer_by_stream:
            weight = WEIGHT_BY_STREAM.get(stream, 1)
            self._buffer_by_stream[stream] = _Buffer(weight)
        return self._buffer_by_stream[stream]

    def _next_stream(self):
        ready = [s for s, buffer in self._buffer_by_stream.items() if buffer.is_ready]
        if URGENT_STREAM in ready:
            return URGENT_STREAM
        return min(
            ready,
            key=lambda s: (self._buffer_by_stream[s].virtual_time, s),
            default=None,
        )

    def _take_entries(self, buffer):
        size_bytes = 0
        entries = []
        while buffer.entries and len(entries) < self._limits.batch_records:
            entry = buffer.entries[0]
            if entry.is_dropped:
                buffer.entries.popleft()
                continue
            size_bytes += len(entry.data)
            if entries and size_bytes > self._limits.batch_bytes:
                break
            entry.is_in_flight = True
            entries.append(buffer.entries.popleft())
        return tuple(entries)

    def _in_flight_batch(self, stream):
        entries = self._buffer_by_stream[stream].in_flight
        return Batch(
            stream,
            tuple(entry.ticket for entry in entries),
            tuple(entry.data for entry in entries),
        )

    def _rate_per_ms(self):
        return self._limits.appends_per_s / self._instance_count / 1000

    def _burst_tokens(self):
        return max(1.0, self._rate_per_ms() * BURST_MS)

    def _refill_tokens(self, now_ms):
        elapsed_ms = max(0, now_ms - self._refilled_at_ms)
        self._refilled_at_ms = now_ms
        self._tokens = min(
            self._burst_tokens(), self._tokens + elapsed_ms * self._rate_per_ms()
        )

    def _estimate_drain_ms(self, buffer):
        batches = buffer.count / self._limits.batch_records + 1
        return int(batches / self._rate_per_ms()) + 1
