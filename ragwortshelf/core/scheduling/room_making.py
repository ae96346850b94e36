"""Making room for units that do not fit: reclaiming, reservations and preemption."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from .availability import may_be_stopped
from .endpoint import Endpoint
from .endpoint_selection import EndpointSelector
from .lifecycle import UnitLifecycle
from .model import Resources, UnitPhase
from .reclaim import EndpointReclaimPlan, ReclaimableUnit, StopCost, plan_reclaim
from .reservations import UnitReservations
from .share_accounts import ShareAccounts
from .stop_costs import STOP_MAX_MS, StopCosts
from .task_placement import TaskPlacement
from .unit import CORES_PER_GPU, Unit

__all__ = ["RoomMaker"]

RESERVATION_RETRY_MS = 1_500
"""Age at which the reservation of a unit that still waits is planned again.

A stop takes at most 0.9 s in the supported deployments; the rest allows for lost
orders.
"""

GUARANTEE_RETRY_MS = 400
"""Age at which the reservation of a unit that reclaims room is planned again.

Guaranteed units must start within 2.7 s. The new plan counts the stops in progress as
done, so slow stops cause no further ones.
"""

FAST_ROOM_WAIT_MS = 1_200
"""Time for which an urgent unit waits for room on endpoints that are not too slow, and
then starts on any: a stop, and the orders before and after it."""

WAITING_RESERVATIONS_MAX = 3
"""Number of reservations at which no other unit may reserve room that it must wait for.
Each keeps smaller units out, so only the first units in the queue get one."""

CHEAP_STOP_WAIT_MS = 1_000
"""Checkpointing units are stopped for a waiting unit once the rest of its room becomes
free by itself within this time; a stop takes about as long."""

PREEMPTION_LOSS_SHARE = 1.0
"""Computation that may be lost so that an urgent unit is on time, as a share of the
unit's own. An urgent job on time is worth about four times what its computation costs
if lost. But a loss of more than its own would make as much other work late."""

SLOW_ENDPOINT_SHARE = 0.25
"""Extra run time on a slow endpoint, as a share of the estimate; the speeds of sound
endpoints differ by a quarter either way."""


class RoomMaker:
    """Reserves room for units that wait, and stops other units to make room for them.

    ``begin`` starts a plan.
    """

    def __init__(
        self,
        scheduler: UnitLifecycle,
        reservations: UnitReservations,
        selector: EndpointSelector,
        accounts: ShareAccounts,
    ):
        self._scheduler = scheduler
        self._reservations = reservations
        self._selector = selector
        self._accounts = accounts
        self._costs = StopCosts(accounts)
        self._now_ms = 0
        self._wall_ms = 0

    def begin(self, now_ms: int, wall_ms: int) -> None:
        """Start a plan."""
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._costs.begin(now_ms, wall_ms)

    def may_reclaim(self, unit: Unit) -> bool:
        """Whether the room last reclaimed for a unit is too old to wait for it."""
        return not self._reservations.is_recent(unit, GUARANTEE_RETRY_MS, self._now_ms)

    def reclaim(self, unit: Unit, over_guarantee: set[str]) -> None:
        """Stop borrowers for a unit that may reclaim its room.

        ``over_guarantee`` are the organisations whose urgent units occupy more than
        their guarantee. These units are stopped only if no other victims suffice.
        """
        candidates = self._selector.reclaim_candidates(unit)
        self._reservations.drop(unit)

        def less_urgent(placement: TaskPlacement) -> Unit | None:
            holder = self._stoppable_holder(placement, unit)
            return holder if holder is not None and holder.priority > 0 else None

        def borrowed(placement: TaskPlacement) -> Unit | None:
            holder = self._stoppable_holder(placement, unit)
            if holder is None:
                return None
            is_borrowed = (
                holder.priority > 0 or holder.job.spec.organisation in over_guarantee
            )
            return holder if is_borrowed else None

        cost = self._costs.stop_cost
        plan = self._plan_fast_room(unit, less_urgent)
        if plan is None or _leaves_rack(unit, plan):
            plan = self._plan_reclaim(unit, candidates, less_urgent, cost)
        if over_guarantee and (plan is None or _leaves_rack(unit, plan)):
            # The selector starts a rack-sensitive unit on one rack only, wherever a
            # rack could hold it. A plan over several racks may be of no use to it.
            wider = self._plan_reclaim(unit, candidates, borrowed, cost)
            if plan is None or (wider is not None and not _leaves_rack(unit, wider)):
                plan = wider
        if plan is None:
            return
        self._reserve(unit, plan, is_exclusive=True)
        self._stop_all(plan.victims, "reclaimed", unit)

    def make_fast_room(self, unit: Unit) -> bool:
        """Have room made for an urgent unit on endpoints that are not too slow for it.

        Returns whether it waits for that room. It is not tried for long, since the unit
        may start on slow endpoints at once.
        """
        if self._now_ms - unit.waiting_since_ms > FAST_ROOM_WAIT_MS:
            return False
        if not self.may_reclaim(unit):
            return True

        def less_urgent(placement: TaskPlacement) -> Unit | None:
            holder = self._stoppable_holder(placement, unit)
            return holder if holder is not None and holder.priority > 0 else None

        plan = self._plan_fast_room(unit, less_urgent)
        if plan is None:
            return False
        self._reserve(unit, plan)
        self._stop_all(plan.victims, "preempted for speed", unit)
        return True

    def _plan_fast_room(
        self, unit: Unit, reclaimable: ReclaimableUnit
    ) -> EndpointReclaimPlan | None:
        """Plan room on endpoints that are not too slow, or return None.

        None if that loses more than the unit's own work, or no endpoint is too slow.
        """
        everywhere = self._selector.reclaim_candidates(unit)
        candidates = self._selector.fast_enough(unit, everywhere, STOP_MAX_MS)
        if not candidates or len(candidates) == len(everywhere):
            return None
        plan = self._plan_reclaim(unit, candidates, reclaimable, self._costs.stop_cost)
        if plan is None:
            return None
        lost_core_ms = sum(map(self._costs.lost_core_ms, plan.victims))
        lost_max_core_ms = PREEMPTION_LOSS_SHARE * unit.cores * unit.estimate_ms
        return plan if lost_core_ms <= lost_max_core_ms else None

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

    def _reserve(
        self, unit: Unit, plan: EndpointReclaimPlan, is_exclusive: bool = False
    ) -> None:
        self._reservations.reserve(unit, plan, self._now_ms, is_exclusive)

    def keep_free(self, unit: Unit, endpoints: Sequence[Endpoint]) -> None:
        """Reserve free room for a unit that is stopped in order to start there."""
        plan = EndpointReclaimPlan(tuple(endpoints), ())
        self._reserve(unit, plan, is_exclusive=True)

    def plan_reservation(self, unit: Unit) -> None:
        """Reserve the room that becomes free soonest, to keep smaller units out of it.

        Less urgent units that save checkpoints are stopped for it once the rest of the
        room is about to be free. Others are preempted if the loss is small enough.
        """
        if self._reservations.is_recent(unit, RESERVATION_RETRY_MS, self._now_ms):
            return
        self._reservations.drop(unit)
        if self._count_reservations(unit) >= WAITING_RESERVATIONS_MAX:
            return
        candidates = self._selector.reclaim_candidates(unit)
        plan = self._plan_reclaim(
            unit,
            candidates,
            self._placed_holder,
            lambda victim: self._wait_ms(victim, unit),
        )
        if plan is None:
            return
        lost_max_core_ms = self._lost_max_core_ms(unit, plan)
        if lost_max_core_ms > 0 and self._preempt(unit, candidates, lost_max_core_ms):
            return
        self._reserve(unit, plan)
        self._stop_cheap_victims(unit, plan)

    def _count_reservations(self, unit: Unit) -> int:
        """Return how many reservations keep a unit from one of its own.

        While more is asked than there is, and for a unit that starves, only those of
        units before it count. Others renew theirs for as long as they wait, and would
        keep urgent units from having room made.
        """
        if self._accounts.is_contended or unit.is_starving(self._now_ms):
            return self._reservations.count_before(unit)
        return self._reservations.count_awaited()

    def _stop_cheap_victims(self, unit: Unit, plan: EndpointReclaimPlan) -> None:
        cheap, rest = [], []
        for victim in plan.victims:
            (cheap if self._is_cheap_to_stop(victim, unit) else rest).append(victim)
        wait_ms = max(map(self._costs.remaining_ms, rest), default=0)
        if wait_ms <= CHEAP_STOP_WAIT_MS:
            self._stop_all(cheap, "yields", unit)

    def _lost_max_core_ms(self, unit: Unit, plan: EndpointReclaimPlan) -> float:
        """Return how much computation may be lost so that a unit need not wait."""
        wait_ms = max((self._wait_ms(v, unit) for v in plan.victims), default=0)
        lost_max_core_ms = self._idle_core_ms(unit, plan, wait_ms)
        if unit.priority == 0 and self._would_be_late(unit, wait_ms):
            lost_max_core_ms += PREEMPTION_LOSS_SHARE * unit.cores * unit.estimate_ms
        return lost_max_core_ms

    def _would_be_late(self, unit: Unit, wait_ms: float) -> bool:
        """Whether waiting makes a unit late that can still be on time."""
        if unit.is_late(self._wall_ms):
            return False
        slow_ms = SLOW_ENDPOINT_SHARE * unit.estimate_ms
        return self._wall_ms + wait_ms + slow_ms > unit.latest_start_wall_ms

    def _idle_core_ms(
        self, unit: Unit, plan: EndpointReclaimPlan, wait_ms: float
    ) -> float:
        """Return the computation forgone while a unit's free accelerators stay idle.

        The time that a stop takes is not counted, since a preemption takes it as well.
        """
        free_by_id = {endpoint.id: endpoint.free_gpus for endpoint in plan.endpoints}
        tasks_by_id = Counter(endpoint.id for endpoint in plan.endpoints)
        gpus_per_task = unit.step.request.gpus
        idle_gpus = sum(
            max(0, min(free_by_id[endpoint_id], gpus_per_task * tasks))
            for endpoint_id, tasks in tasks_by_id.items()
        )
        return CORES_PER_GPU * idle_gpus * max(0.0, wait_ms - CHEAP_STOP_WAIT_MS)

    def _preempt(
        self, unit: Unit, candidates: list[Endpoint], lost_max_core_ms: float
    ) -> bool:
        """Stop less urgent units if no more than ``lost_max_core_ms`` is lost by it."""

        def reclaimable(placement: TaskPlacement) -> Unit | None:
            holder = self._stoppable_holder(placement, unit)
            is_less_urgent = holder is not None and holder.priority > unit.priority
            if is_less_urgent and self._accounts.may_preempt(unit, holder):
                return holder
            return None

        plan = self._plan_reclaim(unit, candidates, reclaimable, self._costs.stop_cost)
        if (
            plan is None
            or sum(map(self._costs.lost_core_ms, plan.victims)) > lost_max_core_ms
        ):
            return False
        self._reserve(unit, plan)
        self._stop_all(plan.victims, "preempted", unit)
        return True

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

    def _placed_holder(self, placement: TaskPlacement) -> Unit | None:
        holder = self._scheduler.unit_by_key.get(placement.unit_key)
        is_placed = holder is not None and holder.phase is UnitPhase.PLACED
        return holder if is_placed else None

    def _wait_ms(self, victim: Unit, claimant: Unit) -> float:
        remaining = self._costs.remaining_ms(victim)
        if self._is_cheap_to_stop(victim, claimant):
            return min(remaining, CHEAP_STOP_WAIT_MS)
        return remaining

    def _room_after_stops(self, endpoint: Endpoint, unit: Unit) -> Resources:
        """Return the room for a unit once the stops in progress are done."""
        room = self._reservations.room(endpoint, unit)
        for placement in endpoint.placement_by_task.values():
            holder = self._scheduler.unit_by_key.get(placement.unit_key)
            if holder is None or holder.phase is not UnitPhase.PLACED:
                room = room.plus(placement.occupied)
        return room

    def _is_cheap_to_stop(self, victim: Unit, claimant: Unit) -> bool:
        return (
            claimant.priority <= 1
            and victim.priority > claimant.priority
            and victim.step.is_checkpointing
            and self._accounts.may_preempt(claimant, victim)
        )


def _leaves_rack(unit: Unit, plan: EndpointReclaimPlan) -> bool:
    """Whether a plan puts a rack-sensitive unit on more than one rack."""
    if not unit.step.is_rack_sensitive:
        return False
    return len({endpoint.rack for endpoint in plan.endpoints}) > 1
