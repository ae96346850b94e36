"""Steps for which a policy service must approve each endpoint."""

from dataclasses import replace

from harness import Harness, configuration

from ragwortshelf.core.scheduling.actions import AskAdvice, StartTask
from ragwortshelf.core.scheduling.listings import StartOutcome


def _harness(endpoints=3):
    harness = Harness(endpoints=endpoints)
    plain = configuration()
    queues = tuple(replace(queue, needs_advice=True) for queue in plain.queues)
    harness.scheduler.configure(replace(plain, queues=queues))
    return harness


def _record_questions(harness):
    """Replace the harness's collection of actions by one that keeps questions."""
    questions = []

    def collect():
        for action in harness.scheduler.take_actions():
            if isinstance(action, AskAdvice):
                questions.append(action)
            elif isinstance(action, StartTask):
                harness.starts.append(action)

    harness.collect = collect
    return questions


def test_a_step_starts_only_on_approved_endpoints_and_with_its_ticket():
    harness = _harness()
    questions = _record_questions(harness)
    harness.submit("j", count=2)
    assert not harness.starts
    (question,) = questions
    assert question.step == "j.0.0"
    allowed = question.endpoint_ids[0]
    harness.scheduler.advice_received(
        question.step, question.endpoint_ids, {allowed: "t"}, harness.now + 3_000
    )
    harness.plan()
    assert {s.endpoint_id for s in harness.starts} == {allowed}
    assert {s.ticket for s in harness.starts} == {"t"}


def test_an_expired_ticket_is_requested_again_for_the_approved_endpoint():
    harness = _harness()
    questions = _record_questions(harness)
    harness.submit("j")
    (question,) = questions
    allowed = question.endpoint_ids[-1]
    harness.scheduler.advice_received(
        question.step, question.endpoint_ids, {allowed: "t"}, harness.now + 100
    )
    harness.plan()
    assert not harness.starts
    assert questions[1].endpoint_ids == (allowed,)


def test_a_step_has_one_open_question_at_a_time():
    harness = _harness()
    questions = _record_questions(harness)
    harness.submit("j")
    harness.advance(1_000)
    assert len(questions) == 1
    harness.scheduler.advice.allow_retry("j.0.0", harness.now)
    harness.advance(10)
    assert len(questions) == 2


def test_a_rejected_ticket_is_not_used_again():
    harness = _harness(endpoints=1)
    questions = _record_questions(harness)
    harness.submit("j")
    assert len(questions) == 1
    harness.scheduler.advice_received(
        "j.0.0", ("e0",), {"e0": "old"}, harness.now + 9_000
    )
    harness.plan()
    harness.refuse_start(StartOutcome.NO_TICKET)
    harness.advance(500)
    assert not harness.starts
    assert len(questions) == 2
