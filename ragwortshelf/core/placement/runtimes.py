"""Expected run times, learned from what jobs of an organisation and kind took.

They order waiting jobs and nothing else: no guarantee and no reservation relies on
them, since declared and past run times can both be far off.
"""

from __future__ import annotations

from ..model import JobSpec

__all__ = ["RunTimes"]

DEFAULT_RUN_MS = 60_000
LEARNING_RATE = 0.2
KINDS_MAX = 4_096


class RunTimes:
    """Moving average of run times by organisation and kind."""

    def __init__(self) -> None:
        self._mean_ms_by_kind: dict[tuple[str, str], float] = {}

    def expected_ms(self, spec: JobSpec) -> int:
        """Return the learned time, the declared one before any run has ended."""
        mean_ms = self._mean_ms_by_kind.get((spec.organisation, spec.kind))
        if mean_ms is not None:
            return int(mean_ms)
        return spec.declared_run_ms or DEFAULT_RUN_MS

    def learn(self, spec: JobSpec, run_ms: int) -> None:
        """Count one whole run of ``run_ms``."""
        key = (spec.organisation, spec.kind)
        mean_ms = self._mean_ms_by_kind.pop(key, float(run_ms))
        while len(self._mean_ms_by_kind) >= KINDS_MAX:
            del self._mean_ms_by_kind[next(iter(self._mean_ms_by_kind))]
        self._mean_ms_by_kind[key] = mean_ms + LEARNING_RATE * (run_ms - mean_ms)
