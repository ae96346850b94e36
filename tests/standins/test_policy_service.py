"""The policy service's stand-in keeps to the platform's specification."""

import pytest
import trio

from ragwortshelf.core.advice import AdviceTerms
from ragwortshelf.standins.policy_service import PolicyService

TERMS = AdviceTerms(200, 100, 1_000)
STEP, TASK = "j.0.0", "j.0.0.7"


def _service(**options):
    born_by_id = {"e": 1, "f": 1}
    return PolicyService(TERMS, born_by_id.get, **options), born_by_id


async def test_an_answer_takes_the_time_that_the_figures_state(autojump_clock):
    service, _ = _service(may_run=lambda step, endpoint_id: endpoint_id == "e")
    began_s = trio.current_time()
    answer = await service.ask("i", STEP, ("e", "f", "unknown"))
    assert trio.current_time() - began_s == pytest.approx(0.5)
    assert set(answer.ticket_by_id) == {"e"}


async def test_questions_of_one_caller_are_answered_in_turn(autojump_clock):
    service, _ = _service()
    ended_s_by_caller = {}

    async def ask(caller, number):
        answer = await service.ask(caller, STEP, ("e",))
        ended_s_by_caller[caller, number] = (trio.current_time(), answer)

    began_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(34):
            nursery.start_soon(ask, "i", number)
        nursery.start_soon(ask, "other", 0)
    assert sum(answer is None for _, answer in ended_s_by_caller.values()) > 0
    assert ended_s_by_caller["other", 0][0] - began_s == pytest.approx(0.3)
    last_s = max(ended_s for ended_s, _ in ended_s_by_caller.values())
    assert last_s - began_s > 30 * 0.3


@pytest.mark.parametrize(
    ("is_counted_from_question", "valid_s"), [(True, 0.7), (False, 1.0)]
)
async def test_a_ticket_expires(autojump_clock, is_counted_from_question, valid_s):
    service, _ = _service(is_counted_from_question=is_counted_from_question)
    answer = await service.ask("i", STEP, ("e",))
    ticket = answer.ticket_by_id["e"]
    assert not service.is_valid(ticket, TASK, "f")
    assert not service.is_valid(ticket, "j.0.1.0", "e")
    await trio.sleep(valid_s - 0.01)
    assert service.is_valid(ticket, TASK, "e")
    await trio.sleep(0.02)
    assert not service.is_valid(ticket, TASK, "e")


async def test_a_ticket_is_of_one_incarnation(autojump_clock):
    service, born_by_id = _service()
    ticket = (await service.ask("i", STEP, ("e",))).ticket_by_id["e"]
    born_by_id["e"] = 2
    assert not service.is_valid(ticket, TASK, "e")
