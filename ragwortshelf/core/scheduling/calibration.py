"""Correction of estimated run times by the run times of earlier units of a queue.

The callers of one queue may estimate within a fifth, those of another be wrong by a
factor of ten. A deadline that is computed from such an estimate makes a unit late that
is on time, or the other way round. For each queue the logarithm of the run time is
fitted by a line through that of the estimate: where estimates say little the line is
flat, and the usual run time of the queue is expected; where they are right it has slope
one.
"""

from __future__ import annotations

import math

__all__ = ["EstimateCalibration"]

TRUST_RUNS = 6.0
"""Weight of the assumption that estimates are right, in runs. With fewer observed runs
a queue's estimates are believed more than the observations."""

ESTIMATE_LOG_VARIANCE = 0.25
"""Variance of the logarithms of a queue's estimates that the assumption stands for; it
corresponds to run times that differ by a factor of 1.6 either way."""

RUNS_MAX = 200.0
"""Weight of the runs that count for a queue; older ones fade, as its callers change."""

CORRECTION_MAX = 10.0
"""Largest factor of a correction."""


class _QueueFit:
    """Weighted sums of the logarithms of estimates and run times of one queue."""

    __slots__ = ("_estimate", "_estimate_squared", "_product", "_run_time", "_weight")

    def __init__(self):
        self._weight = 0.0
        self._estimate = 0.0
        self._run_time = 0.0
        self._estimate_squared = 0.0
        self._product = 0.0

    def add(self, estimate: float, run_time: float, weight: float) -> None:
        """Add a run by the logarithms of its estimate and run time."""
        if self._weight + weight > RUNS_MAX:
            self._scale(max(0.0, RUNS_MAX - weight) / self._weight)
        self._weight += weight
        self._estimate += weight * estimate
        self._run_time += weight * run_time
        self._estimate_squared += weight * estimate * estimate
        self._product += weight * estimate * run_time

    def expected(self, estimate: float) -> float:
        """Return the expected logarithm of the run time for that of an estimate."""
        if not self._weight:
            return estimate
        mean_estimate = self._estimate / self._weight
        mean_run_time = self._run_time / self._weight
        variance = self._estimate_squared / self._weight - mean_estimate**2
        covariance = self._product / self._weight - mean_estimate * mean_run_time
        trusted = TRUST_RUNS * ESTIMATE_LOG_VARIANCE
        slope = (trusted + self._weight * covariance) / (
            trusted + self._weight * max(0.0, variance)
        )
        slope = max(0.0, min(1.0, slope))
        trust = self._weight / (self._weight + TRUST_RUNS)
        center = mean_estimate + trust * (mean_run_time - mean_estimate)
        return center + slope * (estimate - mean_estimate)

    def _scale(self, factor: float) -> None:
        self._weight *= factor
        self._estimate *= factor
        self._run_time *= factor
        self._estimate_squared *= factor
        self._product *= factor


class EstimateCalibration:
    """Expected run times of each queue's units, by their estimates.

    >>> calibration = EstimateCalibration()
    >>> calibration.expected_ms("q", 1_000)
    1000
    >>> for estimate_ms in (300, 1_000, 3_000) * 50:
    ...     calibration.run_done("q", estimate_ms, 2_000)
    >>> 1_900 < calibration.expected_ms("q", 500) < 2_100
    True
    """

    def __init__(self):
        self._fit_by_queue: dict[str, _QueueFit] = {}

    def run_done(
        self, queue: str, estimate_ms: int, run_time_ms: int, weight: float = 1.0
    ) -> None:
        """Note the run time of a unit that was done.

        The tasks of one step share an estimate and most of its error, so they have a
        ``weight`` of one together.
        """
        if estimate_ms <= 0 or run_time_ms <= 0:
            return
        fit = self._fit_by_queue.setdefault(queue, _QueueFit())
        fit.add(math.log(estimate_ms), math.log(run_time_ms), weight)

    def expected_ms(self, queue: str, estimate_ms: int) -> int:
        """Return the expected run time of a unit with this estimate."""
        fit = self._fit_by_queue.get(queue)
        if fit is None or estimate_ms <= 0:
            return estimate_ms
        factor = math.exp(fit.expected(math.log(estimate_ms))) / estimate_ms
        factor = max(1 / CORRECTION_MAX, min(CORRECTION_MAX, factor))
        return round(estimate_ms * factor)
