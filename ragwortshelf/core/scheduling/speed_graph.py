"""The factor graph by which speeds of endpoints are learned from runs.

The model is: log of (duration / estimate) of a run = bias of its step - log speed of
its endpoint + noise. Messages are passed between the steps and the endpoints on which
they run. All runs of a step on one endpoint share one edge of the graph, since they say
the same of both.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .model import UnitKey
from .speed_belief import SpeedBelief

__all__ = ["QueueBias", "RunMeasurement", "SpeedEdge", "StepBias"]

NOISE = 0.2
"""Standard deviation of the logarithm of a task's work among those of its step, which
differ by 15 to 30%, and listings add to it."""

OUTLIER_SHARE = 0.05
OUTLIER_SPREAD = 1.5
"""Share of runs that the model does not explain, such as tail tasks of seven times the
work, and the standard deviation of the logarithm of their work."""

BIAS_SPREAD = 0.5
BIAS_STEPS = 4
BIAS_STEPS_MAX = 50
"""Prior standard deviation of the bias of a queue's steps, in logarithms, its weight in
steps, and the number of steps that count for what is learned of it."""

BIAS_SPREAD_MIN = 0.1
"""Smallest spread of a queue's biases, as a few good estimates may be luck."""

CONTRADICTION_SHARE = 0.5
"""Share of what is known of an endpoint that is kept for each run that contradicts it:
with 0.7, an endpoint slowed down to 0.4 still passed for 0.82 after four gangs."""


class RunMeasurement:
    """The measurement of one run: the log of its duration over the estimate.

    ``anchor`` is the listing from which progress is measured, as the endpoint's clock
    and the percent; ``seen`` is the last one.
    """

    __slots__ = (
        "anchor_clock_ms",
        "anchor_percent",
        "begun_ms",
        "edge",
        "log_ratio",
        "precision",
        "seen_clock_ms",
        "seen_percent",
    )

    def __init__(self, edge: SpeedEdge):
        self.edge = edge
        self.begun_ms: int | None = None
        self.anchor_clock_ms: int | None = None
        self.anchor_percent = 0.0
        self.seen_clock_ms = 0
        self.seen_percent = 0.0
        self.log_ratio = 0.0
        self.precision = 0.0

    def observe(self, duration_ms: float, error: float) -> None:
        """Replace the observation; ``error`` is the relative one of the duration."""
        self.log_ratio = math.log(max(1.0, duration_ms) / self.edge.step.estimate_ms)
        self.precision = 1 / (NOISE**2 + error**2)
        self.edge.is_changed = True

    def restart(self, clock_ms: int, percent: float) -> None:
        """Measure from this listing on; what was observed before it is kept."""
        self.anchor_clock_ms, self.anchor_percent = clock_ms, percent


class SpeedEdge:
    """The runs of one step on one endpoint.

    ``to_step`` and ``to_endpoint`` are the messages that the edge contributes, as pairs
    of precision and mean.
    """

    __slots__ = (
        "belief",
        "contradiction_count",
        "ended_precision",
        "ended_sum",
        "idle_since_ms",
        "is_changed",
        "runs",
        "step",
        "to_endpoint",
        "to_step",
        "updated_ms",
    )

    def __init__(self, belief: SpeedBelief, step: StepBias):
        self.belief = belief
        self.step = step
        self.runs: set[RunMeasurement] = set()
        self.ended_precision = 0.0
        self.ended_sum = 0.0
        self.contradiction_count = 0
        self.is_changed = False
        self.updated_ms = 0
        self.idle_since_ms = 0
        self.to_step = (0.0, 0.0)
        self.to_endpoint = (0.0, 0.0)

    @property
    def is_open(self) -> bool:
        """Whether its messages may still change."""
        return self.belief.open_steps.get(self.step.key) is self

    def update(self) -> None:
        """Pass the messages between the step and the endpoint anew."""
        self.is_changed = False
        belief, step = self.belief, self.step
        # Both sides without what this edge has contributed before.
        speed_precision, speed_sum = belief.information()
        speed_precision -= self.to_endpoint[0]
        speed_sum -= self.to_endpoint[0] * self.to_endpoint[1]
        speed = speed_sum / speed_precision
        bias_precision = step.precision - self.to_step[0]
        bias = (step.sum - self.to_step[0] * self.to_step[1]) / bias_precision
        speed_variance = 1 / speed_precision
        variance = speed_variance + 1 / bias_precision
        precision, total = self.ended_precision, self.ended_sum
        for run in self.runs:
            weight = run.precision and _weight(run, bias - speed, variance)
            precision += weight
            total += weight * run.log_ratio
        to_step = to_endpoint = (0.0, 0.0)
        if precision > 0:
            log_ratio = total / precision
            to_step = (1 / (1 / precision + speed_variance), log_ratio + speed)
            to_endpoint = (
                1 / (1 / precision + 1 / bias_precision),
                bias - log_ratio,
            )
        step.replace(self.to_step, to_step)
        belief.replace_open(self.to_endpoint, to_endpoint)
        self.to_step, self.to_endpoint = to_step, to_endpoint

    def end_run(self, run: RunMeasurement, now_ms: int) -> None:
        """Keep what an ended run said, in sum."""
        self.runs.discard(run)
        self.is_changed = True
        if run.precision:
            belief, step = self.belief, self.step
            speed_precision, speed_sum = belief.information()
            variance = 1 / speed_precision + 1 / step.precision
            expected = step.sum / step.precision - speed_sum / speed_precision
            weight = _weight(run, expected, variance)
            self.ended_precision += weight
            self.ended_sum += weight * run.log_ratio
            self.contradiction_count += weight < run.precision / 2
        if not self.runs:
            self.idle_since_ms = now_ms

    def settle(self, now_ms: int) -> None:
        """Hand what the edge says to the endpoint's belief for good."""
        for run in list(self.runs):
            self.end_run(run, now_ms)
        self.belief.replace_open(self.to_endpoint, (0.0, 0.0))
        share = CONTRADICTION_SHARE**self.contradiction_count
        self.belief.discount(share, now_ms)
        self.belief.settle(*self.to_endpoint, now_ms)
        self.belief.open_steps.pop(self.step.key, None)
        self.to_endpoint = (0.0, 0.0)


class StepBias:
    """The bias of one step's estimate, in one occurrence of its job."""

    __slots__ = (
        "edge_by_belief",
        "estimate_ms",
        "key",
        "precision",
        "prior",
        "queue",
        "sum",
    )

    def __init__(self, key: UnitKey, queue: str, estimate_ms: int, prior: tuple):
        self.key = key
        self.queue = queue
        self.estimate_ms = estimate_ms
        self.prior = prior
        self.precision = prior[0]
        self.sum = prior[0] * prior[1]
        self.edge_by_belief: dict[int, SpeedEdge] = {}

    def replace(self, before: tuple, after: tuple) -> None:
        self.precision += after[0] - before[0]
        self.sum += after[0] * after[1] - before[0] * before[1]


@dataclass(slots=True)
class QueueBias:
    """How wrong the estimates of a queue's steps are, as far as learned."""

    steps: float = BIAS_STEPS
    sum: float = 0.0
    square_sum: float = BIAS_STEPS * BIAS_SPREAD**2

    def prior(self) -> tuple[float, float]:
        """Return the precision and the mean of a new step's bias."""
        mean = self.sum / self.steps
        variance = max(BIAS_SPREAD_MIN**2, self.square_sum / self.steps - mean**2)
        return 1 / variance, mean

    def learn(self, bias: float, variance: float) -> None:
        """Take one more step into account, by its bias and the error of that."""
        if self.steps >= BIAS_STEPS_MAX:
            share = BIAS_STEPS_MAX / (BIAS_STEPS_MAX + 1)
            self.steps *= share
            self.sum *= share
            self.square_sum *= share
        weight = 1 / (1 + variance / BIAS_SPREAD**2)
        self.steps += weight
        self.sum += weight * bias
        self.square_sum += weight * max(0.0, bias**2 - variance)


def _weight(run: RunMeasurement, expected: float, variance: float) -> float:
    """Return the precision of a run, less if it is likely an outlier."""
    deviation = run.log_ratio - expected
    variance += 1 / run.precision
    if deviation**2 <= variance:
        return run.precision
    outlier_variance = variance + OUTLIER_SPREAD**2
    # The ratio of the outlier's likelihood to the usual one's.
    exponent = deviation**2 / 2 * (1 / variance - 1 / outlier_variance)
    odds = math.exp(min(exponent, 50.0)) * math.sqrt(variance / outlier_variance)
    share = 1 / (1 + odds * OUTLIER_SHARE / (1 - OUTLIER_SHARE))
    return share * run.precision + (1 - share) * OUTLIER_SPREAD**-2
