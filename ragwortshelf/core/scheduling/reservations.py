"""Room that is kept for units until they fit into it."""

from __future__ import annotations

from .fleet import Endpoint
from .model import Resources, UnitKey
from .reclaim import Reclaim
from .work import Work

__all__ = ["Reservations"]


class _Reservation:
    """Room that is reclaimed or awaited for one unit."""

    __slots__ = ("is_guaranteed", "made_ms", "order", "resources_by_id")

    def __init__(
        self,
        made_ms: int,
        order: tuple,
        is_guaranteed: bool,
        resources_by_id: dict[str, Resources],
    ):
        self.made_ms = made_ms
        self.order = order
        self.is_guaranteed = is_guaranteed
        self.resources_by_id = resources_by_id

    def binds(self, work: Work) -> bool:
        """Whether a unit must leave this room alone.

        What is reclaimed for a guarantee is open to no unit but earlier guaranteed
        ones, which have reservations of their own; other room is open to all that is
        more urgent.
        """
        return self.is_guaranteed or self.order <= work.order


class Reservations:
    """At most one reservation for each unit."""

    def __init__(self) -> None:
        self._by_unit: dict[UnitKey, _Reservation] = {}

    def __len__(self) -> int:
        return len(self._by_unit)

    def put(self, work: Work, plan: Reclaim, now_ms: int, is_guaranteed: bool) -> None:
        """Keep the room of a plan for a unit, in place of what it had."""
        resources_by_id: dict[str, Resources] = {}
        for endpoint in plan.endpoints:
            before = resources_by_id.get(endpoint.id, Resources())
            resources_by_id[endpoint.id] = before.plus(work.step.occupied)
        self._by_unit[work.key] = _Reservation(
            now_ms, work.order, is_guaranteed, resources_by_id
        )

    def forget(self, work: Work) -> None:
        """Give up what is kept for a unit."""
        self._by_unit.pop(work.key, None)

    def is_younger(self, work: Work, age_ms: int, now_ms: int) -> bool:
        """Whether a unit's reservation was made less than ``age_ms`` ago."""
        reservation = self._by_unit.get(work.key)
        return reservation is not None and now_ms - reservation.made_ms < age_ms

    def room(self, endpoint: Endpoint, work: Work) -> Resources:
        """Return what of an endpoint is free and not kept from a unit."""
        room = endpoint.free
        for unit, reservation in self._by_unit.items():
            if unit == work.key or not reservation.binds(work):
                continue
            reserved = reservation.resources_by_id.get(endpoint.id)
            if reserved is not None:
                room = room.plus(reserved, -1)
        return room
