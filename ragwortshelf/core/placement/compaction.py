"""Moves single jobs to concentrate free accelerators on few workers.

The objective is the sum over workers of the square of the free accelerators, which is
largest when whole workers are free. Moving a job of size ``n`` from a worker with ``a``
free accelerators to one with ``b`` raises it by ``2n(a + n - b)``; repeated moves with
a positive gain defragment the data centre. Only work that can resume from a
checkpoint is moved, at most one job in each interval, and only while other jobs wait,
which may not fit on scattered accelerators.
"""

from __future__ import annotations

from .active_jobs import ActiveJob
from .pool import PoolWorker
from .state import DataCentreState

__all__ = ["Compaction"]

COMPACTION_INTERVAL_MS = 500
MOVED_JOB_MIN_RUN_MS = 10_000
STOP_COST_MS = 2_000  # a stop and a restart, for each accelerator of the job
# Fraction of stops in which the last checkpoint is not completed.
CHECKPOINT_LOSS_PROBABILITY = 0.1
GAIN_UNIT_MS = 4_000  # accelerator-ms that one unit of the objective may cost


class Compaction:
    """Chooses at most one job to move in each interval."""

    def __init__(self, state: DataCentreState) -> None:
        self._state = state
        self._next_run_ms = 0
        self.next_wakeup_ms: int | None = None

    def choose(self, now_ms: int) -> ActiveJob | None:
        """Return the job whose move has the largest positive net gain, if any."""
        state = self._state
        self.next_wakeup_ms = None
        if not state.policy.defragments or not state.waiting.job_by_id:
            return None
        if now_ms < self._next_run_ms:
            self.next_wakeup_ms = self._next_run_ms
            return None
        self._next_run_ms = now_ms + COMPACTION_INTERVAL_MS
        self.next_wakeup_ms = self._next_run_ms
        partially_used = [
            worker
            for worker in state.pool.workers_by_name.values()
            if 0 < worker.open_free < worker.size
        ]
        free_counts = sorted({worker.free for worker in partially_used})
        best = None
        best_gain = 0.0
        for worker in partially_used:
            for job in self._movable_jobs(worker, now_ms):
                net_gain = self._net_gain(
                    worker, job, free_counts, partially_used, now_ms
                )
                if net_gain > best_gain:
                    best, best_gain = job, net_gain
        return best

    def _movable_jobs(self, worker: PoolWorker, now_ms: int) -> list[ActiveJob]:
        jobs = self._state.active_jobs.job_by_id
        movable = []
        for job_id in self._state.pool.holders(worker.name):
            job = jobs.get(job_id)
            if (
                job is not None
                and job.can_be_stopped
                and job.reclaim_deadline_ms is None
                and len(job.grants) == 1
                and now_ms - job.started_ms >= MOVED_JOB_MIN_RUN_MS
            ):
                movable.append(job)
        return movable

    def _net_gain(
        self,
        worker: PoolWorker,
        job: ActiveJob,
        free_counts: list[int],
        partially_used: list[PoolWorker],
        now_ms: int,
    ) -> float:
        """Return the weighted gain less the cost of moving the job, in accelerator-ms.

        It is 0 if the job fits on no other partially used worker, here or elsewhere.
        ``free_counts`` are the distinct numbers of free accelerators on the
        ``partially_used`` workers, in rising order.
        """
        size = job.spec.accelerators
        # The job is expected to be placed by best fit: on the other worker with the
        # fewest free accelerators that suffice.
        target = min(
            (free for free in self._state.free_counts_elsewhere if free >= size),
            default=None,
        )
        for free in free_counts:
            others = sum(
                1 for w in partially_used if w.free == free and w is not worker
            )
            if free >= size and others:
                target = free if target is None else min(free, target)
                break
        if target is None:
            return 0.0
        gain = 2 * size * (worker.free + size - target)
        unsaved = CHECKPOINT_LOSS_PROBABILITY * job.lost_accelerator_ms(now_ms)
        cost = STOP_COST_MS * size + unsaved
        return self._state.policy.move_gain_weight * GAIN_UNIT_MS * gain - cost
