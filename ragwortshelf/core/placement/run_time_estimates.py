"""Expected run times, learned from earlier jobs of the same organisation and kind.

They only help to order waiting jobs and to compare locations. No guarantee relies on
them, since both declared and past run times can be far off.
"""

from __future__ import annotations

from ..model import JobSpec

__all__ = ["RunTimeEstimates"]

DEFAULT_RUN_MS = 60_000
SMOOTHING_FACTOR = 0.2
KINDS_MAX = 4_096


class RunTimeEstimates:
    """Exponential moving averages of run times by organisation and kind."""

    def __init__(self) -> None:
        self._mean_ms_by_kind: dict[tuple[str, str], float] = {}

    def expected_ms(self, spec: JobSpec) -> int:
        """Return the learned run time, or the declared one before any was recorded."""
        mean_ms = self._mean_ms_by_kind.get((spec.organisation, spec.kind))
        if mean_ms is not None:
            return int(mean_ms)
        return spec.declared_run_ms or DEFAULT_RUN_MS

    def record(self, spec: JobSpec, run_ms: int) -> None:
        """Add the length of one complete run to the average."""
        key = (spec.organisation, spec.kind)
        mean_ms = self._mean_ms_by_kind.pop(key, float(run_ms))
        while len(self._mean_ms_by_kind) >= KINDS_MAX:
            del self._mean_ms_by_kind[next(iter(self._mean_ms_by_kind))]
        self._mean_ms_by_kind[key] = mean_ms + SMOOTHING_FACTOR * (run_ms - mean_ms)
