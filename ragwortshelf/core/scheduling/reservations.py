"""Reservations of room on endpoints for units that wait for it."""

from __future__ import annotations

from .actions import ReservationHold
from .endpoint import Endpoint
from .idle_services import IDLE_WAIT_MAX_MS, IdleServices
from .model import Resources, UnitKey, UnitPhase
from .reclaim import EndpointReclaimPlan
from .start_deadlines import StartDeadlines
from .unit import Unit

__all__ = ["UnitReservations"]

EXCLUSIVE_MAX_MS = 2_700
"""Time for which room is exclusive to a unit. Guaranteed units start within it."""


class _Reservation:
    """Room on endpoints that is reclaimed or awaited for one unit.

    It keeps others out until ``until_ms``. Room reclaimed for a guaranteed unit, or for
    a long-running one that restarts, is exclusive until ``exclusive_until_ms``, and
    other room never.
    """

    __slots__ = (
        "exclusive_until_ms",
        "made_ms",
        "resources_by_id",
        "service",
        "unit",
        "until_ms",
    )

    def __init__(
        self,
        made_ms: int,
        until_ms: int,
        exclusive_until_ms: int,
        unit: Unit,
        service: str,
        resources_by_id: dict[str, Resources],
    ):
        self.made_ms = made_ms
        self.until_ms = until_ms
        self.exclusive_until_ms = exclusive_until_ms
        self.unit = unit
        self.service = service
        self.resources_by_id = resources_by_id

    def limit(self, opening_ms: int) -> None:
        """End the reservation at an opening, or once it is no longer exclusive."""
        end_ms = self.exclusive_until_ms or opening_ms
        self.until_ms = min(self.until_ms, end_ms)

    def is_awaited(self, now_ms: int) -> bool:
        """Whether the owner waits; one that is moved is being stopped at first."""
        return now_ms < self.until_ms and self.unit.phase is UnitPhase.WAITING


class UnitReservations:
    """At most one reservation for each unit, in force until its own deadline.

    On an idle service they end at the next opening (see `IdleServices`), and exclusive
    ones for good once they are no longer exclusive. Those that are not exclusive keep
    no overdue unit out (see `StartDeadlines`). A long-running unit is kept out for a
    short time only however full the service is, as the platform judges its waits alike.
    """

    def __init__(self, idle_services: IdleServices, deadlines: StartDeadlines) -> None:
        self._idle_services = idle_services
        self._deadlines = deadlines
        self._reservation_by_key: dict[UnitKey, _Reservation] = {}
        self._by_endpoint_id: dict[str, dict[UnitKey, _Reservation]] = {}
        self._exclusive_until_ms_by_key: dict[UnitKey, int] = {}
        self._now_ms = 0

    def __len__(self) -> int:
        return len(self._reservation_by_key)

    def begin(self, now_ms: int) -> None:
        """Start a plan, after that of the idle services."""
        self._now_ms = now_ms
        for reservation in self._reservation_by_key.values():
            self._limit(reservation)

    def _limit(self, reservation: _Reservation) -> None:
        """End a reservation at the next opening if its service is idle."""
        service = reservation.service
        opening_ms = self._idle_services.opening_ms(service, self._now_ms)
        if opening_ms is not None:
            reservation.limit(opening_ms)

    def reserve(
        self,
        unit: Unit,
        plan: EndpointReclaimPlan,
        until_ms: int,
        is_exclusive: bool = False,
    ) -> None:
        """Reserve the room of a plan for a unit, replacing its earlier reservation.

        Room stays exclusive for `EXCLUSIVE_MAX_MS` from the first reservation on,
        however often that is replaced, or dropped while there is no plan for the unit.
        """
        exclusive_until_ms = 0
        if is_exclusive:
            exclusive_until_ms = self._exclusive_until_ms_by_key.setdefault(
                unit.key, self._now_ms + EXCLUSIVE_MAX_MS
            )
        self.drop(unit)
        resources_by_id: dict[str, Resources] = {}
        for endpoint in plan.endpoints:
            before = resources_by_id.get(endpoint.id, Resources())
            resources_by_id[endpoint.id] = before.plus(unit.step.occupied)
        reservation = self._reservation_by_key[unit.key] = _Reservation(
            self._now_ms,
            max(until_ms, exclusive_until_ms),
            exclusive_until_ms,
            unit,
            plan.endpoints[0].info.service,
            resources_by_id,
        )
        self._limit(reservation)
        for endpoint_id in resources_by_id:
            by_key = self._by_endpoint_id.setdefault(endpoint_id, {})
            by_key[unit.key] = reservation

    def drop(self, unit: Unit) -> None:
        """Drop the reservation of a unit."""
        self._drop(unit.key)

    def forget(self, unit: Unit) -> None:
        """Drop the reservation of a unit, and when its room stops being exclusive.

        This is for units that are placed, done, or held back. A later reservation of
        the unit counts anew.
        """
        self._drop(unit.key)
        self._exclusive_until_ms_by_key.pop(unit.key, None)

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
            reservation.is_awaited(self._now_ms) and reservation.unit.comes_before(unit)
            for reservation in self._reservation_by_key.values()
        )

    def count_awaited(self) -> int:
        """Return the number of waiting units for which room is reserved."""
        return sum(
            reservation.is_awaited(self._now_ms)
            for reservation in self._reservation_by_key.values()
        )

    def is_held_by(self, unit: Unit) -> bool:
        """Whether room is reserved for a unit."""
        reservation = self._reservation_by_key.get(unit.key)
        return reservation is not None and self._now_ms < reservation.until_ms

    def is_recent(self, unit: Unit, age_ms: int) -> bool:
        """Whether a unit's reservation was made less than ``age_ms`` ago.

        One that is not in force any more is not recent. But exclusive ones are, as they
        are planned anew, with further stops, at this interval.
        """
        reservation = self._reservation_by_key.get(unit.key)
        if reservation is None or self._now_ms - reservation.made_ms >= age_ms:
            return False
        return bool(reservation.exclusive_until_ms) or self.is_held_by(unit)

    def room(self, endpoint: Endpoint, unit: Unit) -> Resources:
        """Return an endpoint's free resources that no reservation denies to a unit."""
        room = endpoint.free
        for key, reservation in self._by_endpoint_id.get(endpoint.id, {}).items():
            if key != unit.key and self._excludes(reservation, unit):
                room = room.plus(reservation.resources_by_id[endpoint.id], -1)
        return room

    def holds_against(self, unit: Unit) -> tuple[ReservationHold, ...]:
        """Return the reservations that keep a unit out, those that end last first."""
        holds = [
            ReservationHold(
                key, reservation.until_ms, self._now_ms < reservation.exclusive_until_ms
            )
            for key, reservation in self._reservation_by_key.items()
            if key != unit.key and self._excludes(reservation, unit)
        ]
        return tuple(sorted(holds, key=lambda hold: -hold.until_ms))

    def _excludes(self, reservation: _Reservation, unit: Unit) -> bool:
        """Whether a unit may not use reserved room.

        Exclusive room is closed to all other units; earlier guaranteed units have
        reservations of their own. Other room is open to units that come before the
        owner in the order of the plan.
        """
        if self._now_ms >= reservation.until_ms:
            return False
        if self._now_ms < reservation.exclusive_until_ms:
            return True
        waited_ms = self._now_ms - unit.waiting_since_ms
        if unit.step.is_long_running and waited_ms >= IDLE_WAIT_MAX_MS:
            return False
        if self._deadlines.is_overdue(unit, reservation.service):
            return False
        return reservation.unit.comes_before(unit)
