"""A set of integers kept as ranges, small when the members are nearly contiguous."""

from __future__ import annotations

import bisect
from collections.abc import Iterable

__all__ = ["IntegerRanges"]


class IntegerRanges:
    """Set of integers stored as sorted, disjoint, inclusive ranges.

    >>> seen = IntegerRanges()
    >>> [seen.add(n) for n in (1, 3, 2, 3)]
    [True, True, True, False]
    >>> seen.to_tuple()
    ((1, 3),)
    """

    __slots__ = ("_firsts", "_lasts")

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._firsts: list[int] = []
        self._lasts: list[int] = []
        for first, last in ranges:
            self._firsts.append(first)
            self._lasts.append(last)

    def __contains__(self, number: int) -> bool:
        index = bisect.bisect_right(self._firsts, number) - 1
        return index >= 0 and number <= self._lasts[index]

    def __len__(self) -> int:
        """Return the number of ranges, which is what costs memory."""
        return len(self._firsts)

    def add(self, number: int) -> bool:
        """Add ``number``; return False if it was a member already."""
        if number in self:
            return False
        index = bisect.bisect_right(self._firsts, number)
        joins_left = index > 0 and self._lasts[index - 1] == number - 1
        joins_right = index < len(self._firsts) and self._firsts[index] == number + 1
        if joins_left and joins_right:
            self._lasts[index - 1] = self._lasts.pop(index)
            del self._firsts[index]
        elif joins_left:
            self._lasts[index - 1] = number
        elif joins_right:
            self._firsts[index] = number
        else:
            self._firsts.insert(index, number)
            self._lasts.insert(index, number)
        return True

    def to_tuple(self) -> tuple[tuple[int, int], ...]:
        """Return the ranges in ascending order."""
        return tuple(zip(self._firsts, self._lasts, strict=True))
