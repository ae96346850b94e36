"""Availability of the log, judged by the answers to one kind of call."""

from __future__ import annotations

import random

__all__ = ["LogHealth"]

FAILURES_UNTIL_DOWN = 2
PROBE_AFTER_MS = 3_000
INITIAL_RETRY_MS = 100
MAX_RETRY_MS = 5_000


class LogHealth:
    """Counts consecutive failed calls and decides when to retry.

    >>> health = LogHealth(random.Random(1))
    >>> health.is_up(0)
    False
    >>> health.on_answer()
    >>> health.is_up(0)
    True
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._failures = 0
        self._probe_at_ms = 0
        self.has_answered = False

    def on_answer(self) -> None:
        """Record that a call was answered."""
        self.has_answered = True
        self._failures = 0

    def on_failure(self, now_ms: int) -> None:
        """Record that a call had no usable answer."""
        self._failures += 1
        self._probe_at_ms = now_ms + PROBE_AFTER_MS

    def is_up(self, now_ms: int) -> bool:
        """Whether the log is considered available.

        It is from the first answer on, unless the last ``FAILURES_UNTIL_DOWN`` calls
        or more have failed.
        """
        return self.has_answered and self._failures < FAILURES_UNTIL_DOWN

    def may_try(self, now_ms: int) -> bool:
        """Whether to call the log: it is not known to be down, or a probe is due."""
        return self._failures < FAILURES_UNTIL_DOWN or now_ms >= self._probe_at_ms

    def retry_delay_ms(self) -> int:
        """Return the wait before a retry: bounded exponential backoff with jitter."""
        doubled_ms = INITIAL_RETRY_MS << min(self._failures, 10)
        return self._rng.randint(INITIAL_RETRY_MS // 2, min(doubled_ms, MAX_RETRY_MS))
