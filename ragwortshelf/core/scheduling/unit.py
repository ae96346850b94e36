"""A unit while the scheduler tracks it, with its placements and its sort key."""

from __future__ import annotations

from dataclasses import dataclass

from .calibration import EstimateCalibration
from .configuration import Queue
from .job_table import Job
from .model import GANG, Resources, Step, UnitKey, UnitPhase, task_name
from .records import UnitCrashes, UnitRecord
from .run_time import remaining_ms
from .task_placement import TaskPlacement

__all__ = ["JobTimes", "Unit", "job_times", "make_sort_key"]

CORES_PER_GPU = 8
"""Cores to which one accelerator is equivalent, by the platform's prices."""

STARVATION_MS = 60_000
"""Wait after which a unit ranks directly after priority 0: ten times the work of a
usual batch, by which time the objectives of the supported loads have passed."""

CHECKPOINT_LOSS_MS = 750
"""Run time lost by stopping a checkpointing unit: half the checkpoint interval of 1 s,
plus a restore of 0.25 s."""


@dataclass(frozen=True, slots=True)
class JobTimes:
    """What all units of a job have in common in the order of planning.

    ``run_times_ms`` has the expected run time of each step, and ``paths_ms`` the
    critical path from its start to the job's end.
    """

    run_times_ms: tuple[int, ...]
    paths_ms: tuple[int, ...]
    sort_key: tuple[int, int]


class Unit:
    """A unit with its placements on endpoints and its place in the queue.

    Units are placed in the order of their ``sort_key``, but none before its
    ``not_before_ms``. Endpoints in ``avoided_ids`` are used only if the unit fits
    nowhere else. The job can be on time if the unit starts by ``latest_start_wall_ms``.
    ``last_failed_run`` is the latest run counted as failed, so that a gang's run counts
    once. ``quick_failure_count`` counts runs that failed as soon as they started, and
    ``unsteady_run_count`` those of a long-running task that soon failed, in a row.
    A unit that ``has_moved`` from a slow endpoint is not moved again. It ``has_begun``
    unless all its starts so far were refused, or never sent.
    Nothing of it has run from ``waiting_since_ms`` on: a start that is refused does not
    change that, and a run that lapsed counts until it was listed last.

    ``estimate_ms`` is the expected run time of its tasks: the caller's estimate,
    corrected by earlier runs of the queue.

    ``crashes`` has the endpoints that were lost at its starts, and ``held_until_ms`` is
    how long it waits for word of them.

    ``order_key`` is the sort key with the unit's place by fair shares in the latest
    plan. The unit is starving from ``starving_from_ms`` on; None until a plan needs it.
    """

    __slots__ = (
        "avoided_ids",
        "crashes",
        "estimate_ms",
        "has_begun",
        "has_moved",
        "held_until_ms",
        "job",
        "key",
        "last_failed_run",
        "latest_start_wall_ms",
        "not_before_ms",
        "order_key",
        "phase",
        "placements",
        "priority",
        "quick_failure_count",
        "record",
        "sort_key",
        "starving_from_ms",
        "step",
        "unsteady_run_count",
        "waiting_since_ms",
    )

    def __init__(self, key: UnitKey, job: Job, now_ms: int):
        self.key = key
        self.job = job
        self.step: Step = job.spec.steps[key.step]
        self.estimate_ms = self.step.estimate_ms
        self.record = job.record_by_key.get(key) or UnitRecord(
            key, 0, UnitPhase.WAITING
        )
        self.phase = UnitPhase.WAITING
        self.placements: list[TaskPlacement] = []
        self.avoided_ids: set[str] = set()
        self.last_failed_run = 0
        self.quick_failure_count = 0
        self.unsteady_run_count = 0
        self.not_before_ms = 0
        self.has_begun = self.record.has_begun
        # The log does not tell moves from other stops. A unit that was stopped in an
        # earlier term may have been moved in it.
        was_stopped = self.record.run > 1 or self.record.phase is UnitPhase.ENDING
        self.has_moved = was_stopped
        self.crashes = UnitCrashes(key)
        self.held_until_ms = 0
        self.sort_key: tuple = ()
        self.order_key: tuple = ()
        self.starving_from_ms: int | None = None
        self.latest_start_wall_ms = 0
        self.priority = 0
        self.waiting_since_ms = now_ms

    @property
    def count(self) -> int:
        """Number of tasks of the unit."""
        return self.step.count if self.key.member == GANG else 1

    @property
    def working_since_ms(self) -> int | None:
        """When the starts of all tasks were confirmed; None before that.

        The members of a gang make no progress until all of them are present.
        """
        if len(self.placements) < self.count:
            return None
        since_ms = 0
        for placement in self.placements:
            if placement.confirmed_ms is None:
                return None
            since_ms = max(since_ms, placement.confirmed_ms)
        return since_ms

    @property
    def latest_end_wall_ms(self) -> int:
        """When the unit must be done for the job to be on time, by the estimates."""
        return self.latest_start_wall_ms + self.estimate_ms

    @property
    def mean_percent(self) -> float:
        """Mean progress of the unit's tasks, as listed last."""
        percents = [placement.progress_percent for placement in self.placements]
        return sum(percents) / max(1, len(percents))

    @property
    def is_suspect(self) -> bool:
        """Whether the unit may crash the endpoints that start it."""
        return bool(self.crashes.by_task or self.crashes.suspected)

    @property
    def gpus(self) -> int:
        """Accelerators requested by all tasks of the unit."""
        return self.count * self.step.request.gpus

    @property
    def cores(self) -> float:
        """Resources requested by all tasks, in equivalent cores."""
        request: Resources = self.step.request
        return self.count * (request.cpu_milli / 1000 + CORES_PER_GPU * request.gpus)

    def set_times(self, times: JobTimes) -> None:
        """Set the sort key, priority and latest start by those of the job."""
        self.estimate_ms = times.run_times_ms[self.key.step]
        self.sort_key = times.sort_key
        self.priority, deadline = self.sort_key
        self.order_key = (self.priority, 0, deadline)
        self.latest_start_wall_ms = deadline - times.paths_ms[self.key.step]

    @property
    def is_guaranteed(self) -> bool:
        """Whether the latest plan put the unit before all that are not guaranteed."""
        return self.order_key[1] < 0

    @property
    def must_restart(self) -> bool:
        """Whether a long-running unit has run before, so that room is reclaimed."""
        return self.step.is_long_running and self.record.run > 0

    def is_late(self, wall_ms: int) -> bool:
        """Whether the job is unlikely to be on time.

        Estimates are off by half or more, so half an estimate is allowed for.
        """
        allowance = self.estimate_ms // 2
        return wall_ms > self.latest_start_wall_ms + allowance

    def comes_before(self, other: Unit) -> bool:
        """Whether the unit comes before another one in the order of the latest plan.

        The tasks of a step have equal order keys, and come in the order of their keys.
        """
        return (self.order_key, self.key) < (other.order_key, other.key)

    def set_order_key(self, is_above_share: bool, now_ms: int) -> None:
        """Set the place in the order of one plan."""
        if self.is_starving(now_ms):
            # After priority 0 and before priority 1, the longest wait first.
            self.order_key = (0, 2, self.starving_from_ms)
        else:
            self.order_key = (self.priority, int(is_above_share), self.sort_key[1])

    def set_guaranteed_order_key(self) -> None:
        """Set a place in the order before all units that are not guaranteed.

        The room that others wait for is then open to the unit. Otherwise a gang that
        waits for most endpoints would keep a guarantee from being reclaimed.
        """
        self.order_key = (self.priority, -1, self.sort_key[1])

    def is_starving(self, now_ms: int) -> bool:
        """Whether a less urgent unit has waited for ``STARVATION_MS``."""
        starving_from_ms = self.starving_from_ms
        return (
            starving_from_ms is not None
            and starving_from_ms <= now_ms
            and self.priority > 0
        )

    def set_starving_from(self, now_ms: int, wall_ms: int) -> None:
        """Set when the unit begins to starve, by the log rather than by this term."""
        waited_ms = self._waited_ms(now_ms, wall_ms)
        self.starving_from_ms = now_ms - waited_ms + STARVATION_MS

    def adopt_wait(self, now_ms: int, wall_ms: int) -> None:
        """Count the wait of a unit that nothing runs of from before this term."""
        self.waiting_since_ms = now_ms - self._waited_ms(now_ms, wall_ms)

    def _waited_ms(self, now_ms: int, wall_ms: int) -> int:
        """Return how long the unit has waited by the log.

        Steps that follow others count from when this term opened them, since the log
        has no single record of that time.
        """
        waited_ms = now_ms - self.waiting_since_ms
        spec = self.job.spec
        if self.record.phase is UnitPhase.ENDING:
            waited_ms = max(waited_ms, wall_ms - self.record.changed_wall_ms)
        elif not self.record.has_begun and not self.step.depends_on:
            due_ms = spec.due_wall_ms(self.key.occurrence)
            begin_ms = max(spec.accepted_wall_ms, due_ms)
            waited_ms = max(waited_ms, wall_ms - begin_ms)
        return waited_ms

    def task(self, index: int) -> str:
        """Return the name of the task with this index on the wire."""
        return task_name(self.key, index)

    def lost_core_ms(self, now_ms: int) -> float:
        """Return the core-milliseconds that stopping the unit now would lose."""
        if not self.placements:
            return 0.0
        started = min(placement.ordered_ms for placement in self.placements)
        elapsed = max(0, now_ms - started)
        if self.step.is_checkpointing:
            elapsed = min(elapsed, CHECKPOINT_LOSS_MS)
        return elapsed * self.cores

    def remaining_ms(self, now_ms: int) -> float:
        """Estimate how long the unit will still occupy its endpoints."""
        return max(
            (
                remaining_ms(placement, self.estimate_ms, now_ms)
                for placement in self.placements
            ),
            default=0,
        )


def job_times(
    job: Job, queue: Queue | None, calibration: EstimateCalibration
) -> JobTimes:
    """Return the times of a job by its queue's configuration and earlier runs."""
    spec = job.spec
    run_times_ms = tuple(
        calibration.expected_ms(spec.queue, step.estimate_ms) for step in spec.steps
    )
    paths_ms = tuple(spec.critical_paths_ms(run_times_ms))
    return JobTimes(run_times_ms, paths_ms, make_sort_key(job, queue, max(paths_ms)))


def make_sort_key(
    job: Job, queue: Queue | None, critical_path_ms: int
) -> tuple[int, int]:
    """Return the sort key of a job's units: priority and wall-clock deadline."""
    # A job whose queue was withdrawn is less urgent than all others.
    priority = queue.priority if queue else 1 << 10
    slack = queue.slack_factor if queue else 1.0
    latency = queue.target_latency_ms if queue else 0
    objective = int(critical_path_ms * slack) + latency
    begin = max(job.spec.accepted_wall_ms, job.spec.first_run_wall_ms)
    return priority, begin + objective
