"""The policies under comparison behind one small interface."""

from __future__ import annotations

import abc
from dataclasses import dataclass, replace

from ragwortshelf.core.model import Configuration, Grant, JobSpec
from ragwortshelf.core.placement import (
    Move,
    Place,
    Probe,
    Reclaim,
    Reject,
    Scheduler,
    better_home_data_centre,
    home_data_centre,
)
from ragwortshelf.core.placement.packing import find_group
from ragwortshelf.core.placement.policy import WeightedPolicy
from ragwortshelf.core.placement.pool import Pool, PoolWorker

__all__ = ["BackfillPolicy", "FirstComePolicy", "OurPolicy", "Start", "Stop"]

RETRIES_MAX = 5


@dataclass(frozen=True, slots=True)
class Start:
    """Start the job on the grants now."""

    spec: JobSpec
    grants: tuple[Grant, ...]


@dataclass(frozen=True, slots=True)
class Stop:
    """Checkpoint the job and stop it by the deadline."""

    job_id: str
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The job ends without having completed."""

    job_id: str


Step = Start | Stop | GiveUp


class Policy(abc.ABC):
    """What the driver tells a policy, and what the policy tells the driver."""

    name = ""

    @abc.abstractmethod
    def add(self, spec: JobSpec, now_ms: int, checkpoint: int = 0) -> None:
        """Let the job wait."""

    @abc.abstractmethod
    def end(self, spec: JobSpec, now_ms: int) -> None:
        """Take note that the job has ended, stopped, or was cancelled."""

    @abc.abstractmethod
    def failed(self, spec: JobSpec, grants: tuple[Grant, ...], now_ms: int) -> bool:
        """Take note that the tasks failed; return whether the job is tried again."""

    @abc.abstractmethod
    def set_usable(self, worker: str, is_usable: bool, now_ms: int) -> None:
        """Take note that a worker was lost or has returned."""

    @abc.abstractmethod
    def steps(self, now_ms: int) -> list[Step]:
        """Return what to do now."""

    def completed(self, spec: JobSpec, grants: tuple[Grant, ...], now_ms: int) -> None:
        """Take note that the tasks succeeded."""
        return

    def saved(self, job_id: str, now_ms: int) -> None:
        """Take note of a checkpoint."""
        return

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return when `steps` is due without any event."""
        return None


class _QueuePolicy(Policy):
    """One queue over one pool of all data centres, without guarantees."""

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
        """Let the job wait; one that ran before keeps its place by arrival."""
        self._waiting[spec.job_id] = spec
        if checkpoint:
            by_arrival = sorted(
                self._waiting.values(), key=lambda s: s.submitted_wall_ms
            )
            self._waiting = {s.job_id: s for s in by_arrival}

    def end(self, spec: JobSpec, now_ms: int) -> None:
        """Free what the job holds."""
        self._waiting.pop(spec.job_id, None)
        self._pool.release(spec.job_id, self._grants_by_id.pop(spec.job_id, ()))

    def failed(self, spec: JobSpec, grants: tuple[Grant, ...], now_ms: int) -> bool:
        """Try again a few times."""
        failures = self._failures_by_id.get(spec.job_id, 0) + 1
        self._failures_by_id[spec.job_id] = failures
        return failures < RETRIES_MAX

    def set_usable(self, worker: str, is_usable: bool, now_ms: int) -> None:
        """Open or close the worker."""
        self._pool.set_open(worker, is_usable)

    def steps(self, now_ms: int) -> list[Step]:
        """Start jobs in order of arrival."""
        started: list[Step] = []
        failed = set()
        for job_id, spec in list(self._waiting.items()):
            if self._pool.open_free == 0:
                break
            shape = (spec.accelerators, spec.adjacency)
            grants = None if shape in failed else self._find(spec)
            if grants is None:
                failed.add(shape)
                if self.stops_at_head:
                    break
                continue
            del self._waiting[job_id]
            self._pool.hold(job_id, grants)
            self._grants_by_id[job_id] = grants
            started.append(Start(spec, grants))
        return started

    stops_at_head = False

    @abc.abstractmethod
    def _find(self, spec: JobSpec) -> tuple[Grant, ...] | None: ...


class FirstComePolicy(_QueuePolicy):
    """Strict order of arrival, on the first workers that fit."""

    name = "first_come_first_fit"
    stops_at_head = True

    def _find(self, spec: JobSpec) -> tuple[Grant, ...] | None:
        if spec.adjacency == "worker":
            for worker in self._pool.workers_by_name.values():
                if worker.open_free >= spec.accelerators:
                    return _take([(worker, spec.accelerators)])
            return None
        racks = list(self._pool.racks_by_name.values())
        domains = [list(rack.workers_by_name.values()) for rack in racks]
        if spec.adjacency == "data_centre":
            domains = [list(self._pool.workers_by_name.values())]
        for workers in domains:
            if sum(worker.open_free for worker in workers) < spec.accelerators:
                continue
            parts = []
            left = spec.accelerators
            for worker in workers:
                count = min(left, worker.open_free)
                if count:
                    parts.append((worker, count))
                    left -= count
            return _take(parts)
        return None


class BackfillPolicy(_QueuePolicy):
    """Best fit; whatever fits starts, in order of arrival."""

    name = "best_fit_backfill"

    def _find(self, spec: JobSpec) -> tuple[Grant, ...] | None:
        parts = find_group(
            self._pool,
            lambda worker: worker.open_free,
            spec.accelerators,
            spec.adjacency,
            WeightedPolicy(0.0, 1.0),
        )
        return None if parts is None else _take(parts)


def _take(parts: list[tuple[PoolWorker, int]]) -> tuple[Grant, ...]:
    return tuple(
        Grant(worker.name, tuple(worker.free_indices()[:count]))
        for worker, count in parts
    )


class OurPolicy(Policy):
    """One scheduler a data centre; jobs change their home while they wait."""

    name = "ours"
    REHOME_INTERVAL_MS = 2_000
    BLOCKED_MS = 30_000

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._scheduler_by_name: dict[str, Scheduler] = {}
        self._home_by_id: dict[str, str] = {}
        self._home_by_worker: dict[str, str] = {}
        self._spec_by_waiting_id: dict[str, tuple[JobSpec, int]] = {}
        self._next_rehome_ms = 0
        self._compared_until_by_id: dict[str, int] = {}
        self.covered_ids: set[str] = set()
        for name, data_centre in configuration.data_centres_by_name.items():
            scheduler = Scheduler(name)
            scheduler.set_configuration(configuration, 0)
            self._scheduler_by_name[name] = scheduler
            for rack in data_centre.racks:
                for worker in rack.workers:
                    size = rack.accelerators_per_worker
                    scheduler.set_worker(worker, rack.name, size, 0)
                    self._home_by_worker[worker] = name

    def add(self, spec: JobSpec, now_ms: int, checkpoint: int = 0) -> None:
        """Give the job a home where it fits now, else where its guarantee has room."""
        if not checkpoint and any(
            scheduler.fits_guarantee(spec, now_ms)
            for scheduler in self._scheduler_by_name.values()
        ):
            self.covered_ids.add(spec.job_id)
        home = self._home_that_fits(spec, now_ms)
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

    def _home_that_fits(self, spec: JobSpec, now_ms: int) -> str | None:
        fitting = []
        for name, scheduler in self._scheduler_by_name.items():
            cost = scheduler.placement_cost(spec, now_ms)
            if cost is not None:
                fitting.append((cost, scheduler.free(), name))
        if fitting:
            return min(fitting)[2]
        promised = [
            name
            for name, scheduler in self._scheduler_by_name.items()
            if scheduler.fits_guarantee(spec, now_ms)
        ]
        return promised[0] if promised else None

    def end(self, spec: JobSpec, now_ms: int) -> None:
        """Tell the scheduler of the job's home."""
        self._spec_by_waiting_id.pop(spec.job_id, None)
        self._scheduler(spec).remove(spec.job_id, now_ms)

    def failed(self, spec: JobSpec, grants: tuple[Grant, ...], now_ms: int) -> bool:
        """Let the scheduler judge whether the job or the worker is to blame."""
        self._tell_end(spec, grants, False, now_ms)
        return True

    def completed(self, spec: JobSpec, grants: tuple[Grant, ...], now_ms: int) -> None:
        """Tell the scheduler of the success."""
        self._tell_end(spec, grants, True, now_ms)

    def saved(self, job_id: str, now_ms: int) -> None:
        """Tell the scheduler of the checkpoint."""
        self._scheduler_by_name[self._home_by_id[job_id]].checkpointed(job_id, now_ms)

    def set_usable(self, worker: str, is_usable: bool, now_ms: int) -> None:
        """Tell the scheduler of the worker."""
        scheduler = self._scheduler_by_name[self._home_by_worker[worker]]
        scheduler.set_worker_usable(worker, is_usable, "lost", now_ms)

    def steps(self, now_ms: int) -> list[Step]:
        """Carry over the actions of every scheduler."""
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
                for name, others in holes_by_name.items()
                if name != scheduler.data_centre
                for hole in others
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
                    is_bad = self.is_bad(action.worker, now_ms)
                    scheduler.probe_ended(action.worker, not is_bad, now_ms)
        return steps

    def is_bad(self, worker: str, now_ms: int) -> bool:
        """Answer a probe; the driver replaces it."""
        return False

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return the earliest of all schedulers."""
        times = [s.next_wakeup_ms(now_ms) for s in self._scheduler_by_name.values()]
        if self._spec_by_waiting_id:
            times.append(self._next_rehome_ms)
        return min((time for time in times if time is not None), default=None)

    def _rehome(self, now_ms: int) -> None:
        """Move the home of waiting jobs to where they can start now."""
        failed = set()
        for spec, checkpoint in list(self._spec_by_waiting_id.values()):
            key = replace(
                spec, job_id="", kind="", declared_run_ms=0, submitted_wall_ms=0
            )
            if key in failed:
                continue
            scheduler = self._scheduler(spec)
            if not scheduler.is_waiting(spec.job_id):
                continue
            home = self._home_that_fits(spec, now_ms)
            if home is None:
                home = self._less_blocked_home(spec, now_ms)
            if home is None or home == spec.home_data_centre:
                failed.add(key)
                continue
            since_ms = spec.submitted_wall_ms
            scheduler.remove(spec.job_id, now_ms)
            moved = replace(spec, home_data_centre=home)
            self._home_by_id[spec.job_id] = home
            self._spec_by_waiting_id[spec.job_id] = (moved, checkpoint)
            self._scheduler_by_name[home].add_waiting(moved, since_ms, checkpoint)
            failed.add(replace(key, home_data_centre=home))

    def _less_blocked_home(self, spec: JobSpec, now_ms: int) -> str | None:
        """Return where a group that has waited long has much less in its way."""
        has_home = spec.home_data_centre != ""
        if has_home and now_ms - spec.submitted_wall_ms < self.BLOCKED_MS:
            return None
        if spec.accelerators < 2 or now_ms < self._compared_until_by_id.get(
            spec.job_id, 0
        ):
            return None
        self._compared_until_by_id[spec.job_id] = now_ms + self.BLOCKED_MS
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

    def _scheduler(self, spec: JobSpec) -> Scheduler:
        return self._scheduler_by_name[self._home_by_id[spec.job_id]]

    def _tell_end(
        self, spec: JobSpec, grants: tuple[Grant, ...], succeeded: bool, now_ms: int
    ) -> None:
        workers = tuple(grant.worker for grant in grants)
        kind = f"{spec.organisation}/{spec.kind}"
        self._scheduler(spec).task_ended(spec.job_id, kind, workers, succeeded, now_ms)
