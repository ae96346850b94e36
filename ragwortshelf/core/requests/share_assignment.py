"""Assignment of the tokens of an endpoint to the instances of a data centre."""

from __future__ import annotations

import functools
import hashlib

__all__ = ["assigned_tokens"]


@functools.lru_cache(maxsize=4096)
def assigned_tokens(
    endpoint: str, slots: int, members: frozenset[str], instance: str
) -> int:
    """Return the mask of the tokens of an endpoint assigned to an instance.

    The numbers of tokens of any two members differ by at most one. Each token goes to
    the member with the highest rendezvous hash for it among those with fewer tokens
    than their number, so that a change of members moves few tokens.
    """
    in_order = sorted(members, key=lambda name: _score(endpoint, "", name))
    base, extra = divmod(slots, len(in_order))
    unfilled_by_member = {n: base + (i < extra) for i, n in enumerate(in_order)}
    mask = 0
    for token in range(slots):
        candidates = [
            (_score(endpoint, str(token), name), name)
            for name, unfilled in unfilled_by_member.items()
            if unfilled
        ]
        owner = max(candidates)[1]
        unfilled_by_member[owner] -= 1
        if owner == instance:
            mask |= 1 << token
    return mask


def _score(endpoint: str, token: str, instance: str) -> bytes:
    text = f"{endpoint}/{token}/{instance}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
