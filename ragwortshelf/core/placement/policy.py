"""How jobs are ordered and how places are scored; a policy may be replaced.

`WeightedPolicy` weighs whole racks and workers against short completion by the rules
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
    """What a policy knows of a waiting job.

    ``expected_run_ms`` is learned from earlier runs of the same organisation and
    kind, so it can be far off; nothing that must hold depends on it.
    """

    accelerators: int
    waited_ms: int
    expected_run_ms: int
    priority: int


class PlacementPolicy(abc.ABC):
    """Orders jobs of one tier and scores places for them."""

    @abc.abstractmethod
    def configured(self, configuration: Configuration) -> PlacementPolicy:
        """Return the policy with the weights that ``configuration`` sets."""

    @abc.abstractmethod
    def urgency(self, job: JobView) -> float:
        """Return how soon a job of an organisation is due; the largest goes first."""

    @abc.abstractmethod
    def place_score(self, free_before: int, taken: int, size: int) -> float:
        """Return how much a part of a group breaks a worker; the least is best."""

    @property
    @abc.abstractmethod
    def move_gain_weight(self) -> float:
        """Return how much a moved job may cost for the waiting that it ends."""

    @property
    def defragments(self) -> bool:
        """Whether checkpointable jobs may be moved to join free accelerators."""
        return self.move_gain_weight > 0


@dataclass(frozen=True, slots=True)
class WeightedPolicy(PlacementPolicy):
    """Response ratio against group size, each with its weight.

    The response ratio is the wait over the expected run time: short jobs go first,
    and every job's ratio grows without bound as it waits, so none starves.
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
        """Return 0 for an exact fit, and more if a whole worker is broken."""
        left = free_before - taken
        breaks_whole = 1.0 if free_before == size and left else 0.0
        return left / size + self.fragmentation_weight * breaks_whole

    @property
    def move_gain_weight(self) -> float:
        """Return the weight of fragmentation against that of completion."""
        if self.completion_weight <= 0:
            return self.fragmentation_weight
        return self.fragmentation_weight / self.completion_weight
