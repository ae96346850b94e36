"""Relative speeds of endpoints, learned from the progress and the ends of runs.

Each time an endpoint is listed, its runs are measured and the messages of the graph in
`speed_graph` are passed.
"""

from __future__ import annotations

import math

from .endpoint import Endpoint
from .model import GANG, UnitKey
from .run_time import PERCENT_ROUNDING
from .speed_belief import SpeedBelief
from .speed_graph import QueueBias, RunMeasurement, SpeedEdge, StepBias
from .task_placement import FINISHED_PERCENT, LISTING_GAP_MAX_MS, TaskPlacement
from .unit import Unit

__all__ = ["SpeedTracker"]

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

UNKNOWN_BIAS_SPREAD = 2.0
"""Spread of the bias of a step whose estimate says little, such as a rack-sensitive
gang on several racks, which takes three times as long as on one."""

UPDATE_INTERVAL_MS = 500
"""Age from which the messages of unchanged runs are passed anew, as siblings elsewhere
have progressed meanwhile."""

REPEAT_MS = 200
"""Time after a listing in which another says nothing new; endpoints also list each end
of a run at once."""

IDLE_STEP_MS = 5_000
"""Time after the last run of a step on an endpoint from which that is settled. Until
then siblings elsewhere still improve what its runs say."""


class SpeedTracker:
    """Learns from runs, as they are listed, how fast their endpoints are.

    ``changed`` collects the ids of endpoints whose class has changed.
    """

    def __init__(self):
        self._steps_by_job: dict[str, dict[UnitKey, StepBias]] = {}
        self._bias_by_queue: dict[str, QueueBias] = {}

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

    def _open_run(self, endpoint: Endpoint, unit: Unit) -> RunMeasurement:
        key = unit.key._replace(member=0)
        steps = self._steps_by_job.setdefault(key.job_id, {})
        step = steps.get(key)
        if step is None:
            step = steps[key] = self._open_step(key, unit)
        belief = endpoint.speed_belief
        edge = belief.open_steps.get(key)
        if edge is None:
            edge = belief.open_steps[key] = SpeedEdge(belief, step)
            earlier = step.edge_by_belief.get(id(belief))
            if earlier is not None:
                # The settled runs of the step here would count twice for its bias.
                step.replace(earlier.to_step, (0.0, 0.0))
            step.edge_by_belief[id(belief)] = edge
        run = RunMeasurement(edge)
        edge.runs.add(run)
        return run

    def _open_step(self, key: UnitKey, unit: Unit) -> StepBias:
        queue = unit.job.spec.queue
        estimate_ms = unit.estimate_ms
        prior = self._bias_by_queue.setdefault(queue, QueueBias()).prior()
        if estimate_ms <= 0 or unit.step.is_rack_sensitive:
            prior = (UNKNOWN_BIAS_SPREAD**-2, 0.0)
        return StepBias(key, queue, max(1, estimate_ms), prior)

    def _measure(
        self,
        run: RunMeasurement,
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

    def _close(self, step: StepBias, now_ms: int) -> None:
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
