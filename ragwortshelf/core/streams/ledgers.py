"""What the ledgers that streams fold into have in common: their snapshots."""

from __future__ import annotations

import abc
from typing import ClassVar

from .codec import decode, encode

__all__ = ["StreamLedger"]


class StreamLedger(abc.ABC):
    """State folded from one stream, which snapshots carry whole.

    ``SNAPSHOT_TYPE`` is the frozen data class of a snapshot.
    """

    SNAPSHOT_TYPE: ClassVar[type]

    @abc.abstractmethod
    def to_snapshot(self) -> object:
        """Return everything that the ledger holds."""

    @abc.abstractmethod
    def _load(self, snapshot) -> None:
        """Replace the contents by those of a snapshot."""

    @classmethod
    def from_snapshot(cls, snapshot, **limits: int):
        """Return a ledger that goes on where ``snapshot`` was taken."""
        ledger = cls(**limits)
        ledger._load(snapshot)
        return ledger

    def snapshot(self) -> bytes:
        """Return ``to_snapshot`` as bytes."""
        return encode(self.to_snapshot())

    def restore(self, data: bytes) -> None:
        """Replace the contents by those of ``snapshot`` bytes.

        Raises `ValueError` if the bytes are no snapshot of such a ledger.
        """
        snapshot = decode(data, {self.SNAPSHOT_TYPE.__name__: self.SNAPSHOT_TYPE})
        if not isinstance(snapshot, self.SNAPSHOT_TYPE):
            raise ValueError(snapshot.detail)
        self._load(snapshot)
