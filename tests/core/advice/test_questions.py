"""The open question, and when the next one may be put."""

from ragwortshelf.core.advice import AdviceTerms, QuestionDesk

TERMS = AdviceTerms(200, 100, 3_000)


def _limit_ms(desk, now_ms):
    return desk.open("j.0.0", {"e": 1, "f": 1}, TERMS, now_ms).deadline_ms - now_ms


def test_one_question_is_open_at_a_time():
    desk = QuestionDesk()
    assert desk.may_ask(0)
    desk.open("j.0.0", {"e": 1}, TERMS, 0)
    assert not desk.may_ask(60_000)
    assert desk.asked_ids("j.0.0") == {"e"}
    assert desk.asked_ids("k.0.0") == frozenset()
    desk.close(400, is_answered=True)
    assert desk.may_ask(400)


# Guards against a service that is slower than stated and never has time to answer.
def test_the_time_for_an_answer_grows_while_none_arrives():
    desk = QuestionDesk()
    first_ms = _limit_ms(desk, 0)
    assert first_ms > TERMS.answer_ms(2)
    for now_ms in range(1_000, 11_000, 1_000):
        desk.close(now_ms, is_answered=False)
        assert not desk.may_ask(now_ms + 100)
        limit_ms = _limit_ms(desk, now_ms + 1_000)
    assert limit_ms == 8 * first_ms
    desk.close(20_000, is_answered=True)
    assert _limit_ms(desk, 20_000) == first_ms
