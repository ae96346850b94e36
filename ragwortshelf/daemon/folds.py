"""Folds of the jobs and usage streams into books."""

from __future__ import annotations

from .streams_fold import Fold

__all__ = ["BookFold"]


class BookFold(Fold):
    """Folds a stream into a book with ``apply(record)``, ``snapshot`` and ``restore``."""

    def __init__(self, book):
        self.book = book

    def apply(self, offset: int, record: object) -> None:
        """Fold one record."""
        self.book.apply(record)

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
