"""A budget in bytes for the requests that a process holds in memory."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["BudgetShare", "ReceiveBudget"]

_PINNED_SHARE_MAX = 3 / 4
"""Share of the budget that large requests in their handlers may hold."""


class ReceiveBudget:
    """Bounds the bytes that all connections of a process hold together.

    Each connection has a share. Once the shares exceed ``limit_bytes``, the largest
    evictable one is evicted, whichever connection is receiving, so small requests are
    served while large ones are refused. The bytes of a request in its handler are
    pinned, which means that they are not evicted. Requests above ``small_bytes`` may
    pin three quarters of the budget; the rest is left for small ones.

    >>> budget = ReceiveBudget(100, small_bytes=10)
    >>> large = budget.open_share(lambda: print("large evicted"))
    >>> small = budget.open_share(lambda: print("small evicted"))
    >>> large.take(95)
    >>> small.take(10)
    large evicted
    >>> budget.held_bytes
    10
    """

    def __init__(self, limit_bytes: int, small_bytes: int):
        self.limit_bytes = limit_bytes
        self.small_bytes = small_bytes
        self.held_bytes = 0
        self.pinned_bytes = 0
        self._evictable_shares: set[BudgetShare] = set()

    def open_share(self, on_evict: Callable[[], None]) -> BudgetShare:
        """Return an empty share, whose owner drops its buffers in ``on_evict``."""
        return BudgetShare(self, on_evict)

    def account(self, share: BudgetShare, evictable_bytes: int, pinned_bytes: int):
        """Record a change of ``share``; called by the share itself."""
        self.held_bytes += evictable_bytes + pinned_bytes
        self.held_bytes -= share.evictable_bytes + share.pinned_bytes
        self.pinned_bytes += pinned_bytes - share.pinned_bytes
        if evictable_bytes:
            self._evictable_shares.add(share)
        else:
            self._evictable_shares.discard(share)

    def has_room_to_pin(self, size_bytes: int) -> bool:
        """Whether a request of ``size_bytes`` may be handed to its handler."""
        if size_bytes <= self.small_bytes:
            return True
        limit_bytes = self.limit_bytes * _PINNED_SHARE_MAX
        return self.pinned_bytes + size_bytes <= limit_bytes

    def evict_excess(self) -> None:
        """Evict the largest shares until the rest is within the limit."""
        while self.held_bytes > self.limit_bytes and self._evictable_shares:
            largest = max(
                self._evictable_shares, key=lambda share: share.evictable_bytes
            )
            largest.evict()


class BudgetShare:
    """What one connection holds of a ``ReceiveBudget``."""

    def __init__(self, budget: ReceiveBudget, on_evict: Callable[[], None]):
        self._budget = budget
        self._on_evict = on_evict
        self.evictable_bytes = 0
        self.pinned_bytes = 0

    def take(self, size_bytes: int) -> None:
        """Add received bytes, which may evict the largest share, also this one."""
        self.hold(self.evictable_bytes + size_bytes, self.pinned_bytes)
        self._budget.evict_excess()

    def hold(self, evictable_bytes: int, pinned_bytes: int = 0) -> None:
        """Set what is held after bytes were handed on or dropped."""
        self._budget.account(self, evictable_bytes, pinned_bytes)
        self.evictable_bytes = evictable_bytes
        self.pinned_bytes = pinned_bytes

    def try_pin(self, pinned_bytes: int, evictable_bytes: int) -> bool:
        """Pin a complete request; False, without a change, if there is no room."""
        if not self._budget.has_room_to_pin(pinned_bytes):
            return False
        self.hold(evictable_bytes, pinned_bytes)
        return True

    def evict(self) -> None:
        """Release what is evictable and let the owner drop it."""
        self.hold(0, self.pinned_bytes)
        self._on_evict()
