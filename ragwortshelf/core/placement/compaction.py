"""Moves single small jobs so that free accelerators gather on few workers.

A move from a worker with ``a`` free accelerators to one with ``b`` raises the sum of
the squares of free accelerators by ``2n(a + n - b)`` for a job of size ``n``. The sum
is largest when whole workers are free, so climbing it in small steps joins scattered
accelerators. Only work that can go on from a checkpoint is moved, seldom, and only
while something waits that scattered accelerators cannot serve.
"""

from __future__ import annotations

from .ledger import ActiveJob
from .pool import PoolWorker
from .state import State

__all__ = ["Compaction"]

COMPACTION_INTERVAL_MS = 500
MOVED_JOB_MIN_RUN_MS = 10_000
STOP_COST_MS = 2_000
UNSAVED_RISK = 0.1  # share of stops whose last checkpoint does not become whole
GAIN_MS = 4_000  # worth of one unit of the sum of squares


class Compaction:
    """Chooses at most one job to move at a time."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._next_ms = 0
        self.next_wakeup_ms: int | None = None

    def choose(self, now_ms: int) -> ActiveJob | None:
        """Return the job whose move gathers most for its cost, if any pays."""
        state = self._state
        self.next_wakeup_ms = None
        if not state.policy.defragments or not state.waiting.job_by_id:
            return None
        if now_ms < self._next_ms:
            self.next_wakeup_ms = self._next_ms
            return None
        self._next_ms = now_ms + COMPACTION_INTERVAL_MS
        self.next_wakeup_ms = self._next_ms
        broken = [
            worker
            for worker in state.pool.workers_by_name.values()
            if 0 < worker.open_free < worker.size
        ]
        free_counts = sorted({worker.free for worker in broken})
        best = None
        best_worth = 0.0
        for worker in broken:
            for job in self._movable(worker, now_ms):
                worth = self._worth(worker, job, free_counts, broken, now_ms)
                if worth > best_worth:
                    best, best_worth = job, worth
        return best

    def _movable(self, worker: PoolWorker, now_ms: int) -> list[ActiveJob]:
        jobs = self._state.ledger.job_by_id
        found = []
        for job_id in self._state.pool.holders(worker.name):
            job = jobs.get(job_id)
            if (
                job is not None
                and job.can_be_stopped
                and job.reclaim_deadline_ms is None
                and len(job.grants) == 1
                and now_ms - job.started_ms >= MOVED_JOB_MIN_RUN_MS
            ):
                found.append(job)
        return found

    def _worth(
        self,
        worker: PoolWorker,
        job: ActiveJob,
        free_counts: list[int],
        broken: list[PoolWorker],
        now_ms: int,
    ) -> float:
        size = job.spec.accelerators
        # The tightest other worker that can take the job is where it will go.
        target = min(
            (free for free in self._state.holes_elsewhere if free >= size),
            default=None,
        )
        for free in free_counts:
            others = sum(1 for w in broken if w.free == free and w is not worker)
            if free >= size and others:
                target = free if target is None else min(free, target)
                break
        if target is None:
            return 0.0
        gain = 2 * size * (worker.free + size - target)
        unsaved = UNSAVED_RISK * job.lost_accelerator_ms(now_ms)
        cost = STOP_COST_MS * size + unsaved
        return self._state.policy.move_gain_weight * GAIN_MS * gain - cost
