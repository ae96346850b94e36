"""Folds of the jobs and usage streams into books."""

from __future__ import annotations

from collections.abc import Callable

from .streams_fold import Fold

__all__ = ["BookFold"]


class BookFold(Fold):
    """Folds a stream into a book with ``snapshot`` and ``restore``.

    ``apply_record`` takes offset and record; it stands for the book's own ``apply``
    where more than the book has to hear of a record.
    """

    def __init__(self, book, apply_record: Callable[[int, object], None] | None = None):
        self.book = book
        self._apply_record = apply_record

    def apply(self, offset: int, record: object) -> None:
        """Fold one record."""
        if self._apply_record is None:
            self.book.apply(record)
        else:
            self._apply_record(offset, record)

    def snapshot(self) -> bytes:
        """Return the whole book as bytes."""
        return self.book.snapshot()

    def restore(self, data: bytes) -> bool:
        """Take over a snapshot; False if the bytes are none."""
        try:
            self.book.restore(data)
        except ValueError:
            return False
        return True
