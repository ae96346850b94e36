"""Stand-in for the platform's policy service, which approves endpoints for steps.

It runs inside the process that uses it, on trio's clock.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import trio

from ..core.advice import AdviceTerms

__all__ = ["PolicyAnswer", "PolicyService"]

WAITING_CALLS_MAX = 32
"""Calls of one caller that may wait for their turn; further ones are refused."""


@dataclass(frozen=True, slots=True)
class PolicyAnswer:
    """The tickets of the approved endpoints, valid for ``valid_ms``."""

    ticket_by_id: Mapping[str, str]
    valid_ms: int


class PolicyService:
    """Answers one question at a time for each caller.

    ``incarnation_of`` returns a number that changes when an endpoint restarts, or None
    for an unknown endpoint. ``may_run`` says whether a step may run on an endpoint. The
    time of a ticket begins with the question if ``is_counted_from_question``, and with
    the answer otherwise. ``extra_ms`` is added to each answer, and no answer is sent
    while ``is_silent``. ``steps`` lists the steps of all questions.
    """

    def __init__(
        self,
        terms: AdviceTerms,
        incarnation_of: Callable[[str], int | None],
        *,
        is_counted_from_question: bool = False,
        may_run: Callable[[str, str], bool] = lambda step, endpoint_id: True,
    ):
        self.terms = terms
        self.is_counted_from_question = is_counted_from_question
        self.may_run = may_run
        self.extra_ms = 0
        self.is_silent = False
        self.steps: list[str] = []
        self._incarnation_of = incarnation_of
        self._expiry_s_by_ticket: dict[str, float] = {}
        self._lock_by_caller: dict[str, trio.Lock] = defaultdict(trio.Lock)
        self._waiting_by_caller: Counter[str] = Counter()

    async def ask(
        self, caller: str, step: str, endpoint_ids: Sequence[str]
    ) -> PolicyAnswer | None:
        """Answer a question in its turn; None if too many of the caller are waiting.

        A caller that stops waiting does not end the work on its question.
        """
        if self._waiting_by_caller[caller] >= WAITING_CALLS_MAX:
            return None
        self._waiting_by_caller[caller] += 1
        with trio.CancelScope(shield=True):
            async with self._lock_by_caller[caller]:
                self._waiting_by_caller[caller] -= 1
                answer = await self._decide(step, endpoint_ids)
        await trio.lowlevel.checkpoint_if_cancelled()
        return answer

    async def _decide(self, step: str, endpoint_ids: Sequence[str]) -> PolicyAnswer:
        terms = self.terms
        self.steps.append(step)
        began_s = trio.current_time()
        delay_ms = terms.answer_ms(len(endpoint_ids)) + self.extra_ms
        await trio.sleep(delay_ms / 1000)
        while self.is_silent:
            await trio.sleep(0.1)
        if not self.is_counted_from_question:
            began_s = trio.current_time()
        ticket_by_id = {}
        for endpoint_id in endpoint_ids:
            incarnation = self._incarnation_of(endpoint_id)
            if incarnation is not None and self.may_run(step, endpoint_id):
                ticket = f"{step}/{endpoint_id}/{incarnation}"
                ticket_by_id[endpoint_id] = ticket
                self._expiry_s_by_ticket[ticket] = began_s + terms.valid_ms / 1000
        return PolicyAnswer(ticket_by_id, terms.valid_ms)

    def is_valid(self, ticket: str, task: str, endpoint_id: str) -> bool:
        """Whether an endpoint accepts a ticket for a task now."""
        step, _, _ = task.rpartition(".")
        incarnation = self._incarnation_of(endpoint_id)
        if ticket != f"{step}/{endpoint_id}/{incarnation}":
            return False
        return trio.current_time() < self._expiry_s_by_ticket.get(ticket, 0)
