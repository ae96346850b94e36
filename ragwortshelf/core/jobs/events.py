"""Events that a `PlacerMachine` handles.

An action that got no answer may have taken effect all the same.
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
    "ActionResult",
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
    "WorkerObserved",
    "WorkerUnreachable",
    "WorkersListed",
]


class ActionResult(enum.StrEnum):
    """Whether an action was applied or denied, or got no answer."""

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
    """``configuration`` is in force from now on."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """Whether this instance is the placer of the data centre from now on."""

    is_placer: bool


@dataclass(frozen=True, slots=True)
class LogReachable:
    """Whether the log answers, and whether all of its records have been read."""

    is_up: bool
    is_current: bool = True


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """All workers of the data centre according to the instance list."""

    workers: tuple[WorkerInfo, ...]


@dataclass(frozen=True, slots=True)
class WorkerObserved:
    """A worker reported its state in answer to a request made at ``requested_ms``."""

    report: WorkerReport
    requested_ms: int


@dataclass(frozen=True, slots=True)
class WorkerUnreachable:
    """A worker did not answer."""

    worker: str


@dataclass(frozen=True, slots=True)
class LeaseAnswered:
    """Answer to `AcquireLease`; ``reason`` is the worker's reason for a denial."""

    action: AcquireLease
    result: ActionResult
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """Answer to `StartTask`."""

    action: StartTask
    result: ActionResult
    reason: str = ""


@dataclass(frozen=True, slots=True)
class CommandAnswered:
    """Answer to `CommandTask`."""

    action: CommandTask
    result: ActionResult


@dataclass(frozen=True, slots=True)
class Proof:
    """A worker's statement about a job, made when it fenced the job.

    It proves only what happened in the boot that ``boot_id`` names.
    """

    boot_id: str
    has_started: bool
    task_state: TaskState
    checkpoint: int


@dataclass(frozen=True, slots=True)
class FenceAnswered:
    """Answer to `FenceJob`; ``proof`` is None if there was no answer."""

    action: FenceJob
    proof: Proof | None


@dataclass(frozen=True, slots=True)
class RenewAnswered:
    """Answer to `RenewLeases`; ``lost`` holds the ids of leases not renewed.

    ``is_answered`` is False if there was no answer.
    """

    action: RenewLeases
    is_answered: bool
    lost: tuple[str, ...] = ()
    boot_id: str = ""


@dataclass(frozen=True, slots=True)
class AppendAnswered:
    """Answer to `AppendRecord`. The record takes effect only once it is read back."""

    action: AppendRecord
    result: ActionResult


@dataclass(frozen=True, slots=True)
class JobSubmittedOffLog:
    """A job was admitted while the log is down; it is placed at once or refused."""

    spec: JobSpec


@dataclass(frozen=True, slots=True)
class UsageObserved:
    """Workers reported usage; memory peaks are compared with declared limits."""

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
