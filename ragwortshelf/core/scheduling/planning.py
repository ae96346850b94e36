"""Planning: which waiting units start now, in which order and on which endpoints."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence

from .availability import may_be_stopped
from .fleet import Endpoint, TaskPlacement
from .free_room import FreeRoom
from .lifecycle import UnitLifecycle
from .model import Resources, UnitKey, UnitPhase
from .packing import find_endpoints, is_eligible, rack_could_hold
from .reclaim import EndpointReclaimPlan, ReclaimableUnit, StopCost, plan_reclaim
from .reservations import UnitReservations
from .speed import preferred_classes, speed_class
from .unit import CORES_PER_GPU, Unit

__all__ = ["Planner"]

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

PROOF_VALID_MS = 3_000
"""Age up to which a start that survived shows that an endpoint is sound."""

PROOF_WAIT_MS = 4_000
"""Time for which the last attempt of a unit waits for endpoints that are proven."""

SLOW_ENDPOINT_SHARE = 0.25
"""Extra run time on a slow endpoint, as a share of the estimate; the speeds of sound
endpoints differ by a quarter either way."""

_OCCUPYING_PHASES = (UnitPhase.PLACED, UnitPhase.ENDING)


class Planner:
    """Places waiting units on endpoints, and stops others to make room for them."""

    def __init__(self, scheduler: UnitLifecycle):
        self._scheduler = scheduler
        self._reservations = UnitReservations()
        self._remaining_ms_by_key: dict[UnitKey, float] = {}
        self._lost_core_ms_by_key: dict[UnitKey, float] = {}
        self._free_room = FreeRoom(())
        self._eligible_by_need: dict[tuple[str, str], list[Endpoint]] = {}
        self._now_ms = 0
        self._wall_ms = 0

    def run(self, now_ms: int, wall_ms: int) -> None:
        """Plan all waiting units once, the most urgent first."""
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._remaining_ms_by_key.clear()
        self._lost_core_ms_by_key.clear()
        usable = [
            endpoint
            for endpoint in self._scheduler.endpoint_by_id.values()
            if endpoint.is_usable(now_ms)
        ]
        self._scheduler.suspicion.lapse(usable, now_ms)
        self._free_room = FreeRoom(usable)
        self._eligible_by_need.clear()
        gpus_in_use = self._urgent_gpus_in_use()
        unplaceable_shapes: set[tuple] = set()
        waiting = sorted(
            self._scheduler.waiting.values(), key=lambda unit: (unit.sort_key, unit.key)
        )
        for unit in waiting:
            if unit.not_before_ms > now_ms:
                continue
            try:
                self._plan_unit(unit, usable, gpus_in_use, unplaceable_shapes)
            except Exception as error:
                # Costs this unit a delay, and no other unit anything.
                self._scheduler.report_planning_fault(unit, error, now_ms)

    def drop_reservation(self, unit: Unit) -> None:
        """Drop the reservation of a unit."""
        self._reservations.drop(unit)

    def _plan_unit(self, unit, usable, gpus_in_use, unplaceable_shapes) -> None:
        crashes = self._scheduler.crashes
        if not crashes.may_start_now(unit, len(usable), self._now_ms):
            self.drop_reservation(unit)
            return
        shape = _placement_shape(unit)
        organisation = unit.job.spec.organisation
        is_guaranteed = self._is_guaranteed(unit, gpus_in_use)
        if shape in unplaceable_shapes and not is_guaranteed:
            return
        endpoints = self._find_room(unit, usable)
        if endpoints is not None:
            self.drop_reservation(unit)
            if unit.priority == 0:
                gpus_in_use[organisation] += unit.gpus
            self._scheduler.place(unit, endpoints, self._now_ms, self._wall_ms)
            self._free_room.update(endpoints)
            return
        unplaceable_shapes.add(shape)
        if is_guaranteed:
            gpus_in_use[organisation] += unit.gpus
            self._reclaim(unit, usable)
        elif _must_restart(unit):
            self._reclaim(unit, usable)
        elif _needs_reservation(unit):
            self._plan_reservation(unit, usable)

    def _find_room(self, unit: Unit, usable: list[Endpoint]) -> list[Endpoint] | None:
        """Return an endpoint for each task of the unit, or None if they do not fit."""
        if not self._free_room.may_hold(unit.step, unit.count):
            return None
        candidates = self._candidates(unit, usable)
        if self._needs_advice(unit):
            allowed = self._allowed(unit, candidates)
            if len(allowed) < len(candidates) and not self._find_endpoints(
                unit, allowed
            ):
                self._scheduler.ask_advice(unit, candidates, self._now_ms)
            candidates = allowed
        endpoints = None
        if unit.is_suspect:
            # Its start may cost the runs of others.
            empty = [e for e in candidates if not e.placement_by_task]
            return self._find_endpoints(
                unit, empty, candidates
            ) or self._find_endpoints(unit, candidates)
        if self._needs_proof(unit):
            return self._find_endpoints(unit, self._proven(candidates), candidates)
        for classes in preferred_classes(unit)[:-1]:
            alike = [
                e
                for e in candidates
                if speed_class(e) in classes and e.id not in unit.avoided_ids
            ]
            endpoints = self._find_endpoints(unit, alike, candidates)
            if endpoints is not None:
                return endpoints
        if unit.avoided_ids:
            preferred = [e for e in candidates if e.id not in unit.avoided_ids]
            endpoints = self._find_endpoints(unit, preferred)
        if endpoints is None:
            endpoints = self._find_endpoints(unit, candidates)
        return endpoints

    def _needs_proof(self, unit: Unit) -> bool:
        """Whether a unit waits for endpoints on which a recent start has survived.

        This holds for the last attempt of a unit that failed at once before. It does
        not wait for long, since few endpoints may start anything.
        """
        if not unit.quick_failure_count or self._scheduler.attempts_left(unit) > 1:
            return False
        return self._now_ms - unit.waiting_since_ms < PROOF_WAIT_MS

    def _proven(self, candidates: list[Endpoint]) -> list[Endpoint]:
        oldest_ms = self._now_ms - PROOF_VALID_MS
        return [
            e
            for e in candidates
            if e.has_proven_start(oldest_ms) and not e.is_suspected
        ]

    def _candidates(self, unit: Unit, usable: list[Endpoint]) -> list[Endpoint]:
        """Return the usable endpoints of the unit's service that have its label."""
        spec = unit.job.spec
        queue = self._scheduler.configuration.queue_by_name.get(spec.queue)
        service = queue.service if queue else spec.service
        need = (service, unit.step.required_label)
        eligible = self._eligible_by_need.get(need)
        if eligible is None:
            eligible = [e for e in usable if is_eligible(e, unit.step, service)]
            self._eligible_by_need[need] = eligible
        return eligible

    def _allowed(self, unit: Unit, candidates: list[Endpoint]) -> list[Endpoint]:
        """Return the candidates that the policy service has approved."""
        return self._scheduler.advice.with_ticket(unit, candidates, self._now_ms)

    def _reclaim_candidates(self, unit: Unit, usable: list[Endpoint]):
        candidates = [e for e in self._candidates(unit, usable) if not e.is_suspected]
        if not self._needs_advice(unit):
            return candidates
        return self._allowed(unit, candidates)

    def _needs_advice(self, unit: Unit) -> bool:
        queues = self._scheduler.configuration.queue_by_name
        queue = queues.get(unit.job.spec.queue)
        return queue is not None and queue.needs_advice

    def _find_endpoints(
        self,
        unit: Unit,
        candidates: list[Endpoint],
        eligible: list[Endpoint] | None = None,
    ) -> list[Endpoint] | None:
        """Return a candidate for each task, or None if the tasks do not fit.

        Whether a rack could hold the tasks at all is judged by ``eligible``, if that is
        given, of which the candidates are a part.
        """
        needed = unit.step.occupied

        def slots(endpoint: Endpoint) -> int:
            if endpoint.is_suspected and not self._may_try_out(endpoint, unit):
                return 0
            if not self._scheduler.crashes.may_share(endpoint, unit):
                return 0
            if endpoint.is_overcommitted:
                return 0
            if len(self._reservations):
                fits = needed.times_in(self._reservations.room(endpoint, unit))
            else:
                fits = endpoint.slots(needed)
            cap = unit.step.tasks_per_endpoint_max
            if cap:
                fits = min(fits, cap - self._count_same_step(endpoint, unit))
            if endpoint.is_suspected:
                fits = min(fits, 1)
            return max(0, fits)

        step = unit.step
        may_leave = True
        if step.preferred_rack or step.is_rack_sensitive:
            may_leave = not rack_could_hold(step, unit.count, eligible or candidates)
        if step.preferred_rack and not may_leave and not step.is_rack_sensitive:
            may_leave = self._has_waited_for_rack(unit)
        with_room = [e for e in candidates if e.free_gpus >= needed.gpus]
        return find_endpoints(
            step,
            unit.count,
            with_room,
            slots,
            self._free_room.free_gpus_by_rack,
            may_leave_rack=may_leave,
        )

    def _may_try_out(self, endpoint: Endpoint, unit: Unit) -> bool:
        """Whether a unit may be the one run that shows whether starts survive again."""
        can_fail = unit.step.is_long_running or self._scheduler.attempts_left(unit) > 1
        return unit.count == 1 and can_fail and not endpoint.is_on_trial()

    def _has_waited_for_rack(self, unit: Unit) -> bool:
        # Away from its data a task takes longer by the platform's `remote_factor`;
        # waiting for twice its estimate costs as much.
        waited_ms = self._now_ms - unit.waiting_since_ms
        return waited_ms > 2 * unit.step.estimate_ms

    def _count_same_step(self, endpoint: Endpoint, unit: Unit) -> int:
        key = unit.key[:3]
        return sum(
            placement.unit_key[:3] == key
            for placement in endpoint.placement_by_task.values()
        )

    # Guarantees.

    def _urgent_gpus_in_use(self) -> defaultdict[str, int]:
        """Return the accelerators that each organisation's priority-0 units occupy."""
        gpus_in_use: defaultdict[str, int] = defaultdict(int)
        for unit in self._scheduler.unit_by_key.values():
            # A gang that is done no longer counts, even while some of its placements
            # are not released because their endpoint has not listed the end yet.
            if unit.priority == 0 and unit.phase in _OCCUPYING_PHASES:
                gpus_in_use[unit.job.spec.organisation] += unit.gpus
        return gpus_in_use

    def _is_guaranteed(self, unit: Unit, gpus_in_use: defaultdict[str, int]) -> bool:
        if unit.priority != 0:
            return False
        name = unit.job.spec.organisation
        organisation = self._scheduler.configuration.organisation_by_name.get(name)
        if organisation is None:
            return False
        return gpus_in_use[name] + unit.gpus <= organisation.guaranteed_gpus

    def _reclaim(self, unit: Unit, usable: list[Endpoint]) -> None:
        if self._reservations.is_recent(unit, GUARANTEE_RETRY_MS, self._now_ms):
            return
        candidates = self._reclaim_candidates(unit, usable)
        self.drop_reservation(unit)
        over_guarantee = self._organisations_over_guarantee()

        def reclaimable(placement: TaskPlacement) -> Unit | None:
            holder = self._stoppable_holder(placement, unit)
            if holder is None:
                return None
            is_borrowed = (
                holder.priority > 0 or holder.job.spec.organisation in over_guarantee
            )
            return holder if is_borrowed else None

        plan = self._plan_reclaim(unit, candidates, reclaimable, self._lost_core_ms)
        if plan is None:
            return
        self._reserve(unit, plan, is_exclusive=True)
        self._stop_all(plan.victims, "reclaimed")

    def _stop_all(self, victims: Sequence[Unit], reason: str) -> None:
        for victim in victims:
            # An earlier victim may have used up the unavailability its step allows.
            if self._may_stop(victim):
                self._scheduler.stop_unit(victim, reason, self._now_ms)

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

    def _plan_reservation(self, unit: Unit, usable: list[Endpoint]) -> None:
        """Reserve the room that becomes free soonest, to keep smaller units out of it.

        Less urgent units that save checkpoints are stopped for it once the rest of the
        room is about to be free. Others are preempted if the loss is small enough.
        """
        if self._reservations.is_recent(unit, RESERVATION_RETRY_MS, self._now_ms):
            return
        self.drop_reservation(unit)
        if len(self._reservations) >= WAITING_RESERVATIONS_MAX:
            return
        candidates = self._reclaim_candidates(unit, usable)
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

    def _stop_cheap_victims(self, unit: Unit, plan: EndpointReclaimPlan) -> None:
        cheap, rest = [], []
        for victim in plan.victims:
            (cheap if _is_cheap_to_stop(victim, unit) else rest).append(victim)
        wait_ms = max(map(self._remaining_ms, rest), default=0)
        if wait_ms <= CHEAP_STOP_WAIT_MS:
            self._stop_all(cheap, "yields")

    def _lost_max_core_ms(self, unit: Unit, plan: EndpointReclaimPlan) -> float:
        """Return how much computation may be lost so that a unit need not wait."""
        wait_ms = max((self._wait_ms(v, unit) for v in plan.victims), default=0)
        lost_max_core_ms = self._idle_core_ms(unit, plan, wait_ms)
        if unit.priority == 0 and self._would_be_late(unit, wait_ms):
            lost_max_core_ms += (
                PREEMPTION_LOSS_SHARE * unit.cores * unit.step.estimate_ms
            )
        return lost_max_core_ms

    def _would_be_late(self, unit: Unit, wait_ms: float) -> bool:
        """Whether waiting makes a unit late that can still be on time."""
        if unit.is_late(self._wall_ms):
            return False
        slow_ms = SLOW_ENDPOINT_SHARE * unit.step.estimate_ms
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
            return holder if is_less_urgent else None

        plan = self._plan_reclaim(unit, candidates, reclaimable, self._lost_core_ms)
        if (
            plan is None
            or sum(map(self._lost_core_ms, plan.victims)) > lost_max_core_ms
        ):
            return False
        self._reserve(unit, plan)
        self._stop_all(plan.victims, "preempted")
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

    def _remaining_ms(self, unit: Unit) -> float:
        """Return the estimated remaining time of a unit; cached while planning."""
        remaining = self._remaining_ms_by_key.get(unit.key)
        if remaining is None:
            remaining = unit.remaining_ms(self._now_ms)
            self._remaining_ms_by_key[unit.key] = remaining
        return remaining

    def _lost_core_ms(self, unit: Unit) -> float:
        """Return the computation that stopping a unit loses; cached while planning."""
        lost = self._lost_core_ms_by_key.get(unit.key)
        if lost is None:
            lost = self._lost_core_ms_by_key[unit.key] = unit.lost_core_ms(self._now_ms)
        return lost

    def _wait_ms(self, victim: Unit, claimant: Unit) -> float:
        remaining = self._remaining_ms(victim)
        if _is_cheap_to_stop(victim, claimant):
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

    def _organisations_over_guarantee(self) -> set[str]:
        gpus_in_use = self._urgent_gpus_in_use()
        organisation_by_name = self._scheduler.configuration.organisation_by_name
        names = set()
        for name, gpus in gpus_in_use.items():
            organisation = organisation_by_name.get(name)
            if organisation is None or gpus > organisation.guaranteed_gpus:
                names.add(name)
        return names


def _must_restart(unit: Unit) -> bool:
    """Whether a long-running unit has run before, so that room is reclaimed for it."""
    return unit.step.is_long_running and unit.record.run > 0


def _needs_reservation(unit: Unit) -> bool:
    """Whether smaller units would keep taking the room that the unit waits for."""
    return unit.count > 1 or unit.gpus > 1


def _is_cheap_to_stop(victim: Unit, claimant: Unit) -> bool:
    return (
        claimant.priority <= 1
        and victim.priority > claimant.priority
        and victim.step.is_checkpointing
    )


def _placement_shape(unit: Unit) -> tuple:
    """Return what decides whether a unit fits; units of equal shape are tried once."""
    step = unit.step
    return (
        unit.job.spec.queue,
        unit.is_suspect,
        step.occupied,
        unit.count,
        step.required_label,
        step.preferred_rack,
        step.is_rack_sensitive,
        step.tasks_per_endpoint_max,
        frozenset(unit.avoided_ids),
    )
