"""Interface of the state built from a stream, and the clocks of the daemon."""

from __future__ import annotations

import abc

from ..core.streams import Record
from .clock import monotonic_ms, wall_ms

__all__ = ["Clock", "Fold"]


class Fold(abc.ABC):
    """State built by applying the records of one stream in order.

    ``apply`` receives each offset once and in order, except that ``restore`` may skip
    ahead. The same records must give the same state on every instance.
    """

    @abc.abstractmethod
    def apply(self, offset: int, record: Record) -> None:
        """Update the state by one record."""

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Encode the state as of the last applied record."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> bool:
        """Replace the state by one that ``snapshot`` encoded.

        Returns False, without a change, if the bytes cannot be decoded.
        """

    @property
    def is_halted(self) -> bool:
        """Whether the fold stopped at a record that this version cannot interpret.

        A halted state is neither written as a snapshot nor sent to peers.
        """
        return False


class Clock:
    """The event loop's monotonic clock and the wall clock, in milliseconds."""

    def now_ms(self) -> int:
        """Return the monotonic time, to which deadlines refer."""
        return monotonic_ms()

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""
        return wall_ms()
