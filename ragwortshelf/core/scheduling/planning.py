"""Planning: in which order waiting units start, and which may reclaim room."""

from __future__ import annotations

from collections import defaultdict

from .advice_questions import AdviceQuestioner
from .endpoint import Endpoint
from .endpoint_selection import EndpointSelector
from .evacuation_moves import EvacuationMover
from .fast_room import FastRoomMaker
from .idle_services import IdleServices
from .idle_waits import IdleWaitMonitor
from .lifecycle import UnitLifecycle
from .model import UnitPhase, step_name
from .overdue_runs import OverdueRunMonitor
from .reclaiming import GuaranteeReclaimer
from .reservations import UnitReservations
from .room_reserving import RoomReserver
from .share_accounts import ShareAccounts
from .start_deadlines import StartDeadlines
from .stop_costs import StopCosts
from .stragglers import StragglerMover
from .unit import Unit

__all__ = ["Planner"]

_OCCUPYING_PHASES = (UnitPhase.PLACED, UnitPhase.ENDING)


class Planner:
    """Places waiting units on endpoints, and has room made for the others."""

    def __init__(self, scheduler: UnitLifecycle):
        self._scheduler = scheduler
        self._idle_services = IdleServices()
        self._deadlines = StartDeadlines(self._idle_services)
        self._reservations = UnitReservations(self._idle_services, self._deadlines)
        self._selector = EndpointSelector(
            scheduler, self._reservations, self._idle_services, self._deadlines
        )
        self._questioner = AdviceQuestioner(scheduler, self._selector)
        self._accounts = ShareAccounts()
        self._costs = StopCosts(self._accounts)
        common = (scheduler, self._reservations, self._selector, self._costs)
        self._fast_room_maker = FastRoomMaker(*common)
        self._reclaimer = GuaranteeReclaimer(
            *common, self._fast_room_maker, self._organisations_over_guarantee
        )
        self._reserver = RoomReserver(*common, self._accounts)
        self._had_misfit = False
        self.idle_waits = IdleWaitMonitor(scheduler, self._selector, self._deadlines)
        self.overdue_runs = OverdueRunMonitor(scheduler)
        self.straggler_mover = StragglerMover(scheduler, self._selector)
        self._evacuation_mover = EvacuationMover(
            scheduler, self._reservations, self._selector, self._questioner
        )
        self._now_ms = 0
        self._wall_ms = 0

    def run(self, now_ms: int, wall_ms: int) -> None:
        """Plan all waiting units once, the most urgent first.

        Within a priority, units that leave their organisation within its fair share
        come first, by deadline, and then the others. Units that starve come after
        priority 0, the longest wait first, whatever their organisation uses.
        """
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        usable = [
            endpoint
            for endpoint in self._scheduler.endpoint_by_id.values()
            if endpoint.is_usable(now_ms)
        ]
        self._scheduler.suspicion.lapse(usable, now_ms)
        self._idle_services.begin(self._scheduler.endpoint_by_id.values(), now_ms)
        self._deadlines.begin(now_ms)
        self._reservations.begin(now_ms)
        self._selector.begin(usable, now_ms, wall_ms)
        self._questioner.begin(now_ms)
        self._evacuation_mover.begin(now_ms)
        self._costs.begin(now_ms, wall_ms)
        for room_maker in (self._fast_room_maker, self._reclaimer, self._reserver):
            room_maker.begin(now_ms, wall_ms)
        gpus_in_use = self._urgent_gpus_in_use()
        unplaceable_shapes: set[tuple] = set()
        self._accounts.begin()
        if self._had_misfit and self._scheduler.waiting:
            self._compute_shares()
        self._had_misfit = False
        for units in self._waiting_by_rank():
            above_share = []
            for unit in units:
                if unit.not_before_ms > now_ms:
                    continue
                if self._yields_to_others(unit, gpus_in_use):
                    above_share.append(unit)
                else:
                    self._try_unit(unit, False, gpus_in_use, unplaceable_shapes)
            for unit in above_share:
                self._try_unit(unit, True, gpus_in_use, unplaceable_shapes)
        self._evacuation_mover.run()
        self.straggler_mover.run(now_ms, wall_ms)
        self._questioner.ask()

    @property
    def organisations_above_share(self) -> int:
        """Organisations that took more than their fair share at the latest plan."""
        return self._accounts.above_count

    def _waiting_by_rank(self) -> list[list[Unit]]:
        """Return the waiting units of each priority, and after 0 those that starve."""
        by_rank: dict[tuple[int, int], list[Unit]] = defaultdict(list)
        starving = []
        for unit in self._scheduler.waiting.values():
            if unit.starving_from_ms is None:
                unit.set_starving_from(self._now_ms, self._wall_ms)
            if unit.is_starving(self._now_ms):
                starving.append(unit)
            else:
                by_rank[unit.priority, 0].append(unit)
        for units in by_rank.values():
            units.sort(key=lambda unit: (unit.sort_key, unit.key))
        starving.sort(key=lambda unit: (unit.starving_from_ms, unit.key))
        by_rank[0, 1] = starving
        return [by_rank[rank] for rank in sorted(by_rank)]

    def _compute_shares(self) -> None:
        self._accounts.compute(
            self._scheduler.unit_by_key.values(),
            self._selector.usable,
            self._scheduler.configuration,
        )

    def _yields_to_others(self, unit: Unit, gpus_in_use: defaultdict[str, int]) -> bool:
        """Whether units of organisations within their share come first.

        What may reclaim its room does not yield, so that it need not reclaim more.
        """
        return (
            self._accounts.is_above(unit)
            and not unit.is_starving(self._now_ms)
            and not unit.must_restart
            and not self._is_guaranteed(unit, gpus_in_use)
        )

    def _try_unit(self, unit, is_above_share, gpus_in_use, unplaceable_shapes) -> None:
        unit.set_order_key(is_above_share, self._now_ms)
        if self._is_guaranteed(unit, gpus_in_use):
            unit.set_guaranteed_order_key()
        try:
            self._plan_unit(unit, gpus_in_use, unplaceable_shapes)
        except Exception as error:
            # Costs this unit a delay, and no other unit anything.
            self._scheduler.report_planning_fault(unit, error, self._now_ms)

    def drop_reservation(self, unit: Unit) -> None:
        """Drop the reservation of a unit that is not to wait for room any longer."""
        self._reservations.forget(unit)

    def _plan_unit(self, unit, gpus_in_use, unplaceable_shapes) -> None:
        crashes = self._scheduler.crashes
        usable_count = len(self._selector.usable)
        if not crashes.may_start_now(unit, usable_count, self._now_ms):
            self.drop_reservation(unit)
            return
        shape = self._selector.shape(unit)
        organisation = unit.job.spec.organisation
        is_guaranteed = self._is_guaranteed(unit, gpus_in_use)
        if shape in unplaceable_shapes and not is_guaranteed:
            return
        endpoints = self._selector.find_room(unit, on_slow=unit.priority > 0)
        if endpoints is None and unit.priority == 0:
            endpoints = self._selector.find_room(unit)
            if (
                endpoints is not None
                and self._selector.is_expected_late(unit, endpoints)
                and self._fast_room_maker.make_room(unit)
            ):
                # Its room counts for its organisation from now on.
                gpus_in_use[organisation] += unit.gpus
                return
        if endpoints is not None and not self._selector.has_tickets(unit, endpoints):
            unplaceable_shapes.add(shape)
            if is_guaranteed:
                gpus_in_use[organisation] += unit.gpus
            self._await_tickets(unit, endpoints, is_guaranteed)
            return
        if endpoints is not None:
            self.drop_reservation(unit)
            if unit.priority == 0:
                gpus_in_use[organisation] += unit.gpus
            self._accounts.charge(unit)
            standing = self._accounts.standing(unit)
            self._scheduler.place(
                unit, endpoints, self._now_ms, self._wall_ms, standing
            )
            self._deadlines.unit_placed(unit)
            self._questioner.unit_placed(unit)
            self._selector.room_changed(endpoints)
            return
        unplaceable_shapes.add(shape)
        self._questioner.need_approvals(unit)
        self._had_misfit = True
        if not self._accounts.is_computed:
            self._compute_shares()
        if is_guaranteed:
            gpus_in_use[organisation] += unit.gpus
        if is_guaranteed or unit.must_restart:
            self._reclaimer.make_room(unit)
        elif _needs_reservation(unit):
            self._reserver.make_room(unit)
        if self._reservations.is_held_by(unit):
            self._accounts.charge(unit)

    def _await_tickets(
        self, unit: Unit, endpoints: list[Endpoint], is_guaranteed: bool
    ) -> None:
        """Ask for the tickets of the endpoints on which a unit is to start.

        The room of a gang is kept free while its question is open, and that of a
        guaranteed unit while it waits for its turn as well. But others may have it if
        the policy service does not answer.
        """
        self._questioner.need_tickets(unit, endpoints)
        desk = self._scheduler.advice_desk
        is_asked = unit.count > 1 and bool(desk.asked_ids(step_name(unit.key)))
        if desk.is_answering and (is_guaranteed or is_asked):
            until_ms = self._now_ms + self._selector.ticket_wait_ms(unit, endpoints)
            self._reserver.hold(unit, endpoints, until_ms, is_guaranteed)
        if self._reservations.is_held_by(unit):
            self._accounts.charge(unit)

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

    def _organisations_over_guarantee(self) -> set[str]:
        gpus_in_use = self._urgent_gpus_in_use()
        organisation_by_name = self._scheduler.configuration.organisation_by_name
        names = set()
        for name, gpus in gpus_in_use.items():
            organisation = organisation_by_name.get(name)
            if organisation is None or gpus > organisation.guaranteed_gpus:
                names.add(name)
        return names


def _needs_reservation(unit: Unit) -> bool:
    """Whether smaller units would keep taking the room that the unit waits for."""
    return unit.count > 1 or unit.gpus > 1
