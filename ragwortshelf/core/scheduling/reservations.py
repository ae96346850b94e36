"""Reservations of room on endpoints for units that wait for it."""

from __future__ import annotations

from .endpoint import Endpoint
from .model import Resources, UnitKey, UnitPhase
from .reclaim import EndpointReclaimPlan
from .unit import Unit

__all__ = ["UnitReservations"]


class _Reservation:
    """Room on endpoints that is reclaimed or awaited for one unit.

    Room reclaimed for a guaranteed unit, or for a long-running one that restarts, is
    exclusive.
    """

    __slots__ = ("is_exclusive", "made_ms", "resources_by_id", "unit")

    def __init__(
        self,
        made_ms: int,
        unit: Unit,
        is_exclusive: bool,
        resources_by_id: dict[str, Resources],
    ):
        self.made_ms = made_ms
        self.unit = unit
        self.is_exclusive = is_exclusive
        self.resources_by_id = resources_by_id

    @property
    def is_awaited(self) -> bool:
        """Whether the owner waits; one that is moved is being stopped at first."""
        return self.unit.phase is UnitPhase.WAITING

    def excludes(self, unit: Unit) -> bool:
        """Whether a unit may not use this room.

        Exclusive room is closed to all other units; earlier guaranteed units have
        reservations of their own. Other room is open to units that come before the
        owner in the order of the plan.
        """
        return self.is_exclusive or self.unit.order_key <= unit.order_key


class UnitReservations:
    """At most one reservation for each unit."""

    def __init__(self) -> None:
        self._reservation_by_key: dict[UnitKey, _Reservation] = {}
        self._by_endpoint_id: dict[str, dict[UnitKey, _Reservation]] = {}

    def __len__(self) -> int:
        return len(self._reservation_by_key)

    def reserve(
        self, unit: Unit, plan: EndpointReclaimPlan, now_ms: int, is_exclusive: bool
    ) -> None:
        """Reserve the room of a plan for a unit, replacing its earlier reservation."""
        self.drop(unit)
        resources_by_id: dict[str, Resources] = {}
        for endpoint in plan.endpoints:
            before = resources_by_id.get(endpoint.id, Resources())
            resources_by_id[endpoint.id] = before.plus(unit.step.occupied)
        reservation = self._reservation_by_key[unit.key] = _Reservation(
            now_ms, unit, is_exclusive, resources_by_id
        )
        for endpoint_id in resources_by_id:
            by_key = self._by_endpoint_id.setdefault(endpoint_id, {})
            by_key[unit.key] = reservation

    def drop(self, unit: Unit) -> None:
        """Drop the reservation of a unit."""
        self._drop(unit.key)

    def drop_on(self, endpoint_id: str) -> None:
        """Drop all reservations that include an endpoint."""
        for key in list(self._by_endpoint_id.get(endpoint_id, ())):
            self._drop(key)

    def _drop(self, unit_key: UnitKey) -> None:
        reservation = self._reservation_by_key.pop(unit_key, None)
        if reservation is None:
            return
        for endpoint_id in reservation.resources_by_id:
            by_key = self._by_endpoint_id[endpoint_id]
            del by_key[unit_key]
            if not by_key:
                del self._by_endpoint_id[endpoint_id]

    def count_before(self, unit: Unit) -> int:
        """Return the waiting units with room that come before a unit in the order."""
        return sum(
            reservation.is_awaited and reservation.unit.order_key <= unit.order_key
            for reservation in self._reservation_by_key.values()
        )

    def count_awaited(self) -> int:
        """Return the number of waiting units for which room is reserved."""
        return sum(
            reservation.is_awaited for reservation in self._reservation_by_key.values()
        )

    def is_held_by(self, unit: Unit) -> bool:
        """Whether room is reserved for a unit."""
        return unit.key in self._reservation_by_key

    def is_recent(self, unit: Unit, age_ms: int, now_ms: int) -> bool:
        """Whether a unit's reservation was made less than ``age_ms`` ago."""
        reservation = self._reservation_by_key.get(unit.key)
        return reservation is not None and now_ms - reservation.made_ms < age_ms

    def room(self, endpoint: Endpoint, unit: Unit) -> Resources:
        """Return an endpoint's free resources that no reservation denies to a unit."""
        room = endpoint.free
        for key, reservation in self._by_endpoint_id.get(endpoint.id, {}).items():
            if key != unit.key and reservation.excludes(unit):
                room = room.plus(reservation.resources_by_id[endpoint.id], -1)
        return room
