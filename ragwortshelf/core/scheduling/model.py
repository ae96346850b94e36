"""Jobs, their steps, and the units that are scheduled as a whole."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = [
    "GANG",
    "Incarnation",
    "JobSpec",
    "JobState",
    "Resources",
    "Step",
    "UnitKey",
    "UnitPhase",
    "step_name",
    "task_name",
]

GANG = -1
"""Member number in the key of a unit that is a whole gang."""


@dataclass(frozen=True, slots=True)
class Resources:
    """Resources that a task occupies or an endpoint offers.

    ``cpu_milli`` is in thousandths of a core, ``memory_mb`` in megabytes.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def times_in(self, room: Resources) -> int:
        """Return how many times this request fits into ``room``.

        >>> Resources(500, 100, 0).times_in(Resources(2000, 1000, 8))
        4
        """
        return self.times_in_amounts(room.cpu_milli, room.memory_mb, room.gpus)

    def times_in_amounts(self, cpu_milli: int, memory_mb: int, gpus: int) -> int:
        """Do the same as `times_in` without a `Resources` object for the room."""
        fits = 1 << 30
        if self.cpu_milli:
            fits = cpu_milli // self.cpu_milli
        if self.memory_mb:
            fits = min(fits, memory_mb // self.memory_mb)
        if self.gpus:
            fits = min(fits, gpus // self.gpus)
        return max(0, fits)

    @property
    def is_nonnegative(self) -> bool:
        """Whether no resource is short."""
        return self.cpu_milli >= 0 and self.memory_mb >= 0 and self.gpus >= 0

    def plus(self, other: Resources, times: int = 1) -> Resources:
        """Return this plus ``times`` times ``other``; negative ``times`` subtracts."""
        return Resources(
            self.cpu_milli + times * other.cpu_milli,
            self.memory_mb + times * other.memory_mb,
            self.gpus + times * other.gpus,
        )


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a job: ``count`` identical tasks.

    ``estimate_ms`` is the estimated run time of a task. ``depends_on`` holds the
    numbers of the earlier steps whose tasks must all be done first. ``required_label``
    must be among an endpoint's labels; ``preferred_rack`` is where the data is.
    ``tasks_per_endpoint_max`` is 0 if there is no limit. Steps whose tasks serve
    requests have a target for the tail latency, ``tail_target_ms``. A step that
    ``fills`` has background tasks: their processors are not counted, and they get what
    the other tasks leave. The scheduler makes at most ``unavailable_max`` tasks of a
    long-running step unavailable at a time; None is no limit.
    """

    count: int
    request: Resources
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    is_gang: bool = False
    is_rack_sensitive: bool = False
    is_checkpointing: bool = False
    is_speculative: bool = False
    is_long_running: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    tasks_per_endpoint_max: int = 0
    image: str = ""
    tail_target_ms: int = 0
    fills: bool = False
    unavailable_max: int | None = None

    @property
    def members(self) -> range:
        """The ``member`` of each unit in one occurrence of this step."""
        return range(GANG, GANG + 1) if self.is_gang else range(self.count)

    @property
    def occupied(self) -> Resources:
        """Resources that one task occupies; background tasks occupy no processors."""
        if not self.fills:
            return self.request
        return Resources(0, self.request.memory_mb, self.request.gpus)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted by its caller; endpoints get its ``text`` with each start.

    ``accepted_wall_ms`` is the wall clock of the instance that accepted it.
    ``occurrences`` is 0 for a job that runs once, as soon as possible. ``attempts_max``
    is the limit of its queue at that time; it applies if the queue is withdrawn.
    """

    id: str
    queue: str
    service: str
    organisation: str
    text: str
    steps: tuple[Step, ...]
    accepted_wall_ms: int = 0
    occurrences: int = 0
    first_run_wall_ms: int = 0
    interval_ms: int = 0
    attempts_max: int = 1

    @property
    def occurrence_count(self) -> int:
        """How many times the steps are run; 1 if no occurrences are scheduled."""
        return max(1, self.occurrences)

    def due_wall_ms(self, occurrence: int) -> int:
        """Return the earliest start of an occurrence; 0 for an unscheduled job."""
        if not self.occurrences:
            return 0
        return self.first_run_wall_ms + occurrence * self.interval_ms

    def critical_paths_ms(self, run_times_ms: Sequence[int] | None = None) -> list[int]:
        """Return, for each step, the critical path from its start to the job's end.

        ``run_times_ms`` has the run time of each step; by default it is the estimate.

        >>> first = Step(1, Resources(), 300)
        >>> last = Step(1, Resources(), 200, depends_on=(0,))
        >>> JobSpec("j", "q", "s", "o", "", (first, last)).critical_paths_ms()
        [500, 200]
        """
        if run_times_ms is None:
            run_times_ms = [step.estimate_ms for step in self.steps]
        lengths = list(run_times_ms)
        for number in range(len(self.steps) - 1, -1, -1):
            for before in self.steps[number].depends_on:
                total = run_times_ms[before] + lengths[number]
                lengths[before] = max(lengths[before], total)
        return lengths


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One life of an endpoint, which its id and the time of its start identify.

    ``started_wall_ms`` is the endpoint's own wall clock, and 0 if it is not known.
    """

    endpoint_id: str
    address: str = field(compare=False)
    started_wall_ms: int


class JobState(enum.Enum):
    """State of a job as callers see it; the value is the name on the interface."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class UnitPhase(enum.IntEnum):
    """Phase of a unit's lifecycle; the value is stored in the log.

    The run of an ENDING unit is being stopped or has ended on one endpoint, and may
    still occupy others. The unit is started again only when all of them are released.
    """

    WAITING = 0
    PLACED = 1
    ENDING = 2
    DONE = 3
    FAILED = 4


class UnitKey(NamedTuple):
    """Key of a unit: job, occurrence, step, and the number of its task in the step.

    ``member`` is ``GANG`` for a unit that is a whole gang.
    """

    job_id: str
    occurrence: int
    step: int
    member: int


def task_name(key: UnitKey, index: int) -> str:
    """Return the name on the wire of a unit's task; ``index`` counts within the unit.

    >>> task_name(UnitKey("5c0e7a21d94b36f8", 0, 1, GANG), 17)
    '5c0e7a21d94b36f8.0.1.17'
    """
    member = index if key.member == GANG else key.member
    return f"{key.job_id}.{key.occurrence}.{key.step}.{member}"


def step_name(key: UnitKey) -> str:
    """Return the name on the wire of a step in one occurrence.

    >>> step_name(UnitKey("5c0e7a21d94b36f8", 0, 1, GANG))
    '5c0e7a21d94b36f8.0.1'
    """
    return f"{key.job_id}.{key.occurrence}.{key.step}"
