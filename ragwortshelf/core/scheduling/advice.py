"""Cache of the policy service's answers about which endpoints may run a step.

A question names a step and some endpoints. The answer for an endpoint never changes,
but the ticket that comes with an approval expires.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .endpoint import Endpoint
from .unit import Unit

__all__ = ["AdviceCache", "Approval", "step_name"]

ENDPOINTS_PER_QUESTION_MAX = 30
"""Endpoints named in one question; the objective of a job allows for 30 per step."""

EXPIRY_MARGIN_MS = 500
"""A ticket with less time left is not used; logging and sending a start takes less."""

QUESTION_TIMEOUT_MS = 4_000
"""Time without an answer after which a question is asked again."""


@dataclass(frozen=True, slots=True)
class Approval:
    """A ticket for all tasks of a step on one incarnation of an endpoint.

    ``started_wall_ms`` is when that incarnation started.
    """

    ticket: str
    started_wall_ms: int
    expires_ms: int


class _StepAdvice:
    """The answers about one step, and until when its question is open."""

    __slots__ = ("approval_by_id", "approved_ids", "denied_ids", "open_until_ms")

    def __init__(self):
        self.approval_by_id: dict[str, Approval] = {}
        self.approved_ids: set[str] = set()
        self.denied_ids: set[str] = set()
        self.open_until_ms = 0


def step_name(unit: Unit) -> str:
    """Return the policy service's name for a step of one occurrence."""
    return f"{unit.key.job_id}.{unit.key.occurrence}.{unit.key.step}"


class AdviceCache:
    """The policy service's answers, by step."""

    def __init__(self):
        self._advice_by_step: dict[str, _StepAdvice] = {}

    def with_ticket(
        self, unit: Unit, endpoints: Sequence[Endpoint], now_ms: int
    ) -> list[Endpoint]:
        """Return the endpoints for which a valid ticket is cached."""
        return [e for e in endpoints if self.ticket(unit, e, now_ms) is not None]

    def ticket(self, unit: Unit, endpoint: Endpoint, now_ms: int) -> str | None:
        """Return a ticket that stays valid long enough for a start, or None."""
        advice = self._advice_by_step.get(step_name(unit))
        approval = advice.approval_by_id.get(endpoint.id) if advice else None
        if approval is None or approval.started_wall_ms != endpoint.started_wall_ms:
            return None
        if approval.expires_ms - EXPIRY_MARGIN_MS < now_ms:
            return None
        return approval.ticket

    def open_question(
        self, unit: Unit, endpoints: Sequence[Endpoint], now_ms: int
    ) -> tuple[str, ...]:
        """Open a question and return its endpoints; none while one is open already.

        Endpoints approved earlier come first, then those with the most free
        accelerators.
        """
        name = step_name(unit)
        advice = self._advice_by_step.setdefault(name, _StepAdvice())
        if now_ms < advice.open_until_ms:
            return ()
        undecided = [
            e
            for e in endpoints
            if e.id not in advice.denied_ids and self.ticket(unit, e, now_ms) is None
        ]
        if not undecided:
            return ()
        undecided.sort(
            key=lambda e: (e.id not in advice.approved_ids, -e.free_gpus, e.id)
        )
        advice.open_until_ms = now_ms + QUESTION_TIMEOUT_MS
        return tuple(e.id for e in undecided[:ENDPOINTS_PER_QUESTION_MAX])

    def record_answer(
        self,
        step: str,
        asked_ids: Sequence[str],
        ticket_by_id: dict[str, str],
        started_wall_ms_by_id: dict[str, int],
        expires_ms: int,
    ) -> None:
        """Store an answer; endpoints in ``asked_ids`` without a ticket are denied."""
        advice = self._advice_by_step.setdefault(step, _StepAdvice())
        advice.open_until_ms = 0
        for endpoint_id in asked_ids:
            ticket = ticket_by_id.get(endpoint_id)
            if ticket is None:
                advice.denied_ids.add(endpoint_id)
                continue
            advice.approved_ids.add(endpoint_id)
            advice.approval_by_id[endpoint_id] = Approval(
                ticket, started_wall_ms_by_id.get(endpoint_id, 0), expires_ms
            )

    def allow_retry(self, step: str, retry_ms: int) -> None:
        """Allow an unanswered question to be asked again from ``retry_ms`` on."""
        advice = self._advice_by_step.get(step)
        if advice is not None:
            advice.open_until_ms = retry_ms

    def drop_ticket(self, unit: Unit, endpoint_id: str) -> None:
        """Drop a ticket that an endpoint rejected."""
        advice = self._advice_by_step.get(step_name(unit))
        if advice is not None:
            advice.approval_by_id.pop(endpoint_id, None)

    def forget(self, job_id: str) -> None:
        """Drop all answers about a job's steps."""
        prefix = f"{job_id}."
        for name in [n for n in self._advice_by_step if n.startswith(prefix)]:
            del self._advice_by_step[name]
