"""Stand-in for a keyed topic of the platform's log.

It supports conditional appends, fencing of producers and repeated appends.
"""

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

CACHED_APPENDS = 5
"""Number of a producer's newest appends whose repetition returns the same result."""


class KeyedTopic:
    """A topic in memory.

    Records before the offset ``first`` can no longer be read by offset, but are still
    returned by `newest` if no later record has their key.
    """

    def __init__(self):
        self.entries: list[Entry] = []
        self.first = 0
        self.appended = trio.Event()
        # The epoch and sequence number of each producer's newest append.
        self._position_by_producer: dict[str, tuple[int, int]] = {}
        self._recent_appends_by_producer: dict[str, deque] = {}

    def append(
        self,
        entries: list[Entry],
        at: int | None = None,
        fence: ProducerFence | None = None,
    ) -> Appended | Moved | Deposed:
        """Append all entries, or return the reason why none was appended.

        ``at`` is the offset at which the append must take place, if given.
        """
        if fence is not None:
            fence_outcome = self._check_fence(fence)
            if fence_outcome is not None:
                return fence_outcome
        if at is not None and at != len(self.entries):
            return Moved(len(self.entries))
        offset = len(self.entries)
        self.entries.extend(entries)
        outcome = Appended(offset, len(self.entries))
        if fence is not None:
            self._cache_outcome(fence, outcome)
        self.appended.set()
        self.appended = trio.Event()
        return outcome

    def newest(self) -> tuple[Entry, ...]:
        """Return the newest record of each key, except those with an empty value."""
        newest = dict(self.entries)
        return tuple((key, value) for key, value in sorted(newest.items()) if value)

    def compact(self) -> None:
        """Leave only the newest record of each key readable, through `newest`."""
        self.first = len(self.entries)

    async def wait(self, offset: int, wait_ms: int) -> None:
        """Wait for a record at ``offset``, for at most ``wait_ms`` milliseconds."""
        with trio.move_on_after(wait_ms / 1000):
            while len(self.entries) <= offset:
                await self.appended.wait()

    def _check_fence(self, fence: ProducerFence) -> Appended | Deposed | None:
        """Return the result of a repeated or refused append, or None for a new one."""
        epoch, sequence = self._position_by_producer.get(fence.producer, (-1, 0))
        if fence.epoch < epoch:
            return Deposed("fenced")
        if fence.epoch > epoch:
            return None
        for known_sequence, outcome in self._recent_appends_by_producer[fence.producer]:
            if known_sequence == fence.sequence:
                return outcome
        return None if fence.sequence == sequence + 1 else Deposed("seq")

    def _cache_outcome(self, fence: ProducerFence, outcome: Appended) -> None:
        epoch, _ = self._position_by_producer.get(fence.producer, (-1, 0))
        if fence.epoch > epoch:
            self._recent_appends_by_producer[fence.producer] = deque(
                maxlen=CACHED_APPENDS
            )
        self._position_by_producer[fence.producer] = (fence.epoch, fence.sequence)
        self._recent_appends_by_producer[fence.producer].append(
            (fence.sequence, outcome)
        )
