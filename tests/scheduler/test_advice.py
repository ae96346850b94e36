"""Steps that a policy service must approve, from the question to the start.

The cases play an instance on a fake platform; the endpoints start nothing without a
valid ticket.
"""

from dataclasses import replace

import pytest
import trio
from cluster import (
    CONFIGURATION,
    QUEUE,
    holders,
    make_instances,
    make_platform,
    running,
    submit,
)

from ragwortshelf.core.advice import AdviceTerms
from ragwortshelf.core.scheduling import JobSpec, Resources, Step
from ragwortshelf.core.scheduling.configuration import GuaranteedOrganisation
from ragwortshelf.scheduler.clock import monotonic_ms

WHOLE = Resources(8_000, 8_000, 8)
QUICK = AdviceTerms(decision_ms=20, per_endpoint_ms=2, valid_ms=5_000)
SLOW = AdviceTerms(decision_ms=200, per_endpoint_ms=100, valid_ms=3_000)
JOB, OTHER = "a" * 16, "b" * 16

NOTHING_RUNS_MAX_S = 3.0
RECLAIM_MAX_S = 2.9
"""Bounds of the platform's specification."""

PLAIN_QUEUE = replace(QUEUE, name="plain", path_prefix="/plain/", priority=2)
URGENT_QUEUE = replace(QUEUE, name="urgent", path_prefix="/urgent/", priority=0)


def _configuration(terms, version=1, queues=(QUEUE, URGENT_QUEUE), guaranteed=64):
    """Return queues with advice, and one without."""
    return replace(
        CONFIGURATION,
        version=version,
        queues=(PLAIN_QUEUE, *(replace(queue, advice=terms) for queue in queues)),
        organisations=(
            GuaranteedOrganisation("org", frozenset({"key"}), guaranteed),
            GuaranteedOrganisation("other", frozenset({"other"}), 0),
        ),
    )


def _platform(terms, endpoints, **options):
    platform = make_platform(endpoints)
    platform.configuration = _configuration(terms)
    platform.add_policy(terms, **options)
    for endpoint in platform.endpoint_by_id.values():
        endpoint.work_ms = 120_000
    return platform


def _configure(platform, configuration):
    platform.configuration = configuration
    platform.operator.append([("config", b"%d" % configuration.version)])


def _job(job_id, queue=QUEUE.name, organisation="org", **step):
    step = {"count": 1, "request": WHOLE, "estimate_ms": 1_000} | step
    return JobSpec(job_id, queue, "pool", organisation, "text", (Step(**step),))


def _started(platform, job_id):
    """Return the endpoints on which tasks of a job were started."""
    return {run[2] for run in platform.runs() if run[0].startswith(job_id)}


async def _wait_until_started(platform, job_id, endpoints=1, limit_s=30.0):
    """Return after how many seconds a job runs on so many endpoints."""
    began_s = trio.current_time()
    while len(_started(platform, job_id)) < endpoints:
        await trio.sleep(0.01)
        assert trio.current_time() < began_s + limit_s, "nothing was started"
    return trio.current_time() - began_s


# Guards against tickets that count as expired when they arrive (case 7 of the second
# review: a configuration says that the service takes longer for each endpoint).
@pytest.mark.parametrize("is_counted_from_question", [False, True])
async def test_a_job_starts_after_the_service_has_become_slow(
    autojump_clock, is_counted_from_question
):
    platform = _platform(QUICK, 24, is_counted_from_question=is_counted_from_question)
    async with running(instance := make_instances(platform, 1)[0]):
        await trio.sleep(1)
        await submit(instance, _job(OTHER))
        assert await _wait_until_started(platform, OTHER) < NOTHING_RUNS_MAX_S
        platform.policy.terms = SLOW
        _configure(platform, _configuration(SLOW, version=2))
        await trio.sleep(2)
        await submit(instance, _job(JOB))
        assert await _wait_until_started(platform, JOB) < NOTHING_RUNS_MAX_S


# Guards against a question about so many endpoints that it is given up.
async def test_a_job_starts_on_a_fleet_of_which_a_question_takes_long(autojump_clock):
    platform = _platform(AdviceTerms(200, 100, 5_000), 40)
    async with running(instance := make_instances(platform, 1)[0]):
        await trio.sleep(1)
        await submit(instance, _job(JOB))
        assert await _wait_until_started(platform, JOB) < NOTHING_RUNS_MAX_S


# Guards against a gang whose first tickets expire before the last ones arrive.
@pytest.mark.parametrize("is_counted_from_question", [False, True])
@pytest.mark.parametrize("denied", [0, 7])
async def test_a_gang_starts_with_tickets_that_are_valid_together(
    autojump_clock, is_counted_from_question, denied
):
    terms = AdviceTerms(200, 60, 3_000)
    denied_ids = {f"e{n}" for n in range(denied)}
    platform = _platform(
        terms,
        44,
        is_counted_from_question=is_counted_from_question,
        may_run=lambda step, endpoint_id: endpoint_id not in denied_ids,
    )
    async with running(instance := make_instances(platform, 1)[0]):
        await trio.sleep(1)
        await submit(instance, _job(JOB, count=36, is_gang=True))
        wait_s = await _wait_until_started(platform, JOB, 36)
        # Two questions about all of the gang, and one about the rest.
        assert wait_s < (NOTHING_RUNS_MAX_S if not denied else 2 * 2.4 + 1.5)
        assert not _started(platform, JOB) & denied_ids


# Guards against a guarantee that is not reclaimed, as the policy service is asked only
# about endpoints with free room.
@pytest.mark.parametrize("terms", [QUICK, SLOW])
@pytest.mark.parametrize("step", [{}, {"count": 2}, {"count": 2, "is_gang": True}])
async def test_guaranteed_room_is_reclaimed(autojump_clock, terms, step):
    platform = _platform(terms, 4)
    platform.unadvised_ids.add(OTHER)
    async with running(instance := make_instances(platform, 1)[0]):
        await trio.sleep(1)
        await submit(instance, _job(OTHER, "plain", "other", count=4))
        await _wait_until_started(platform, OTHER, 4)
        await submit(instance, _job(JOB, "urgent", **step))
        wait_s = await _wait_until_started(platform, JOB, step.get("count", 1))
        assert wait_s < RECLAIM_MAX_S


# Guards against a question that is never put again after the service was out of reach.
async def test_a_job_starts_once_the_service_answers_again(autojump_clock):
    platform = _platform(SLOW, 8)
    platform.policy.is_silent = True
    async with running(instance := make_instances(platform, 1)[0]):
        await trio.sleep(1)
        await submit(instance, _job(JOB))
        await trio.sleep(12)
        assert not platform.runs()
        platform.policy.is_silent = False
        # One question is still open, and the one after it waits behind those that were
        # given up.
        assert await _wait_until_started(platform, JOB) < 10


# Guards against a job that waits for ever because each answer takes longer than the
# configuration says.
async def test_a_job_starts_although_answers_take_longer_than_stated(autojump_clock):
    platform = _platform(QUICK, 8)
    platform.policy.extra_ms = 4_000
    async with running(instance := make_instances(platform, 1)[0]):
        await trio.sleep(1)
        await submit(instance, _job(JOB))
        assert await _wait_until_started(platform, JOB) < 30


# Guards against jobs that wait behind the questions of cancelled ones.
async def test_many_jobs_at_once_do_not_wait_behind_stale_questions(autojump_clock):
    platform = _platform(SLOW, 40)
    async with running(instance := make_instances(platform, 1)[0]):
        await trio.sleep(1)
        ids = [f"{n:016x}" for n in range(40)]
        for job_id in ids:
            await submit(instance, _job(job_id))
        for job_id in ids[1:]:
            await instance.gateway.cancel(job_id, monotonic_ms() + 2_000)
        await submit(instance, _job(JOB, "urgent"))
        assert await _wait_until_started(platform, JOB) < NOTHING_RUNS_MAX_S
        asked = {step.partition(".")[0] for step in platform.policy.steps}
        assert asked <= {*ids[:3], JOB}


# Guards against a successor that does not ask, as the answer was its predecessor's.
async def test_a_successor_asks_again(autojump_clock):
    platform = _platform(AdviceTerms(500, 100, 3_000), 8)
    instances = make_instances(platform, 2)
    scopes = {}
    async with trio.open_nursery() as nursery:

        async def run(instance):
            with trio.CancelScope() as scopes[instance]:
                await instance.run()

        for instance in instances:
            nursery.start_soon(run, instance)
        await trio.sleep(1)
        (holder,) = holders(instances)
        await submit(holder, _job(JOB))
        await trio.sleep(0.3)
        assert platform.policy.steps and not platform.runs()
        scopes[holder].cancel()
        # A term times out after 1.2 s.
        assert await _wait_until_started(platform, JOB) < 1.2 + 2 * NOTHING_RUNS_MAX_S
        nursery.cancel_scope.cancel()


# Guards against a ticket of the incarnation before, which is refused for ever.
async def test_a_job_starts_on_an_endpoint_that_restarted_during_the_question(
    autojump_clock,
):
    platform = _platform(SLOW, 1)
    endpoint = platform.endpoint_by_id["e0"]
    endpoint.downtime_s = 0.2
    async with running(instance := make_instances(platform, 1)[0]):
        await trio.sleep(1)
        await submit(instance, _job(JOB))
        await trio.sleep(0.1)
        endpoint.crash()
        assert await _wait_until_started(platform, JOB) < 2 * NOTHING_RUNS_MAX_S


# Guards against lasting work that is not started again, as its tickets have expired.
async def test_a_lasting_task_is_started_again(autojump_clock):
    platform = _platform(SLOW, 3)
    async with running(instance := make_instances(platform, 1)[0]):
        await trio.sleep(1)
        await submit(instance, _job(JOB, is_long_running=True))
        await _wait_until_started(platform, JOB)
        await trio.sleep(10)
        (endpoint_id,) = _started(platform, JOB)
        platform.endpoint_by_id[endpoint_id].finish(f"{JOB}.0.0.0")
        ended_s = trio.current_time()
        while len(platform.runs()) < 2:
            await trio.sleep(0.01)
        assert trio.current_time() < ended_s + NOTHING_RUNS_MAX_S


# Guards against steps that are ordered without a ticket, and refused for good, once the
# route of their job is removed (case 6 of the second review).
@pytest.mark.parametrize("takes_over", [False, True])
async def test_a_job_goes_on_after_its_queue_is_withdrawn(autojump_clock, takes_over):
    platform = _platform(SLOW, 8)
    instances = make_instances(platform, 2)
    for endpoint in platform.endpoint_by_id.values():
        endpoint.work_ms = 3_000
    job = _job(JOB)
    steps = (*job.steps, replace(job.steps[0], depends_on=(0,)))
    scope_by_name = {}

    async def run(instance):
        with trio.CancelScope() as scope:
            scope_by_name[instance.settings.instance] = scope
            await instance.run()

    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(run, instance)
        await trio.sleep(1)
        (holder,) = holders(instances)
        await submit(holder, replace(job, steps=steps))
        await _wait_until_started(platform, JOB)
        _configure(platform, _configuration(SLOW, version=2, queues=()))
        await trio.sleep(1)
        if takes_over:
            scope_by_name[holder.settings.instance].cancel()
        await trio.sleep(2)
        while not any(run[0] == f"{JOB}.0.1.0" for run in platform.runs()):
            await trio.sleep(0.1)
            assert trio.current_time() < 12, "the second step was not started"
        assert platform.refused_tickets <= int(takes_over)
        nursery.cancel_scope.cancel()


# Guards against a start without a ticket that is repeated for ever where the
# configuration names no policy service.
async def test_a_service_that_is_not_in_the_configuration_is_asked(autojump_clock):
    platform = _platform(QUICK, 4)
    async with running(instance := make_instances(platform, 1)[0]):
        await trio.sleep(1)
        await submit(instance, _job(JOB, PLAIN_QUEUE.name))
        assert await _wait_until_started(platform, JOB) < NOTHING_RUNS_MAX_S
        assert platform.refused_tickets == 1
