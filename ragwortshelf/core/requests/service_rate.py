"""Observed service rate of one queue."""

from __future__ import annotations

__all__ = ["ServiceRate"]

WINDOW_MS = 1_000


class ServiceRate:
    """Expected run time, in ms, of the requests started per ms in the last window.

    A window lasts at least ``WINDOW_MS``. A rate of 3 means that on average three
    requests run at a time.
    """

    def __init__(self):
        self._window_start_ms = 0
        self._sum_ms = 0.0
        self._last_per_ms = 0.0

    def record(self, cost_ms: float, now_ms: int) -> None:
        """Record that a request with this expected run time starts."""
        self._advance_window(now_ms)
        self._sum_ms += cost_ms

    def per_ms(self, now_ms: int) -> float:
        """Return the rate of the last complete window.

        It is 0 if no request started in that window.
        """
        self._advance_window(now_ms)
        return self._last_per_ms

    def _advance_window(self, now_ms: int) -> None:
        age_ms = now_ms - self._window_start_ms
        if age_ms < WINDOW_MS:
            return
        self._last_per_ms = self._sum_ms / age_ms
        self._window_start_ms = now_ms
        self._sum_ms = 0.0
