"""Sets of integers and of numbered ids, stored as ranges.

They are small as long as the numbers are nearly contiguous.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["ForgottenIdSet", "ForgottenIds", "IntegerRanges"]


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
        """Return the number of ranges, which determines the memory used."""
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


@dataclass(frozen=True, slots=True)
class ForgottenIds:
    """The numbers of forgotten ids that share ``prefix``."""

    prefix: str
    ranges: tuple[tuple[int, int], ...]


class ForgottenIdSet:
    """Set of ids of the form ``prefix.number``, stored as ranges of numbers.

    Ids issued by one incarnation share a prefix and are nearly contiguous, so each
    incarnation needs only a few ranges. Ids of another form are not stored. Only the
    newest ``prefixes_kept`` prefixes are kept.
    """

    def __init__(self, prefixes_kept: int) -> None:
        self._prefixes_kept = prefixes_kept
        self._ranges_by_prefix: dict[str, IntegerRanges] = {}

    def __contains__(self, job_id: str) -> bool:
        prefix, _, number = job_id.rpartition(".")
        ranges = self._ranges_by_prefix.get(prefix)
        return ranges is not None and number.isdecimal() and int(number) in ranges

    def add(self, job_id: str) -> None:
        """Add ``job_id`` to the set."""
        prefix, _, number = job_id.rpartition(".")
        if not number.isdecimal():
            return
        self._ranges_by_prefix.setdefault(prefix, IntegerRanges()).add(int(number))
        while len(self._ranges_by_prefix) > self._prefixes_kept:
            del self._ranges_by_prefix[next(iter(self._ranges_by_prefix))]

    def to_tuple(self) -> tuple[ForgottenIds, ...]:
        """Return the contents, oldest prefix first."""
        return tuple(
            ForgottenIds(prefix, ranges.to_tuple())
            for prefix, ranges in self._ranges_by_prefix.items()
        )

    def load(self, items: Iterable[ForgottenIds]) -> None:
        """Replace the contents by ``items``, as returned by `to_tuple`."""
        self._ranges_by_prefix = {
            item.prefix: IntegerRanges(item.ranges) for item in items
        }
