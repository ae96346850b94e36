"""Parts of any size are kept in order, in few blocks."""

from ragwortshelf.net.block_buffer import BLOCK_BYTES, BlockBuffer


def test_parts_of_any_size_are_kept_in_order():
    buffer = BlockBuffer()
    parts = [b"a", b"b" * BLOCK_BYTES, b"c" * (BLOCK_BYTES + 1), b"", b"d" * 9]
    for part in parts:
        buffer.append(part)
    assert bytes(buffer) == b"".join(parts)
    assert len(buffer) == 2 * BLOCK_BYTES + 11
    buffer.clear()
    assert (len(buffer), bytes(buffer)) == (0, b"")


# Guards against an object in memory for each byte of a body.
def test_small_parts_share_blocks():
    buffer = BlockBuffer()
    for _ in range(3 * BLOCK_BYTES):
        buffer.append(b"x")
    assert len(buffer._blocks) == 3
