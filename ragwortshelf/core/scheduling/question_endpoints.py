"""Which endpoints a question to the policy service names, and how many."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable

from ..advice import AdviceTerms
from .endpoint import Endpoint
from .endpoint_selection import EndpointSelector
from .lifecycle import UnitLifecycle
from .model import GANG
from .unit import Unit

__all__ = ["QuestionEndpoints"]

QUICK_ANSWER_MS = 100
"""A question names endpoints beyond need if it is answered within this time, and no
other step waits for one. A choice of endpoints makes for better packing."""

APPROVED_SHARE_MIN = 0.1
QUESTION_DOUBLINGS_MAX = 7
"""Limits of the expected share of approvals, and of how often a question is doubled."""


class QuestionEndpoints:
    """Finds the endpoints to ask about during one plan of the selector."""

    def __init__(self, scheduler: UnitLifecycle, selector: EndpointSelector):
        self._scheduler = scheduler
        self._selector = selector

    def without_ticket(
        self, step: str, chosen: Iterable[Endpoint], terms: AdviceTerms, now_ms: int
    ) -> list[Endpoint]:
        """Return the chosen endpoints whose tickets would expire before an answer.

        Those without a ticket come first, in case they are too many for one question.
        """
        has_ticket = self._scheduler.decisions.has_ticket
        missing: list[Endpoint] = []
        left = list(chosen)
        due_ms = now_ms
        while True:
            expiring = [
                e for e in left if not has_ticket(step, e.id, e.started_wall_ms, due_ms)
            ]
            if not expiring:
                return missing
            missing += expiring
            left = [e for e in left if e not in expiring]
            due_ms = now_ms + terms.answer_ms(len(missing))

    def spare(
        self, unit: Unit, chosen: list[Endpoint], count_max: int
    ) -> list[Endpoint]:
        """Return further approved endpoints for the other tasks of the step."""
        tasks_left = self._scheduler.waiting_count(unit.key.job_id)
        tasks_left -= sum(self._selector.slots(unit, e) for e in chosen)
        spare = []
        for endpoint in self._selector.approved(unit):
            if tasks_left <= 0 or len(spare) >= count_max:
                break
            slots = self._selector.slots(unit, endpoint)
            if slots and endpoint not in chosen:
                spare.append(endpoint)
                tasks_left -= slots
        return spare

    def undecided(self, unit: Unit) -> list[Endpoint]:
        """Return the endpoints about which nothing is known, the most useful first.

        Those come first on which the unit could start, and then those on which room can
        be made for it; where it has to stay on one rack, rack by rack.
        """
        step = unit.step
        undecided = self._selector.undecided(unit)
        slots_by_id = {e.id: self._selector.slots(unit, e) for e in undecided}
        slots_by_rack: dict[str, int] = defaultdict(int)
        if step.is_rack_sensitive and unit.count > 1:
            for endpoint in (*undecided, *self._selector.approved(unit)):
                slots_by_rack[endpoint.rack] += self._selector.slots(unit, endpoint)

        def usefulness(endpoint: Endpoint) -> tuple:
            rack = endpoint.rack
            return (
                endpoint.is_suspected or endpoint.id in unit.avoided_ids,
                bool(step.preferred_rack) and rack != step.preferred_rack,
                -slots_by_rack.get(rack, 0),
                rack if slots_by_rack else "",
                -min(unit.count, slots_by_id[endpoint.id]),
                -self._reclaimable_gpus(endpoint, unit),
                -endpoint.free_gpus,
                endpoint.id,
            )

        return sorted(undecided, key=usefulness)

    def _reclaimable_gpus(self, endpoint: Endpoint, unit: Unit) -> int:
        """Return the accelerators of an endpoint that less urgent units occupy."""
        unit_by_key = self._scheduler.unit_by_key
        gpus = 0
        for placement in endpoint.placement_by_task.values():
            holder = unit_by_key.get(placement.unit_key)
            if holder is not None and holder.priority > unit.priority:
                gpus += placement.occupied.gpus
        return gpus

    def approval_count(
        self,
        unit: Unit,
        undecided: list[Endpoint],
        terms: AdviceTerms,
        usual_count: int,
        answer_count: int,
        *,
        is_other_waiting: bool,
    ) -> int:
        """Return how many undecided endpoints to ask about at a time.

        These are as many as are likely to be needed, by the share that was approved
        lately, and twice as many after each of the ``answer_count`` answers that did
        not suffice. They are no more than ``usual_count`` unless all tasks are to start
        together; asking about those in parts takes no longer where their tickets would
        expire before the answer.
        """
        needed_count = self._needed_count(unit, undecided)
        share = max(self._scheduler.decisions.approved_share, APPROVED_SHARE_MIN)
        doublings = min(answer_count, QUESTION_DOUBLINGS_MAX)
        likely_count = min(
            math.ceil(needed_count / share), needed_count * terms.trial_count(share)
        )
        likely_count <<= doublings
        quick_count = 0
        if not is_other_waiting:
            quick_count = terms.usual_count(QUICK_ANSWER_MS)
        count = min(usual_count, max(likely_count, quick_count))
        start_together = unit.key.member == GANG or unit.is_guaranteed
        if start_together and not terms.is_too_slow_for(needed_count):
            count = max(count, needed_count)
        return count

    def _needed_count(self, unit: Unit, undecided: list[Endpoint]) -> int:
        """Return how many undecided endpoints the step needs if all are approved."""
        tasks = unit.count
        if unit.key.member != GANG:
            tasks = self._scheduler.waiting_count(unit.key.job_id)
        for endpoint in self._selector.approved(unit):
            tasks -= self._slots_if_empty(unit, endpoint)
        count = 0
        for endpoint in undecided:
            if tasks <= 0:
                break
            count += 1
            tasks -= self._slots_if_empty(unit, endpoint)
        return max(1, count)

    @staticmethod
    def _slots_if_empty(unit: Unit, endpoint: Endpoint) -> int:
        slots = unit.step.occupied.times_in(endpoint.info.capacity)
        return min(slots, unit.step.tasks_per_endpoint_max or slots)
