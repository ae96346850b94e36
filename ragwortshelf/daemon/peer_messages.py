"""Messages between instances about jobs, workers and configuration.

Messages about heartbeats and requests are defined in the packages of those subjects.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..core.model import Decision, JobSpec

__all__ = [
    "Acknowledged",
    "Explanation",
    "ExplainJob",
    "JobAnswer",
    "ListWorkers",
    "PlaceOffLog",
    "Quarantine",
    "QuoteJobs",
    "Quotes",
    "Revision",
    "StateRequested",
    "StreamState",
    "WorkerRow",
    "WorkerTable",
]


@dataclass(frozen=True, slots=True)
class Revision:
    """The configuration revision in force at an instance, which it publishes.

    ``since_wall_ms`` is when the revision came into force there, and
    ``confirmed_wall_ms`` when the instance last knew that it was the newest.
    """

    revision: int
    since_wall_ms: int
    confirmed_wall_ms: int


@dataclass(frozen=True, slots=True)
class StateRequested:
    """Asks a peer for the state of its streams."""


@dataclass(frozen=True, slots=True)
class StreamState:
    """The encoded state of all streams of a peer; empty if it has none."""

    data: bytes


@dataclass(frozen=True, slots=True)
class ExplainJob:
    """Asks the placer of a job's data centre why it waits or was placed as it was."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """The newest decision about a job, or None if the placer knows none."""

    decision: Decision | None


@dataclass(frozen=True, slots=True)
class ListWorkers:
    """Asks a placer for its workers and unmet guarantees."""


@dataclass(frozen=True, slots=True)
class WorkerRow:
    """One worker as its placer sees it; ``free`` counts accelerators."""

    name: str
    data_centre: str
    rack: str
    accelerators: int
    free: int
    state: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class WorkerTable:
    """Workers of one data centre, and the guarantees that are not met there.

    Each text in ``shortfalls`` names the organisation, the shape and the cause.
    """

    workers: tuple[WorkerRow, ...]
    shortfalls: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Tells a placer to quarantine or readmit a worker."""

    worker: str
    is_quarantined: bool


@dataclass(frozen=True, slots=True)
class QuoteJobs:
    """Asks a placer which jobs could start immediately in its data centre."""

    specs: tuple[JobSpec, ...]


@dataclass(frozen=True, slots=True)
class Quotes:
    """Placement cost of each job, in the order of the query.

    The cost measures the fragmentation that the job would cause: 0 is an exact fit, and
    None means that the job cannot start. Empty if the peer is not a placer.
    """

    costs: tuple[float | None, ...]


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Whether the peer has carried out the command."""

    is_done: bool


@dataclass(frozen=True, slots=True)
class PlaceOffLog:
    """Asks a placer to place a job immediately during a log outage."""

    spec: JobSpec


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Whether a job was accepted, and otherwise the reason why not.

    With ``is_unknown``, the job may have been accepted. ``detail`` is the job's id if
    it was accepted.
    """

    is_accepted: bool
    reason: str = ""
    detail: str = ""
    retry_after_ms: int | None = None
    is_unknown: bool = False
