"""Folds of the jobs and usage streams into ledgers."""

from __future__ import annotations

from collections.abc import Callable

from .streams_fold import Fold

__all__ = ["LedgerFold"]


class LedgerFold(Fold):
    """Folds a stream into a ledger with ``snapshot`` and ``restore``.

    ``apply_record`` takes offset and record; it stands for the ledger's own ``apply``
    where more than the ledger has to hear of a record.
    """

    def __init__(
        self, ledger, apply_record: Callable[[int, object], None] | None = None
    ):
        self.ledger = ledger
        self._apply_record = apply_record

    def apply(self, offset: int, record: object) -> None:
        """Fold one record."""
        if self._apply_record is None:
            self.ledger.apply(record)
        else:
            self._apply_record(offset, record)

    def snapshot(self) -> bytes:
        """Return the whole ledger as bytes."""
        return self.ledger.snapshot()

    def restore(self, data: bytes) -> bool:
        """Take over a snapshot; False if the bytes are none."""
        try:
            self.ledger.restore(data)
        except ValueError:
            return False
        return True
