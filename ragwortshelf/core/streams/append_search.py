"""Searches the log for the records of an append whose answer was lost."""

from __future__ import annotations

import enum

__all__ = ["AppendSearch", "SearchResult"]


class SearchResult(enum.Enum):
    """The state of a search after a page."""

    FOUND = "found"
    READ_ON = "read_on"
    MISSING = "missing"


class AppendSearch:
    """Searches for the records of a batch, from the last known end of the stream on.

    ``MISSING`` means that the batch was not in the stream when the page was read. It
    may still arrive later. The batch is therefore appended again, and either copy is
    valid.

    >>> search = AppendSearch((b"x",), 4)
    >>> search.on_page(4, (b"y", b"x"), 6), search.offsets
    (<SearchResult.FOUND: 'found'>, (5,))
    """

    def __init__(self, records: tuple[bytes, ...], from_offset: int):
        self.next_offset = from_offset
        self._records = records
        self._offset_by_record: dict[bytes, int] = {}
        self._wanted = set(records)

    @property
    def offsets(self) -> tuple[int, ...]:
        """The offset of the first copy of each record of the batch, once found."""
        return tuple(self._offset_by_record[record] for record in self._records)

    def on_page(
        self, first_offset: int, records: tuple[bytes, ...], end_offset: int
    ) -> SearchResult:
        """Search one page and return the state of the search."""
        for offset, record in enumerate(records, first_offset):
            if record in self._wanted and offset >= self.next_offset:
                self._offset_by_record.setdefault(record, offset)
        self.next_offset = max(self.next_offset, first_offset + len(records))
        if len(self._offset_by_record) == len(self._wanted):
            return SearchResult.FOUND
        if records and self.next_offset < end_offset:
            return SearchResult.READ_ON
        return SearchResult.MISSING

    def on_truncated(self, first_available: int) -> None:
        """Continue the search at the oldest record that the log retains."""
        self.next_offset = max(self.next_offset, first_available)
