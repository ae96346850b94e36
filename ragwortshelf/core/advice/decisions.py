"""The policy service's answers: lasting decisions, and tickets that expire."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace

from .terms import start_margin_ms

__all__ = ["Decision", "PolicyDecisions", "Ticket", "Validity"]

FIRST_USE_MS = 100
"""Time after its arrival for which a ticket is used, however long the answer took. Its
time may count from the answer, and a refusal costs another question."""


SHARE_SAMPLE_SIZE = 30
SHARE_WEIGHT_MAX = 0.5
"""The share of approved endpoints is averaged over about so many, but no question
counts more than all before it."""


@dataclass(frozen=True, slots=True)
class Validity:
    """The time of a ticket, counted from one moment.

    A start may be decided until ``use_until_ms``, so that it arrives before the ticket
    expires at ``expires_ms``.
    """

    use_until_ms: int
    expires_ms: int

    @classmethod
    def counted_from(cls, since_ms: int, valid_ms: int) -> Validity:
        """Return the time of a ticket that is valid for ``valid_ms``.

        >>> Validity.counted_from(1_000, valid_ms=3_000)
        Validity(use_until_ms=3500, expires_ms=4000)
        """
        expires_ms = since_ms + valid_ms
        return cls(expires_ms - start_margin_ms(valid_ms), expires_ms)


@dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket for all tasks of a step on one incarnation of an endpoint.

    The service counts its time from a moment between the question and the answer. In
    any case a start may be decided with it until ``first_use_until_ms``.
    """

    text: str
    from_question: Validity
    from_answer: Validity
    first_use_until_ms: int

    @classmethod
    def received(
        cls, text: str, valid_ms: int, asked_ms: int, answered_ms: int
    ) -> Ticket:
        """Return the ticket of an answer, with the times of both messages."""
        return cls(
            text,
            Validity.counted_from(asked_ms, valid_ms),
            Validity.counted_from(answered_ms, valid_ms),
            answered_ms + FIRST_USE_MS,
        )

    def shows_count_from_question(self, refused_ms: int) -> bool:
        """Whether a refusal shows that the service counts its time from the question.

        One that came after the time from the answer as well shows nothing.
        """
        expired_ms = self.from_question.expires_ms
        return expired_ms < refused_ms <= self.from_answer.expires_ms


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether a step may run on one incarnation of an endpoint.

    ``started_wall_ms`` is when that incarnation started. ``ticket`` is the newest one,
    or None if there is none or an endpoint has refused it.
    """

    started_wall_ms: int
    is_approved: bool
    ticket: Ticket | None = None


class PolicyDecisions:
    """The decisions about the steps of jobs that have not ended.

    Steps are identified by the names that the service knows them by, and endpoints by
    their ids and the starts of their incarnations, in milliseconds of wall-clock time.
    Other times are in milliseconds of the caller's clock.

    The time of a ticket is counted from its answer, until an endpoint refuses one whose
    time from the question alone has passed. From then on it is counted from there.

    ``steps_refused_without_ticket`` are those of which a start was refused that had
    none. ``approved_share`` is the share of endpoints that were approved lately, over
    all steps.
    """

    def __init__(self):
        self.approved_share = 1.0
        self.steps_refused_without_ticket: set[str] = set()
        self._by_id_by_step: dict[str, dict[str, Decision]] = {}
        self._steps_by_job_id: dict[str, set[str]] = {}
        self._is_counted_from_question = False

    def track(self, job_id: str, step: str) -> None:
        """Keep decisions about a step from now on, until its job or it is forgotten."""
        if step not in self._by_id_by_step:
            self._by_id_by_step[step] = {}
            self._steps_by_job_id.setdefault(job_id, set()).add(step)

    def is_approved(
        self, step: str, endpoint_id: str, started_wall_ms: int
    ) -> bool | None:
        """Return whether an endpoint may run a step; None if that is not known."""
        decision = self._find(step, endpoint_id, started_wall_ms)
        return None if decision is None else decision.is_approved

    def approved(self, step: str) -> Iterator[tuple[str, int]]:
        """Return the approved endpoints and the starts of their incarnations."""
        for endpoint_id, decision in self._by_id_by_step.get(step, {}).items():
            if decision.is_approved:
                yield endpoint_id, decision.started_wall_ms

    def ticket(self, step: str, endpoint_id: str, started_wall_ms: int) -> str:
        """Return the newest ticket, valid or not; empty if there is none."""
        decision = self._find(step, endpoint_id, started_wall_ms)
        if decision is None or decision.ticket is None:
            return ""
        return decision.ticket.text

    def has_ticket(
        self, step: str, endpoint_id: str, started_wall_ms: int, at_ms: int
    ) -> bool:
        """Whether a start that is decided at ``at_ms`` can be sent with a ticket."""
        decision = self._find(step, endpoint_id, started_wall_ms)
        if decision is None or decision.ticket is None:
            return False
        return at_ms <= self._usable_until_ms(decision.ticket)

    def record_answer(
        self,
        step: str,
        started_wall_ms_by_id: Mapping[str, int],
        ticket_by_id: Mapping[str, str],
        valid_ms: int,
        asked_ms: int,
        answered_ms: int,
    ) -> None:
        """Store an answer about a step; it is dropped if the step has been forgotten.

        ``started_wall_ms_by_id`` holds the endpoints of the question in the
        incarnations that were known then; those without a ticket are denied.
        """
        self._note_share(len(ticket_by_id), len(started_wall_ms_by_id))
        by_id = self._by_id_by_step.get(step)
        if by_id is None:
            return
        for endpoint_id, started_wall_ms in started_wall_ms_by_id.items():
            text = ticket_by_id.get(endpoint_id)
            if text is None:
                by_id[endpoint_id] = Decision(started_wall_ms, False)
                continue
            ticket = Ticket.received(text, valid_ms, asked_ms, answered_ms)
            by_id[endpoint_id] = Decision(started_wall_ms, True, ticket)

    def ticket_refused(self, step: str, endpoint_id: str, now_ms: int) -> None:
        """Note that an endpoint refused its ticket; its approval remains."""
        by_id = self._by_id_by_step.get(step, {})
        decision = by_id.get(endpoint_id)
        if decision is None or decision.ticket is None:
            return
        if decision.ticket.shows_count_from_question(now_ms):
            self._is_counted_from_question = True
        by_id[endpoint_id] = replace(decision, ticket=None)

    def refused_without_ticket(self, job_id: str, step: str) -> None:
        """Note that an endpoint refused a start without a ticket."""
        self.track(job_id, step)
        self.steps_refused_without_ticket.add(step)

    def forget_step(self, job_id: str, step: str) -> None:
        """Drop what is known of a step."""
        self._drop(step)
        steps = self._steps_by_job_id.get(job_id)
        if steps is not None:
            steps.discard(step)
            if not steps:
                del self._steps_by_job_id[job_id]

    def forget_job(self, job_id: str) -> None:
        """Drop what is known of all steps of a job."""
        for step in self._steps_by_job_id.pop(job_id, ()):
            self._drop(step)

    def _drop(self, step: str) -> None:
        self._by_id_by_step.pop(step, None)
        self.steps_refused_without_ticket.discard(step)

    def _note_share(self, approved: int, asked: int) -> None:
        weight = min(SHARE_WEIGHT_MAX, asked / SHARE_SAMPLE_SIZE)
        share = min(1.0, approved / max(1, asked))
        self.approved_share += weight * (share - self.approved_share)

    def _find(
        self, step: str, endpoint_id: str, started_wall_ms: int
    ) -> Decision | None:
        decision = self._by_id_by_step.get(step, {}).get(endpoint_id)
        if decision is None or decision.started_wall_ms != started_wall_ms:
            return None
        return decision

    def _usable_until_ms(self, ticket: Ticket) -> int:
        validity = ticket.from_answer
        if self._is_counted_from_question:
            validity = ticket.from_question
        return max(validity.use_until_ms, ticket.first_use_until_ms)
