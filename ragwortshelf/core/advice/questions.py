"""The question that is open at the policy service, and when the next may be put."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .terms import AdviceTerms

__all__ = ["OpenQuestion", "QuestionDesk"]

ANSWER_TIME_FACTOR = 2
ANSWER_SLACK_MS = 1_000
"""An answer is given up after this many times the time that it should take, and the
slack. A question that is put again waits behind the one that was given up."""

UNANSWERED_DOUBLINGS_MAX = 3
"""How often the time for an answer is doubled while none arrives."""

RETRY_DELAY_MS = 300
"""Delay before the next question after one that the service did not answer."""


@dataclass(frozen=True, slots=True)
class OpenQuestion:
    """A question about a step that the service has not answered yet.

    ``started_wall_ms_by_id`` holds the endpoints that it names in the incarnations that
    are known, and ``deadline_ms`` is when it is given up.
    """

    step: str
    started_wall_ms_by_id: Mapping[str, int]
    terms: AdviceTerms
    deadline_ms: int


class QuestionDesk:
    """Has at most one question open, as the service handles one call at a time.

    What to ask next is decided when the service is free, so that no question waits
    whose step has started, ended or been cancelled meanwhile. Times are in milliseconds
    of the caller's clock.
    """

    def __init__(self):
        self.open_question: OpenQuestion | None = None
        self._not_before_ms = 0
        self._unanswered_count = 0

    @property
    def is_answering(self) -> bool:
        """Whether the latest question was answered, or there was none."""
        return self._unanswered_count == 0

    def may_ask(self, now_ms: int) -> bool:
        """Whether a question may be put now."""
        return self.open_question is None and now_ms >= self._not_before_ms

    def open(
        self,
        step: str,
        started_wall_ms_by_id: Mapping[str, int],
        terms: AdviceTerms,
        now_ms: int,
    ) -> OpenQuestion:
        """Open a question, which `close` ends."""
        expected_ms = terms.answer_ms(len(started_wall_ms_by_id))
        doublings = min(self._unanswered_count, UNANSWERED_DOUBLINGS_MAX)
        limit_ms = (ANSWER_TIME_FACTOR * expected_ms + ANSWER_SLACK_MS) << doublings
        self.open_question = OpenQuestion(
            step, started_wall_ms_by_id, terms, now_ms + limit_ms
        )
        return self.open_question

    def close(self, now_ms: int, *, is_answered: bool) -> None:
        """End the open question; without an answer the next one is delayed."""
        self.open_question = None
        if is_answered:
            self._unanswered_count = 0
        else:
            self._unanswered_count += 1
            self._not_before_ms = now_ms + RETRY_DELAY_MS

    def asked_ids(self, step: str) -> frozenset[str]:
        """Return the endpoints that the open question names, if it is about a step."""
        question = self.open_question
        if question is None or question.step != step:
            return frozenset()
        return frozenset(question.started_wall_ms_by_id)
