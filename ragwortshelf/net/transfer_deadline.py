"""Bounds a transfer by its time without progress and by a minimum rate."""

from __future__ import annotations

import trio

__all__ = ["TRANSFER_MIN_BYTES_PER_S", "TransferDeadline"]

TRANSFER_MIN_BYTES_PER_S = 6_250
"""Rate below which a transfer is ended; a hundredth of the slowest supported link."""


class TransferDeadline:
    """Cancels ``scope`` once a transfer has stopped, or is too slow on the whole.

    The deadline is ``timeout_ms`` after the last progress, and no later than
    ``timeout_ms`` after the time at which the minimum rate would have moved as much.
    """

    def __init__(self, timeout_ms: int):
        self._timeout_s = timeout_ms / 1000
        self._due_s = trio.current_time()
        self.scope = trio.CancelScope(deadline=self._due_s + self._timeout_s)

    def advance(self, size: int) -> None:
        """Record that ``size`` further bytes were moved."""
        if size:
            self._due_s += size / TRANSFER_MIN_BYTES_PER_S
            progress_s = min(trio.current_time(), self._due_s)
            self.scope.deadline = progress_s + self._timeout_s
