"""Actions that a `PlacerMachine` returns for its process to execute.

The event that answers an action carries the action itself, so the process keeps no
table of pending actions.
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
    """Commands to running tasks; the values are those of the worker's API."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"


@dataclass(frozen=True, slots=True)
class AcquireLease:
    """Request a lease from ``worker``; answered by `LeaseAnswered`."""

    worker: str
    request: LeaseRequest


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """End and forget a lease.

    No answer is awaited, since a lease that is not renewed lapses by itself.
    """

    worker: str
    lease_id: str


@dataclass(frozen=True, slots=True)
class RenewLeases:
    """Extend leases in one message; answered by `RenewAnswered`.

    ``requested_ms`` is when this action was returned; the renewed deadlines are
    counted from it.
    """

    worker: str
    lease_ids: tuple[str, ...]
    ttl_ms: int
    requested_ms: int


@dataclass(frozen=True, slots=True)
class FenceJob:
    """Fence the job's attempts up to and including ``attempt``.

    From then on the worker refuses to start them. Answered by `FenceAnswered`.
    """

    worker: str
    job_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start the tasks of a lease; answered by `StartAnswered`.

    ``tasks`` are the numbers of the tasks. ``resume_from`` is the number of the
    checkpoint to resume from, 0 for a start from the beginning.
    """

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
    """Read the worker's state soon.

    Answered by `WorkerObserved` or `WorkerUnreachable`.
    """

    worker: str


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append ``record`` to the jobs stream.

    Answered by `AppendAnswered`; `RecordRead` follows once the record is read back.
    """

    record: Record


@dataclass(frozen=True, slots=True)
class AnswerSubmission:
    """Answer the submitter of a `JobSubmittedOffLog`.

    The job is accepted if ``refusal`` is None.
    """

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
