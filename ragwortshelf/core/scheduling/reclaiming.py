"""Reclaiming of room that is guaranteed to a unit's organisation."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from .endpoint_selection import EndpointSelector
from .fast_room import FastRoomMaker
from .lifecycle import UnitLifecycle
from .reclaim import EndpointReclaimPlan
from .reservations import UnitReservations
from .room_making import URGENT_RETRY_MS, RoomMaker
from .stop_costs import StopCosts
from .task_placement import TaskPlacement
from .unit import Unit

__all__ = ["GuaranteeReclaimer"]


class GuaranteeReclaimer(RoomMaker):
    """Stops borrowers for units that may reclaim their room.

    ``find_over_guarantee`` returns the organisations whose urgent units occupy more
    than their guarantee. These units are stopped only if no other victims suffice.
    """

    def __init__(
        self,
        scheduler: UnitLifecycle,
        reservations: UnitReservations,
        selector: EndpointSelector,
        costs: StopCosts,
        fast_room_maker: FastRoomMaker,
        find_over_guarantee: Callable[[], set[str]],
    ):
        super().__init__(scheduler, reservations, selector, costs)
        self._fast_room_maker = fast_room_maker
        self._find_over_guarantee = find_over_guarantee

    def make_room(self, unit: Unit) -> bool:
        """Stop borrowers, those on endpoints that are fast enough if there are any."""
        if self._is_planned(unit, URGENT_RETRY_MS):
            return True
        # Urgent units may stop long-running ones that are less urgent. If these could
        # stop them in turn, both would begin again and again.
        over_guarantee = self._find_over_guarantee() if unit.priority == 0 else set()
        candidates = self._selector.reclaim_candidates(unit)
        less_urgent = partial(self._less_urgent_holder, claimant=unit)

        def borrowed(placement: TaskPlacement) -> Unit | None:
            holder = self._stoppable_holder(placement, unit)
            if holder is None:
                return None
            if holder.priority > 0:
                return holder
            if holder.step.is_long_running and not unit.is_guaranteed:
                # It would reclaim the room in turn when it restarts.
                return None
            return holder if holder.job.spec.organisation in over_guarantee else None

        cost = self._costs.stop_cost
        plan = self._fast_room_maker.plan(unit)
        if plan is None or _leaves_rack(unit, plan):
            plan = self._plan_reclaim(unit, candidates, less_urgent, cost)
        if over_guarantee and (plan is None or _leaves_rack(unit, plan)):
            # The selector starts a rack-sensitive unit on one rack only, wherever a
            # rack could hold it. A plan over several racks may be of no use to it.
            wider = self._plan_reclaim(unit, candidates, borrowed, cost)
            if plan is None or (wider is not None and not _leaves_rack(unit, wider)):
                plan = wider
        if plan is None:
            self._reservations.drop(unit)
            return False
        until_ms = self._now_ms + URGENT_RETRY_MS
        self._reservations.reserve(unit, plan, until_ms, is_exclusive=True)
        self._stop_all(plan.victims, "reclaimed", unit)
        return True


def _leaves_rack(unit: Unit, plan: EndpointReclaimPlan) -> bool:
    """Whether a plan puts a rack-sensitive unit on more than one rack."""
    if not unit.step.is_rack_sensitive:
        return False
    return len({endpoint.rack for endpoint in plan.endpoints}) > 1
