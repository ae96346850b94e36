"""A buffer for data that arrives in parts of any size."""

from __future__ import annotations

__all__ = ["BLOCK_BYTES", "BlockBuffer"]

BLOCK_BYTES = 64 * 1024


class BlockBuffer:
    """Collects parts in blocks of up to ``BLOCK_BYTES``.

    The number of objects is bounded by the size, unlike that of a list of the parts.
    Many large buffers that each grow as one block would fragment the heap, so that the
    process takes several times the memory that they hold.

    >>> buffer = BlockBuffer()
    >>> buffer.append(b"ab")
    >>> buffer.append(b"c")
    >>> len(buffer), bytes(buffer)
    (3, b'abc')
    """

    def __init__(self):
        self._blocks: list[bytearray] = []
        self._size_bytes = 0

    def append(self, data: bytes | bytearray) -> None:
        """Add a copy of ``data``."""
        self._size_bytes += len(data)
        if self._blocks and len(self._blocks[-1]) + len(data) <= BLOCK_BYTES:
            self._blocks[-1] += data
        else:
            self._blocks.append(bytearray(data))

    def clear(self) -> None:
        """Release everything."""
        self._blocks.clear()
        self._size_bytes = 0

    def __len__(self) -> int:
        return self._size_bytes

    def __bytes__(self) -> bytes:
        return b"".join(self._blocks)
