"""Retry budget and backoff.

A retry takes one token of the budget and each new request adds a fraction of one, so
that retries stay a bounded share of the load even if all requests fail at once.
"""

from __future__ import annotations

import random

__all__ = ["RetryBudget", "backoff_ms"]

TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 20.0
BACKOFF_BASE_MS = 5
BACKOFF_CAP_MS = 1_000


class RetryBudget:
    """Token bucket that new requests fill and retries empty."""

    def __init__(self):
        self._tokens = MAX_TOKENS

    def earn(self) -> None:
        """Add the fraction of a token that a new request earns."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    def take(self) -> bool:
        """Take one token; False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_ms(retry: int, rng: random.Random) -> int:
    """Return the pause before retry number ``retry`` (from 1), with full jitter.

    The pause is uniform between 1 ms and ``BACKOFF_BASE_MS * 2**retry``, at most
    ``BACKOFF_CAP_MS``.
    """
    ceiling_ms = min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2 ** min(retry, 16))
    return rng.randint(1, ceiling_ms)
