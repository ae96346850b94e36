"""Bounds a transfer by its time without progress and by a minimum rate."""

from __future__ import annotations

import trio

__all__ = ["TransferDeadline"]


class TransferDeadline:
    """Cancels ``scope`` once a transfer has stopped or become too slow.

    The deadline moves by what each part of the transfer takes at ``min_bytes_per_s``,
    and never past ``limit_ms`` from now, so a fast beginning does not pay for a trickle
    after it.
    """

    def __init__(self, limit_ms: int, min_bytes_per_s: int):
        self._limit_s = limit_ms / 1000
        self._min_bytes_per_s = min_bytes_per_s
        self.scope = trio.move_on_after(self._limit_s)

    def advance(self, size_bytes: int) -> None:
        """Record that ``size_bytes`` further bytes were moved."""
        self.scope.deadline = min(
            trio.current_time() + self._limit_s,
            self.scope.deadline + size_bytes / self._min_bytes_per_s,
        )
