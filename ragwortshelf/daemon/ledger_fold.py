"""Adapter that maintains the job and charge ledgers from their streams."""

from __future__ import annotations

from collections.abc import Callable

from .streams_fold import Fold

__all__ = ["LedgerFold"]


class LedgerFold(Fold):
    """Builds a ledger, which has ``snapshot`` and ``restore``, from a stream.

    ``apply_record`` is called with offset and record instead of the ledger's ``apply``,
    for a ledger whose records other components need too. It has to update the ledger.
    """

    def __init__(
        self, ledger, apply_record: Callable[[int, object], None] | None = None
    ):
        self.ledger = ledger
        self._apply_record = apply_record

    def apply(self, offset: int, record: object) -> None:
        """Apply one record to the ledger."""
        if self._apply_record is None:
            self.ledger.apply(record)
        else:
            self._apply_record(offset, record)

    def snapshot(self) -> bytes:
        """Encode the complete ledger."""
        return self.ledger.snapshot()

    def restore(self, data: bytes) -> bool:
        """Restore a snapshot; False if the bytes cannot be decoded."""
        try:
            self.ledger.restore(data)
        except ValueError:
            return False
        return True
