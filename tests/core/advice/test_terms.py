"""Sizes of questions by the figures of a policy service."""

import pytest

from ragwortshelf.core.advice import AdviceTerms


@pytest.mark.parametrize(
    ("decision_ms", "per_endpoint_ms", "count"),
    [(20, 2, 30), (0, 0, 30), (200, 100, 8), (0, 5_000, 1), (5_000, 5_000, 1)],
)
def test_a_question_names_what_is_answered_in_time(decision_ms, per_endpoint_ms, count):
    assert AdviceTerms(decision_ms, per_endpoint_ms).usual_count(1_000) == count


# Guards against a slow decision that is asked for about one endpoint after the other.
def test_a_slow_decision_is_asked_for_about_several_endpoints():
    assert AdviceTerms(900, 100).usual_count(1_000) == 9


@pytest.mark.parametrize(
    ("valid_ms", "is_too_slow"), [(3_000, False), (2_900, True), (0, False)]
)
def test_an_answer_is_too_slow_if_its_tickets_may_have_expired(valid_ms, is_too_slow):
    assert AdviceTerms(500, 200, valid_ms).is_too_slow_for(10) is is_too_slow
