"""Rendezvous hashing: an order of candidates per key that every instance agrees on."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ["rendezvous"]

_HASH_BYTES = 8


def rendezvous(key: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Order candidates by their hash with ``key``, the lowest first.

    The order depends on nothing but the names. When a candidate leaves, only the keys
    that it was first for get another first; when one joins, it only takes keys over.

    >>> rendezvous("placer/dc1", ["a", "b", "c"])[0] in {"a", "b", "c"}
    True
    """
    return tuple(sorted(set(candidates), key=lambda name: _rank(key, name)))


def _rank(key: str, name: str) -> tuple[bytes, str]:
    text = f"{len(key)}:{key}{name}".encode()
    return hashlib.blake2b(text, digest_size=_HASH_BYTES).digest(), name
