"""What the daemon folds a stream into."""

from __future__ import annotations

import abc

from ..core.streams import Record
from .clock import monotonic_ms, wall_ms

__all__ = ["Clock", "Fold"]


class Fold(abc.ABC):
    """State that is folded from the records of one stream.

    ``apply`` gets each offset once and in order, except that ``restore`` may skip
    forward. Equal records give equal states on every instance.
    """

    @abc.abstractmethod
    def apply(self, offset: int, record: Record) -> None:
        """Fold one record."""

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Encode the state as of the last applied record."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> bool:
        """Replace the state by one that ``snapshot`` encoded.

        Returns False, and changes nothing, if the bytes cannot be read.
        """

    @property
    def is_halted(self) -> bool:
        """Whether the fold stopped at a record that this version cannot judge.

        A halted state is neither written as a snapshot nor given to peers.
        """
        return False


class Clock:
    """Milliseconds of the loop's monotonic clock and of the wall clock."""

    def now_ms(self) -> int:
        """Return the monotonic time, which deadlines are stored in."""
        return monotonic_ms()

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""
        return wall_ms()
