"""Tasks that crash each endpoint that starts them, beside healthy ones, in real terms.

A crashed endpoint is back after 3.4 s, under its id or, at its address, under another.
"""

import pytest
import trio
from cluster import (
    faults_of,
    holders,
    make_instances,
    make_job,
    make_platform,
    running,
    state_of,
    submit,
)

from ragwortshelf.core.scheduling import JobState

DEADLY, HEALTHY = "d" * 16, "a" * 16
CRASHES_MAX = 3
"""Crashes under one task after which further ones are avoidable: it may be given up
after the second, and one more is allowed for a count that is lost with its holder."""


def _tasks(job_id, count):
    return [f"{job_id}.0.0.{index}" for index in range(count)]


def _starts(platform, job_id):
    return [row for row in platform.runs() if row[0].startswith(job_id)]


# The failure: a run that ended with its endpoint counted for nothing, so that the task
# was started on one endpoint after the other without end.
@pytest.mark.parametrize("is_replaced", [False, True])
async def test_a_task_that_crashes_its_endpoints_is_given_up(
    autojump_clock, is_replaced
):
    platform = make_platform(6)
    platform.make_tasks_crash(_tasks(DEADLY, 1), is_replaced=is_replaced)
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job(DEADLY, count=1))
        await trio.sleep(60)
        assert platform.crash_count() == 2
        assert await state_of(instance, DEADLY) is JobState.FAILED


# The failure: the count began anew with each term, and an adopted run was ordered again
# on the endpoint that it had just crashed.
@pytest.mark.parametrize("is_replaced", [False, True])
@pytest.mark.parametrize("delay_s", [0.0, 0.5, 4.0])
async def test_successors_know_of_the_crashes_before_their_term(
    autojump_clock, is_replaced, delay_s
):
    platform = make_platform(6)
    platform.make_tasks_crash(_tasks(DEADLY, 1), is_replaced=is_replaced)
    instances = make_instances(platform, 8)
    async with trio.open_nursery() as nursery:
        scope_by_name = {}

        async def run(instance):
            with trio.CancelScope() as scope:
                scope_by_name[instance.settings.instance] = scope
                await instance.run()

        for instance in instances:
            nursery.start_soon(run, instance)
        await trio.sleep(1)
        await submit(instances[0], make_job(DEADLY, count=1))
        rest = list(instances)
        seen = 0
        for _ in range(6_000):
            await trio.sleep(0.01)
            if platform.crash_count() > seen and len(rest) > 1:
                seen = platform.crash_count()
                await trio.sleep(delay_s)
                for holder in holders(rest):
                    scope_by_name[holder.settings.instance].cancel()
                    rest.remove(holder)
        assert platform.crash_count() <= CRASHES_MAX
        assert await state_of(rest[0], DEADLY) is JobState.FAILED
        nursery.cancel_scope.cancel()


# The failure: runs that ended with a crash were placed together again, so that healthy
# neighbours were at each crash.
async def test_a_healthy_task_is_not_blamed_for_its_neighbours_crashes(autojump_clock):
    platform = make_platform(6)
    platform.make_tasks_crash(_tasks(DEADLY, 1))
    for endpoint in platform.endpoint_by_id.values():
        endpoint.work_ms = 5_000
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        for job_id in (HEALTHY, DEADLY, "b" * 16):
            await submit(instance, make_job(job_id, count=1))
        await trio.sleep(60)
        assert await state_of(instance, DEADLY) is JobState.FAILED
        for job_id in (HEALTHY, "b" * 16):
            assert await state_of(instance, job_id) is JobState.COMPLETED
            crashed = [row for row in _starts(platform, job_id) if row[1] > 1]
            assert len(crashed) <= 1


async def test_a_gang_that_crashes_its_endpoints_is_given_up(autojump_clock):
    platform = make_platform(12)
    platform.make_tasks_crash(_tasks(DEADLY, 8), is_replaced=True)
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        # Two members fill half of an endpoint, so the gang spans two.
        await submit(instance, make_job(DEADLY, count=8, gang=True))
        await submit(instance, make_job(HEALTHY))
        await trio.sleep(60)
        assert platform.crash_count() <= 3
        assert await state_of(instance, DEADLY) is JobState.FAILED
        assert await state_of(instance, HEALTHY) is JobState.COMPLETED


async def test_deadly_work_of_many_jobs_leaves_most_endpoints_to_the_rest(
    autojump_clock,
):
    platform = make_platform(24)
    jobs = [f"d{n:015d}" for n in range(8)]
    platform.make_tasks_crash([f"{job}.0.0.0" for job in jobs])
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        for job_id in jobs:
            await submit(instance, make_job(job_id, count=1))
        await submit(instance, make_job(HEALTHY, count=40))
        await trio.sleep(60)
        assert platform.crash_count() <= 2 * len(jobs)
        assert [await state_of(instance, j) for j in jobs] == [JobState.FAILED] * 8
        assert await state_of(instance, HEALTHY) is JobState.COMPLETED


async def test_a_task_whose_endpoints_are_cut_off_at_its_start_is_not_given_up(
    autojump_clock,
):
    platform = make_platform(3)
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job(HEALTHY, count=1))
        for _ in range(3):
            while not any(e.running for e in platform.endpoint_by_id.values()):
                await trio.sleep(0.005)
            for endpoint in platform.endpoint_by_id.values():
                endpoint.is_disconnected = bool(endpoint.running)
            await trio.sleep(12)
            for endpoint in platform.endpoint_by_id.values():
                endpoint.is_disconnected = False
        await trio.sleep(10)
        assert await state_of(instance, HEALTHY) is JobState.COMPLETED


# The failure: a start without an answer was repeated at an endpoint that had crashed by
# it and was back within the time of the attempts.
async def test_one_order_crashes_one_endpoint_once(autojump_clock):
    platform = make_platform(3)
    platform.make_tasks_crash(_tasks(DEADLY, 1))
    for endpoint in platform.endpoint_by_id.values():
        endpoint.downtime_s = 0.3
        endpoint.lose_start_answers = 1
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job(DEADLY, count=1))
        await trio.sleep(60)
        starts = [(task, run) for task, run, *_ in platform.runs()]
        assert len(starts) == len(set(starts))
        # Without an answer it is not certain that the start came first.
        assert platform.crash_count() <= CRASHES_MAX


async def test_an_outage_of_the_log_does_not_add_crashes(autojump_clock):
    platform = make_platform(6)
    platform.make_tasks_crash(_tasks(DEADLY, 1), is_replaced=True)
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job(DEADLY, count=1))
        await trio.sleep(0.1)
        assert platform.crash_count() == 1
        faults_of(instance).store = "silent"
        await trio.sleep(6)
        faults_of(instance).store = ""
        await trio.sleep(60)
        assert platform.crash_count() == 2
        assert await state_of(instance, DEADLY) is JobState.FAILED
