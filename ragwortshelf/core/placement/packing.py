"""Finds the workers for one group, given how many accelerators each may give.

Whole workers and racks are left whole: a group on one worker takes the tightest fit,
and a wider group takes the tightest rack and fills broken workers before whole ones.
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

    ``capacity`` says how many accelerators a worker may give to this group. It may
    exceed what is free, when held accelerators can be reclaimed; ``racks`` then
    names the racks to look at, all of them by default.
    """
    looked_at = pool.racks_by_name.values() if racks is None else racks
    if adjacency is Adjacency.WORKER:
        return _on_one_worker(looked_at, capacity, accelerators, policy)
    rack_parts = _in_one_rack(looked_at, capacity, accelerators)
    if rack_parts is not None or adjacency is Adjacency.RACK:
        return rack_parts
    return _across_racks(looked_at, capacity, accelerators)


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
            room = capacity(worker)
            if room < accelerators:
                continue
            free = max(room, worker.open_free)
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
        rooms = [(capacity(w), w) for w in rack.workers_by_name.values()]
        total = sum(room for room, _ in rooms)
        if total < accelerators:
            continue
        key = (total - accelerators, rack.name)
        if best_key is None or key < best_key:
            best, best_key = rooms, key
    return None if best is None else _fill(best, accelerators)


def _across_racks(
    racks: Iterable[PoolRack], capacity: Capacity, accelerators: int
) -> Parts | None:
    rooms = [
        (capacity(worker), worker)
        for rack in sorted(racks, key=lambda r: (r.open_free, r.name))
        for worker in rack.workers_by_name.values()
    ]
    if sum(room for room, _ in rooms) < accelerators:
        return None
    return _fill(rooms, accelerators)


def _fill(rooms: list[tuple[int, PoolWorker]], accelerators: int) -> Parts:
    """Take whole workers for the bulk, and the tightest broken one for the rest."""
    parts: Parts = []
    left = accelerators
    broken_first = sorted(
        ((room, w) for room, w in rooms if room),
        key=lambda item: (item[0] == item[1].size, item[0], item[1].name),
    )
    for room, worker in broken_first:
        if left == 0:
            break
        taken = min(room, left)
        parts.append((worker, taken))
        left -= taken
    return parts
