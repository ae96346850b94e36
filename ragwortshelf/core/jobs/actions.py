"""What a `PlacerMachine` asks its process to do.

An action that a worker answers is handed back whole in the answer's event, so the
process needs no table of its own.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..model import Decision, LeaseRequest, NotRun
from ..streams import Record

__all__ = [
    "AcquireLease",
    "Action",
    "AnswerSubmission",
    "AppendRecord",
    "CommandTask",
    "FenceJob",
    "GangCommand",
    "LogDecision",
    "ObserveWorker",
    "ReleaseLease",
    "RenewLeases",
    "StartTask",
]


class GangCommand(enum.StrEnum):
    """What is asked of running tasks; the values are those of the worker's API."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"


@dataclass(frozen=True, slots=True)
class AcquireLease:
    """Ask ``worker`` for a lease; answered by `LeaseAnswered`."""

    worker: str
    request: LeaseRequest


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """End and forget a lease. No answer is awaited: a lease lapses by itself."""

    worker: str
    lease_id: str


@dataclass(frozen=True, slots=True)
class RenewLeases:
    """Extend leases in one message; answered by `RenewAnswered`.

    ``asked_ms`` is when the message was asked for: new deadlines count from it.
    """

    worker: str
    lease_ids: tuple[str, ...]
    ttl_ms: int
    asked_ms: int


@dataclass(frozen=True, slots=True)
class FenceJob:
    """Fence the job's attempts up to ``attempt``; answered by `FenceAnswered`."""

    worker: str
    job_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start the tasks of a lease; answered by `StartAnswered`."""

    worker: str
    job_id: str
    attempt: int
    lease_id: str
    boot_id: str
    organisation: str
    tasks: tuple[int, ...]
    command: str
    resume_from: int


@dataclass(frozen=True, slots=True)
class CommandTask:
    """Checkpoint or throttle the tasks of a lease; answered by `CommandAnswered`."""

    worker: str
    job_id: str
    attempt: int
    lease_id: str
    command: GangCommand


@dataclass(frozen=True, slots=True)
class ObserveWorker:
    """Read the worker's state soon; answered by `WorkerObserved` or unreachable."""

    worker: str


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append to the jobs stream; answered by `AppendAnswered`, then read back."""

    record: Record


@dataclass(frozen=True, slots=True)
class AnswerSubmission:
    """Answer the submitter of a `JobSubmittedOffLog`; ``refusal`` None is accepted."""

    job_id: str
    refusal: NotRun | None


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write one line of the decision log."""

    decision: Decision


Action = (
    AcquireLease
    | AnswerSubmission
    | AppendRecord
    | CommandTask
    | FenceJob
    | LogDecision
    | ObserveWorker
    | ReleaseLease
    | RenewLeases
    | StartTask
)
