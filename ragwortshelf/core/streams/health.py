"""Whether the log answers, judged by the answers to one kind of call."""

from __future__ import annotations

import random

__all__ = ["LogHealth"]

FAILURES_UNTIL_DOWN = 2
PROBE_AFTER_MS = 3_000
FIRST_RETRY_MS = 100
LONGEST_RETRY_MS = 5_000


class LogHealth:
    """Counts failures in a row, and spaces out the next tries.

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
        """Note an answer."""
        self.has_answered = True
        self._failures = 0

    def on_failure(self, now_ms: int) -> None:
        """Note that no usable answer came."""
        self._failures += 1
        self._probe_at_ms = now_ms + PROBE_AFTER_MS

    def is_up(self, now_ms: int) -> bool:
        """Whether the log has answered and did so lately."""
        return self.has_answered and self._failures < FAILURES_UNTIL_DOWN

    def may_try(self, now_ms: int) -> bool:
        """Whether a call is worth making: the log is not known to be down, or it is
        time to find out whether it still is."""
        return self._failures < FAILURES_UNTIL_DOWN or now_ms >= self._probe_at_ms

    def retry_delay_ms(self) -> int:
        """Wait before the next try after failures: doubling, bounded, with jitter."""
        doubled = FIRST_RETRY_MS << min(self._failures, 10)
        return self._rng.randint(FIRST_RETRY_MS // 2, min(doubled, LONGEST_RETRY_MS))
