"""Rendezvous hashing: orders candidates per key identically on every instance."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ["rendezvous"]

_HASH_BYTES = 8


def rendezvous(key: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Return the candidates sorted by their hash with ``key``, the lowest first.

    The order depends only on the key and the names. When a candidate leaves, only the
    keys that had it first get another first candidate. When one joins, it takes over
    some keys, and no key moves between the others.

    >>> rendezvous("placer/dc1", ["a", "b", "c"])[0] in {"a", "b", "c"}
    True
    """
    return tuple(sorted(set(candidates), key=lambda name: _rank(key, name)))


def _rank(key: str, name: str) -> tuple[bytes, str]:
    text = f"{len(key)}:{key}{name}".encode()
    return hashlib.blake2b(text, digest_size=_HASH_BYTES).digest(), name
