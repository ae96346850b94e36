"""Base class of the ledgers, each of which holds the state derived from one stream."""

from __future__ import annotations

import abc
from typing import ClassVar

from .codec import decode, encode

__all__ = ["StreamLedger"]


class StreamLedger(abc.ABC):
    """State derived from the records of one stream, saved and restored by snapshots.

    ``SNAPSHOT_TYPE`` is the frozen data class that holds the whole state.
    """

    SNAPSHOT_TYPE: ClassVar[type]

    @abc.abstractmethod
    def to_snapshot(self) -> object:
        """Return the whole state as a ``SNAPSHOT_TYPE``."""

    @abc.abstractmethod
    def _load(self, snapshot) -> None:
        """Replace the state by that of ``snapshot``, a ``SNAPSHOT_TYPE``."""

    @classmethod
    def from_snapshot(cls, snapshot, **limits: int):
        """Return a new ledger with the state of a ``SNAPSHOT_TYPE``."""
        ledger = cls(**limits)
        ledger._load(snapshot)
        return ledger

    def snapshot(self) -> bytes:
        """Return the whole state, encoded for `restore`."""
        return encode(self.to_snapshot())

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one that `snapshot` returned.

        Raises `ValueError` if the bytes are not a snapshot of this type of ledger.
        """
        snapshot = decode(data, {self.SNAPSHOT_TYPE.__name__: self.SNAPSHOT_TYPE})
        if not isinstance(snapshot, self.SNAPSHOT_TYPE):
            raise ValueError(snapshot.detail)
        self._load(snapshot)
