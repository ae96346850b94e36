"""Endpoints as known to the scheduler, with the tasks that occupy them."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from .model import Resources, UnitKey

__all__ = [
    "Endpoint",
    "EndpointInfo",
    "EndpointListing",
    "FinishedRun",
    "Member",
    "MemberStage",
    "RunEnd",
    "RunningTask",
    "StartOutcome",
]

UNHEALTHY_EXCLUSION_MS = 2_000
"""Exclusion of an endpoint that refused a start as unhealthy or did not answer it.

An endpoint reports itself every 1.5 s, so a changed health is known by then.
"""

FAILED_JOBS_BEFORE_EXCLUSION = 3
"""Different jobs whose runs fail in a row before their endpoint is excluded.

On the stated workloads at most one run in twenty fails through its own fault, so
failures of three different jobs in a row point to the endpoint.
"""

FAILURE_EXCLUSION_MS = 5_000
"""Exclusion of an endpoint on which runs of several jobs in a row have failed."""


class RunEnd(enum.Enum):
    """How a run ended, as listed by its endpoint."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class StartOutcome(enum.Enum):
    """Outcome of an order to start a run."""

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


@dataclass(frozen=True, slots=True)
class EndpointInfo:
    """An endpoint's description of itself in the store.

    ``labels`` holds the hardware kind and the rack. ``remaining_ms`` is how long a
    draining endpoint stays, if known. ``started_wall_ms`` is when its current
    incarnation started; 0 if not known yet.
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

    ``sent_ms`` is when the renewal was sent.
    """

    endpoint_id: str
    started_wall_ms: int
    sent_ms: int
    running: tuple[RunningTask, ...] = ()
    finished: tuple[FinishedRun, ...] = ()


class MemberStage(enum.Enum):
    """The known stage of a task's run on its endpoint."""

    LOGGED = "logged"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


class Member:
    """One task of a unit on one endpoint, from its placement to its release.

    ``confirmed_ms`` is when the run was first known to be on the endpoint, and
    ``fenced_ms`` when the endpoint confirmed a stop. An adopted member was placed in
    an earlier term and has not been listed in this one.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_ms",
        "endpoint_id",
        "fenced_ms",
        "index",
        "is_adopted",
        "load_metric",
        "occupied",
        "ordered_ms",
        "pace_percent",
        "percent",
        "percent_ms",
        "run",
        "stage",
        "stop_again_ms",
        "task",
        "unit_key",
    )

    def __init__(
        self,
        unit_key: UnitKey,
        index: int,
        task: str,
        run: int,
        endpoint_id: str,
        occupied: Resources,
        now_ms: int,
    ):
        self.unit_key = unit_key
        self.index = index
        self.task = task
        self.run = run
        self.endpoint_id = endpoint_id
        self.occupied = occupied
        self.stage = MemberStage.LOGGED
        self.ordered_ms = now_ms
        self.is_adopted = False
        self.confirmed_ms: int | None = None
        self.fenced_ms: int | None = None
        self.stop_again_ms = 0
        self.checkpoint = ""
        self.percent = 0.0
        self.pace_percent = 100
        self.load_metric = 0.0
        self.percent_ms = now_ms

    def was_confirmed(self, before_ms: int) -> bool:
        """Whether the run was confirmed strictly before ``before_ms``.

        Two events of the same millisecond may have happened in either order.
        """
        return self.confirmed_ms is not None and self.confirmed_ms < before_ms

    def was_fenced(self, before_ms: int) -> bool:
        """Whether the endpoint confirmed a stop strictly before ``before_ms``."""
        return self.fenced_ms is not None and self.fenced_ms < before_ms


class Endpoint:
    """One endpoint with its free capacity and the members that occupy it.

    Nothing new is placed on a cordoned endpoint. ``departure_ms`` is the earliest time
    at which a draining endpoint may leave.
    """

    __slots__ = (
        "departure_ms",
        "excluded_until_ms",
        "failed_jobs",
        "free_cpu_milli",
        "free_gpus",
        "free_memory_mb",
        "info",
        "is_cordoned",
        "is_listed",
        "is_reachable",
        "placement_by_task",
        "started_wall_ms",
    )

    def __init__(self, info: EndpointInfo):
        self.info = info
        self.started_wall_ms = info.started_wall_ms
        self.is_reachable = False
        self.is_listed = True
        self.is_cordoned = False
        self.departure_ms: int | None = None
        self.excluded_until_ms = 0
        self.failed_jobs: set[str] = set()
        self.placement_by_task: dict[str, Member] = {}
        self.free_cpu_milli = info.capacity.cpu_milli
        self.free_memory_mb = info.capacity.memory_mb
        self.free_gpus = info.capacity.gpus

    @property
    def id(self) -> str:
        """The endpoint's id."""
        return self.info.id

    @property
    def free(self) -> Resources:
        """The unoccupied capacity; runs being stopped still occupy theirs."""
        return Resources(self.free_cpu_milli, self.free_memory_mb, self.free_gpus)

    def update(self, info: EndpointInfo, now_ms: int) -> None:
        """Apply the endpoint's newest description of itself."""
        if info.is_draining and info.remaining_ms is not None:
            departure_ms = now_ms + info.remaining_ms
            known = self.departure_ms
            self.departure_ms = (
                departure_ms if known is None else min(known, departure_ms)
            )
        elif not info.is_draining:
            self.departure_ms = None
        before, after = self.info.capacity, info.capacity
        self.info = info
        self.is_listed = True
        self._add(after.plus(before, -1), 1)

    def is_usable(self, now_ms: int) -> bool:
        """Whether new tasks may be placed here now."""
        return (
            self.is_reachable
            and self.is_listed
            and not self.is_cordoned
            and not self.info.is_draining
            and now_ms >= self.excluded_until_ms
        )

    def slots(self, request: Resources) -> int:
        """Return how many tasks of ``request`` fit into the free capacity."""
        return request.times_in_amounts(
            self.free_cpu_milli, self.free_memory_mb, self.free_gpus
        )

    def allocate(self, member: Member) -> None:
        """Add a member and take its resources from the free capacity."""
        self.placement_by_task[member.task] = member
        self._add(member.occupied, -1)

    def release(self, member: Member) -> None:
        """Remove a member and return its resources to the free capacity."""
        if self.placement_by_task.get(member.task) is member:
            del self.placement_by_task[member.task]
            self._add(member.occupied, 1)

    def exclude(self, until_ms: int) -> None:
        """Place nothing new here before ``until_ms``."""
        self.excluded_until_ms = max(self.excluded_until_ms, until_ms)

    def record_run_end(self, job_id: str, end: RunEnd) -> bool:
        """Count a failed or done run; returns whether to exclude the endpoint."""
        if end is RunEnd.DONE:
            self.failed_jobs.clear()
            return False
        if end is not RunEnd.FAILED:
            return False
        self.failed_jobs.add(job_id)
        return len(self.failed_jobs) >= FAILED_JOBS_BEFORE_EXCLUSION

    def members(self) -> Iterable[Member]:
        """Return a copy of the members, which may be released while iterating."""
        return list(self.placement_by_task.values())

    def _add(self, amount: Resources, sign: int) -> None:
        self.free_cpu_milli += sign * amount.cpu_milli
        self.free_memory_mb += sign * amount.memory_mb
        self.free_gpus += sign * amount.gpus
