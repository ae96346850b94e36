"""Which tokens of an endpoint fall to which instance, given one view of members."""

from __future__ import annotations

import functools
import hashlib

__all__ = ["assigned_tokens"]


@functools.lru_cache(maxsize=4096)
def assigned_tokens(
    endpoint: str, slots: int, members: frozenset[str], instance: str
) -> int:
    """Return the mask of the tokens of an endpoint that fall to an instance.

    Each member gets an equal number, and each token goes to the member that ranks
    highest for it by rendezvous hashing among those that have room, so that a change
    of members moves few tokens.
    """
    in_order = sorted(members, key=lambda name: _rank(endpoint, "", name))
    each, rest = divmod(slots, len(in_order))
    room_by_member = {n: each + (i < rest) for i, n in enumerate(in_order)}
    mask = 0
    for token in range(slots):
        ranked = [
            (_rank(endpoint, str(token), name), name)
            for name, room in room_by_member.items()
            if room
        ]
        owner = max(ranked)[1]
        room_by_member[owner] -= 1
        if owner == instance:
            mask |= 1 << token
    return mask


def _rank(endpoint: str, token: str, instance: str) -> bytes:
    text = f"{endpoint}/{token}/{instance}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
