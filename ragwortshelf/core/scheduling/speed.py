"""Relative speeds of endpoints, learned from the progress and the ends of runs.

The model is: log of (duration / estimate) of a run = bias of its step - log speed of
its endpoint + noise. Messages of a factor graph are passed between the steps and the
endpoints on which they run, each time an endpoint is listed. All runs of a step on one
endpoint share one edge of the graph, since they say the same of both.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .fleet import FINISHED_PERCENT, LISTING_GAP_MAX_MS, Endpoint, TaskPlacement
from .model import GANG, UnitKey
from .run_time import PERCENT_ROUNDING
from .speed_belief import SLOW_BELOW, SpeedBelief, SpeedClass
from .unit import Unit

__all__ = ["SpeedClass", "SpeedTracker", "preferred_classes", "speed_class"]

NOISE = 0.2
"""Standard deviation of the logarithm of a task's work among those of its step, which
differ by 15 to 30%, and listings add to it."""

OUTLIER_SHARE = 0.05
OUTLIER_SPREAD = 1.5
"""Share of runs that the model does not explain, such as tail tasks of seven times the
work, and the standard deviation of the logarithm of their work."""

PROGRESS_MIN_MS = 400
PROGRESS_MIN_PERCENT = 8
"""Time and progress from which a run's progress tells its duration: the rounding to
whole percents is then wrong by a twentieth, and delays by a tenth."""

ROUNDING_ERROR = 0.4
"""Standard deviation of the difference of two listed percents."""

START_ERROR_MS = 50
"""Standard deviation of the delay between the confirmation of a start and the time at
which its task is at work, and between a listing and its arrival."""

STALL_PERCENT = 3
"""Progress that is missing from a listing if the run has stalled meanwhile."""

CLOCK_DEVIATION_MAX_MS = 250
"""Difference between this clock and the endpoint's since its last listing from which
this process counts as paused, or the listing as delayed."""

BIAS_SPREAD = 0.5
BIAS_STEPS = 4
BIAS_STEPS_MAX = 50
"""Prior standard deviation of the bias of a queue's steps, in logarithms, its weight in
steps, and the number of steps that count for what is learned of it."""

BIAS_SPREAD_MIN = 0.1
"""Smallest spread of a queue's biases, as a few good estimates may be luck."""

UNKNOWN_BIAS_SPREAD = 2.0
"""Spread of the bias of a step whose estimate says little, such as a rack-sensitive
gang on several racks, which takes three times as long as on one."""

CONTRADICTION_SHARE = 0.5
"""Share of what is known of an endpoint that is kept for each run that contradicts it:
with 0.7, an endpoint slowed down to 0.4 still passed for 0.82 after four gangs."""

UPDATE_INTERVAL_MS = 500
"""Age from which the messages of unchanged runs are passed anew, as siblings elsewhere
have progressed meanwhile."""

REPEAT_MS = 200
"""Time after a listing in which another says nothing new; endpoints also list each end
of a run at once."""

IDLE_STEP_MS = 5_000
"""Time after the last run of a step on an endpoint from which that is settled. Until
then siblings elsewhere still improve what its runs say."""

TOLERATED_SPEED = 0.5
"""Speed at which the job of a tolerant task is still on time: that of the slowest sound
endpoints, 0.6, with an allowance."""

LATENESS_ERRORS = 1.2
"""Standard errors by which an endpoint may be slower than believed. Of 224 urgent jobs
on a half-loaded fleet 204 were on time with 0, 205 with 0.7, and 207 with 1.2."""

_ALL = frozenset(SpeedClass)
_URGENT_PREFERENCE = (
    frozenset({SpeedClass.FAST}),
    frozenset({SpeedClass.USUAL, SpeedClass.FAST}),
    _ALL,
)
_TOLERANT_PREFERENCE = (
    frozenset({SpeedClass.SLOW}),
    frozenset({SpeedClass.SLOW, SpeedClass.USUAL}),
    _ALL,
)
_GANG_PREFERENCE = (
    frozenset({SpeedClass.SLOW}),
    frozenset({SpeedClass.USUAL}),
    frozenset({SpeedClass.SLOW, SpeedClass.USUAL}),
    frozenset({SpeedClass.USUAL, SpeedClass.FAST}),
    _ALL,
)


def speed_class(endpoint: Endpoint) -> SpeedClass:
    """Return the class of an endpoint's speed relative to the others."""
    return endpoint.speed_belief.speed_class


def preferred_classes(unit: Unit, wall_ms: int) -> tuple[frozenset[SpeedClass], ...]:
    """Return the classes on which to look for room, the best choice first.

    Single tasks take slow endpoints, which are of little use to others, unless the job
    would be late there.
    """
    if unit.priority == 0:
        return _URGENT_PREFERENCE
    if unit.count > 1:
        return _GANG_PREFERENCE
    is_tolerant = 0 < speed_needed(unit, wall_ms) <= TOLERATED_SPEED
    return _TOLERANT_PREFERENCE if is_tolerant else (_ALL,)


def speed_needed(unit: Unit, wall_ms: int) -> float:
    """Return the speed from which a unit that starts now is on time, or 0.

    It is 0 if the unit would be late at usual speed as well.
    """
    slack_ms = unit.latest_start_wall_ms - wall_ms
    estimate_ms = unit.estimate_ms
    if slack_ms < 0 or estimate_ms <= 0 or unit.step.is_long_running:
        return 0.0
    return estimate_ms / (estimate_ms + slack_ms)


def is_too_slow(endpoint: Endpoint, needed: float) -> bool:
    """Whether a unit that needs this speed may well be late on an endpoint.

    Endpoints that are not known to be slower than usual are never too slow.
    """
    belief = endpoint.speed_belief
    if belief.speed >= SLOW_BELOW:
        return False
    return belief.speed * math.exp(-LATENESS_ERRORS * belief.error) < needed


class _Run:
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

    def __init__(self, edge: _Edge):
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


class _Edge:
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

    def __init__(self, belief: SpeedBelief, step: _Step):
        self.belief = belief
        self.step = step
        self.runs: set[_Run] = set()
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

    def end_run(self, run: _Run, now_ms: int) -> None:
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


class _Step:
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
        self.edge_by_belief: dict[int, _Edge] = {}

    def replace(self, before: tuple, after: tuple) -> None:
        self.precision += after[0] - before[0]
        self.sum += after[0] * after[1] - before[0] * before[1]


@dataclass(slots=True)
class _QueueBias:
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


class SpeedTracker:
    """Learns from runs, as they are listed, how fast their endpoints are.

    ``changed`` collects the ids of endpoints whose class has changed.
    """

    def __init__(self):
        self._steps_by_job: dict[str, dict[UnitKey, _Step]] = {}
        self._bias_by_queue: dict[str, _QueueBias] = {}

    def run_listed(
        self,
        endpoint: Endpoint,
        placement: TaskPlacement,
        unit: Unit,
        clock_ms: int,
        now_ms: int,
    ) -> None:
        """Note the progress of a run that is listed at ``clock_ms`` of its endpoint."""
        run = placement.speed_run
        if run is not None and not run.edge.is_open:
            # The step's earlier runs here were settled while this one was stopped.
            run = placement.speed_run = None
        if run is None:
            if not _is_evidence(endpoint, placement, unit):
                return
            run = placement.speed_run = self._open_run(endpoint, unit)
        elif placement.pace_percent < 100 or endpoint.is_suspected:
            self._drop(placement)
            return
        if run.begun_ms is None:
            run.begun_ms = unit.working_since_ms
            if run.begun_ms is None:
                return
        self._measure(run, endpoint.speed_belief, placement, clock_ms, now_ms)

    def run_ended(
        self, endpoint: Endpoint, placement: TaskPlacement, is_done: bool, now_ms: int
    ) -> None:
        """Note that a run has ended, whatever its end."""
        run = placement.speed_run
        if run is None:
            return
        placement.speed_run = None
        is_single = placement.unit_key.member != GANG
        listed_ms = endpoint.speed_belief.listed_ms
        is_prompt = listed_ms is not None and now_ms - listed_ms <= LISTING_GAP_MAX_MS
        if is_done and is_single and is_prompt and run.begun_ms is not None:
            duration_ms = max(1, now_ms - run.begun_ms)
            if duration_ms >= PROGRESS_MIN_MS and run.begun_ms > 0:
                run.observe(duration_ms, 2 * START_ERROR_MS / duration_ms)
        if run.edge.is_open:
            run.edge.update()
            run.edge.end_run(run, now_ms)

    def listing_ended(self, endpoint: Endpoint, clock_ms: int, now_ms: int) -> bool:
        """Update an endpoint's belief by what was listed; returns whether its class
        has changed."""
        belief = endpoint.speed_belief
        belief.listed_ms, belief.listed_clock_ms = now_ms, clock_ms
        for edge in list(belief.open_steps.values()):
            if edge.is_changed or now_ms - edge.updated_ms > UPDATE_INTERVAL_MS:
                edge.update()
                edge.updated_ms = now_ms
            if not edge.runs and now_ms - edge.idle_since_ms > IDLE_STEP_MS:
                edge.settle(now_ms)
        return belief.refresh(now_ms)

    def step_done(self, step: UnitKey, now_ms: int) -> None:
        """Settle what the tasks of a step say, whose last one is done."""
        found = self._steps_by_job.get(step.job_id, {}).pop(step, None)
        if found is not None:
            self._close(found, now_ms)

    def forget_job(self, job_id: str, now_ms: int) -> None:
        """Settle what is left of an ended job's tasks, and forget them."""
        for step in self._steps_by_job.pop(job_id, {}).values():
            self._close(step, now_ms)

    def _open_run(self, endpoint: Endpoint, unit: Unit) -> _Run:
        key = unit.key._replace(member=0)
        steps = self._steps_by_job.setdefault(key.job_id, {})
        step = steps.get(key)
        if step is None:
            step = steps[key] = self._open_step(key, unit)
        belief = endpoint.speed_belief
        edge = belief.open_steps.get(key)
        if edge is None:
            edge = belief.open_steps[key] = _Edge(belief, step)
            earlier = step.edge_by_belief.get(id(belief))
            if earlier is not None:
                # The settled runs of the step here would count twice for its bias.
                step.replace(earlier.to_step, (0.0, 0.0))
            step.edge_by_belief[id(belief)] = edge
        run = _Run(edge)
        edge.runs.add(run)
        return run

    def _open_step(self, key: UnitKey, unit: Unit) -> _Step:
        queue = unit.job.spec.queue
        estimate_ms = unit.estimate_ms
        prior = self._bias_by_queue.setdefault(queue, _QueueBias()).prior()
        if estimate_ms <= 0 or unit.step.is_rack_sensitive:
            prior = (UNKNOWN_BIAS_SPREAD**-2, 0.0)
        return _Step(key, queue, max(1, estimate_ms), prior)

    def _measure(
        self,
        run: _Run,
        belief: SpeedBelief,
        placement: TaskPlacement,
        clock_ms: int,
        now_ms: int,
    ) -> None:
        percent = placement.progress_percent
        is_repeat = clock_ms - run.seen_clock_ms < REPEAT_MS
        if percent >= FINISHED_PERCENT or (is_repeat and run.anchor_clock_ms):
            return
        gap_ms = clock_ms - belief.listed_clock_ms
        is_gap = (
            belief.listed_ms is None
            or gap_ms > LISTING_GAP_MAX_MS
            or abs(now_ms - belief.listed_ms - gap_ms) > CLOCK_DEVIATION_MAX_MS
        )
        seen_clock_ms, seen_percent = run.seen_clock_ms, run.seen_percent
        run.seen_clock_ms, run.seen_percent = clock_ms, percent
        if run.anchor_clock_ms is None:
            run.restart(clock_ms, percent)
            elapsed_ms = now_ms - run.begun_ms
            was_answered = placement.confirmed_ms != placement.first_listed_ms
            if is_gap or not was_answered:
                run.begun_ms = -1
            elif elapsed_ms >= PROGRESS_MIN_MS and percent >= PROGRESS_MIN_PERCENT:
                share = (percent + PERCENT_ROUNDING) / 100
                error = math.hypot(
                    START_ERROR_MS / elapsed_ms, ROUNDING_ERROR / percent
                )
                run.observe(elapsed_ms / share, error)
            return
        if is_gap:
            run.restart(clock_ms, percent)
            return
        gained = percent - run.anchor_percent
        elapsed_ms = clock_ms - run.anchor_clock_ms
        if percent <= seen_percent:
            before_ms = seen_clock_ms - run.anchor_clock_ms
            pace = (seen_percent - run.anchor_percent) / max(1, before_ms)
            if pace * (clock_ms - seen_clock_ms) > STALL_PERCENT:
                # It stalled at some time before the listing that it is measured by.
                run.precision = 0.0
                run.edge.is_changed = True
                run.restart(clock_ms, percent)
            return
        if elapsed_ms >= PROGRESS_MIN_MS and gained >= PROGRESS_MIN_PERCENT:
            run.observe(100 * elapsed_ms / gained, ROUNDING_ERROR / gained)

    def _drop(self, placement: TaskPlacement) -> None:
        run, placement.speed_run = placement.speed_run, None
        run.edge.runs.discard(run)

    def _close(self, step: _Step, now_ms: int) -> None:
        edges = list(step.edge_by_belief.values())
        for edge in edges:
            if edge.is_open:
                edge.update()
        variance = 0.0
        data_precision = step.precision - step.prior[0]
        if data_precision > 0 and step.prior[0] > UNKNOWN_BIAS_SPREAD**-2:
            variance = 1 / data_precision
            bias = (step.sum - step.prior[0] * step.prior[1]) / data_precision
            self._bias_by_queue[step.queue].learn(bias, variance)
        for edge in edges:
            if edge.is_open:
                edge.settle(now_ms)
                edge.belief.refresh(now_ms)


def _weight(run: _Run, expected: float, variance: float) -> float:
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


def _is_evidence(endpoint: Endpoint, placement: TaskPlacement, unit: Unit) -> bool:
    """Whether a run may tell the speed of its endpoint."""
    step = unit.step
    if step.is_long_running or step.fills or unit.record.checkpoint:
        return False
    if placement.pace_percent < 100 or endpoint.is_suspected:
        return False
    if placement.ordered_ms < endpoint.warm_at_ms:
        return False
    # Away from its data a task takes longer on any endpoint.
    return not step.preferred_rack or endpoint.rack == step.preferred_rack
