"""Replaceable policies that order waiting jobs and score placements.

`WeightedPolicy` trades low fragmentation against short completion times by the rules
``fragmentation_weight`` and ``completion_weight`` of the configuration.
"""

from __future__ import annotations

import abc
from dataclasses import dataclass

from ..model import Configuration

__all__ = ["JobView", "PlacementPolicy", "WeightedPolicy"]

DEFAULT_FRAGMENTATION_WEIGHT = 1.0
DEFAULT_COMPLETION_WEIGHT = 1.0
MIN_EXPECTED_RUN_MS = 1_000
LARGE_GROUP_ACCELERATORS = 16


@dataclass(frozen=True, slots=True)
class JobView:
    """Attributes of a waiting job that a policy may use.

    ``expected_run_ms`` is learned from earlier runs of the same organisation and
    kind and can be far off, so no guarantee may depend on it.
    """

    accelerators: int
    waited_ms: int
    expected_run_ms: int
    priority: int


class PlacementPolicy(abc.ABC):
    """Orders the jobs of one tier and scores placements for them."""

    @abc.abstractmethod
    def configured(self, configuration: Configuration) -> PlacementPolicy:
        """Return the policy with the weights that ``configuration`` sets."""

    @abc.abstractmethod
    def urgency(self, job: JobView) -> float:
        """Return the urgency of a job in its organisation; the largest goes first."""

    @abc.abstractmethod
    def place_score(self, free_before: int, taken: int, size: int) -> float:
        """Return how much taking accelerators fragments a worker; the lowest is best.

        ``taken`` accelerators are to be taken from ``free_before`` free ones of a
        worker that has ``size``.
        """

    @property
    @abc.abstractmethod
    def move_gain_weight(self) -> float:
        """Cost that a move may have for each unit of gain; 0 disables moves."""

    @property
    def defragments(self) -> bool:
        """Whether checkpointable jobs may be moved to reduce fragmentation."""
        return self.move_gain_weight > 0


@dataclass(frozen=True, slots=True)
class WeightedPolicy(PlacementPolicy):
    """Orders jobs by a weighted sum of response ratio and group size.

    The response ratio is (wait + expected run time) / expected run time. It favours
    short jobs, and it grows without bound while a job waits, so that none starves.
    """

    fragmentation_weight: float = DEFAULT_FRAGMENTATION_WEIGHT
    completion_weight: float = DEFAULT_COMPLETION_WEIGHT

    def configured(self, configuration: Configuration) -> WeightedPolicy:
        """Return the policy with the weights that ``configuration`` sets."""
        return WeightedPolicy(
            float(configuration.rule("fragmentation_weight", 1.0)),
            float(configuration.rule("completion_weight", 1.0)),
        )

    def urgency(self, job: JobView) -> float:
        """Return the weighted sum of response ratio and relative size."""
        expected_ms = max(job.expected_run_ms, MIN_EXPECTED_RUN_MS)
        ratio = (job.waited_ms + expected_ms) / expected_ms
        size = job.accelerators / LARGE_GROUP_ACCELERATORS
        return self.completion_weight * ratio + self.fragmentation_weight * size

    def place_score(self, free_before: int, taken: int, size: int) -> float:
        """Return 0 for an exact fit, and more if it uses only part of a free worker."""
        remaining = free_before - taken
        splits_free_worker = 1.0 if free_before == size and remaining else 0.0
        return remaining / size + self.fragmentation_weight * splits_free_worker

    @property
    def move_gain_weight(self) -> float:
        """Weight of fragmentation relative to that of completion."""
        if self.completion_weight <= 0:
            return self.fragmentation_weight
        return self.fragmentation_weight / self.completion_weight
