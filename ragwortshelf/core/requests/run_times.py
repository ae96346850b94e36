"""Statistics of recent run times by request class."""

from __future__ import annotations

from collections import deque

from ..model import RequestClass

__all__ = ["RunTimes"]

WINDOW_ANSWERS = 256
REFRESH_INTERVAL_ANSWERS = 16
P95_QUANTILE = 0.95
DEFAULT_MS_BY_CLASS = {
    RequestClass.QUICK: 20.0,
    RequestClass.ORDINARY: 100.0,
    RequestClass.LONG: 2_000.0,
}
PROGRESS_FACTOR = 4
PROGRESS_MIN_MS_BY_CLASS = {
    RequestClass.QUICK: 300,
    RequestClass.ORDINARY: 2_000,
    RequestClass.LONG: 60_000,
}


class _RecentRunTimes:
    """Recent run times of one class, with their mean and quantiles.

    The statistics are updated after the first answer and then after every
    ``REFRESH_INTERVAL_ANSWERS`` answers.
    """

    def __init__(self, default_ms: float):
        self.recent_ms: deque[int] = deque(maxlen=WINDOW_ANSWERS)
        self.mean_ms = default_ms
        self.median_ms = default_ms
        self.p95_ms = default_ms
        self._since_refresh = 0

    def add(self, run_ms: int) -> None:
        self.recent_ms.append(run_ms)
        self._since_refresh += 1
        if self._since_refresh >= min(REFRESH_INTERVAL_ANSWERS, len(self.recent_ms)):
            self._refresh()

    def _refresh(self) -> None:
        self._since_refresh = 0
        in_order = sorted(self.recent_ms)
        count = len(in_order)
        self.mean_ms = sum(in_order) / count
        self.median_ms = in_order[count // 2]
        self.p95_ms = in_order[min(count - 1, int(count * P95_QUANTILE))]


class RunTimes:
    """Expected run times by class, with a default before the first answer."""

    def __init__(self):
        self._recent_by_class = {
            cls: _RecentRunTimes(default)
            for cls, default in DEFAULT_MS_BY_CLASS.items()
        }

    def record(self, request_class: RequestClass, run_ms: int) -> None:
        """Record the run time of a complete answer."""
        self._recent_by_class[request_class].add(run_ms)

    def mean_ms(self, request_class: RequestClass) -> float:
        """Return the mean run time, at least 1 ms."""
        return max(1.0, self._recent_by_class[request_class].mean_ms)

    def median_ms(self, request_class: RequestClass) -> float:
        """Return the median run time."""
        return self._recent_by_class[request_class].median_ms

    def p95_ms(self, request_class: RequestClass) -> float:
        """Return the 95th percentile of the run time."""
        return self._recent_by_class[request_class].p95_ms

    def progress_ms(self, request_class: RequestClass) -> int:
        """Return the time without an answer after which a connection is checked."""
        observed_ms = PROGRESS_FACTOR * self.p95_ms(request_class)
        return max(PROGRESS_MIN_MS_BY_CLASS[request_class], int(observed_ms))
