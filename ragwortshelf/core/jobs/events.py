"""What a `PlacerMachine` is told.

An answer that never came is told as ``NO_ANSWER``: the action may have taken effect.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..model import Configuration, JobSpec, TaskState, UsageReport, WorkerInfo
from ..model import WorkerState as WorkerReport
from ..streams import Record
from .actions import (
    AcquireLease,
    AppendRecord,
    CommandTask,
    FenceJob,
    RenewLeases,
    StartTask,
)

__all__ = [
    "AppendAnswered",
    "CommandAnswered",
    "ConfigurationChanged",
    "Event",
    "FenceAnswered",
    "JobSubmittedOffLog",
    "LeaseAnswered",
    "LogReachable",
    "Proof",
    "RecordRead",
    "RenewAnswered",
    "RoleChanged",
    "StartAnswered",
    "Tick",
    "UsageObserved",
    "Verdict",
    "WorkerObserved",
    "WorkerUnreachable",
    "WorkersListed",
]


class Verdict(enum.StrEnum):
    """How an action went."""

    APPLIED = "applied"
    DENIED = "denied"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class RecordRead:
    """The jobs stream holds ``record`` at ``offset``."""

    offset: int
    record: Record


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """``configuration`` is in force."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """Whether this instance is the placer of the data centre from now on."""

    is_placer: bool


@dataclass(frozen=True, slots=True)
class LogReachable:
    """Whether the log answers; ``is_current`` once all of its records are read."""

    is_up: bool
    is_current: bool = True


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """All workers of the data centre as the instance list shows them."""

    workers: tuple[WorkerInfo, ...]


@dataclass(frozen=True, slots=True)
class WorkerObserved:
    """A worker described itself in answer to a question asked at ``asked_ms``."""

    report: WorkerReport
    asked_ms: int


@dataclass(frozen=True, slots=True)
class WorkerUnreachable:
    """A worker did not answer."""

    worker: str


@dataclass(frozen=True, slots=True)
class LeaseAnswered:
    """Answer to `AcquireLease`; ``reason`` is the worker's when denied."""

    action: AcquireLease
    verdict: Verdict
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """Answer to `StartTask`."""

    action: StartTask
    verdict: Verdict
    reason: str = ""


@dataclass(frozen=True, slots=True)
class CommandAnswered:
    """Answer to `CommandTask`."""

    action: CommandTask
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Proof:
    """What a worker stated when it fenced the job."""

    boot_id: str
    has_started: bool
    task_state: TaskState
    checkpoint: int


@dataclass(frozen=True, slots=True)
class FenceAnswered:
    """Answer to `FenceJob`; ``proof`` is None if no answer came."""

    action: FenceJob
    proof: Proof | None


@dataclass(frozen=True, slots=True)
class RenewAnswered:
    """Answer to `RenewLeases`; without an answer ``is_answered`` is False."""

    action: RenewLeases
    is_answered: bool
    lost: tuple[str, ...] = ()
    boot_id: str = ""


@dataclass(frozen=True, slots=True)
class AppendAnswered:
    """Answer to `AppendRecord`. The record counts only once it is read back."""

    action: AppendRecord
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class JobSubmittedOffLog:
    """A job admitted while the log is down; it is placed at once or refused."""

    spec: JobSpec


@dataclass(frozen=True, slots=True)
class UsageObserved:
    """Usage that a worker reported; peaks are held against what was declared."""

    reports: tuple[UsageReport, ...]


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; ``wall_ms`` is the wall clock in milliseconds."""

    wall_ms: int


Event = (
    AppendAnswered
    | CommandAnswered
    | ConfigurationChanged
    | FenceAnswered
    | JobSubmittedOffLog
    | LeaseAnswered
    | LogReachable
    | RecordRead
    | RenewAnswered
    | RoleChanged
    | StartAnswered
    | Tick
    | UsageObserved
    | WorkerObserved
    | WorkerUnreachable
    | WorkersListed
)
