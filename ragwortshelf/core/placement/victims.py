"""Choice of the jobs to reclaim for a group, by least lost work and fragmentation."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from ..model import Adjacency, Grant
from .active_jobs import Accelerator, ActiveJob
from .pool import Pool, PoolWorker

__all__ = ["ReclaimPlan", "UsableHolder", "plan_reclaim"]

STOP_COST_MS = 2_000  # a stop and a restart, for each accelerator of the job
FRAGMENTATION_COST_MS = 1_000  # for each accelerator left free beside the group

# Returns None if the accelerator must not be used, "" if it is free, else its holder.
UsableHolder = Callable[[PoolWorker, int], str | None]


@dataclass(frozen=True, slots=True)
class ReclaimPlan:
    """Accelerators for a group, the jobs to stop, and the cost in accelerator-ms."""

    grants: tuple[Grant, ...]
    victims: tuple[ActiveJob, ...]
    cost_ms: int


def plan_reclaim(
    pool: Pool,
    usable_holder: UsableHolder,
    job_by_id: dict[str, ActiveJob],
    accelerators: int,
    adjacency: Adjacency,
    now_ms: int,
    within: Collection[str] | None = None,
    extra_cost: Callable[[ActiveJob], int] | None = None,
) -> ReclaimPlan | None:
    """Return the cheapest plan that satisfies ``adjacency``, None if there is none.

    ``within`` names the workers to consider, all of them by default. ``extra_cost``
    returns what to add to the cost of stopping a job, in accelerator-milliseconds.
    """
    names = pool.workers_by_name if within is None else within
    considered_workers = [
        pool.workers_by_name[name]
        for name in sorted(names)
        if name in pool.workers_by_name
    ]
    best: ReclaimPlan | None = None
    for workers in _domains(considered_workers, adjacency):
        holder_by_accelerator: dict[Accelerator, str] = {}
        for worker in workers:
            for index in range(worker.size):
                holder = usable_holder(worker, index)
                if holder is not None:
                    holder_by_accelerator[worker.name, index] = holder
        if len(holder_by_accelerator) < accelerators:
            continue
        plan = _plan(holder_by_accelerator, job_by_id, accelerators, now_ms, extra_cost)
        if best is None or plan.cost_ms < best.cost_ms:
            best = plan
    return best


def _domains(
    workers: list[PoolWorker], adjacency: Adjacency
) -> Iterable[list[PoolWorker]]:
    if adjacency is Adjacency.WORKER:
        return [[worker] for worker in workers]
    if adjacency is Adjacency.DATA_CENTRE:
        return [workers]
    workers_by_rack: dict[str, list[PoolWorker]] = {}
    for worker in workers:
        workers_by_rack.setdefault(worker.rack.name, []).append(worker)
    return workers_by_rack.values()


def _plan(
    holder_by_accelerator: dict[Accelerator, str],
    job_by_id: dict[str, ActiveJob],
    accelerators: int,
    now_ms: int,
    extra_cost: Callable[[ActiveJob], int] | None,
) -> ReclaimPlan:
    accelerators_by_holder: dict[str, list[Accelerator]] = {}
    for accelerator, holder in holder_by_accelerator.items():
        accelerators_by_holder.setdefault(holder, []).append(accelerator)
    free = accelerators_by_holder.pop("", [])

    def cost(holder: str) -> int:
        job = job_by_id[holder]
        if job.reclaim_deadline_ms is not None:
            return 0  # it is being stopped anyway
        stop = STOP_COST_MS * job.spec.accelerators
        extra = 0 if extra_cost is None else extra_cost(job)
        return job.lost_accelerator_ms(now_ms) + stop + extra

    by_cost = sorted(
        accelerators_by_holder,
        key=lambda h: (cost(h) / len(accelerators_by_holder[h]), h),
    )
    chosen: list[str] = []
    available = len(free)
    for holder in by_cost:
        if available >= accelerators:
            break
        chosen.append(holder)
        available += len(accelerators_by_holder[holder])
    # A job chosen early may have become redundant by a larger one chosen later.
    for holder in sorted(chosen, key=cost, reverse=True):
        if available - len(accelerators_by_holder[holder]) >= accelerators:
            chosen.remove(holder)
            available -= len(accelerators_by_holder[holder])
    candidates = free + [
        accelerator
        for holder in chosen
        for accelerator in accelerators_by_holder[holder]
    ]
    # Prefer reclaimed accelerators, since other jobs can use the free ones now.
    used = candidates[len(candidates) - accelerators :]
    victims = tuple(job_by_id[holder] for holder in chosen)
    fragmentation = (len(candidates) - accelerators) * FRAGMENTATION_COST_MS
    total = sum(cost(holder) for holder in chosen) + fragmentation
    return ReclaimPlan(_to_grants(used), victims, total)


def _to_grants(accelerators: Iterable[Accelerator]) -> tuple[Grant, ...]:
    indices_by_worker: dict[str, list[int]] = {}
    for worker, index in accelerators:
        indices_by_worker.setdefault(worker, []).append(index)
    return tuple(
        Grant(worker, tuple(sorted(indices)))
        for worker, indices in sorted(indices_by_worker.items())
    )
