"""Endpoints as known to the scheduler, with the tasks that occupy them."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from .model import Incarnation, Resources, UnitKey
from .speed_belief import SpeedBelief

__all__ = [
    "FINISHED_PERCENT",
    "Endpoint",
    "EndpointInfo",
    "EndpointListing",
    "FinishedRun",
    "TaskPlacement",
    "RunStage",
    "RunEnd",
    "RunningTask",
    "StartOutcome",
]

UNHEALTHY_EXCLUSION_MS = 2_000
"""Exclusion time after an endpoint refused a start as unhealthy or did not answer it.

An endpoint reports itself every 1.5 s, so a changed health is known by then.
"""

FAILED_JOBS_BEFORE_EXCLUSION = 3
"""Number of different jobs whose runs fail in a row before an endpoint is excluded.

On the specified workloads at most one run in twenty fails through its own fault, so
failures of three different jobs in a row point to the endpoint.
"""

LISTING_GAP_MAX_MS = 1_500
"""Longest time between two listings that counts as time without progress. Listings of a
reachable endpoint are at most about a second apart."""

FINISHED_PERCENT = 99
"""Progress from which a task counts as finished; percents are rounded down."""

FAILURE_EXCLUSION_MS = 5_000
"""Exclusion time after runs of several jobs in a row failed on an endpoint."""


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


class RunStage(enum.Enum):
    """Stage of a run, as far as known from the log, orders and listings.

    A LOGGED run was adopted and is not listed yet. An ORDERED run has been ordered to
    start, and a STOPPING one to stop.
    """

    LOGGED = "logged"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


class TaskPlacement:
    """One run of a task on one endpoint, kept until its resources are released.

    ``confirmed_ms`` is when the run was first known to be on the endpoint, and
    ``fenced_ms`` when the endpoint confirmed a stop. ``next_stop_ms`` is when an order
    to stop is repeated. ``without_progress_ms`` is how long the listings have shown the
    same ``progress_percent``; ``listed_ms`` is when the last of them arrived, and
    ``first_percent`` what the first one showed, at ``first_listed_ms``;
    ``unfinished_percent`` and ``unfinished_ms`` are those of the last one that showed
    the run unfinished, and ``listed_pace_percent`` is the pace ordered before the last
    of all. An adopted placement was made in an earlier term, and no listing
    has confirmed or refuted it in this one yet.

    ``is_sent`` is set once its start may have reached the endpoint, and ``is_settled``
    once the run has been listed some time after it; in between it is fresh. It
    ``is_suspected`` if contact was lost while it was. ``speed_run`` is what its
    progress tells of the endpoint's speed, kept by the speed tracker.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_ms",
        "endpoint_id",
        "fenced_ms",
        "first_listed_ms",
        "first_percent",
        "index",
        "is_adopted",
        "is_sent",
        "is_settled",
        "is_suspected",
        "listed_ms",
        "listed_pace_percent",
        "load_metric",
        "next_stop_ms",
        "occupied",
        "ordered_ms",
        "pace_percent",
        "progress_percent",
        "run",
        "speed_run",
        "stage",
        "task",
        "unfinished_ms",
        "unfinished_percent",
        "unit_key",
        "without_progress_ms",
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
        self.stage = RunStage.LOGGED
        self.ordered_ms = now_ms
        self.is_adopted = False
        self.is_sent = False
        self.is_settled = False
        self.is_suspected = False
        self.confirmed_ms: int | None = None
        self.fenced_ms: int | None = None
        self.next_stop_ms = 0
        self.checkpoint = ""
        self.progress_percent = 0.0
        self.pace_percent = 100
        self.listed_pace_percent = 100
        self.load_metric = 0.0
        self.listed_ms = now_ms
        self.without_progress_ms = 0
        self.first_listed_ms = now_ms
        self.first_percent: float | None = None
        self.speed_run = None
        self.unfinished_ms = now_ms
        self.unfinished_percent = 0.0

    def record_progress(
        self,
        percent: float,
        now_ms: int,
        working_since_ms: int | None,
        counted_gap_max_ms: int = LISTING_GAP_MAX_MS,
    ) -> None:
        """Note the progress that a listing shows.

        ``working_since_ms`` is when the starts of all tasks of the unit were confirmed;
        None before that. No time before it counts as time without progress, and no pace
        is taken from it, since a gang's member waits for the others.

        A listing that is late says nothing about the time since the one before: the
        endpoint or this process may have been paused, or the network cut. So the time
        since the one before does not count if it exceeds ``LISTING_GAP_MAX_MS``, and
        counts as ``counted_gap_max_ms`` at most.
        """
        is_full_pace = self.pace_percent == 100 and self.listed_pace_percent == 100
        is_unchanged = percent == self.progress_percent
        if is_unchanged and working_since_ms is not None and is_full_pace:
            if now_ms - self.listed_ms <= LISTING_GAP_MAX_MS:
                since_ms = max(self.listed_ms, working_since_ms)
                gap_ms = min(now_ms - since_ms, counted_gap_max_ms)
                self.without_progress_ms += gap_ms
        else:
            self.progress_percent = percent
            self.without_progress_ms = 0
        if self.first_percent is None and working_since_ms is not None:
            self.first_percent, self.first_listed_ms = percent, now_ms
        self.listed_pace_percent = self.pace_percent
        if percent < FINISHED_PERCENT:
            self.unfinished_percent, self.unfinished_ms = percent, now_ms
        self.listed_ms = now_ms

    @property
    def is_fresh(self) -> bool:
        """Whether the run may have started and is not known to have survived that."""
        return self.is_sent and not self.is_settled

    def was_confirmed(self, before_ms: int) -> bool:
        """Whether the run was confirmed strictly before ``before_ms``.

        Two events of the same millisecond may have happened in either order.
        """
        return self.confirmed_ms is not None and self.confirmed_ms < before_ms

    def was_fenced(self, before_ms: int) -> bool:
        """Whether the endpoint confirmed a stop strictly before ``before_ms``."""
        return self.fenced_ms is not None and self.fenced_ms < before_ms


class Endpoint:
    """An endpoint with its free capacity and the placements that occupy it.

    Nothing new is placed on a cordoned endpoint, nor on one whose data centre is
    evacuated. It is cold, and slow for that reason, until ``warm_at_ms``.
    ``departure_ms`` is the earliest time at which a draining endpoint may leave.
    ``failed_job_ids`` holds the jobs whose runs failed here since a run was last done.

    ``accuser_ids`` holds the jobs whose runs failed here as soon as they started, since
    a later start survived; ``suspected_start_ms`` is when the latest of these runs was
    ordered. ``proven_start_ms`` is when the latest run was ordered that survived, None
    before the first one. ``speed_belief`` is what is known of its speed.

    ``unplaced_by_run`` has the resources of listed runs that have no placement, by task
    and run number, such as those that an earlier term was stopping.
    """

    __slots__ = (
        "accuser_ids",
        "departure_ms",
        "excluded_until_ms",
        "failed_job_ids",
        "free_cpu_milli",
        "free_gpus",
        "free_memory_mb",
        "info",
        "is_cordoned",
        "is_evacuated",
        "is_in_store",
        "is_reachable",
        "placement_by_task",
        "proven_start_ms",
        "quick_failure_count",
        "rack",
        "speed_belief",
        "started_wall_ms",
        "suspected_start_ms",
        "suspected_until_ms",
        "unplaced_by_run",
        "warm_at_ms",
    )

    def __init__(self, info: EndpointInfo):
        self.info = info
        self.rack = info.rack
        self.started_wall_ms = info.started_wall_ms
        self.is_reachable = False
        self.is_in_store = True
        self.is_cordoned = False
        self.is_evacuated = False
        self.warm_at_ms = 0
        self.departure_ms: int | None = None
        self.excluded_until_ms = 0
        self.failed_job_ids: set[str] = set()
        self.accuser_ids: set[str] = set()
        self.forget_speed()
        self.quick_failure_count = 0
        self.suspected_start_ms = 0
        self.suspected_until_ms = 0
        self.proven_start_ms: int | None = None
        self.placement_by_task: dict[str, TaskPlacement] = {}
        self.unplaced_by_run: dict[tuple[str, int], Resources] = {}
        self.free_cpu_milli = info.capacity.cpu_milli
        self.free_memory_mb = info.capacity.memory_mb
        self.free_gpus = info.capacity.gpus

    @property
    def id(self) -> str:
        """The endpoint's id."""
        return self.info.id

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that answered last."""
        return Incarnation(self.id, self.info.address, self.started_wall_ms)

    @property
    def free(self) -> Resources:
        """The unoccupied capacity; runs being stopped still occupy theirs."""
        return Resources(self.free_cpu_milli, self.free_memory_mb, self.free_gpus)

    def update(self, info: EndpointInfo, now_ms: int) -> None:
        """Apply the endpoint's newest description of itself."""
        if info.is_draining and info.remaining_ms is not None:
            departure_ms = now_ms + info.remaining_ms
            earlier_ms = self.departure_ms
            self.departure_ms = (
                departure_ms if earlier_ms is None else min(earlier_ms, departure_ms)
            )
        elif not info.is_draining:
            self.departure_ms = None
        # A time that has passed is kept, for the runs that began before it.
        cold_ms = info.cold_remaining_ms
        self.warm_at_ms = now_ms + cold_ms if cold_ms else min(self.warm_at_ms, now_ms)
        before, after = self.info.capacity, info.capacity
        self.info = info
        self.rack = info.rack
        self.is_in_store = True
        self._add_free(after.plus(before, -1), 1)

    def is_usable(self, now_ms: int) -> bool:
        """Whether new tasks may be placed here now."""
        return (
            self.is_reachable
            and self.is_in_store
            and not self.is_cordoned
            and not self.is_evacuated
            and not self.info.is_draining
            and now_ms >= self.excluded_until_ms
            and now_ms >= self.suspected_until_ms
        )

    def is_cold(self, now_ms: int) -> bool:
        """Whether the endpoint is still slow after its start."""
        return now_ms < self.warm_at_ms

    @property
    def is_overcommitted(self) -> bool:
        """Whether the runs here exceed the capacity, which has shrunk since."""
        return self.free_cpu_milli < 0 or self.free_memory_mb < 0 or self.free_gpus < 0

    @property
    def is_suspected(self) -> bool:
        """Whether runs failed here at once and no later start has survived."""
        return bool(self.accuser_ids)

    def has_proven_start(self, since_ms: int) -> bool:
        """Whether a run survived that was ordered at ``since_ms`` or later."""
        return self.proven_start_ms is not None and self.proven_start_ms >= since_ms

    def is_on_trial(self) -> bool:
        """Whether a run was ordered here after the latest one that failed at once."""
        return any(
            placement.ordered_ms > self.suspected_start_ms
            for placement in self.placement_by_task.values()
        )

    def slots(self, request: Resources) -> int:
        """Return how many tasks of ``request`` fit into the free capacity.

        None fit while any resource is short, whether they request it or not.
        """
        if self.is_overcommitted:
            return 0
        return request.times_in_amounts(
            self.free_cpu_milli, self.free_memory_mb, self.free_gpus
        )

    def allocate(self, placement: TaskPlacement) -> None:
        """Add a placement and take its resources from the free capacity."""
        self.placement_by_task[placement.task] = placement
        self._add_free(placement.occupied, -1)

    def release(self, placement: TaskPlacement) -> None:
        """Remove a placement and return its resources to the free capacity."""
        if self.placement_by_task.get(placement.task) is placement:
            del self.placement_by_task[placement.task]
            self._add_free(placement.occupied, 1)

    def set_unplaced(self, unplaced_by_run: dict[tuple[str, int], Resources]) -> None:
        """Replace the runs without a placement, which occupy resources as well."""
        for occupied in self.unplaced_by_run.values():
            self._add_free(occupied, 1)
        self.unplaced_by_run = unplaced_by_run
        for occupied in unplaced_by_run.values():
            self._add_free(occupied, -1)

    def exclude(self, until_ms: int) -> None:
        """Place nothing new here before ``until_ms``."""
        self.excluded_until_ms = max(self.excluded_until_ms, until_ms)

    def record_run_end(self, job_id: str, end: RunEnd) -> bool:
        """Note a failed or done run; returns whether to exclude the endpoint."""
        if end is RunEnd.DONE:
            self.failed_job_ids.clear()
            return False
        if end is not RunEnd.FAILED:
            return False
        self.failed_job_ids.add(job_id)
        return len(self.failed_job_ids) >= FAILED_JOBS_BEFORE_EXCLUSION

    @property
    def speed(self) -> float:
        """The speed relative to the other endpoints, as far as learned."""
        return self.speed_belief.speed

    @property
    def speed_error(self) -> float:
        """Standard deviation of the logarithm of the speed."""
        return self.speed_belief.error

    def forget_speed(self) -> None:
        """Forget what is known of the speed, as the endpoint may be another machine."""
        self.speed_belief = SpeedBelief()

    def placements(self) -> Iterable[TaskPlacement]:
        """Return a copy of the placements, which may be released while iterating."""
        return list(self.placement_by_task.values())

    def _add_free(self, amount: Resources, sign: int) -> None:
        self.free_cpu_milli += sign * amount.cpu_milli
        self.free_memory_mb += sign * amount.memory_mb
        self.free_gpus += sign * amount.gpus
