"""Choice of the next question to the policy service, by what waiting units need.

Which endpoints a question names is decided in ``question_endpoints``.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..advice import ENDPOINTS_PER_QUESTION_MAX, AdviceTerms
from .endpoint import Endpoint
from .endpoint_selection import EndpointSelector
from .lifecycle import UnitLifecycle
from .model import GANG, step_name
from .question_endpoints import QuestionEndpoints
from .unit import Unit

__all__ = ["AdviceQuestioner"]

USUAL_ANSWER_MS = 1_000
"""Time within which an answer is expected that may let a unit start. A guaranteed unit
has about 3 s for a question, the stop of other work and its starts."""

BACKGROUND_ANSWER_MS = 500
"""The same for units without room. Urgent questions may have to wait for the answer."""

RECHECK_DELAY_MS = 250
"""Delay before the endpoints are looked at again for a step with nothing to ask."""


class _QuestionRank(enum.IntEnum):
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
    rank: _QuestionRank
    chosen_by_id: dict[str, Endpoint]
    needs_approvals: bool


class AdviceQuestioner:
    """Collects what the units of a plan need, and puts the most urgent question.

    ``begin`` starts a plan, and ``ask`` ends it. Needs are collected only while no
    question is open. Among questions of one rank and priority, the step comes first
    that has waited longest, since its last question if there was one.
    """

    def __init__(self, scheduler: UnitLifecycle, selector: EndpointSelector):
        self._scheduler = scheduler
        self._selector = selector
        self._endpoints = QuestionEndpoints(scheduler, selector)
        self._need_by_step: dict[str, _Need] = {}
        # The step of the last question until that is closed.
        self._last_step = ""
        self._closed_ms_by_step: dict[str, int] = {}
        # Answers since a unit of the step was placed, which did not suffice.
        self._answer_count_by_step: dict[str, int] = {}
        self._recheck_ms_by_step: dict[str, int] = {}
        self._may_ask = False
        self._now_ms = 0

    def begin(self, now_ms: int) -> None:
        """Start a plan."""
        self._now_ms = now_ms
        self._may_ask = self._scheduler.advice_desk.may_ask(now_ms)
        self._need_by_step.clear()
        self._note_closed_question()

    def need_tickets(self, unit: Unit, endpoints: Iterable[Endpoint]) -> None:
        """Note that a unit would start on these endpoints if it had their tickets."""
        terms = self._terms_to_ask(unit)
        if terms is not None:
            chosen_by_id = {endpoint.id: endpoint for endpoint in endpoints}
            self._add(unit, terms, _QuestionRank.MAY_START, chosen_by_id)

    def need_approvals(self, unit: Unit) -> None:
        """Note that a unit finds no room on the endpoints that are approved so far."""
        terms = self._terms_to_ask(unit)
        if terms is None:
            return
        rank = _QuestionRank.WAITS_FOR_ROOM
        if self._selector.may_fit(unit):
            rank = _QuestionRank.MAY_START
        self._add(unit, terms, rank, {})

    def unit_placed(self, unit: Unit) -> None:
        """Note that a unit is starting, so that answers about its step sufficed."""
        self._answer_count_by_step.pop(step_name(unit.key), None)

    def ask(self) -> None:
        """Put the most urgent question, unless one is open."""
        if not self._may_ask:
            return
        self._prune()
        for step, need in sorted(self._need_by_step.items(), key=self._sort_key):
            recheck_ms = self._recheck_ms_by_step.get(step, 0)
            if self._now_ms < recheck_ms and not need.chosen_by_id:
                continue
            endpoints = self._endpoints_to_ask(step, need)
            if endpoints:
                self._last_step = step
                self._scheduler.ask_advice(
                    need.unit, endpoints, need.terms, self._now_ms
                )
                return
            self._recheck_ms_by_step[step] = self._now_ms + RECHECK_DELAY_MS

    def _note_closed_question(self) -> None:
        """Note when the last question was closed, and whether it was answered."""
        desk = self._scheduler.advice_desk
        step = self._last_step
        if not step or desk.open_question is not None:
            return
        self._last_step = ""
        self._closed_ms_by_step[step] = self._now_ms
        if desk.is_answering:
            count = self._answer_count_by_step.get(step, 0)
            self._answer_count_by_step[step] = count + 1

    def _terms_to_ask(self, unit: Unit) -> AdviceTerms | None:
        """Return the figures of a unit's service if a question may be put to it now."""
        return self._scheduler.advice_terms_of(unit) if self._may_ask else None

    def _add(
        self,
        unit: Unit,
        terms: AdviceTerms,
        rank: _QuestionRank,
        chosen_by_id: dict[str, Endpoint],
    ) -> None:
        if unit.is_guaranteed or unit.must_restart:
            rank = _QuestionRank.RECLAIMS
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
        since_ms = self._closed_ms_by_step.get(step, need.unit.waiting_since_ms)
        # The last part of the order is the deadline.
        *place, _ = need.unit.order_key
        return need.rank, place, since_ms

    def _prune(self) -> None:
        """Forget what is noted of steps that need nothing any more."""
        for by_step in (
            self._closed_ms_by_step,
            self._answer_count_by_step,
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
        endpoints = self._endpoints.without_ticket(
            step, need.chosen_by_id.values(), terms, self._now_ms
        )
        if endpoints and unit.key.member == GANG:
            return endpoints[:ENDPOINTS_PER_QUESTION_MAX]
        is_background = need.rank is _QuestionRank.WAITS_FOR_ROOM
        time_ms = BACKGROUND_ANSWER_MS if is_background else USUAL_ANSWER_MS
        count = terms.usual_count(time_ms)
        if endpoints and len(endpoints) < count:
            spare_count = count - len(endpoints)
            endpoints += self._endpoints.spare(unit, endpoints, spare_count)
        if need.needs_approvals:
            undecided = self._endpoints.undecided(unit)
            if not endpoints:
                count = self._endpoints.approval_count(
                    unit,
                    undecided,
                    terms,
                    count,
                    self._answer_count_by_step.get(step, 0),
                    is_other_waiting=len(self._need_by_step) > 1,
                )
            endpoints += undecided[: max(0, count - len(endpoints))]
        return endpoints[: min(count, ENDPOINTS_PER_QUESTION_MAX)]
