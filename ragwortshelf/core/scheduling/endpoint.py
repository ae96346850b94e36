"""Endpoints as known to the scheduler, with the tasks that occupy them."""

from __future__ import annotations

from collections.abc import Iterable

from .listings import EndpointInfo, RunEnd
from .model import Incarnation, Resources
from .speed_belief import SpeedBelief
from .task_placement import TaskPlacement

__all__ = ["FAILURE_EXCLUSION_MS", "UNHEALTHY_EXCLUSION_MS", "Endpoint"]

UNHEALTHY_EXCLUSION_MS = 2_000
"""Exclusion time after an endpoint refused a start as unhealthy or did not answer it.

An endpoint reports itself every 1.5 s, so a changed health is known by then.
"""

FAILED_JOBS_BEFORE_EXCLUSION = 3
"""Number of different jobs whose runs fail in a row before an endpoint is excluded.

On the specified workloads at most one run in twenty fails through its own fault, so
failures of three different jobs in a row point to the endpoint.
"""

FAILURE_EXCLUSION_MS = 5_000
"""Exclusion time after runs of several jobs in a row failed on an endpoint."""


class Endpoint:
    """An endpoint with its free capacity and the placements that occupy it.

    Nothing new is placed on a cordoned endpoint, nor on one whose data centre is
    evacuated. It is cold, and slow for that reason, until ``warm_at_ms``.
    ``departure_ms`` is the earliest time at which a draining endpoint may leave.
    ``listed_ms`` is when its latest listing of this term arrived, None before that.
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
        "listed_ms",
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
        self.listed_ms: int | None = None
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
