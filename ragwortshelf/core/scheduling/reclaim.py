"""Selection of the units to stop so that another unit, the claimant, can start."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .endpoint import Endpoint
from .model import Resources, Step, UnitKey
from .task_placement import TaskPlacement
from .unit import Unit

__all__ = [
    "AvailableRoom",
    "EndpointReclaimPlan",
    "ReclaimableUnit",
    "StopCost",
    "plan_reclaim",
]

ReclaimableUnit = Callable[[TaskPlacement], Unit | None]
"""Returns the unit of a placement if its room can be reclaimed, else None."""

StopCost = Callable[[Unit], float]
"""Returns the cost of stopping a unit, or of waiting for its end."""

AvailableRoom = Callable[[Endpoint], Resources]
"""Returns the resources of an endpoint that are free for the claimant."""


@dataclass(frozen=True, slots=True)
class EndpointReclaimPlan:
    """Endpoints for each task of the claimant, and the units to stop for it."""

    endpoints: tuple[Endpoint, ...]
    victims: tuple[Unit, ...]


def plan_reclaim(
    step: Step,
    count: int,
    candidates: Sequence[Endpoint],
    room: AvailableRoom,
    reclaimable: ReclaimableUnit,
    cost: StopCost,
) -> EndpointReclaimPlan | None:
    """Return the cheapest plan found to make room for ``count`` tasks, or None.

    A rack-sensitive step is kept on one rack if room can be made on any single rack.
    """
    if step.is_rack_sensitive and count > 1:
        by_rack: dict[str, list[Endpoint]] = defaultdict(list)
        for endpoint in candidates:
            by_rack[endpoint.rack].append(endpoint)
        plans = [
            _ReclaimSearch(step, count, endpoints, room, reclaimable, cost).run()
            for endpoints in by_rack.values()
        ]
        feasible = [plan for plan in plans if plan is not None]
        if feasible:
            return min(feasible, key=lambda plan: sum(map(cost, plan.victims)))
    return _ReclaimSearch(step, count, candidates, room, reclaimable, cost).run()


class _ReclaimSearch:
    """Greedy search that takes the cheapest next slot until the claimant fits."""

    def __init__(self, step, count, candidates, room, reclaimable, cost):
        self._step = step
        self._count = count
        self._reclaimable = reclaimable
        self._cost = cost
        self._cap = step.tasks_per_endpoint_max or count
        self._candidates = candidates
        self._room_by_id = {e.id: room(e) for e in candidates}
        self._chosen_count_by_id: dict[str, int] = defaultdict(int)
        self._victim_by_key: dict[UnitKey, Unit] = {}
        self._chosen: list[Endpoint] = []

    def run(self) -> EndpointReclaimPlan | None:
        """Return the plan, or None if the tasks do not fit in any case."""
        offer_by_id = {e.id: self._cheapest_slot(e) for e in self._candidates}
        endpoint_by_id = {e.id: e for e in self._candidates}
        while len(self._chosen) < self._count:
            best_id = min(
                (i for i, offer in offer_by_id.items() if offer is not None),
                key=lambda i: offer_by_id[i][0],
                default=None,
            )
            if best_id is None:
                return None
            changed = {best_id}
            for unit in offer_by_id[best_id][1]:
                changed |= self._add_victim(unit)
            self._choose(endpoint_by_id[best_id])
            for endpoint_id in changed:
                offer_by_id[endpoint_id] = self._cheapest_slot(
                    endpoint_by_id[endpoint_id]
                )
        return EndpointReclaimPlan(
            tuple(self._chosen), tuple(self._victim_by_key.values())
        )

    def _choose(self, endpoint: Endpoint) -> None:
        self._chosen.append(endpoint)
        self._chosen_count_by_id[endpoint.id] += 1
        room = self._room_by_id[endpoint.id]
        self._room_by_id[endpoint.id] = room.plus(self._step.occupied, -1)

    def _add_victim(self, unit: Unit) -> set[str]:
        """Add a unit's room to its endpoints; returns the ids of those that changed."""
        self._victim_by_key[unit.key] = unit
        changed = set()
        for placement in unit.placements:
            room = self._room_by_id.get(placement.endpoint_id)
            if room is not None:
                self._room_by_id[placement.endpoint_id] = room.plus(placement.occupied)
                changed.add(placement.endpoint_id)
        return changed

    def _cheapest_slot(self, endpoint: Endpoint):
        """Return the cost of one more task here and the units to stop for it, or None.

        The cost is paired with the endpoint's free accelerators, so that of equal costs
        the fuller endpoint is preferred.
        """
        if self._chosen_count_by_id[endpoint.id] >= self._cap:
            return None
        room = self._room_by_id[endpoint.id]
        if self._fits(endpoint, room):
            return (0.0, endpoint.free_gpus), ()
        victims = self._cheapest_victims(endpoint, room)
        if victims is None:
            return None
        return (
            sum(self._cost(unit) + 1 for unit in victims),
            endpoint.free_gpus,
        ), victims

    def _fits(self, endpoint: Endpoint, room: Resources) -> bool:
        """Whether one more task fits, and nothing stays over the capacity.

        Elsewhere a resource that is not requested may be reserved beyond what is free.
        """
        if endpoint.is_overcommitted and not room.is_nonnegative:
            return False
        return self._step.occupied.times_in(room) > 0

    def _cheapest_victims(self, endpoint: Endpoint, room) -> list[Unit] | None:
        """Return the units to stop so that one more task fits, or None.

        Units are selected, cheapest first, until the task fits; then unneeded ones are
        dropped, costliest first.
        """
        selected = []
        for unit, occupied in self._reclaimable_units(endpoint):
            selected.append((unit, occupied))
            room = room.plus(occupied)
            if self._fits(endpoint, room):
                break
        else:
            return None
        for unit, occupied in sorted(selected, key=lambda row: -self._cost(row[0])):
            without = room.plus(occupied, -1)
            if self._fits(endpoint, without):
                room = without
                selected.remove((unit, occupied))
        return [unit for unit, _ in selected]

    def _reclaimable_units(self, endpoint: Endpoint):
        """Return units with the resources that they occupy here, cheapest first.

        The order is by cost per accelerator.
        """
        occupied_by_key: dict[UnitKey, Resources] = {}
        unit_by_key: dict[UnitKey, Unit] = {}
        for placement in endpoint.placements():
            unit = self._reclaimable(placement)
            if unit is None or unit.key in self._victim_by_key:
                continue
            unit_by_key[unit.key] = unit
            before = occupied_by_key.get(unit.key, Resources())
            occupied_by_key[unit.key] = before.plus(placement.occupied)
        rows = [(unit_by_key[key], occupied_by_key[key]) for key in unit_by_key]
        rows.sort(key=lambda row: (self._cost(row[0]) + 1) / (1 + row[1].gpus))
        return rows
