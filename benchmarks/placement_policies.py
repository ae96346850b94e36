"""The compared placement policies, behind a common interface."""

from __future__ import annotations

import abc
from dataclasses import dataclass, replace

from ragwortshelf.core.model import Configuration, Grant, JobSpec
from ragwortshelf.core.placement import (
    DataCentreScheduler,
    Move,
    Place,
    Probe,
    Reclaim,
    Reject,
    better_home_data_centre,
    home_data_centre,
)
from ragwortshelf.core.placement.packing import find_group
from ragwortshelf.core.placement.policy import WeightedPolicy
from ragwortshelf.core.placement.pool import Pool, PoolWorker

__all__ = ["BackfillPolicy", "FirstComePolicy", "SchedulerPolicy", "Start", "Stop"]

MAX_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class Start:
    """Start the job on the granted accelerators now."""

    spec: JobSpec
    grants: tuple[Grant, ...]


@dataclass(frozen=True, slots=True)
class Stop:
    """Checkpoint the job and stop it by the deadline."""

    job_id: str
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Abandon the job, which ends without having completed."""

    job_id: str


Step = Start | Stop | GiveUp


class Policy(abc.ABC):
    """Interface between the simulation and a placement policy."""

    name = ""

    @abc.abstractmethod
    def add(self, spec: JobSpec, now_ms: int, checkpoint: int = 0) -> None:
        """Add a waiting job; ``checkpoint`` is positive if it ran before."""

    @abc.abstractmethod
    def end(self, spec: JobSpec, now_ms: int) -> None:
        """Handle the end of a run, or the cancellation of a waiting job."""

    @abc.abstractmethod
    def failed(self, spec: JobSpec, grants: tuple[Grant, ...], now_ms: int) -> bool:
        """Handle the failure of a job's tasks; return whether the job is retried."""

    @abc.abstractmethod
    def set_usable(self, worker: str, is_usable: bool, now_ms: int) -> None:
        """Handle the loss or return of a worker."""

    @abc.abstractmethod
    def steps(self, now_ms: int) -> list[Step]:
        """Return the steps to carry out now."""

    def completed(self, spec: JobSpec, grants: tuple[Grant, ...], now_ms: int) -> None:
        """Handle the success of a job's tasks."""
        return

    def checkpointed(self, job_id: str, now_ms: int) -> None:
        """Handle a checkpoint of a running job."""
        return

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return when to call `steps` if no event comes before, or None."""
        return None


class _QueuePolicy(Policy):
    """A single queue for the pool of all data centres, without guarantees."""

    def __init__(self, configuration: Configuration) -> None:
        self._pool = Pool()
        self._waiting: dict[str, JobSpec] = {}
        self._grants_by_id: dict[str, tuple[Grant, ...]] = {}
        self._failures_by_id: dict[str, int] = {}
        for data_centre in configuration.data_centres_by_name.values():
            for rack in data_centre.racks:
                for worker in rack.workers:
                    size = rack.accelerators_per_worker
                    self._pool.set_worker(worker, rack.name, size)

    def add(self, spec: JobSpec, now_ms: int, checkpoint: int = 0) -> None:
        """Add a waiting job; one that ran before keeps its place by arrival time."""
        self._waiting[spec.job_id] = spec
        if checkpoint:
            by_arrival = sorted(
                self._waiting.values(), key=lambda s: s.submitted_wall_ms
            )
            self._waiting = {s.job_id: s for s in by_arrival}

    def end(self, spec: JobSpec, now_ms: int) -> None:
        """Remove the job from the queue and release its accelerators."""
        self._waiting.pop(spec.job_id, None)
        self._pool.release(spec.job_id, self._grants_by_id.pop(spec.job_id, ()))

    def failed(self, spec: JobSpec, grants: tuple[Grant, ...], now_ms: int) -> bool:
        """Retry the job until it has failed `MAX_ATTEMPTS` times."""
        failures = self._failures_by_id.get(spec.job_id, 0) + 1
        self._failures_by_id[spec.job_id] = failures
        return failures < MAX_ATTEMPTS

    def set_usable(self, worker: str, is_usable: bool, now_ms: int) -> None:
        """Open or close the worker."""
        self._pool.set_open(worker, is_usable)

    def steps(self, now_ms: int) -> list[Step]:
        """Start the jobs that fit, in order of arrival."""
        started: list[Step] = []
        unplaceable_shapes = set()
        for job_id, spec in list(self._waiting.items()):
            if self._pool.open_free == 0:
                break
            shape = (spec.accelerators, spec.adjacency)
            grants = None if shape in unplaceable_shapes else self._find(spec)
            if grants is None:
                unplaceable_shapes.add(shape)
                if self.stops_at_head:
                    break
                continue
            del self._waiting[job_id]
            self._pool.hold(job_id, grants)
            self._grants_by_id[job_id] = grants
            started.append(Start(spec, grants))
        return started

    stops_at_head = False  # whether jobs behind one that doesn't fit must wait

    @abc.abstractmethod
    def _find(self, spec: JobSpec) -> tuple[Grant, ...] | None: ...


class FirstComePolicy(_QueuePolicy):
    """Starts jobs in strict order of arrival, on the first workers that fit."""

    name = "first_come_first_fit"
    stops_at_head = True

    def _find(self, spec: JobSpec) -> tuple[Grant, ...] | None:
        if spec.adjacency == "worker":
            for worker in self._pool.workers_by_name.values():
                if worker.open_free >= spec.accelerators:
                    return _to_grants([(worker, spec.accelerators)])
            return None
        racks = list(self._pool.racks_by_name.values())
        domains = [list(rack.workers_by_name.values()) for rack in racks]
        if spec.adjacency == "data_centre":
            domains = [list(self._pool.workers_by_name.values())]
        for workers in domains:
            if sum(worker.open_free for worker in workers) < spec.accelerators:
                continue
            parts = []
            remaining = spec.accelerators
            for worker in workers:
                count = min(remaining, worker.open_free)
                if count:
                    parts.append((worker, count))
                    remaining -= count
            return _to_grants(parts)
        return None


class BackfillPolicy(_QueuePolicy):
    """Starts any job that fits, in order of arrival, on the best fitting workers."""

    name = "best_fit_backfill"

    def _find(self, spec: JobSpec) -> tuple[Grant, ...] | None:
        parts = find_group(
            self._pool,
            lambda worker: worker.open_free,
            spec.accelerators,
            spec.adjacency,
            WeightedPolicy(0.0, 1.0),
        )
        return None if parts is None else _to_grants(parts)


def _to_grants(parts: list[tuple[PoolWorker, int]]) -> tuple[Grant, ...]:
    return tuple(
        Grant(worker.name, tuple(worker.free_indices()[:count]))
        for worker, count in parts
    )


class SchedulerPolicy(Policy):
    """Uses a `DataCentreScheduler` per data centre; moves jobs between them."""

    name = "ours"  # as in the stored measurements
    REHOME_INTERVAL_MS = 2_000
    BLOCKED_AFTER_MS = 30_000

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._scheduler_by_name: dict[str, DataCentreScheduler] = {}
        self._home_by_id: dict[str, str] = {}
        self._home_by_worker: dict[str, str] = {}
        self._spec_by_waiting_id: dict[str, tuple[JobSpec, int]] = {}
        self._next_rehome_ms = 0
        self._next_comparison_ms_by_id: dict[str, int] = {}
        self.covered_ids: set[str] = set()
        for name, data_centre in configuration.data_centres_by_name.items():
            scheduler = DataCentreScheduler(name)
            scheduler.set_configuration(configuration, 0)
            self._scheduler_by_name[name] = scheduler
            for rack in data_centre.racks:
                for worker in rack.workers:
                    size = rack.accelerators_per_worker
                    scheduler.set_worker(worker, rack.name, size, 0)
                    self._home_by_worker[worker] = name

    def add(self, spec: JobSpec, now_ms: int, checkpoint: int = 0) -> None:
        """Choose a home data centre for the job and add it to the scheduler there.

        Tried in this order: one where the job fits now, one whose guarantee covers it,
        the one that blocks it least, and the choice of `home_data_centre` by load.
        """
        if not checkpoint and any(
            scheduler.fits_guarantee(spec, now_ms)
            for scheduler in self._scheduler_by_name.values()
        ):
            self.covered_ids.add(spec.job_id)
        home = self._fitting_or_guaranteed_home(spec, now_ms)
        if home is None:
            unplaced = replace(spec, home_data_centre="")
            home = self._less_blocked_home(unplaced, now_ms)
        if home is None:
            load = {
                name: -scheduler.waiting_accelerators()
                for name, scheduler in self._scheduler_by_name.items()
            }
            home = home_data_centre(spec, self._configuration, load)
        spec = replace(spec, home_data_centre=home)
        self._home_by_id[spec.job_id] = home
        self._spec_by_waiting_id[spec.job_id] = (spec, checkpoint)
        scheduler = self._scheduler_by_name[home]
        scheduler.add_waiting(spec, now_ms, checkpoint)

    def _fitting_or_guaranteed_home(self, spec: JobSpec, now_ms: int) -> str | None:
        fitting = []
        for name, scheduler in self._scheduler_by_name.items():
            cost = scheduler.placement_cost(spec, now_ms)
            if cost is not None:
                fitting.append((cost, scheduler.free(), name))
        if fitting:
            return min(fitting)[2]
        guaranteed = [
            name
            for name, scheduler in self._scheduler_by_name.items()
            if scheduler.fits_guarantee(spec, now_ms)
        ]
        return guaranteed[0] if guaranteed else None

    def end(self, spec: JobSpec, now_ms: int) -> None:
        """Remove the job from the scheduler of its home."""
        self._spec_by_waiting_id.pop(spec.job_id, None)
        self._scheduler(spec).remove(spec.job_id, now_ms)

    def failed(self, spec: JobSpec, grants: tuple[Grant, ...], now_ms: int) -> bool:
        """Report the failure to the scheduler, which attributes it to job or worker."""
        self._report_task_end(spec, grants, False, now_ms)
        return True

    def completed(self, spec: JobSpec, grants: tuple[Grant, ...], now_ms: int) -> None:
        """Report the success to the scheduler."""
        self._report_task_end(spec, grants, True, now_ms)

    def checkpointed(self, job_id: str, now_ms: int) -> None:
        """Report the checkpoint to the scheduler."""
        self._scheduler_by_name[self._home_by_id[job_id]].checkpointed(job_id, now_ms)

    def set_usable(self, worker: str, is_usable: bool, now_ms: int) -> None:
        """Report the state of the worker to its scheduler."""
        scheduler = self._scheduler_by_name[self._home_by_worker[worker]]
        scheduler.set_worker_usable(worker, is_usable, "lost", now_ms)

    def steps(self, now_ms: int) -> list[Step]:
        """Return the actions of all schedulers as steps."""
        steps: list[Step] = []
        if now_ms >= self._next_rehome_ms:
            self._next_rehome_ms = now_ms + self.REHOME_INTERVAL_MS
            self._rehome(now_ms)
        schedulers = self._scheduler_by_name.values()
        free = sum(scheduler.free() for scheduler in schedulers)
        holes_by_name = {s.data_centre: s.holes() for s in schedulers}
        for scheduler in schedulers:
            holes = {
                hole
                for name, other_holes in holes_by_name.items()
                if name != scheduler.data_centre
                for hole in other_holes
            }
            scheduler.set_free_elsewhere(free - scheduler.free(), tuple(sorted(holes)))
            for action in scheduler.decide(now_ms):
                if isinstance(action, Place):
                    spec = action.spec
                    self._spec_by_waiting_id.pop(spec.job_id, None)
                    scheduler.set_running(spec, action.grants, now_ms)
                    steps.append(Start(spec, action.grants))
                elif isinstance(action, Reclaim | Move):
                    steps.append(Stop(action.job_id, action.deadline_ms))
                elif isinstance(action, Reject):
                    self._spec_by_waiting_id.pop(action.job_id, None)
                    steps.append(GiveUp(action.job_id))
                elif isinstance(action, Probe):
                    is_faulty = self.is_faulty(action.worker, now_ms)
                    scheduler.probe_ended(action.worker, not is_faulty, now_ms)
        return steps

    def is_faulty(self, worker: str, now_ms: int) -> bool:
        """Tell whether a probe of the worker fails; the simulation overrides this."""
        return False

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return the earliest wake-up of all schedulers and of rehoming."""
        times = [s.next_wakeup_ms(now_ms) for s in self._scheduler_by_name.values()]
        if self._spec_by_waiting_id:
            times.append(self._next_rehome_ms)
        return min((time for time in times if time is not None), default=None)

    def _rehome(self, now_ms: int) -> None:
        """Move waiting jobs to a home where they can start now or are less blocked."""
        skipped_keys = set()
        for spec, checkpoint in list(self._spec_by_waiting_id.values()):
            key = replace(
                spec, job_id="", kind="", declared_run_ms=0, submitted_wall_ms=0
            )
            if key in skipped_keys:
                continue
            scheduler = self._scheduler(spec)
            if not scheduler.is_waiting(spec.job_id):
                continue
            home = self._fitting_or_guaranteed_home(spec, now_ms)
            if home is None:
                home = self._less_blocked_home(spec, now_ms)
            if home is None or home == spec.home_data_centre:
                skipped_keys.add(key)
                continue
            since_ms = spec.submitted_wall_ms
            scheduler.remove(spec.job_id, now_ms)
            moved = replace(spec, home_data_centre=home)
            self._home_by_id[spec.job_id] = home
            self._spec_by_waiting_id[spec.job_id] = (moved, checkpoint)
            self._scheduler_by_name[home].add_waiting(moved, since_ms, checkpoint)
            skipped_keys.add(replace(key, home_data_centre=home))

    def _less_blocked_home(self, spec: JobSpec, now_ms: int) -> str | None:
        """Return a home that blocks the group much less than its present one, or None.

        Groups are compared that have no home or have waited for `BLOCKED_AFTER_MS`, and
        again after the same time. Jobs with a single accelerator keep their home.
        """
        has_home = spec.home_data_centre != ""
        if has_home and now_ms - spec.submitted_wall_ms < self.BLOCKED_AFTER_MS:
            return None
        if spec.accelerators < 2 or now_ms < self._next_comparison_ms_by_id.get(
            spec.job_id, 0
        ):
            return None
        self._next_comparison_ms_by_id[spec.job_id] = now_ms + self.BLOCKED_AFTER_MS
        cost_by_name = {}
        for name, scheduler in self._scheduler_by_name.items():
            cost = scheduler.blocking_cost(spec, now_ms)
            if cost is not None:
                cost_by_name[name] = cost
        queued_by_name: dict[str, int] = {}
        for other, _ in self._spec_by_waiting_id.values():
            is_before = other.submitted_wall_ms < spec.submitted_wall_ms
            if is_before and other.accelerators >= spec.accelerators:
                name = other.home_data_centre
                queued_by_name[name] = queued_by_name.get(name, 0) + 1
        return better_home_data_centre(
            cost_by_name, queued_by_name, spec.home_data_centre
        )

    def _scheduler(self, spec: JobSpec) -> DataCentreScheduler:
        return self._scheduler_by_name[self._home_by_id[spec.job_id]]

    def _report_task_end(
        self, spec: JobSpec, grants: tuple[Grant, ...], has_succeeded: bool, now_ms: int
    ) -> None:
        workers = tuple(grant.worker for grant in grants)
        kind = f"{spec.organisation}/{spec.kind}"
        self._scheduler(spec).task_ended(
            spec.job_id, kind, workers, has_succeeded, now_ms
        )
