"""Planning: in which order waiting units start, and which may reclaim room."""

from __future__ import annotations

from collections import defaultdict

from .endpoint_selection import EndpointSelector
from .lifecycle import UnitLifecycle
from .model import UnitPhase
from .reservations import UnitReservations
from .room_making import RoomMaker
from .unit import Unit

__all__ = ["Planner"]

_OCCUPYING_PHASES = (UnitPhase.PLACED, UnitPhase.ENDING)


class Planner:
    """Places waiting units on endpoints, and has room made for the others."""

    def __init__(self, scheduler: UnitLifecycle):
        self._scheduler = scheduler
        self._reservations = UnitReservations()
        self._selector = EndpointSelector(scheduler, self._reservations)
        self._room_maker = RoomMaker(scheduler, self._reservations, self._selector)
        self._now_ms = 0
        self._wall_ms = 0

    def run(self, now_ms: int, wall_ms: int) -> None:
        """Plan all waiting units once, the most urgent first."""
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        usable = [
            endpoint
            for endpoint in self._scheduler.endpoint_by_id.values()
            if endpoint.is_usable(now_ms)
        ]
        self._scheduler.suspicion.lapse(usable, now_ms)
        self._selector.begin(usable, now_ms, wall_ms)
        self._room_maker.begin(now_ms, wall_ms)
        gpus_in_use = self._urgent_gpus_in_use()
        unplaceable_shapes: set[tuple] = set()
        waiting = sorted(
            self._scheduler.waiting.values(), key=lambda unit: (unit.sort_key, unit.key)
        )
        for unit in waiting:
            if unit.not_before_ms > now_ms:
                continue
            try:
                self._plan_unit(unit, gpus_in_use, unplaceable_shapes)
            except Exception as error:
                # Costs this unit a delay, and no other unit anything.
                self._scheduler.report_planning_fault(unit, error, now_ms)

    def drop_reservation(self, unit: Unit) -> None:
        """Drop the reservation of a unit."""
        self._reservations.drop(unit)

    def _plan_unit(self, unit, gpus_in_use, unplaceable_shapes) -> None:
        crashes = self._scheduler.crashes
        usable_count = len(self._selector.usable)
        if not crashes.may_start_now(unit, usable_count, self._now_ms):
            self.drop_reservation(unit)
            return
        shape = _placement_shape(unit)
        organisation = unit.job.spec.organisation
        is_guaranteed = self._is_guaranteed(unit, gpus_in_use)
        if shape in unplaceable_shapes and not is_guaranteed:
            return
        endpoints = self._selector.find_room(unit, on_slow=unit.priority > 0)
        if endpoints is None and unit.priority == 0:
            over_guarantee = self._organisations_over_guarantee()
            if self._room_maker.make_fast_room(unit, is_guaranteed, over_guarantee):
                # Its room counts for its organisation from now on.
                gpus_in_use[organisation] += unit.gpus
                return
            endpoints = self._selector.find_room(unit)
        if endpoints is not None:
            self.drop_reservation(unit)
            if unit.priority == 0:
                gpus_in_use[organisation] += unit.gpus
            self._scheduler.place(unit, endpoints, self._now_ms, self._wall_ms)
            self._selector.room_changed(endpoints)
            return
        unplaceable_shapes.add(shape)
        if is_guaranteed:
            gpus_in_use[organisation] += unit.gpus
        if is_guaranteed or _must_restart(unit):
            if self._room_maker.may_reclaim(unit):
                self._room_maker.reclaim(unit, self._organisations_over_guarantee())
        elif _needs_reservation(unit):
            self._room_maker.plan_reservation(unit)

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


def _must_restart(unit: Unit) -> bool:
    """Whether a long-running unit has run before, so that room is reclaimed for it."""
    return unit.step.is_long_running and unit.record.run > 0


def _needs_reservation(unit: Unit) -> bool:
    """Whether smaller units would keep taking the room that the unit waits for."""
    return unit.count > 1 or unit.gpus > 1


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
