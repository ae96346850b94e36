"""Best-fit packing of one group, given how many accelerators each worker can provide.

It keeps workers and racks entirely free where possible: a group on one worker takes the
worker with the best score, and a wider group takes the rack with the best fit and fills
partially used workers before free ones.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..model import Adjacency
from .policy import PlacementPolicy
from .pool import Pool, PoolRack, PoolWorker

__all__ = ["find_group"]

Parts = list[tuple[PoolWorker, int]]
Capacity = Callable[[PoolWorker], int]


def find_group(
    pool: Pool,
    capacity: Capacity,
    accelerators: int,
    adjacency: Adjacency,
    policy: PlacementPolicy,
    racks: Iterable[PoolRack] | None = None,
) -> Parts | None:
    """Return (worker, count) parts for the group, or None if it does not fit.

    ``capacity`` returns how many accelerators a worker can provide for this group,
    which exceeds the number of free ones where held ones can be reclaimed. ``racks``
    are the racks to search, all of them by default.
    """
    candidates = pool.racks_by_name.values() if racks is None else racks
    if adjacency is Adjacency.WORKER:
        return _on_one_worker(candidates, capacity, accelerators, policy)
    rack_parts = _in_one_rack(candidates, capacity, accelerators)
    if rack_parts is not None or adjacency is Adjacency.RACK:
        return rack_parts
    return _across_racks(candidates, capacity, accelerators)


def _on_one_worker(
    racks: Iterable[PoolRack],
    capacity: Capacity,
    accelerators: int,
    policy: PlacementPolicy,
) -> Parts | None:
    best = None
    best_key = None
    for rack in racks:
        for worker in rack.workers_by_name.values():
            available = capacity(worker)
            if available < accelerators:
                continue
            free = max(available, worker.open_free)
            score = policy.place_score(free, accelerators, worker.size)
            key = (score, rack.open_free, worker.name)
            if best_key is None or key < best_key:
                best, best_key = worker, key
    return None if best is None else [(best, accelerators)]


def _in_one_rack(
    racks: Iterable[PoolRack], capacity: Capacity, accelerators: int
) -> Parts | None:
    best = None
    best_key = None
    for rack in racks:
        capacities = [(capacity(w), w) for w in rack.workers_by_name.values()]
        total = sum(available for available, _ in capacities)
        if total < accelerators:
            continue
        key = (total - accelerators, rack.name)
        if best_key is None or key < best_key:
            best, best_key = capacities, key
    return None if best is None else _fill(best, accelerators)


def _across_racks(
    racks: Iterable[PoolRack], capacity: Capacity, accelerators: int
) -> Parts | None:
    capacities = [
        (capacity(worker), worker)
        for rack in sorted(racks, key=lambda r: (r.open_free, r.name))
        for worker in rack.workers_by_name.values()
    ]
    if sum(available for available, _ in capacities) < accelerators:
        return None
    return _fill(capacities, accelerators)


def _fill(capacities: list[tuple[int, PoolWorker]], accelerators: int) -> Parts:
    """Take accelerators from partially used workers first, smallest capacity first."""
    parts: Parts = []
    remaining = accelerators
    partially_used_first = sorted(
        ((available, w) for available, w in capacities if available),
        key=lambda item: (item[0] == item[1].size, item[0], item[1].name),
    )
    for available, worker in partially_used_first:
        if remaining == 0:
            break
        count = min(available, remaining)
        parts.append((worker, count))
        remaining -= count
    return parts
