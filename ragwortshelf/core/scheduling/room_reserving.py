"""Reservations of room for units that wait, and preemption where waiting costs more."""

from __future__ import annotations

import math
from collections import Counter
from functools import partial

from .endpoint import Endpoint
from .endpoint_selection import EndpointSelector
from .lifecycle import UnitLifecycle
from .reclaim import EndpointReclaimPlan
from .reservations import UnitReservations
from .room_making import RoomMaker
from .share_accounts import ShareAccounts
from .stop_costs import PREEMPTION_LOSS_SHARE, StopCosts
from .task_placement import TaskPlacement
from .unit import CORES_PER_GPU, Unit

__all__ = ["RoomReserver"]

RESERVATION_RETRY_MS = 1_500
"""Age at which the reservation of a unit that still waits is planned again.

A stop takes at most 0.9 s in the supported deployments; the rest allows for lost
orders.
"""

WAITING_RESERVATIONS_MAX = 3
"""Number of reservations at which no other unit may reserve room that it must wait for.
Each keeps smaller units out, so only the first units in the queue get one."""

CHEAP_STOP_WAIT_MS = 1_000
"""Checkpointing units are stopped for a waiting unit once the rest of its room becomes
free by itself within this time; a stop takes about as long."""

SLOW_ENDPOINT_SHARE = 0.25
"""Extra run time on a slow endpoint, as a share of the estimate; the speeds of sound
endpoints differ by a quarter either way."""


class RoomReserver(RoomMaker):
    """Reserves the room that becomes free soonest, to keep smaller units out of it.

    Less urgent units that save checkpoints are stopped for it once the rest of the room
    is about to be free. Others are preempted if the loss is small enough. Where a unit
    starves on an idle service, units of any priority but 0 are.
    """

    def __init__(
        self,
        scheduler: UnitLifecycle,
        reservations: UnitReservations,
        selector: EndpointSelector,
        costs: StopCosts,
        accounts: ShareAccounts,
    ):
        super().__init__(scheduler, reservations, selector, costs)
        self._accounts = accounts

    def make_room(self, unit: Unit) -> bool:
        """Reserve room for a unit, unless enough units wait with a reservation."""
        if self._is_planned(unit, RESERVATION_RETRY_MS):
            return True
        self._reservations.drop(unit)
        if self._count_reservations(unit) >= WAITING_RESERVATIONS_MAX:
            return False
        candidates = self._selector.reclaim_candidates(unit)
        plan = self._plan_reclaim(
            unit,
            candidates,
            partial(self._awaitable_holder, claimant=unit),
            lambda victim: self._wait_ms(victim, unit),
        )
        if plan is None:
            # Long-running units are stopped for units of priority 0 only.
            return unit.priority == 0 and self._preempt_lasting(unit, candidates)
        wait_ms = self._plan_wait_ms(unit, plan)
        lost_max_core_ms = self._lost_max_core_ms(unit, plan, wait_ms)
        if lost_max_core_ms > 0 and self._preempt(unit, candidates, lost_max_core_ms):
            return True
        until_ms = self._now_ms + max(RESERVATION_RETRY_MS, math.ceil(wait_ms))
        self._reservations.reserve(unit, plan, until_ms)
        self._stop_cheap_victims(unit, plan)
        return True

    def hold(
        self,
        unit: Unit,
        endpoints: list[Endpoint],
        until_ms: int,
        is_guaranteed: bool,
    ) -> None:
        """Reserve free room in which a unit starts as soon as it is allowed to.

        The room of a guaranteed unit is exclusive, as if it had been reclaimed. Other
        units get none if enough units wait with a reservation.
        """
        self._reservations.drop(unit)
        count = 0 if is_guaranteed else self._count_reservations(unit)
        if count < WAITING_RESERVATIONS_MAX:
            plan = EndpointReclaimPlan(tuple(endpoints), ())
            self._reservations.reserve(unit, plan, until_ms, is_guaranteed)

    def _preempt_lasting(self, unit: Unit, candidates: list[Endpoint]) -> bool:
        """Preempt for a unit in the way of which is lasting work, if that loses little.

        Room that does not come free by itself is not reserved.
        """
        plan = self._plan_reclaim(
            unit,
            candidates,
            self._placed_holder,
            lambda victim: self._wait_ms(victim, unit),
        )
        if plan is None:
            return False
        wait_ms = self._plan_wait_ms(unit, plan)
        lost_max_core_ms = self._lost_max_core_ms(unit, plan, wait_ms)
        return lost_max_core_ms > 0 and self._preempt(
            unit, candidates, lost_max_core_ms
        )

    def _awaitable_holder(
        self, placement: TaskPlacement, claimant: Unit
    ) -> Unit | None:
        """Return a placement's unit if its room comes free in time, else None.

        Long-running units do not end by themselves.
        """
        holder = self._placed_holder(placement)
        if holder is None or not holder.step.is_long_running:
            return holder
        if self._stoppable_holder(placement, claimant) is None:
            return None
        return holder if self._is_cheap_to_stop(holder, claimant) else None

    def _plan_wait_ms(self, unit: Unit, plan: EndpointReclaimPlan) -> float:
        return max((self._wait_ms(victim, unit) for victim in plan.victims), default=0)

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

    def _lost_max_core_ms(
        self, unit: Unit, plan: EndpointReclaimPlan, wait_ms: float
    ) -> float:
        """Return how much computation may be lost so that a unit need not wait."""
        lost_max_core_ms = self._idle_core_ms(unit, plan, wait_ms)
        is_late_by_waiting = unit.priority == 0 and self._would_be_late(unit, wait_ms)
        if is_late_by_waiting or self._starves_on_idle_service(unit):
            lost_max_core_ms += PREEMPTION_LOSS_SHARE * unit.cores * unit.estimate_ms
        return lost_max_core_ms

    def _starves_on_idle_service(self, unit: Unit) -> bool:
        """Whether a unit starves where no reservation can keep room free for it.

        Smaller units enter its room at each opening, so others must be stopped for it.
        """
        is_idle = self._selector.is_closed_idle_service(unit)
        return is_idle and unit.is_starving(self._now_ms)

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
            if holder is None:
                return None
            if is_starving and holder.priority > 0:
                return holder
            is_less_urgent = holder.priority > unit.priority
            if is_less_urgent and self._accounts.may_preempt(unit, holder):
                return holder
            return None

        is_starving = self._starves_on_idle_service(unit)

        plan = self._plan_reclaim(unit, candidates, reclaimable, self._costs.stop_cost)
        if (
            plan is None
            or sum(map(self._costs.lost_core_ms, plan.victims)) > lost_max_core_ms
        ):
            return False
        until_ms = self._now_ms + RESERVATION_RETRY_MS
        self._reservations.reserve(unit, plan, until_ms)
        self._stop_all(plan.victims, "preempted", unit)
        return True

    def _wait_ms(self, victim: Unit, claimant: Unit) -> float:
        remaining = self._costs.remaining_ms(victim)
        if self._is_cheap_to_stop(victim, claimant):
            return min(remaining, CHEAP_STOP_WAIT_MS)
        return remaining

    def _is_cheap_to_stop(self, victim: Unit, claimant: Unit) -> bool:
        return (
            claimant.priority <= 1
            and victim.priority > claimant.priority
            and victim.step.is_checkpointing
            and self._accounts.may_preempt(claimant, victim)
        )
