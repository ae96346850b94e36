"""Room for urgent units on endpoints that are not too slow for them."""

from __future__ import annotations

from functools import partial

from .reclaim import EndpointReclaimPlan
from .room_making import URGENT_RETRY_MS, RoomMaker
from .stop_costs import PREEMPTION_LOSS_SHARE, STOP_MAX_MS
from .unit import Unit

__all__ = ["FastRoomMaker"]

FAST_ROOM_WAIT_MS = 1_200
"""Time for which an urgent unit waits for room on endpoints that are not too slow, and
then starts on any: a stop, and the orders before and after it."""


class FastRoomMaker(RoomMaker):
    """Stops less urgent units on faster endpoints than those that are free."""

    def make_room(self, unit: Unit) -> bool:
        """Have room made on endpoints that are not too slow for an urgent unit.

        It is not tried for long, since the unit may start on slow endpoints at once.
        """
        until_ms = unit.waiting_since_ms + FAST_ROOM_WAIT_MS
        if self._now_ms > until_ms:
            return False
        if self._is_planned(unit, URGENT_RETRY_MS):
            return True
        plan = self.plan(unit)
        if plan is None:
            return False
        self._reservations.reserve(unit, plan, until_ms)
        self._stop_all(plan.victims, "preempted for speed", unit)
        return True

    def plan(self, unit: Unit) -> EndpointReclaimPlan | None:
        """Plan room on endpoints that are not too slow, or return None.

        None if that loses more than the unit's own work, or no endpoint is too slow.
        """
        everywhere = self._selector.reclaim_candidates(unit)
        candidates = self._selector.fast_enough(unit, everywhere, STOP_MAX_MS)
        if not candidates or len(candidates) == len(everywhere):
            return None
        reclaimable = partial(self._less_urgent_holder, claimant=unit)
        plan = self._plan_reclaim(unit, candidates, reclaimable, self._costs.stop_cost)
        if plan is None:
            return None
        lost_core_ms = sum(map(self._costs.lost_core_ms, plan.victims))
        lost_max_core_ms = PREEMPTION_LOSS_SHARE * unit.cores * unit.estimate_ms
        return plan if lost_core_ms <= lost_max_core_ms else None
