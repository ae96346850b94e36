"""Making room for units that do not fit: what all ways of it have in common."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from .availability import may_be_stopped
from .endpoint import Endpoint
from .endpoint_selection import EndpointSelector
from .lifecycle import UnitLifecycle
from .model import Resources, UnitPhase
from .reclaim import EndpointReclaimPlan, ReclaimableUnit, StopCost, plan_reclaim
from .reservations import UnitReservations
from .stop_costs import StopCosts
from .task_placement import TaskPlacement
from .unit import Unit

__all__ = ["URGENT_RETRY_MS", "RoomMaker"]

URGENT_RETRY_MS = 400
"""Age at which room that is made for an urgent unit is planned again.

Guaranteed units must start within 2.7 s. The new plan counts the stops in progress as
done, so slow stops cause no further ones.
"""


class RoomMaker(ABC):
    """One way to make room for a unit, by reservations and by stopping other units.

    ``begin`` starts a plan. ``costs`` are shared by all ways.
    """

    def __init__(
        self,
        scheduler: UnitLifecycle,
        reservations: UnitReservations,
        selector: EndpointSelector,
        costs: StopCosts,
    ):
        self._scheduler = scheduler
        self._reservations = reservations
        self._selector = selector
        self._costs = costs
        self._now_ms = 0
        self._wall_ms = 0

    def begin(self, now_ms: int, wall_ms: int) -> None:
        """Start a plan."""
        self._now_ms = now_ms
        self._wall_ms = wall_ms

    @abstractmethod
    def make_room(self, unit: Unit) -> bool:
        """Have room made for a unit; returns whether it is to wait for that room."""

    def _is_planned(self, unit: Unit, age_max_ms: int) -> bool:
        """Whether room was planned for a unit so recently that it is waited for."""
        return self._reservations.is_recent(unit, age_max_ms)

    def _stop_all(self, victims: Sequence[Unit], reason: str, claimant: Unit) -> None:
        for victim in victims:
            # An earlier victim may have used up the unavailability its step allows.
            if self._may_stop(victim):
                self._scheduler.stop_unit(victim, reason, self._now_ms, claimant)

    def _plan_reclaim(
        self,
        unit: Unit,
        candidates: list[Endpoint],
        reclaimable: ReclaimableUnit,
        cost: StopCost,
    ) -> EndpointReclaimPlan | None:
        return plan_reclaim(
            unit.step,
            unit.count,
            candidates,
            lambda endpoint: self._room_after_stops(endpoint, unit),
            reclaimable,
            cost,
        )

    def _may_stop(self, holder: Unit) -> bool:
        return may_be_stopped(holder, self._scheduler.unit_by_key)

    def _stoppable_holder(
        self, placement: TaskPlacement, claimant: Unit
    ) -> Unit | None:
        """Return a placement's unit if it may be stopped for the claimant, else None.

        Long-running units are stopped for units of priority 0 only.
        """
        holder = self._placed_holder(placement)
        if holder is None or not self._may_stop(holder):
            return None
        if holder.step.is_long_running and claimant.priority > 0:
            return None
        return holder

    def _less_urgent_holder(
        self, placement: TaskPlacement, claimant: Unit
    ) -> Unit | None:
        """Do the same, for units of any priority but 0 alone."""
        holder = self._stoppable_holder(placement, claimant)
        return holder if holder is not None and holder.priority > 0 else None

    def _placed_holder(self, placement: TaskPlacement) -> Unit | None:
        holder = self._scheduler.unit_by_key.get(placement.unit_key)
        is_placed = holder is not None and holder.phase is UnitPhase.PLACED
        return holder if is_placed else None

    def _room_after_stops(self, endpoint: Endpoint, unit: Unit) -> Resources:
        """Return the room for a unit once the stops in progress are done."""
        room = self._reservations.room(endpoint, unit)
        for placement in endpoint.placement_by_task.values():
            holder = self._scheduler.unit_by_key.get(placement.unit_key)
            if holder is None or holder.phase is not UnitPhase.PLACED:
                room = room.plus(placement.occupied)
        return room
