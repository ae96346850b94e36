"""Decisions of the policy service that last, and tickets that expire."""

from ragwortshelf.core.advice import PolicyDecisions

BORN = 7


def _decisions(ticket_by_id, ids=("e", "f"), asked_ms=0, answered_ms=1_000):
    decisions = PolicyDecisions()
    decisions.track("j", "j.0.0")
    born_by_id = dict.fromkeys(ids, BORN)
    decisions.record_answer(
        "j.0.0", born_by_id, ticket_by_id, 3_000, asked_ms, answered_ms
    )
    return decisions


def test_an_approval_outlasts_its_ticket():
    decisions = _decisions({"e": "t"})
    assert decisions.has_ticket("j.0.0", "e", BORN, 3_500)
    assert not decisions.has_ticket("j.0.0", "e", BORN, 3_501)
    assert decisions.is_approved("j.0.0", "e", BORN) is True
    assert decisions.is_approved("j.0.0", "f", BORN) is False
    assert decisions.is_approved("j.0.0", "g", BORN) is None


def test_a_decision_is_about_one_incarnation():
    decisions = _decisions({"e": "t"})
    assert decisions.is_approved("j.0.0", "e", BORN + 1) is None
    assert decisions.ticket("j.0.0", "e", BORN + 1) == ""


# Guards against services whose answers always take longer than their tickets are valid.
def test_a_ticket_may_be_used_at_once_however_long_the_answer_took():
    decisions = _decisions({"e": "t", "f": "u"}, asked_ms=-9_000)
    decisions.ticket_refused("j.0.0", "f", 1_100)
    assert decisions.has_ticket("j.0.0", "e", BORN, 1_100)
    assert not decisions.has_ticket("j.0.0", "e", BORN, 1_101)


def test_a_refusal_in_the_time_from_the_question_says_nothing_of_other_tickets():
    decisions = _decisions({"e": "t", "f": "u"})
    decisions.ticket_refused("j.0.0", "f", 2_000)
    assert decisions.has_ticket("j.0.0", "e", BORN, 3_500)
    assert decisions.ticket("j.0.0", "f", BORN) == ""
    assert decisions.is_approved("j.0.0", "f", BORN) is True


# Guards against tickets that are given up while they are good, after a start that took
# longer than its ticket was valid in any case.
def test_a_refusal_after_the_time_from_the_answer_says_nothing_of_other_tickets():
    decisions = _decisions({"e": "t", "f": "u"})
    decisions.ticket_refused("j.0.0", "f", 4_001)
    assert decisions.has_ticket("j.0.0", "e", BORN, 3_500)


def test_a_refusal_between_the_two_times_shows_that_the_question_counts():
    decisions = _decisions({"e": "t", "f": "u"})
    decisions.ticket_refused("j.0.0", "f", 4_000)
    assert decisions.has_ticket("j.0.0", "e", BORN, 2_500)
    assert not decisions.has_ticket("j.0.0", "e", BORN, 2_501)


# Guards against answers about a job that ended meanwhile, which would be kept for good.
def test_an_answer_about_a_forgotten_step_is_dropped():
    decisions = PolicyDecisions()
    decisions.track("j", "j.0.0")
    decisions.track("j", "j.0.1")
    decisions.forget_step("j", "j.0.0")
    decisions.forget_job("j")
    for step in ("j.0.0", "j.0.1"):
        decisions.record_answer(step, {"e": BORN}, {"e": "t"}, 3_000, 0, 0)
        assert decisions.is_approved(step, "e", BORN) is None
