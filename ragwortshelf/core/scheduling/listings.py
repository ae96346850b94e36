"""What endpoints report: themselves, their runs, and outcomes of orders."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .model import Resources

__all__ = [
    "EndpointInfo",
    "EndpointListing",
    "FinishedRun",
    "RunEnd",
    "RunningTask",
    "StartOutcome",
]


class RunEnd(enum.Enum):
    """How a run ended, as listed by its endpoint.

    A LAPSED run ended because its lease expired, or it was lost with its endpoint.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class StartOutcome(enum.Enum):
    """Outcome of an order to start a run.

    A FENCED order has an older fencing token than its endpoint has seen, an OUTDATED
    one a run that is not newer than the task's last one there, and a LATE one an
    expired lease. An ABANDONED order was taken back before this attempt was sent.
    """

    STARTED = "started"
    FENCED = "fenced"
    OUTDATED = "outdated"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_INCARNATION = "other_incarnation"
    UNANSWERED = "unanswered"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class EndpointInfo:
    """An endpoint's description of itself in the store.

    ``labels`` holds the hardware kind and the rack. ``remaining_ms`` is how long a
    draining endpoint stays, if known. ``started_wall_ms`` is when its current
    incarnation started; 0 if not known yet. ``cold_remaining_ms`` is how much longer it
    is slow after its start, None if it is not.
    """

    id: str
    service: str
    address: str
    data_centre: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    is_draining: bool = False
    remaining_ms: int | None = None
    started_wall_ms: int = 0
    cold_remaining_ms: int | None = None

    @property
    def rack(self) -> str:
        """The second label, or an empty string."""
        return self.labels[1] if len(self.labels) > 1 else ""


@dataclass(frozen=True, slots=True)
class RunningTask:
    """One row of the runs in progress that an endpoint lists.

    ``percent`` is the progress. ``load_metric`` is the tail latency in milliseconds for
    tasks that serve requests, and the processor use for all others.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load_metric: float = 0.0


@dataclass(frozen=True, slots=True)
class FinishedRun:
    """One row of the ended, not yet acknowledged runs that an endpoint lists."""

    number: int
    task: str
    run: int
    end: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """An endpoint's answer to a renewal of its lease.

    ``sent_ms`` is when the renewal was sent. ``clock_ms`` is the endpoint's clock at
    the time of the answer, None if it is not known.
    """

    endpoint_id: str
    started_wall_ms: int
    sent_ms: int
    running: tuple[RunningTask, ...] = ()
    finished: tuple[FinishedRun, ...] = ()
    clock_ms: int | None = None
