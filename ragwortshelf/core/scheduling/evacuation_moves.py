"""Moves of long-running units out of evacuated data centres."""

from __future__ import annotations

from .advice_questions import AdviceQuestioner
from .availability import is_available
from .endpoint import Endpoint
from .endpoint_selection import EndpointSelector
from .evacuation import is_to_be_moved, units_on
from .lifecycle import UnitLifecycle
from .reclaim import EndpointReclaimPlan
from .reservations import UnitReservations
from .unit import Unit

__all__ = ["EvacuationMover"]


class EvacuationMover:
    """Moves what would never end on the endpoints of evacuated data centres.

    ``begin`` comes before a plan, whose waiting units take precedence, and ``run``
    after it.
    """

    def __init__(
        self,
        scheduler: UnitLifecycle,
        reservations: UnitReservations,
        selector: EndpointSelector,
        questioner: AdviceQuestioner,
    ):
        self._scheduler = scheduler
        self._reservations = reservations
        self._selector = selector
        self._questioner = questioner
        self._evacuated: list[Endpoint] = []
        self._now_ms = 0

    def begin(self, now_ms: int) -> None:
        """Find the evacuated endpoints, and drop the reservations on them."""
        self._now_ms = now_ms
        self._evacuated = []
        if self._scheduler.evacuations:
            endpoints = self._scheduler.endpoint_by_id.values()
            self._evacuated = [e for e in endpoints if e.is_evacuated]
        for endpoint in self._evacuated:
            self._reservations.drop_on(endpoint.id)

    def run(self) -> None:
        """Move units for which there is free room elsewhere."""
        unplaceable_shapes: set[tuple] = set()
        steps_at_limit: set[tuple] = set()
        for unit in units_on(self._evacuated, self._scheduler.unit_by_key):
            if not unit.step.is_long_running:
                continue
            try:
                self._move(unit, unplaceable_shapes, steps_at_limit)
            except Exception as error:
                self._scheduler.report_planning_fault(unit, error, self._now_ms)

    def _move(
        self,
        unit: Unit,
        unplaceable_shapes: set[tuple],
        steps_at_limit: set[tuple],
    ) -> None:
        """Stop a long-running unit of an evacuated data centre if it fits elsewhere.

        Nothing is stopped for it, and the room is kept until it starts there. Which
        units may be stopped is judged once for each shape without room and each step at
        its limit, since it takes a look at all units of the step.
        """
        if unit.is_suspect or unit.not_before_ms > self._now_ms:
            return
        if not self._scheduler.can_stop_now(unit):
            return
        shape = self._selector.shape(unit)
        if shape in unplaceable_shapes:
            return
        step = unit.key[:3]
        if step in steps_at_limit and is_available(unit):
            return
        if not is_to_be_moved(unit, self._scheduler.unit_by_key):
            if is_available(unit):
                steps_at_limit.add(step)
            return
        endpoints = self._selector.find_room(unit)
        if endpoints is None:
            unplaceable_shapes.add(shape)
            self._questioner.need_approvals(unit)
        else:
            plan = EndpointReclaimPlan(tuple(endpoints), ())
            self._reservations.reserve(unit, plan, self._now_ms, is_exclusive=True)
            self._scheduler.stop_unit(unit, "evacuated", self._now_ms)
