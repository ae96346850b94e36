"""Stand-in for one keyed topic of the platform's log: conditions, fences, repeats."""

from __future__ import annotations

from collections import deque

import trio

from ..scheduler.interfaces import (
    Appended,
    Deposed,
    Entry,
    Moved,
    ProducerFence,
)

__all__ = ["KeyedTopic"]

REPEATS_KEPT = 5
"""Appends of a producer that are answered as before when they are repeated."""


class KeyedTopic:
    """Records in memory. What lies before ``first`` is shown only as newest records."""

    def __init__(self):
        self.entries: list[Entry] = []
        self.first = 0
        self.grown = trio.Event()
        self._last_by_producer: dict[str, tuple[int, int]] = {}
        self._recent_by_producer: dict[str, deque] = {}

    def append(
        self,
        entries: list[Entry],
        at: int | None = None,
        fence: ProducerFence | None = None,
    ) -> Appended | Moved | Deposed:
        """Append all entries, or say why none was."""
        if fence is not None:
            known = self._check(fence)
            if known is not None:
                return known
        if at is not None and at != len(self.entries):
            return Moved(len(self.entries))
        offset = len(self.entries)
        self.entries.extend(entries)
        outcome = Appended(offset, len(self.entries))
        if fence is not None:
            self._remember(fence, outcome)
        self.grown.set()
        self.grown = trio.Event()
        return outcome

    def newest(self) -> tuple[Entry, ...]:
        """Return the newest record of each key that is not dropped."""
        newest = dict(self.entries)
        return tuple((key, value) for key, value in sorted(newest.items()) if value)

    def compact(self) -> None:
        """Delete all records but the newest of each key."""
        self.first = len(self.entries)

    async def wait(self, offset: int, wait_ms: int) -> None:
        """Return once there is a record at ``offset``, or after ``wait_ms``."""
        with trio.move_on_after(wait_ms / 1000):
            while len(self.entries) <= offset:
                await self.grown.wait()

    def _check(self, fence: ProducerFence) -> Appended | Deposed | None:
        epoch, sequence = self._last_by_producer.get(fence.producer, (-1, 0))
        if fence.epoch < epoch:
            return Deposed("fenced")
        if fence.epoch > epoch:
            return None
        for known, outcome in self._recent_by_producer[fence.producer]:
            if known == fence.sequence:
                return outcome
        return None if fence.sequence == sequence + 1 else Deposed("seq")

    def _remember(self, fence: ProducerFence, outcome: Appended) -> None:
        epoch, _ = self._last_by_producer.get(fence.producer, (-1, 0))
        if fence.epoch > epoch:
            self._recent_by_producer[fence.producer] = deque(maxlen=REPEATS_KEPT)
        self._last_by_producer[fence.producer] = (fence.epoch, fence.sequence)
        self._recent_by_producer[fence.producer].append((fence.sequence, outcome))
