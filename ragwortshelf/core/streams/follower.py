"""Position of one instance in one stream, which only ever moves forward."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .codec import Undecodable
from .records import Record, decode_record

__all__ = ["Delivery", "Skipped", "StreamFollower"]


@dataclass(frozen=True, slots=True)
class Delivery:
    """A record that is due to be applied."""

    offset: int
    record: Record


@dataclass(frozen=True, slots=True)
class Skipped:
    """Bytes that are no record known to this version."""

    offset: int
    detail: str


class StreamFollower:
    """Turns pages of a stream into records, each offset once and in order.

    Pages may repeat, overlap or arrive after the position moved on. A page that
    starts past the position, or the log's statement that older records are gone,
    leaves a gap which only a snapshot or a peer's state can close; until then
    ``is_missing_records`` holds and nothing is delivered.

    >>> follower = StreamFollower("jobs")
    >>> list(follower.take(0, (), 0)), follower.is_caught_up
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
        """Whether records after the position are past the log's retention."""
        return self.next_offset < self.first_available

    @property
    def is_caught_up(self) -> bool:
        """Whether all that the log is known to hold was delivered."""
        return (
            self.has_read
            and not self.is_missing_records
            and self.next_offset >= self.end_offset
        )

    @property
    def has_log_gone_back(self) -> bool:
        """Whether the log ends before records that were already applied.

        Whatever the log says, what was applied stays; its records at those offsets
        are not applied a second time.
        """
        return self.has_read and self.end_offset < self.next_offset

    def take(
        self, first_offset: int, records: tuple[bytes, ...], end_offset: int
    ) -> Iterator[Delivery | Skipped]:
        """Yield what a page brings past the position.

        The position is past an offset as soon as that is yielded, so the caller
        applies a record before it gives way to anything that reads the position.
        ``move_to`` may move it further forward in between.
        """
        self._saw_end(end_offset)
        if records and first_offset > self.next_offset:
            self.first_available = max(self.first_available, first_offset)
            return
        for index, data in enumerate(records):
            offset = first_offset + index
            if offset < self.next_offset:
                continue
            self.move_to(offset + 1)
            record = decode_record(data)
            if isinstance(record, Undecodable):
                self.skipped += 1
                yield Skipped(offset, record.detail)
            else:
                yield Delivery(offset, record)

    def saw_truncation(self, first_available: int, end_offset: int) -> None:
        """Note that the log keeps nothing before ``first_available``."""
        self._saw_end(end_offset)
        self.first_available = max(self.first_available, first_available)

    def move_to(self, next_offset: int) -> bool:
        """Move forward, as after a snapshot; returns whether that was forward."""
        if next_offset <= self.next_offset:
            return False
        self.next_offset = next_offset
        return True

    def _saw_end(self, end_offset):
        self.has_read = True
        self.end_offset = end_offset
