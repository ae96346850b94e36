"""Simulates one policy under one workload in virtual time, and measures it."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ragwortshelf.core.model import Configuration, Grant, Priority

from .placement_policies import Policy, SchedulerPolicy, Start, Stop
from .placement_workload import SimulatedJob, Workload

__all__ = ["Measurements", "fragmentation", "simulate"]

CHECKPOINT_INTERVAL_MS = 60_000
CHECKPOINT_DURATION_MS = 500  # from the stop request until the checkpoint is complete
FAILURE_DELAY_MS = 1_000  # from the start of a failing task until its end
LARGE_GROUP_ACCELERATORS = 16
DRAIN_TIMEOUT_MS = 14_400_000  # for the queue to empty after the last arrival


@dataclass(slots=True)
class _Run:
    """One run of a job; ``earlier_work_ms`` is the work kept from earlier runs."""

    job: SimulatedJob
    grants: tuple[Grant, ...]
    started_ms: int
    checkpoint_ms: int
    earlier_work_ms: int
    is_stopping: bool = False

    @property
    def accelerators(self) -> int:
        return self.job.spec.accelerators


@dataclass(slots=True)
class Measurements:
    """Measurements of one run.

    Times are in milliseconds. Areas are in accelerator milliseconds, apart from
    ``fragmentation_area``, which is the fragmentation multiplied by milliseconds.
    ``busy_area`` and ``open_area``, of busy accelerators and of those on workers that
    are up, count until the last arrival.
    """

    completion_ms_by_id: dict[str, int] = field(default_factory=dict)
    class_by_id: dict[str, str] = field(default_factory=dict)
    urgent_start_ms: list[int] = field(default_factory=list)
    urgent_covered_start_ms: list[int] = field(default_factory=list)
    large_wait_ms: list[int] = field(default_factory=list)
    stop_ms: list[int] = field(default_factory=list)
    fragmentation_area: float = 0.0
    waiting_ms: int = 0
    busy_area: float = 0.0
    open_area: float = 0.0
    used_area: float = 0.0
    lost_area: float = 0.0
    ended: int = 0

    def columns(self, compared_ids: Collection[str]) -> dict[str, float | None]:
        """Return the columns of the output line.

        Completion times count only ``compared_ids``, the jobs that completed under
        every policy, so that a policy that loses long jobs doesn't appear faster.
        """
        completion_ms_by_id = {
            job_id: self.completion_ms_by_id[job_id] for job_id in sorted(compared_ids)
        }
        all_completion_ms = list(completion_ms_by_id.values())
        quick_completion_ms = [
            completion_ms
            for job_id, completion_ms in completion_ms_by_id.items()
            if self.class_by_id[job_id] == "quick"
        ]
        return {
            "completion_mean_s": _seconds(
                sum(all_completion_ms) / max(1, len(all_completion_ms))
            ),
            "completion_p99_s": _seconds(_p99(all_completion_ms)),
            "quick_check_p99_s": _seconds(_p99(quick_completion_ms)),
            "urgent_start_p99_s": _seconds(_p99(self.urgent_start_ms)),
            "urgent_covered_start_max_s": _seconds(
                max(self.urgent_covered_start_ms, default=0)
            ),
            "large_group_wait_max_s": _seconds(max(self.large_wait_ms, default=0)),
            "fragmentation_mean": round(
                self.fragmentation_area / max(1, self.waiting_ms), 4
            ),
            "reclaim_max_s": _seconds(max(self.stop_ms, default=0)),
            "utilisation": round(self.busy_area / max(1, self.open_area), 4),
            "lost_work_share": round(self.lost_area / max(1, self.used_area), 4),
            "jobs_completed": len(self.completion_ms_by_id),
        }


def fragmentation(free_by_worker_by_rack: dict[str, dict[str, int]]) -> float | None:
    """Return the mean shortfall over the reference shapes; see docs/placement.md.

    Shapes larger than the number of free accelerators don't count. Returns None if that
    excludes all of them; such times are excluded from the mean over time.
    """
    racks = free_by_worker_by_rack.values()
    free = sum(sum(rack.values()) for rack in racks)
    shortfalls = []
    for size in (8, 16, 32):
        if free < size:
            continue
        if size == 8:
            fits = sum(worker // 8 for rack in racks for worker in rack.values())
        else:
            fits = sum(sum(rack.values()) // size for rack in racks)
        shortfalls.append(1 - fits / (free // size))
    return sum(shortfalls) / len(shortfalls) if shortfalls else None


def simulate(
    configuration: Configuration,
    workload: Workload,
    make_policy: Callable[[Configuration], Policy],
) -> Measurements:
    """Run the workload to its end and return the measurements."""
    return _Simulation(configuration, workload, make_policy(configuration)).run()


class _Simulation:
    """Replays the events of a workload and carries out the steps of a policy."""

    def __init__(
        self, configuration: Configuration, workload: Workload, policy: Policy
    ) -> None:
        self._policy = policy
        self._workload = workload
        self._job_by_id = {job.spec.job_id: job for job in workload.jobs}
        self._waiting_since_ms_by_id: dict[str, int] = {}
        self._started_ids: set[str] = set()
        self._run_by_id: dict[str, _Run] = {}
        self._kept_work_ms_by_id: dict[str, int] = {}
        self._rack_by_worker: dict[str, str] = {}
        self._free_by_rack: dict[str, dict[str, int]] = {}
        self._accelerators_per_worker = 0
        self._lost_workers: set[str] = set()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._now_ms = 0
        self._fragmentation: float | None = None
        self._last_arrival_ms = workload.jobs[-1].arrival_ms
        self.measured = Measurements()
        for data_centre in configuration.data_centres_by_name.values():
            for rack in data_centre.racks:
                for worker in rack.workers:
                    accelerators = rack.accelerators_per_worker
                    self._rack_by_worker[worker] = rack.name
                    self._free_by_rack.setdefault(rack.name, {})[worker] = accelerators
                    self._accelerators_per_worker = accelerators
        if isinstance(policy, SchedulerPolicy):
            policy.is_faulty = self._is_faulty

    def run(self) -> Measurements:
        for job in self._workload.jobs:
            self._schedule(job.arrival_ms, lambda job=job: self._arrive(job))
            if job.cancelled_ms is not None:
                self._schedule(job.cancelled_ms, lambda job=job: self._cancel(job))
        for worker, from_ms, until_ms in self._workload.outages:
            self._schedule(from_ms, lambda w=worker: self._mark_worker_lost(w))
            self._schedule(until_ms, lambda w=worker: self._mark_worker_returned(w))
        wakeup_ms = None
        limit_ms = self._last_arrival_ms + DRAIN_TIMEOUT_MS
        while self._events and self._now_ms < limit_ms:
            at_ms = self._events[0][0]
            if wakeup_ms is not None and self._now_ms < wakeup_ms < at_ms:
                at_ms = wakeup_ms
            self._advance(at_ms)
            if self._events[0][0] <= at_ms:
                heapq.heappop(self._events)[2]()
            self._perform_steps()
            wakeup_ms = self._policy.next_wakeup_ms(at_ms)
            if wakeup_ms is not None and wakeup_ms <= at_ms:
                wakeup_ms = at_ms + 1
            if (
                not self._events
                and self._waiting_since_ms_by_id
                and wakeup_ms is not None
            ):
                self._schedule(wakeup_ms, lambda: None)
        for job_id, since_ms in self._waiting_since_ms_by_id.items():
            # Jobs still waiting count with their wait so far, so that starvation shows.
            self._count_wait(job_id, self._now_ms - since_ms)
        return self.measured

    def _schedule(self, at_ms: int, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._sequence), call))

    def _advance(self, at_ms: int) -> None:
        step_ms = at_ms - self._now_ms
        measured = self.measured
        if self._now_ms <= self._last_arrival_ms:
            busy = sum(run.accelerators for run in self._run_by_id.values())
            measured.busy_area += step_ms * busy
            measured.open_area += (
                step_ms
                * self._accelerators_per_worker
                * (len(self._rack_by_worker) - len(self._lost_workers))
            )
        if self._waiting_since_ms_by_id and self._fragmentation is not None:
            measured.waiting_ms += step_ms
            measured.fragmentation_area += step_ms * self._fragmentation
        self._now_ms = at_ms

    def _arrive(self, job: SimulatedJob) -> None:
        self._waiting_since_ms_by_id[job.spec.job_id] = self._now_ms
        self._policy.add(job.spec, self._now_ms)

    def _cancel(self, job: SimulatedJob) -> None:
        job_id = job.spec.job_id
        run = self._run_by_id.get(job_id)
        if run is not None:
            self._release(run)
        if (
            run is not None
            or self._waiting_since_ms_by_id.pop(job_id, None) is not None
        ):
            self._policy.end(job.spec, self._now_ms)

    def _mark_worker_lost(self, worker: str) -> None:
        self._lost_workers.add(worker)
        self._policy.set_usable(worker, False, self._now_ms)
        for run in list(self._run_by_id.values()):
            if any(grant.worker == worker for grant in run.grants):
                self._interrupt(run)

    def _mark_worker_returned(self, worker: str) -> None:
        self._lost_workers.discard(worker)
        self._policy.set_usable(worker, True, self._now_ms)

    def _interrupt(self, run: _Run) -> None:
        spec = run.job.spec
        self._release(run)
        kept_ms = run.checkpoint_ms - run.started_ms if spec.is_checkpointable else 0
        lost_ms = self._now_ms - run.started_ms - kept_ms
        self.measured.lost_area += lost_ms * run.accelerators
        self._policy.end(spec, self._now_ms)
        if spec.is_idempotent:
            self._requeue(run, kept_ms)

    def _requeue(self, run: _Run, kept_ms: int) -> None:
        job_id = run.job.spec.job_id
        self._kept_work_ms_by_id[job_id] = run.earlier_work_ms + kept_ms
        self._waiting_since_ms_by_id[job_id] = self._now_ms
        self._policy.add(run.job.spec, self._now_ms, 1)

    def _perform_steps(self) -> None:
        for step in self._policy.steps(self._now_ms):
            if isinstance(step, Start):
                self._start(step)
            elif isinstance(step, Stop):
                run = self._run_by_id.get(step.job_id)
                if run is not None:
                    run.is_stopping = True
                    at_ms = min(step.deadline_ms, self._now_ms + CHECKPOINT_DURATION_MS)
                    requested_ms = self._now_ms
                    self._schedule(
                        at_ms, lambda r=run, t=requested_ms: self._stop(r, t)
                    )
            else:
                self._waiting_since_ms_by_id.pop(step.job_id, None)
        self._fragmentation = fragmentation(self._usable_free())

    def _usable_free(self) -> dict[str, dict[str, int]]:
        return {
            rack: {
                w: 0 if w in self._lost_workers else free for w, free in workers.items()
            }
            for rack, workers in self._free_by_rack.items()
        }

    def _start(self, step: Start) -> None:
        job_id = step.spec.job_id
        job = self._job_by_id[job_id]
        since_ms = self._waiting_since_ms_by_id.pop(job_id)
        if job_id not in self._started_ids:
            self._started_ids.add(job_id)
            self._count_wait(job_id, self._now_ms - since_ms)
        now_ms = self._now_ms
        kept_work_ms = self._kept_work_ms_by_id.get(job_id, 0)
        run = _Run(job, step.grants, now_ms, now_ms, kept_work_ms)
        self._run_by_id[job_id] = run
        for grant in step.grants:
            free_by_worker = self._free_by_rack[self._rack_by_worker[grant.worker]]
            free_by_worker[grant.worker] -= len(grant.accelerators)
            assert free_by_worker[grant.worker] >= 0, "an accelerator was given twice"
        is_faulty = any(self._is_faulty(grant.worker, now_ms) for grant in step.grants)
        if is_faulty or job.fails_everywhere:
            self._schedule(now_ms + FAILURE_DELAY_MS, lambda: self._fail(run))
            return
        end_ms = now_ms + max(1, job.run_ms - kept_work_ms)
        self._schedule(end_ms, lambda: self._complete(run))
        if job.spec.is_checkpointable:
            for at_ms in range(
                now_ms + CHECKPOINT_INTERVAL_MS, end_ms, CHECKPOINT_INTERVAL_MS
            ):
                self._schedule(at_ms, lambda: self._checkpoint(run))

    def _count_wait(self, job_id: str, wait_ms: int) -> None:
        job = self._job_by_id[job_id]
        if job.spec.priority is Priority.URGENT:
            self.measured.urgent_start_ms.append(wait_ms)
            policy = self._policy
            if isinstance(policy, SchedulerPolicy) and job_id in policy.covered_ids:
                self.measured.urgent_covered_start_ms.append(wait_ms)
        if job.spec.accelerators >= LARGE_GROUP_ACCELERATORS:
            self.measured.large_wait_ms.append(wait_ms)

    def _is_faulty(self, worker: str, now_ms: int) -> bool:
        return any(
            worker == faulty_worker and from_ms <= now_ms < until_ms
            for faulty_worker, from_ms, until_ms in self._workload.faulty_periods
        )

    def _is_current(self, run: _Run) -> bool:
        return self._run_by_id.get(run.job.spec.job_id) is run

    def _release(self, run: _Run) -> None:
        del self._run_by_id[run.job.spec.job_id]
        used_ms = self._now_ms - run.started_ms
        self.measured.used_area += used_ms * run.accelerators
        for grant in run.grants:
            free_by_worker = self._free_by_rack[self._rack_by_worker[grant.worker]]
            free_by_worker[grant.worker] += len(grant.accelerators)

    def _complete(self, run: _Run) -> None:
        if not self._is_current(run):
            return
        self._release(run)
        job = run.job
        if job.cancelled_ms is None:
            # Which jobs complete before their cancellation depends on the policy, so
            # cancelled jobs are excluded.
            job_id = job.spec.job_id
            self.measured.class_by_id[job_id] = job.job_class
            self.measured.completion_ms_by_id[job_id] = self._now_ms - job.arrival_ms
        self._policy.completed(job.spec, run.grants, self._now_ms)
        self._policy.end(job.spec, self._now_ms)

    def _fail(self, run: _Run) -> None:
        if not self._is_current(run):
            return
        self._release(run)
        self.measured.lost_area += FAILURE_DELAY_MS * run.accelerators
        spec = run.job.spec
        is_retried = self._policy.failed(spec, run.grants, self._now_ms)
        self._policy.end(spec, self._now_ms)
        if is_retried:
            self._requeue(run, 0)

    def _checkpoint(self, run: _Run) -> None:
        if self._is_current(run):
            run.checkpoint_ms = self._now_ms
            self._policy.checkpointed(run.job.spec.job_id, self._now_ms)

    def _stop(self, run: _Run, requested_ms: int) -> None:
        if not self._is_current(run):
            return
        self._release(run)
        self.measured.stop_ms.append(self._now_ms - requested_ms)
        # The job makes no progress while the last checkpoint is written.
        kept_ms = max(0, self._now_ms - CHECKPOINT_DURATION_MS - run.started_ms)
        lost_ms = self._now_ms - run.started_ms - kept_ms
        self.measured.lost_area += lost_ms * run.accelerators
        self._policy.end(run.job.spec, self._now_ms)
        self._requeue(run, kept_ms)


def _p99(values: list[int]) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))] if ordered else 0


def _seconds(value_ms: float) -> float:
    return round(value_ms / 1_000, 3)
