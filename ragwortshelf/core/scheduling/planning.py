"""Which waiting units start now, in which order and on which endpoints."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence

from .availability import may_be_stopped
from .fleet import Endpoint, Member
from .lifecycle import UnitLifecycle
from .model import Resources, UnitKey, UnitPhase
from .packing import allows, find_endpoints, rack_could_hold
from .reclaim import Borrowed, Cost, Reclaim, plan_reclaim
from .reservations import Reservations
from .work import GPU_CORES, Work

__all__ = ["Planner"]

RECLAIM_RETRY_MS = 1_500
"""Age at which a reservation whose room has not come is planned anew, in ms.

A stop takes at most 0.9 s on the stated sites; what is left covers lost orders.
"""

GUARANTEE_RETRY_MS = 400
"""The same for guaranteed work, which has to start within 2.7 s: planning anew counts
on the stops under way, so it costs nothing where they only take their time."""

WAITING_RESERVATIONS_MAX = 3
"""Units that room is kept for while it becomes free by itself. Each keeps smaller work
out, so only the first in the queue get one."""

CHEAP_STOP_WAIT_MS = 1_000
"""How soon the rest of a unit's room must become free by itself before work that saves
its progress is stopped for it; a stop takes about as long."""

PREEMPTION_LOSS_SHARE = 1.0
"""Work that may be thrown away so that urgent work is on time, as a share of that
work. An urgent job on time is worth about four times what its work costs when lost;
beyond its own work, the room that is lost makes as much other work late."""

_HOLDING = (UnitPhase.PLACED, UnitPhase.ENDING)


class Planner:
    """Places waiting units on the scheduler's endpoints."""

    def __init__(self, scheduler: UnitLifecycle):
        self._scheduler = scheduler
        self._reservations = Reservations()
        self._remaining_by_unit: dict[UnitKey, float] = {}
        self._lost_by_unit: dict[UnitKey, float] = {}
        self._now_ms = 0
        self._wall_ms = 0

    def run(self, now_ms: int, wall_ms: int) -> None:
        """Go through the waiting units once, the most urgent first."""
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._remaining_by_unit.clear()
        self._lost_by_unit.clear()
        usable = [
            endpoint
            for endpoint in self._scheduler.endpoint_by_id.values()
            if endpoint.is_usable(now_ms)
        ]
        guaranteed = self._guaranteed_in_use()
        without_room: set[tuple] = set()
        waiting = sorted(
            self._scheduler.waiting.values(), key=lambda work: (work.order, work.key)
        )
        for work in waiting:
            if work.not_before_ms > now_ms:
                continue
            self._consider(work, usable, guaranteed, without_room)

    def forget(self, work: Work) -> None:
        """Give up what was reserved for a unit."""
        self._reservations.forget(work)

    def _consider(self, work, usable, guaranteed, without_room) -> None:
        shape = _shape(work)
        organisation = work.job.spec.organisation
        is_guaranteed = self._is_guaranteed(work, guaranteed)
        if shape in without_room and not is_guaranteed:
            return
        candidates = self._candidates(work, usable)
        if self._needs_advice(work):
            allowed = self._scheduler.advice.usable(work, candidates, self._now_ms)
            if len(allowed) < len(candidates) and not self._fit(work, allowed):
                self._scheduler.ask_advice(work, candidates, self._now_ms)
            candidates = allowed
        endpoints = None
        if work.avoided:
            preferred = [e for e in candidates if e.id not in work.avoided]
            endpoints = self._fit(work, preferred)
        if endpoints is None:
            endpoints = self._fit(work, candidates)
        if endpoints is not None:
            self.forget(work)
            if work.priority == 0:
                guaranteed[organisation] += work.gpus
            self._scheduler.place(work, endpoints, self._now_ms, self._wall_ms)
            return
        without_room.add(shape)
        if is_guaranteed:
            guaranteed[organisation] += work.gpus
            self._reclaim(work, candidates)
        elif _must_come_back(work):
            self._reclaim(work, candidates)
        elif _is_hard_to_fit(work):
            self._await_room(work, candidates)

    def _candidates(self, work: Work, usable: list[Endpoint]) -> list[Endpoint]:
        spec = work.job.spec
        queue = self._scheduler.configuration.queue_by_name.get(spec.queue)
        service = queue.service if queue else spec.service
        return [e for e in usable if allows(e, work.step, service)]

    def _needs_advice(self, work: Work) -> bool:
        queues = self._scheduler.configuration.queue_by_name
        queue = queues.get(work.job.spec.queue)
        return queue is not None and queue.needs_advice

    def _fit(self, work: Work, candidates: list[Endpoint]) -> list[Endpoint] | None:
        needed = work.step.occupied

        def slots(endpoint: Endpoint) -> int:
            if len(self._reservations):
                fits = needed.times_in(self._reservations.room(endpoint, work))
            else:
                fits = endpoint.slots(needed)
            cap = work.step.tasks_per_endpoint_max
            if cap:
                fits = min(fits, cap - self._same_step(endpoint, work))
            return max(0, fits)

        step = work.step
        may_leave = not rack_could_hold(step, work.count, candidates)
        if step.preferred_rack and not may_leave and not step.is_rack_sensitive:
            may_leave = self._has_waited_for_rack(work)
        return find_endpoints(
            step, work.count, candidates, slots, may_leave_rack=may_leave
        )

    def _has_waited_for_rack(self, work: Work) -> bool:
        # Away from its data a task takes `remote_factor` times as long; waiting twice
        # its estimate costs as much.
        waited = self._now_ms - work.waiting_since_ms
        return waited > 2 * work.step.estimate_ms

    def _same_step(self, endpoint: Endpoint, work: Work) -> int:
        key = work.key[:3]
        return sum(m.unit[:3] == key for m in endpoint.member_by_task.values())

    # Guarantees.

    def _guaranteed_in_use(self) -> defaultdict[str, int]:
        """Count the accelerators that each organisation's urgent work holds."""
        in_use: defaultdict[str, int] = defaultdict(int)
        for work in self._scheduler.work_by_key.values():
            # A gang that is done counts no more, though some of its members may still
            # wait for their endpoints' listings.
            if work.priority == 0 and work.phase in _HOLDING:
                in_use[work.job.spec.organisation] += work.gpus
        return in_use

    def _is_guaranteed(self, work: Work, in_use: defaultdict[str, int]) -> bool:
        if work.priority != 0:
            return False
        name = work.job.spec.organisation
        organisation = self._scheduler.configuration.organisation_by_name.get(name)
        if organisation is None:
            return False
        return in_use[name] + work.gpus <= organisation.guaranteed_gpus

    def _reclaim(self, work: Work, candidates: list[Endpoint]) -> None:
        if self._reservations.is_younger(work, GUARANTEE_RETRY_MS, self._now_ms):
            return
        self.forget(work)
        over_guarantee = self._organisations_over_guarantee()

        def borrowed(member: Member) -> Work | None:
            holder = self._stoppable_holder(member, work)
            if holder is None:
                return None
            is_borrowed = (
                holder.priority > 0 or holder.job.spec.organisation in over_guarantee
            )
            return holder if is_borrowed else None

        plan = self._plan(work, candidates, borrowed, self._lost)
        if plan is None:
            return
        self._reserve(work, plan, is_guaranteed=True)
        self._stop_all(plan.victims, "reclaimed")

    def _stop_all(self, victims: Sequence[Work], reason: str) -> None:
        for victim in victims:
            # Stopping one task of a lasting step may use up what the step allows.
            if self._may_stop(victim):
                self._scheduler.stop_work(victim, reason, self._now_ms)

    def _plan(
        self, work: Work, candidates: list[Endpoint], borrowed: Borrowed, cost: Cost
    ) -> Reclaim | None:
        return plan_reclaim(
            work.step,
            work.count,
            candidates,
            lambda endpoint: self._room_when_stopped(endpoint, work),
            borrowed,
            cost,
        )

    def _reserve(self, work: Work, plan: Reclaim, is_guaranteed: bool = False) -> None:
        self._reservations.put(work, plan, self._now_ms, is_guaranteed)

    def _await_room(self, work: Work, candidates: list[Endpoint]) -> None:
        """Keep the room that becomes free soonest, so that smaller work leaves it.

        Less urgent work that saves its progress is stopped for it once the rest of
        the room is about to be free.
        """
        if self._reservations.is_younger(work, RECLAIM_RETRY_MS, self._now_ms):
            return
        self.forget(work)
        if len(self._reservations) >= WAITING_RESERVATIONS_MAX:
            return
        plan = self._plan(
            work,
            candidates,
            self._placed_holder,
            lambda victim: self._wait_ms(victim, work),
        )
        if plan is None:
            return
        lost_max = self._lost_max_core_ms(work, plan)
        if lost_max > 0 and self._preempt(work, candidates, lost_max):
            return
        self._reserve(work, plan)
        self._stop_cheap(work, plan)

    def _stop_cheap(self, work: Work, plan: Reclaim) -> None:
        cheap, rest = [], []
        for victim in plan.victims:
            (cheap if _stops_cheaply(victim, work) else rest).append(victim)
        wait_ms = max(map(self._remaining, rest), default=0)
        if wait_ms <= CHEAP_STOP_WAIT_MS:
            self._stop_all(cheap, "yields")

    def _lost_max_core_ms(self, work: Work, plan: Reclaim) -> float:
        """Return how much work may be thrown away so that a unit need not wait."""
        wait_ms = max((self._wait_ms(v, work) for v in plan.victims), default=0)
        lost_max = self._idle_core_ms(work, plan, wait_ms)
        if work.priority == 0 and self._would_be_late(work, wait_ms):
            lost_max += PREEMPTION_LOSS_SHARE * work.cores * work.step.estimate_ms
        return lost_max

    def _would_be_late(self, work: Work, wait_ms: float) -> bool:
        """Whether waiting makes a unit late that is still in time now."""
        if work.is_late(self._wall_ms):
            return False
        return self._wall_ms + wait_ms > work.latest_start_wall_ms

    def _idle_core_ms(self, work: Work, plan: Reclaim, wait_ms: float) -> float:
        """Return the work that the idle part of a unit's room could do meanwhile."""
        free_by_id = {endpoint.id: endpoint.free_gpus for endpoint in plan.endpoints}
        tasks_by_id = Counter(endpoint.id for endpoint in plan.endpoints)
        each = work.step.request.gpus
        idle = sum(
            max(0, min(free_by_id[endpoint_id], each * tasks))
            for endpoint_id, tasks in tasks_by_id.items()
        )
        return GPU_CORES * idle * max(0.0, wait_ms - CHEAP_STOP_WAIT_MS)

    def _preempt(
        self, work: Work, candidates: list[Endpoint], lost_max_core_ms: float
    ) -> bool:
        """Stop less urgent work if no more than this is thrown away by it."""

        def borrowed(member: Member) -> Work | None:
            holder = self._stoppable_holder(member, work)
            is_less_urgent = holder is not None and holder.priority > work.priority
            return holder if is_less_urgent else None

        plan = self._plan(work, candidates, borrowed, self._lost)
        if plan is None or sum(map(self._lost, plan.victims)) > lost_max_core_ms:
            return False
        self._reserve(work, plan)
        self._stop_all(plan.victims, "preempted")
        return True

    def _may_stop(self, holder: Work) -> bool:
        return may_be_stopped(holder, self._scheduler.work_by_key)

    def _stoppable_holder(self, member: Member, claimant: Work) -> Work | None:
        """Return a member's unit if it may be stopped at all for the claimant.

        Lasting work yields to urgent work only.
        """
        holder = self._placed_holder(member)
        if holder is None or not self._may_stop(holder):
            return None
        if holder.step.is_long_running and claimant.priority > 0:
            return None
        return holder

    def _placed_holder(self, member: Member) -> Work | None:
        holder = self._scheduler.work_by_key.get(member.unit)
        is_placed = holder is not None and holder.phase is UnitPhase.PLACED
        return holder if is_placed else None

    def _remaining(self, work: Work) -> float:
        """Return how long a unit still runs, estimated once a plan."""
        remaining = self._remaining_by_unit.get(work.key)
        if remaining is None:
            remaining = work.remaining_ms(self._now_ms)
            self._remaining_by_unit[work.key] = remaining
        return remaining

    def _lost(self, work: Work) -> float:
        """Return what a stop throws away, computed once a plan."""
        lost = self._lost_by_unit.get(work.key)
        if lost is None:
            lost = self._lost_by_unit[work.key] = work.lost_core_ms(self._now_ms)
        return lost

    def _wait_ms(self, victim: Work, claimant: Work) -> float:
        remaining = self._remaining(victim)
        if _stops_cheaply(victim, claimant):
            return min(remaining, CHEAP_STOP_WAIT_MS)
        return remaining

    def _room_when_stopped(self, endpoint: Endpoint, work: Work) -> Resources:
        """Return the room once the stops in progress have taken effect."""
        room = self._reservations.room(endpoint, work)
        for member in endpoint.member_by_task.values():
            holder = self._scheduler.work_by_key.get(member.unit)
            if holder is None or holder.phase is not UnitPhase.PLACED:
                room = room.plus(member.occupied)
        return room

    def _organisations_over_guarantee(self) -> set[str]:
        in_use = self._guaranteed_in_use()
        known = self._scheduler.configuration.organisation_by_name
        over = set()
        for name, gpus in in_use.items():
            organisation = known.get(name)
            if organisation is None or gpus > organisation.guaranteed_gpus:
                over.add(name)
        return over


def _must_come_back(work: Work) -> bool:
    """Whether a lasting task has run before, and so is restarted however full it is."""
    return work.step.is_long_running and work.record.run > 0


def _is_hard_to_fit(work: Work) -> bool:
    """Whether smaller work would keep taking the room that the unit waits for."""
    return work.count > 1 or work.gpus > 1


def _stops_cheaply(victim: Work, claimant: Work) -> bool:
    return (
        claimant.priority <= 1
        and victim.priority > claimant.priority
        and victim.step.is_checkpointing
    )


def _shape(work: Work) -> tuple:
    """What makes two units fit or not fit alike."""
    step = work.step
    return (
        work.job.spec.queue,
        step.occupied,
        work.count,
        step.required_label,
        step.preferred_rack,
        step.is_rack_sensitive,
        step.tasks_per_endpoint_max,
        frozenset(work.avoided),
    )
