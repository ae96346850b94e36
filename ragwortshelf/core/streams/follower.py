"""The position of one instance in a stream, which never moves backwards."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .codec import Undecodable
from .records import Record, decode_record

__all__ = ["Delivery", "Skipped", "StreamFollower"]


@dataclass(frozen=True, slots=True)
class Delivery:
    """A record to apply, with its offset."""

    offset: int
    record: Record


@dataclass(frozen=True, slots=True)
class Skipped:
    """Bytes at an offset that this version cannot decode as a record."""

    offset: int
    detail: str


class StreamFollower:
    """Decodes the pages of a stream and delivers each offset once and in order.

    Pages may repeat, overlap or arrive after the position has moved past them. If a
    page starts after the position, or the log reports that it has truncated the records
    there, only a snapshot or a peer's state can close the gap. Until then
    ``is_missing_records`` is True and nothing is delivered.

    >>> follower = StreamFollower("jobs")
    >>> list(follower.deliver(0, (), 0)), follower.is_caught_up
    ([], True)
    """

    def __init__(self, stream: str):
        self.stream = stream
        self.next_offset = 0
        self.end_offset = 0
        self.first_available = 0
        self.has_read = False
        self.skipped = 0

    @property
    def is_missing_records(self) -> bool:
        """Whether the log no longer retains the records at the position."""
        return self.next_offset < self.first_available

    @property
    def is_caught_up(self) -> bool:
        """Whether everything up to the known end of the log was delivered."""
        return (
            self.has_read
            and not self.is_missing_records
            and self.next_offset >= self.end_offset
        )

    @property
    def is_ahead_of_log(self) -> bool:
        """Whether the log ends before records that were already applied.

        Applied records are never undone, and new records that the log later stores at
        these offsets are not applied.
        """
        return self.has_read and self.end_offset < self.next_offset

    def deliver(
        self, first_offset: int, records: tuple[bytes, ...], end_offset: int
    ) -> Iterator[Delivery | Skipped]:
        """Yield the records of a page from the position on.

        The position advances past each record just before the record is yielded, so
        the caller must apply the record before any other task reads the position.
        ``advance_to`` may be called between two items.
        """
        self._update_end(end_offset)
        if records and first_offset > self.next_offset:
            self.first_available = max(self.first_available, first_offset)
            return
        for index, data in enumerate(records):
            offset = first_offset + index
            if offset < self.next_offset:
                continue
            self.advance_to(offset + 1)
            record = decode_record(data)
            if isinstance(record, Undecodable):
                self.skipped += 1
                yield Skipped(offset, record.detail)
            else:
                yield Delivery(offset, record)

    def mark_truncated(self, first_available: int, end_offset: int) -> None:
        """Record that the log retains nothing before ``first_available``."""
        self._update_end(end_offset)
        self.first_available = max(self.first_available, first_available)

    def advance_to(self, next_offset: int) -> bool:
        """Advance the position, such as after a snapshot; return whether it moved."""
        if next_offset <= self.next_offset:
            return False
        self.next_offset = next_offset
        return True

    def _update_end(self, end_offset):
        self.has_read = True
        self.end_offset = end_offset
