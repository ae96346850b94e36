"""Outcomes of requests and jobs, and their reasons.

Outcomes are returned as values, not raised. ``NotRun`` requires proof that nothing ran;
``Unknown`` and ``Interrupted`` mean that something may have run.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = [
    "Answered",
    "Completed",
    "Interrupted",
    "JobOutcome",
    "NotRun",
    "Reason",
    "RequestOutcome",
    "Unknown",
    "Unreachable",
]


class Reason(enum.StrEnum):
    """Why a request or job has its outcome; the value is the name on the wire."""

    CANCELLED = "cancelled"
    CAPACITY_WITHDRAWN = "capacity_withdrawn"
    CONNECTION_LOST = "connection_lost"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DRAINING = "draining"
    FAILS_EVERYWHERE = "fails_everywhere"
    INSTANCE_LOST = "instance_lost"
    INVALID = "invalid"
    LOG_UNAVAILABLE = "log_unavailable"
    ENDPOINT_FAILED = "endpoint_failed"
    NEVER_FITS = "never_fits"
    NO_ANSWER = "no_answer"
    NO_CAPACITY = "no_capacity"
    NO_ENDPOINT = "no_endpoint"
    NOT_READY = "not_ready"
    ORGANISATION_UNKNOWN = "organisation_unknown"
    ORGANISATION_WITHDRAWN = "organisation_withdrawn"
    OVER_DECLARED = "over_declared"
    OVER_QUOTA = "over_quota"
    OWNER_UNREACHABLE = "owner_unreachable"
    QUEUE_FULL = "queue_full"
    RECLAIMED = "reclaimed"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    TASK_FAILED = "task_failed"
    TASK_SUCCEEDED = "task_succeeded"
    WORKER_LOST = "worker_lost"


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete response of an endpoint to one request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request or job provably did not run.

    ``retry_after_ms`` tells the caller when to retry; None means that a retry cannot
    succeed.
    """

    reason: Reason
    detail: str = ""
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """A non-idempotent request may have run; it is never sent again."""

    reason: Reason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Completed:
    """All tasks of a job ended by themselves.

    ``reason`` is ``TASK_SUCCEEDED``, ``TASK_FAILED`` or ``FAILS_EVERYWHERE``.
    """

    reason: Reason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Interrupted:
    """A job started, or may have started, and did not complete."""

    reason: Reason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Unreachable:
    """An external system gave no usable answer.

    ``may_have_applied`` is False only if the message was provably not sent.
    ``received_bytes`` is the size of the partial answer that had arrived.
    """

    detail: str
    may_have_applied: bool = True
    received_bytes: int = 0


RequestOutcome = Answered | NotRun | Unknown
JobOutcome = Completed | NotRun | Interrupted
