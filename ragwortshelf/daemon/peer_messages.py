"""Messages between daemons about jobs, workers and configuration.

The messages of heartbeats and of requests live with their subjects.
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
    """What an instance shares of its configuration.

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
    """Asks the placer of a job's data centre why it waits or is where it is."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """The newest decision about a job, or None if the placer knows none."""

    decision: Decision | None


@dataclass(frozen=True, slots=True)
class ListWorkers:
    """Asks a placer for its workers and guarantees."""


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
    """Workers of one data centre, and the guarantees that are short there.

    ``shortfalls`` are texts, each naming the organisation, the shape and the cause.
    """

    workers: tuple[WorkerRow, ...]
    shortfalls: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Tells a placer to take a worker out of use, or back."""

    worker: str
    is_quarantined: bool


@dataclass(frozen=True, slots=True)
class QuoteJobs:
    """Asks a placer which of these jobs could start in its data centre at once."""

    specs: tuple[JobSpec, ...]


@dataclass(frozen=True, slots=True)
class Quotes:
    """What each job would break there, 0 being an exact fit; None if it cannot start.

    In the order of the question; empty if the peer is no placer.
    """

    costs: tuple[float | None, ...]


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The peer has done what was asked; False says that it cannot."""

    is_done: bool


@dataclass(frozen=True, slots=True)
class PlaceOffLog:
    """Asks a placer to place a job at once while the log is down."""

    spec: JobSpec


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Whether a job was accepted; else ``reason`` says why nothing ran.

    ``is_unknown`` says that it may have been accepted. ``detail`` is the job's id if it
    was.
    """

    is_accepted: bool
    reason: str = ""
    detail: str = ""
    retry_after_ms: int | None = None
    is_unknown: bool = False
