"""How long a policy service takes to answer, and how long its tickets are valid."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "ENDPOINTS_PER_QUESTION_MAX",
    "UNSTATED_TERMS",
    "AdviceTerms",
    "start_margin_ms",
]

ENDPOINTS_PER_QUESTION_MAX = 100
"""Endpoints that the policy service accepts in one question."""

USUAL_ENDPOINTS_MAX = 30
"""Endpoints that a question names at most without need; the objective of a job allows
for one question about so many per step."""

START_MARGIN_MS = 500
START_MARGIN_DIVISOR = 4
"""A ticket is used only while it is valid for so long, or for this part of its whole
time if that is less. Logging and sending a start takes less."""


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """The figures that a queue's configuration states for its policy service.

    A question is answered after ``decision_ms`` and ``per_endpoint_ms`` for each
    endpoint that it names. Tickets are valid for ``valid_ms``, which is 0 if it is not
    stated.

    >>> terms = AdviceTerms(decision_ms=200, per_endpoint_ms=100, valid_ms=3_000)
    >>> terms.answer_ms(24), terms.usual_count(1_000)
    (2600, 8)
    """

    decision_ms: int = 0
    per_endpoint_ms: int = 0
    valid_ms: int = 0

    def answer_ms(self, count: int) -> int:
        """Return how long the answer about ``count`` endpoints takes."""
        return self.decision_ms + self.per_endpoint_ms * count

    def usual_count(self, time_ms: int) -> int:
        """Return how many endpoints a question names that need not name more.

        The answer is expected within ``time_ms``, but the part of it that depends on
        the endpoints may always take as long as the decision does.
        """
        if self.per_endpoint_ms == 0:
            return USUAL_ENDPOINTS_MAX
        left_ms = max(time_ms - self.decision_ms, self.decision_ms)
        return max(1, min(USUAL_ENDPOINTS_MAX, left_ms // self.per_endpoint_ms))

    def trial_count(self, approved_share: float) -> int:
        """Return how many endpoints to ask about at a time until one is approved.

        It is the number with the least time in all, if each is approved with this
        probability.

        >>> terms = AdviceTerms(decision_ms=200, per_endpoint_ms=100)
        >>> terms.trial_count(0.9), terms.trial_count(0.2)
        (1, 4)
        """
        return min(
            range(1, USUAL_ENDPOINTS_MAX + 1),
            key=lambda count: (
                self.answer_ms(count) / (1 - (1 - approved_share) ** count)
            ),
        )

    def is_too_slow_for(self, count: int) -> bool:
        """Whether tickets may expire before the answer about ``count`` endpoints.

        They do if the service counts their time from the question.
        """
        if self.valid_ms == 0:
            return False
        margin_ms = start_margin_ms(self.valid_ms)
        return self.answer_ms(count) > self.valid_ms - margin_ms


def start_margin_ms(valid_ms: int) -> int:
    """Return how long a ticket must still be valid when its start is decided.

    >>> start_margin_ms(3_000), start_margin_ms(400)
    (500, 100)
    """
    return min(START_MARGIN_MS, valid_ms // START_MARGIN_DIVISOR)


UNSTATED_TERMS = AdviceTerms(decision_ms=500, per_endpoint_ms=50)
"""Figures assumed of a service whose own are not known, as that of a queue that was
withdrawn in an earlier term. They allow for a slow one."""
