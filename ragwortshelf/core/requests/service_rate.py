"""Observed rate of service of one queue."""

from __future__ import annotations

__all__ = ["ServiceRate"]

WINDOW_MS = 1_000


class ServiceRate:
    """Milliseconds of run time started for each millisecond, over the last window."""

    def __init__(self):
        self._from_ms = 0
        self._sum_ms = 0.0
        self._last_per_ms = 0.0

    def note(self, cost_ms: float, now_ms: int) -> None:
        """Note that a request with this expected run time starts."""
        self._turn(now_ms)
        self._sum_ms += cost_ms

    def per_ms(self, now_ms: int) -> float:
        """Return the rate of the last whole window, 0 if nothing was started in it."""
        self._turn(now_ms)
        return self._last_per_ms

    def _turn(self, now_ms: int) -> None:
        age_ms = now_ms - self._from_ms
        if age_ms < WINDOW_MS:
            return
        self._last_per_ms = self._sum_ms / age_ms
        self._from_ms = now_ms
        self._sum_ms = 0.0
