"""Steps for which a policy service must approve each endpoint."""

import pytest
from advice_harness import AdvisedFleet
from harness import SMALL

from ragwortshelf.core.advice import AdviceTerms
from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.actions import WaitCause

QUICK = AdviceTerms(decision_ms=20, per_endpoint_ms=2, valid_ms=5_000)
SLOW = AdviceTerms(decision_ms=200, per_endpoint_ms=100, valid_ms=3_000)
WHOLE = Resources(8_000, 8_000, 8)

NOTHING_RUNS_MAX_MS = 3_000
RECLAIM_MAX_MS = 2_900
"""Bounds of the platform's specification."""


def _play(fleet, limit_ms, is_over):
    """Answer questions, obey stops and let time pass; returns when ``is_over`` holds.

    None if it does not hold within the limit.
    """
    begin_ms = fleet.now
    while not is_over():
        if fleet.now - begin_ms > limit_ms:
            return None
        if fleet.questions:
            fleet.answer()
        else:
            fleet.wait_until(fleet.now + 50)
        fleet.obey_stops()
    return fleet.now - begin_ms


def test_a_step_starts_only_on_approved_endpoints_and_with_its_ticket():
    fleet = AdvisedFleet(QUICK, endpoints=3)
    fleet.submit("j", count=2)
    assert not fleet.starts
    allowed, *fleet.denied_ids = fleet.asked_ids()
    fleet.answer()
    assert {s.endpoint_id for s in fleet.starts} == {allowed}
    assert {s.ticket for s in fleet.starts} == {f"j.0.0@{allowed}"}


def test_an_expired_ticket_is_requested_again_for_the_approved_endpoint():
    fleet = AdvisedFleet(QUICK, endpoints=2)
    fleet.submit("other", "p2", request=WHOLE, estimate_ms=60_000)
    fleet.answer()
    ((endpoint_id, task),) = [(s.endpoint_id, s.task) for s in fleet.accept_starts()]
    fleet.submit("j")
    fleet.denied_ids = {"e0", "e1"} - {endpoint_id}
    fleet.answer()
    assert not fleet.starts
    fleet.wait_until(fleet.now + QUICK.valid_ms)
    fleet.end(endpoint_id, task)
    assert not fleet.starts
    assert fleet.answer() == (endpoint_id,)
    assert [start.endpoint_id for start in fleet.starts] == [endpoint_id]


def test_one_question_is_open_at_a_time():
    fleet = AdvisedFleet(QUICK, endpoints=3)
    fleet.submit("j")
    fleet.submit("k")
    fleet.wait_until(fleet.now + 1_000)
    ((_, question),) = fleet.questions
    assert question.step == "j.0.0"
    fleet.answer()
    ((_, question),) = fleet.questions
    assert question.step == "k.0.0"


def test_an_unanswered_question_is_put_again():
    fleet = AdvisedFleet(QUICK, endpoints=3)
    fleet.submit("j")
    fleet.questions.clear()
    fleet.scheduler.advice_unanswered(fleet.now)
    fleet.wait_until(fleet.now + 1_000)
    assert fleet.asked_ids() == ("e0", "e1", "e2")


def test_a_rejected_ticket_is_not_used_again():
    fleet = AdvisedFleet(QUICK, endpoints=1)
    fleet.submit("j")
    fleet.answer()
    fleet.refuse_ticket()
    fleet.wait_until(fleet.now + 500)
    assert not fleet.starts
    assert fleet.answer() == ("e0",)
    assert len(fleet.starts) == 1


# Guards against tickets that are out of use when they arrive, as the service takes
# nearly their whole time for all endpoints (case 7 of the second review).
@pytest.mark.parametrize(
    ("terms", "endpoints"),
    [
        (SLOW, 24),
        (AdviceTerms(200, 100, 5_000), 40),
        (AdviceTerms(900, 300, 3_000), 24),
        (AdviceTerms(20, 2, 100), 24),
    ],
)
def test_a_task_starts_soon_however_slow_the_service_is(terms, endpoints):
    fleet = AdvisedFleet(terms, endpoints=endpoints)
    fleet.submit("j", request=WHOLE)
    waited_ms = _play(fleet, NOTHING_RUNS_MAX_MS, lambda: fleet.starts)
    assert waited_ms is not None


# Guards against a gang whose first tickets are out of use before the last ones arrive.
def test_the_tickets_of_a_gang_are_valid_together():
    fleet = AdvisedFleet(AdviceTerms(200, 60, 3_000), endpoints=44)
    fleet.submit("gang", count=36, request=WHOLE, is_gang=True)
    waited_ms = _play(fleet, NOTHING_RUNS_MAX_MS, lambda: fleet.starts)
    assert waited_ms is not None
    assert len({start.endpoint_id for start in fleet.starts}) == 36


# Guards against a gang of more endpoints than a question may name, whose first tickets
# are asked for again and again.
def test_a_gang_of_more_endpoints_than_a_question_may_name_starts():
    fleet = AdvisedFleet(AdviceTerms(200, 25, 3_000), endpoints=125)
    fleet.submit("gang", count=120, request=WHOLE, is_gang=True)
    assert _play(fleet, 8_000, lambda: fleet.starts) is not None


# The same where some endpoints are denied, and the service counts from the question.
def test_a_gang_starts_on_the_endpoints_that_are_approved():
    fleet = AdvisedFleet(AdviceTerms(200, 50, 3_000), endpoints=44)
    fleet.denied_ids = {f"e{n}" for n in range(7)}
    fleet.submit("gang", count=36, request=WHOLE, is_gang=True)

    def has_started():
        asked_ms = tickets_asked_ms()
        late = [s for s in fleet.starts if fleet.now > asked_ms[s.endpoint_id] + 3_000]
        if late:
            fleet.refuse_ticket()
            fleet.obey_stops()
            fleet.starts.clear()
        return len(fleet.starts) == 36

    last_asked_ms = {}

    def tickets_asked_ms():
        return last_asked_ms

    answer = fleet.answer

    def answer_and_note():
        ((asked_ms, _),) = fleet.questions
        last_asked_ms.update(dict.fromkeys(fleet.asked_ids(), asked_ms))
        return answer()

    fleet.answer = answer_and_note
    assert _play(fleet, 8_000, has_started) is not None
    assert not fleet.denied_ids & {start.endpoint_id for start in fleet.starts}


# Guards against a guarantee that cannot be reclaimed, as nobody asks the policy service
# while there is no free room.
@pytest.mark.parametrize("terms", [QUICK, AdviceTerms(200, 100, 3_000)])
@pytest.mark.parametrize("is_gang", [True, False])
def test_guaranteed_room_is_reclaimed_on_a_queue_with_advice(terms, is_gang):
    fleet = AdvisedFleet(terms, endpoints=4, guaranteed=16, plain_queues=["p2"])
    fleet.submit("batch", "p2", "b", count=4, request=WHOLE, estimate_ms=60_000)
    fleet.accept_starts()
    fleet.submit("urgent", "p0", count=2, request=WHOLE, is_gang=is_gang)
    waited_ms = _play(fleet, RECLAIM_MAX_MS, lambda: len(fleet.starts) == 2)
    assert waited_ms is not None
    tasks = [task for runs in fleet.running.values() for task in runs]
    assert len(tasks) == 2


# The same for a lasting task that has run before.
def test_room_is_reclaimed_for_a_lasting_task_that_restarts():
    fleet = AdvisedFleet(QUICK, endpoints=2, guaranteed=0, plain_queues=["p2"])
    fleet.submit("lasting", "p0", request=WHOLE, is_long_running=True)
    fleet.answer()
    (start,) = fleet.accept_starts()
    fleet.submit("batch", "p2", "b", count=1, request=WHOLE, estimate_ms=60_000)
    fleet.accept_starts()
    fleet.scheduler.endpoint_removed(start.endpoint_id)
    fleet.running[start.endpoint_id].clear()
    fleet.scheduler.endpoint_lease_expired(start.endpoint_id, fleet.now, fleet.now)
    fleet.plan()
    assert _play(fleet, NOTHING_RUNS_MAX_MS, lambda: fleet.starts) is not None


# Guards against gangs that wait for room and never learn where they may run.
def test_approvals_are_learned_while_there_is_no_room():
    fleet = AdvisedFleet(SLOW, endpoints=6, guaranteed=0, plain_queues=["p2"])
    fleet.submit("batch", "p2", "b", count=6, request=WHOLE, estimate_ms=20_000)
    fleet.accept_starts()
    fleet.submit("gang", "p1", count=3, request=WHOLE, is_gang=True)
    asked = []
    while fleet.questions:
        asked += fleet.answer()
    assert sorted(asked) == [f"e{n}" for n in range(6)]


# Guards against a question that is put although its step has ended or its job has been
# cancelled while another question was open.
def test_questions_of_ended_jobs_are_not_put():
    fleet = AdvisedFleet(SLOW, endpoints=8)
    for n in range(5):
        fleet.submit(f"j{n}")
    for n in range(1, 4):
        fleet.cancel(f"j{n}")
    fleet.answer()
    ((_, question),) = fleet.questions
    assert question.step == "j4.0.0"


def test_urgent_questions_come_first():
    fleet = AdvisedFleet(SLOW, endpoints=8)
    for n, queue in enumerate(("p2", "p2", "p1", "p0")):
        fleet.submit(f"j{n}", queue)
    fleet.answer()
    ((_, question),) = fleet.questions
    assert question.step == "j3.0.0"


# Guards against a step that is denied nearly everywhere and keeps others from asking.
def test_steps_take_turns():
    fleet = AdvisedFleet(SLOW, endpoints=40)
    fleet.denied_ids = {f"e{n}" for n in range(40)}
    fleet.submit("j")
    fleet.submit("k")
    steps = []
    for _ in range(6):
        steps.append(fleet.questions[0][1].step)
        fleet.answer()
    assert steps.count("j.0.0") == steps.count("k.0.0") == 3


# Guards against a step that is denied at first and then asked about after all that come
# later, while the service has no time to spare.
def test_a_denied_step_is_not_overtaken_by_all_later_ones():
    fleet = AdvisedFleet(SLOW, endpoints=40)
    fleet.denied_ids = {f"e{n}" for n in range(40)}
    fleet.submit("j")
    fleet.submit("k")
    fleet.answer()
    fleet.denied_ids = set()
    for n in range(10):
        fleet.submit(f"k{n}")
        fleet.answer()
    assert "j" in fleet.started_jobs()


# Guards against a ticket that is given up while it is good.
def test_a_ticket_is_used_until_it_expires_counted_from_the_answer():
    fleet = AdvisedFleet(SLOW, endpoints=8)
    fleet.submit("j", count=9, request=WHOLE)
    fleet.answer()
    started = fleet.accept_starts()
    fleet.wait_until(fleet.now + 2_200)
    fleet.end(started[0].endpoint_id, started[0].task)
    assert len(fleet.starts) == 1


# Guards against tickets that are refused one after the other.
def test_after_a_refusal_tickets_are_counted_from_the_question():
    fleet = AdvisedFleet(SLOW, endpoints=8)
    fleet.submit("j", count=9, request=WHOLE)
    fleet.answer()
    started = fleet.accept_starts()
    fleet.wait_until(fleet.now + 2_200)
    fleet.end(started[0].endpoint_id, started[0].task)
    fleet.refuse_ticket()
    fleet.end(started[1].endpoint_id, started[1].task)
    fleet.wait_until(fleet.now + 200)
    assert not fleet.starts
    assert set(fleet.answer()) <= {started[0].endpoint_id, started[1].endpoint_id}
    assert len(fleet.starts) == 1


# Guards against a denial that outlasts the incarnation of the endpoint.
def test_an_endpoint_is_asked_about_again_after_a_restart():
    fleet = AdvisedFleet(QUICK, endpoints=1)
    fleet.denied_ids = {"e0"}
    fleet.submit("j")
    fleet.answer()
    assert not fleet.questions
    fleet.denied_ids.clear()
    fleet.list("e0", started_wall_ms=2)
    for _ in range(4):
        fleet.now += 100
        fleet.list("e0", started_wall_ms=2)
    fleet.answer = fleet.answer
    ((asked_ms, question),) = fleet.questions
    fleet.scheduler.advice_received(question, {"e0": "t"}, 5_000, asked_ms, fleet.now)
    fleet.plan()
    assert len(fleet.starts) == 1


# Guards against a ticket of an earlier incarnation, which the endpoint would refuse.
def test_a_ticket_of_an_earlier_incarnation_is_not_used():
    fleet = AdvisedFleet(QUICK, endpoints=1)
    fleet.submit("j")
    ((asked_ms, question),) = fleet.questions
    fleet.questions.clear()
    fleet.list("e0", started_wall_ms=2)
    fleet.scheduler.advice_received(question, {"e0": "t"}, 5_000, asked_ms, fleet.now)
    fleet.plan()
    assert not fleet.starts
    assert fleet.asked_ids() == ("e0",)


# Guards against a gang that loses its room to small work while it waits for tickets.
def test_room_is_kept_for_a_gang_while_its_tickets_are_asked_for():
    terms = AdviceTerms(500, 50, 1_000)
    fleet = AdvisedFleet(terms, endpoints=4, guaranteed=0, plain_queues=["p2"])
    fleet.submit("batch", "p2", "b", count=4, request=WHOLE, estimate_ms=5_000)
    fleet.accept_starts()
    fleet.submit("gang", "p1", count=4, request=WHOLE, is_gang=True)
    fleet.answer()
    assert not fleet.questions
    fleet.wait_until(fleet.now + 2_000)
    for endpoint_id, task_by_run in fleet.running.items():
        (task,) = task_by_run
        fleet.end(endpoint_id, task)
    assert len(fleet.asked_ids()) == 4
    for n in range(8):
        fleet.submit(f"small{n}", "p2", "c", fleet.now, request=SMALL)
    assert not fleet.starts
    fleet.answer()
    assert {start.unit_key.job_id for start in fleet.starts} == {"gang"}


# Guards against room that is kept free while the policy service is out of reach.
def test_room_is_not_kept_while_the_service_does_not_answer():
    fleet = AdvisedFleet(QUICK, endpoints=4, plain_queues=["p2"], guaranteed=0)
    fleet.submit("long", "p2", "b", count=3, request=WHOLE, estimate_ms=60_000)
    fleet.submit("short", "p2", "b", request=WHOLE, estimate_ms=6_000)
    *_, short = fleet.accept_starts()
    half = Resources(4_000, 4_000, 4)
    fleet.submit("gang", "p1", count=2, request=half, is_gang=True)
    fleet.answer()
    fleet.wait_until(fleet.now + QUICK.valid_ms)
    fleet.end(short.endpoint_id, short.task)
    begin_ms = fleet.now
    fleet.submit("small", "p2", "c", fleet.now, request=WHOLE)
    while not fleet.starts and fleet.now < begin_ms + 20_000:
        if fleet.questions and fleet.now >= fleet.questions[0][1].deadline_ms:
            fleet.questions.clear()
            fleet.scheduler.advice_unanswered(fleet.now)
        fleet.wait_until(fleet.now + 100)
    assert fleet.started_jobs() == {"small"}


# Guards against a service that is busy with endpoints that are not needed, while others
# wait for their turn.
def test_a_slow_service_is_asked_about_what_is_likely_to_be_needed():
    fleet = AdvisedFleet(SLOW, endpoints=24)
    fleet.submit("j")
    usual_count = len(fleet.asked_ids())
    fleet.answer()
    assert len(fleet.starts) == 1
    fleet.denied_ids = {f"e{n}" for n in range(24)}
    fleet.submit("k")
    fleet.answer()
    fleet.answer()
    assert len(fleet.asked_ids()) > usual_count


# Guards against questions that grow while the service is out of reach, and hold up all
# others for longer once it answers again (seed 2006 of the soak).
def test_questions_without_an_answer_do_not_enlarge_the_next_one():
    fleet = AdvisedFleet(SLOW, endpoints=24)
    fleet.submit("j")
    usual_count = len(fleet.asked_ids())
    for _ in range(3):
        fleet.questions.clear()
        fleet.scheduler.advice_unanswered(fleet.now)
        fleet.wait_until(fleet.now + 1_000)
        assert len(fleet.asked_ids()) == usual_count


# Guards against a job that waits without a word on why.
@pytest.mark.parametrize(
    ("terms", "denied", "cause"),
    [
        (AdviceTerms(60_000, 0, 90_000), (), WaitCause.ADVICE),
        (QUICK, ("e0", "e1"), WaitCause.ADVICE_DENIED),
    ],
)
def test_the_cause_of_a_wait_names_the_policy_service(terms, denied, cause):
    fleet = AdvisedFleet(terms, endpoints=2)
    fleet.denied_ids = set(denied)
    fleet.submit("j")
    if denied:
        fleet.answer()
    fleet.wait_until(fleet.now + 4_000)
    assert fleet.idle_waits[0].cause is cause


# The same where tickets expire before they arrive, by the service's own figures.
def test_the_cause_of_a_wait_names_answers_that_are_too_late():
    fleet = AdvisedFleet(AdviceTerms(2_000, 0, 1_000), endpoints=1)
    fleet.submit("j")
    for _ in range(3):
        fleet.answer()
        fleet.refuse_ticket()
        fleet.wait_until(fleet.now + 250)
    assert WaitCause.ADVICE_LATE in {wait.cause for wait in fleet.idle_waits}


# Guards against decisions that are kept for steps that are over.
def test_the_decisions_about_ended_steps_and_jobs_are_forgotten():
    fleet = AdvisedFleet(QUICK, endpoints=1)
    fleet.submit("j")
    fleet.submit("k")
    fleet.answer()
    fleet.cancel("k")
    fleet.answer()
    (start,) = fleet.accept_starts()
    fleet.end("e0", start.task)
    decisions = fleet.scheduler.decisions
    assert decisions.is_approved("j.0.0", "e0", 1) is None
    assert decisions.is_approved("k.0.0", "e0", 1) is None


# Guards against questions by the figures of an earlier configuration, which may take
# too long to answer.
def test_a_changed_figure_applies_to_the_next_question():
    fleet = AdvisedFleet(QUICK, endpoints=24)
    fleet.submit("j")
    assert len(fleet.asked_ids()) == 24
    fleet.answer()
    fleet.accept_starts()
    fleet.set_terms(SLOW)
    fleet.submit("k")
    assert SLOW.answer_ms(len(fleet.asked_ids())) <= 1_000
