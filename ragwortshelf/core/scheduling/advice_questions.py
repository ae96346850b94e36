"""Choice of the next question to the policy service, by what waiting units need."""

from __future__ import annotations

import enum
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..advice import ENDPOINTS_PER_QUESTION_MAX, AdviceTerms
from .endpoint import Endpoint
from .endpoint_selection import EndpointSelector
from .lifecycle import UnitLifecycle
from .model import GANG, step_name
from .unit import Unit

__all__ = ["AdviceQuestioner", "QuestionRank"]

QUICK_ANSWER_MS = 100
"""A question names endpoints beyond need if it is answered within this time, and no
other step waits for one. A choice of endpoints makes for better packing."""

USUAL_ANSWER_MS = 1_000
"""Time within which an answer is expected that may let a unit start. A guaranteed unit
has about 3 s for a question, the stop of other work and its starts."""

BACKGROUND_ANSWER_MS = 500
"""The same for units without room. Urgent questions may have to wait for the answer."""

APPROVED_SHARE_MIN = 0.1
QUESTION_DOUBLINGS_MAX = 7
"""Limits of the expected share of approvals, and of how often a question is doubled."""

RECHECK_DELAY_MS = 250
"""Delay before the endpoints are looked at again for a step with nothing to ask."""


class QuestionRank(enum.IntEnum):
    """Which questions come first: the lowest rank, and then the lowest priority."""

    RECLAIMS = 0
    """The unit's room is reclaimed if it has to be."""

    MAY_START = 1
    """There is free room on which the unit may be allowed to run."""

    WAITS_FOR_ROOM = 2


@dataclass(frozen=True, slots=True)
class _Need:
    """What a step needs: tickets of chosen endpoints, approvals of others, or both.

    ``unit`` is the first of its units in the order of the plan.
    """

    unit: Unit
    terms: AdviceTerms
    rank: QuestionRank
    chosen_by_id: dict[str, Endpoint]
    needs_approvals: bool


class AdviceQuestioner:
    """Collects what the units of a plan need, and puts the most urgent question.

    ``begin`` starts a plan, and ``ask`` ends it. Needs are collected only while no
    question is open. Among questions of one rank and priority, the step comes first
    that has waited longest, since its last answer if there was one.
    """

    def __init__(self, scheduler: UnitLifecycle, selector: EndpointSelector):
        self._scheduler = scheduler
        self._selector = selector
        self._need_by_step: dict[str, _Need] = {}
        # The step of the last question until that is closed, and when others were.
        self._last_step = ""
        self._answered_ms_by_step: dict[str, int] = {}
        self._question_count_by_step: dict[str, int] = {}
        self._recheck_ms_by_step: dict[str, int] = {}
        self._may_ask = False
        self._now_ms = 0

    def begin(self, now_ms: int) -> None:
        """Start a plan."""
        self._now_ms = now_ms
        self._may_ask = self._scheduler.advice_desk.may_ask(now_ms)
        self._need_by_step.clear()

    def need_tickets(self, unit: Unit, endpoints: Iterable[Endpoint]) -> None:
        """Note that a unit would start on these endpoints if it had their tickets."""
        terms = self._terms_to_ask(unit)
        if terms is not None:
            chosen_by_id = {endpoint.id: endpoint for endpoint in endpoints}
            self._add(unit, terms, QuestionRank.MAY_START, chosen_by_id)

    def need_approvals(self, unit: Unit) -> None:
        """Note that a unit finds no room on the endpoints that are approved so far."""
        terms = self._terms_to_ask(unit)
        if terms is None:
            return
        rank = QuestionRank.WAITS_FOR_ROOM
        if self._selector.may_fit(unit):
            rank = QuestionRank.MAY_START
        self._add(unit, terms, rank, {})

    def unit_placed(self, unit: Unit) -> None:
        """Note that a unit is starting, so that its step's questions were of use."""
        self._question_count_by_step.pop(step_name(unit.key), None)

    def ask(self) -> None:
        """Put the most urgent question, unless one is open."""
        if not self._may_ask:
            return
        if self._last_step:
            self._answered_ms_by_step[self._last_step] = self._now_ms
            self._last_step = ""
        self._prune()
        for step, need in sorted(self._need_by_step.items(), key=self._sort_key):
            recheck_ms = self._recheck_ms_by_step.get(step, 0)
            if self._now_ms < recheck_ms and not need.chosen_by_id:
                continue
            endpoints = self._endpoints_to_ask(step, need)
            if endpoints:
                count = self._question_count_by_step.get(step, 0)
                self._question_count_by_step[step] = count + 1
                self._last_step = step
                self._scheduler.ask_advice(
                    need.unit, endpoints, need.terms, self._now_ms
                )
                return
            self._recheck_ms_by_step[step] = self._now_ms + RECHECK_DELAY_MS

    def _terms_to_ask(self, unit: Unit) -> AdviceTerms | None:
        """Return the figures of a unit's service if a question may be put to it now."""
        return self._scheduler.advice_terms_of(unit) if self._may_ask else None

    def _add(
        self,
        unit: Unit,
        terms: AdviceTerms,
        rank: QuestionRank,
        chosen_by_id: dict[str, Endpoint],
    ) -> None:
        if unit.is_guaranteed or unit.must_restart:
            rank = QuestionRank.RECLAIMS
        step = step_name(unit.key)
        need = self._need_by_step.get(step)
        if need is None:
            need = _Need(unit, terms, rank, chosen_by_id, not chosen_by_id)
        else:
            need = replace(
                need,
                rank=min(need.rank, rank),
                chosen_by_id=need.chosen_by_id | chosen_by_id,
                needs_approvals=need.needs_approvals or not chosen_by_id,
            )
        self._need_by_step[step] = need

    def _sort_key(self, item: tuple[str, _Need]) -> tuple:
        step, need = item
        since_ms = self._answered_ms_by_step.get(step, need.unit.waiting_since_ms)
        # The last part of the order is the deadline.
        *place, _ = need.unit.order_key
        return need.rank, place, since_ms

    def _prune(self) -> None:
        """Forget what is noted of steps that need nothing any more."""
        for by_step in (
            self._answered_ms_by_step,
            self._question_count_by_step,
            self._recheck_ms_by_step,
        ):
            for step in [step for step in by_step if step not in self._need_by_step]:
                del by_step[step]

    def _endpoints_to_ask(self, step: str, need: _Need) -> list[Endpoint]:
        """Return the endpoints of a question; empty if nothing is left to ask.

        The tickets of a gang are asked for in one question, so that all of them are
        valid at the same time, and nothing else is, so that the answer comes soon.
        """
        unit, terms = need.unit, need.terms
        endpoints = self._without_ticket(step, need)
        if endpoints and unit.key.member == GANG:
            return endpoints[:ENDPOINTS_PER_QUESTION_MAX]
        is_background = need.rank is QuestionRank.WAITS_FOR_ROOM
        time_ms = BACKGROUND_ANSWER_MS if is_background else USUAL_ANSWER_MS
        count = terms.usual_count(time_ms)
        if endpoints and len(endpoints) < count:
            endpoints += self._spare(unit, endpoints, count - len(endpoints))
        if need.needs_approvals:
            undecided = self._undecided(unit)
            if not endpoints:
                asked_count = self._question_count_by_step.get(step, 0)
                count = self._approval_count(need, undecided, count, asked_count)
            endpoints += undecided[: max(0, count - len(endpoints))]
        return endpoints[: min(count, ENDPOINTS_PER_QUESTION_MAX)]

    def _without_ticket(self, step: str, need: _Need) -> list[Endpoint]:
        """Return the chosen endpoints whose tickets would expire before an answer.

        Those without a ticket come first, in case they are too many for one question.
        """
        missing: list[Endpoint] = []
        left = list(need.chosen_by_id.values())
        due_ms = self._now_ms
        while True:
            expiring = [e for e in left if not self._has_ticket(step, e, due_ms)]
            if not expiring:
                return missing
            missing += expiring
            left = [e for e in left if e not in expiring]
            due_ms = self._now_ms + need.terms.answer_ms(len(missing))

    def _has_ticket(self, step: str, endpoint: Endpoint, at_ms: int) -> bool:
        return self._scheduler.decisions.has_ticket(
            step, endpoint.id, endpoint.started_wall_ms, at_ms
        )

    def _spare(
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

    def _undecided(self, unit: Unit) -> list[Endpoint]:
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

    def _approval_count(
        self,
        need: _Need,
        undecided: list[Endpoint],
        usual_count: int,
        asked_count: int,
    ) -> int:
        """Return how many undecided endpoints to ask about at a time.

        These are as many as are likely to be needed, by the share that was approved
        lately, and twice as many after each question that did not suffice. They are no
        more than usual unless all tasks are to start together; asking about those in
        parts takes no longer where their tickets would expire.
        """
        unit, terms = need.unit, need.terms
        needed_count = self._needed_count(unit, undecided)
        share = max(self._scheduler.decisions.approved_share, APPROVED_SHARE_MIN)
        doublings = min(asked_count, QUESTION_DOUBLINGS_MAX)
        likely_count = min(
            math.ceil(needed_count / share), needed_count * terms.trial_count(share)
        )
        likely_count <<= doublings
        quick_count = 0
        if len(self._need_by_step) == 1:
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
