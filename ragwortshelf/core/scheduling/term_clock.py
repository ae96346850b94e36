"""Converts times on the clock of a term to the clock of an instance.

The holder of the scheduler's role writes the reading of its term's clock with each
append, taken before the first attempt at it. So the clock shows that much, or more,
when the record is read, and a time on it has come at the latest when the rest has
passed since the read. No time of day is used; steady clocks are taken to run at one
rate.
"""

from __future__ import annotations

from .records import TermClock

__all__ = ["TermClockReader"]


class TermClockReader:
    """Follows the clock of the newest term in the log.

    >>> reader = TermClockReader()
    >>> reader.clock_read(TermClock(7, 2_000), 50_000)
    >>> reader.to_local_ms(7, 2_500)
    50500
    >>> reader.to_local_ms(3, 2_500) is None
    True
    """

    def __init__(self):
        self._newest: TermClock | None = None
        self._read_ms = 0

    def clock_read(self, record: TermClock, now_ms: int) -> None:
        """Note a reading from the log; those of earlier terms are void."""
        if self._newest is None or record.term >= self._newest.term:
            self._newest, self._read_ms = record, now_ms

    def to_local_ms(self, term: int, time_ms: int) -> int | None:
        """Return when a time on a term's clock has come at the latest.

        None if the clock of that term is not the newest one that was read.
        """
        if self._newest is None or self._newest.term != term:
            return None
        return self._read_ms + time_ms - self._newest.clock_ms
