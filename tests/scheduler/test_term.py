"""One instance schedules at a time, and a successor goes on where it stopped."""

import trio
from fakes import FakeWorld, Platform

from ragwortshelf.core.scheduling import JobSpec, JobState, Resources, Step
from ragwortshelf.core.scheduling.configuration import (
    EndpointService,
    GuaranteedOrganisation,
    Queue,
    ServiceConfiguration,
)
from ragwortshelf.core.scheduling.fleet import EndpointInfo
from ragwortshelf.scheduler.clock import monotonic_ms
from ragwortshelf.scheduler.front import Accepted
from ragwortshelf.scheduler.instance import Instance
from ragwortshelf.scheduler.settings import SchedulingSettings

QUEUE = Queue("q", "h", "/q/", "pool", priority=1, attempts_max=3)
CONFIGURATION = ServiceConfiguration(
    1,
    (QUEUE,),
    {"pool": EndpointService("pool")},
    (GuaranteedOrganisation("org", frozenset({"key"}), 8),),
)


def _platform(endpoints=3):
    infos = [
        EndpointInfo(f"e{i}", "pool", f"e{i}", "dc", Resources(8000, 8000, 8))
        for i in range(endpoints)
    ]
    return Platform(CONFIGURATION, infos)


def _job(job_id, count=2, gang=False):
    step = Step(count, Resources(1000, 100, 2), 1000, is_gang=gang)
    return JobSpec(job_id, "q", "pool", "org", "text", (step,))


def _instances(platform, count):
    return [
        Instance(FakeWorld(platform), SchedulingSettings(f"i{n}")) for n in range(count)
    ]


async def _submit(instance, spec):
    outcome = await instance.front.submit(spec, monotonic_ms() + 2_000)
    assert isinstance(outcome, Accepted)


async def _state(instance, job_id):
    return (await instance.front.state(job_id)).state


def _holders(instances):
    return [i for i in instances if i.election.leadership is not None]


async def test_instances_that_claim_at_once_get_one_holder(autojump_clock):
    # The log answers a repeat of an append as it answered the first; claims of two
    # instances have to differ, or both would take the role.
    for _ in range(20):
        platform = _platform()
        instances = _instances(platform, 6)
        async with trio.open_nursery() as nursery:
            for instance in instances:
                nursery.start_soon(instance.run)
            for _ in range(100):
                await trio.sleep(0.01)
                assert len(_holders(instances)) <= 1
            assert len(_holders(instances)) == 1
            nursery.cancel_scope.cancel()


async def test_a_job_runs_to_its_end_and_every_instance_shows_it(autojump_clock):
    platform = _platform()
    instances = _instances(platform, 3)
    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(instance.run)
        await trio.sleep(1)
        await _submit(instances[0], _job("a" * 16))
        await trio.sleep(0.5)
        for instance in instances:
            assert await _state(instance, "a" * 16) is JobState.RUNNING
        await trio.sleep(2)
        for instance in instances:
            assert await _state(instance, "a" * 16) is JobState.COMPLETED
        assert len(platform.runs()) == 2
        nursery.cancel_scope.cancel()


async def test_a_successor_goes_on_without_starting_anything_twice(autojump_clock):
    platform = _platform()
    instances = _instances(platform, 3)
    for endpoint in platform.endpoint_by_id.values():
        endpoint.work_ms = 6_000
    async with trio.open_nursery() as nursery:
        scopes = {}

        async def run(instance):
            with trio.CancelScope() as scopes[instance]:
                await instance.run()

        for instance in instances:
            nursery.start_soon(run, instance)
        await trio.sleep(1)
        holder = _holders(instances)[0]
        await _submit(holder, _job("b" * 16))
        await trio.sleep(1)
        scopes[holder].cancel()
        rest = [i for i in instances if i is not holder]
        await trio.sleep(3)
        assert len(_holders(rest)) == 1
        await trio.sleep(5)
        assert await _state(rest[0], "b" * 16) is JobState.COMPLETED
        assert len(platform.runs()) == 2
        nursery.cancel_scope.cancel()


async def test_a_planned_stop_hands_over_at_once(autojump_clock):
    platform = _platform()
    instances = _instances(platform, 3)
    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(instance.run)
        await trio.sleep(1)
        holder = _holders(instances)[0]
        await holder.drain()
        await trio.sleep(0.8)
        assert _holders(instances) and holder not in _holders(instances)
        nursery.cancel_scope.cancel()


async def test_a_store_that_is_down_changes_nobody(autojump_clock):
    platform = _platform()
    instances = _instances(platform, 3)
    worlds = [instance.configuration._world for instance in instances]
    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(instance.run)
        await trio.sleep(1)
        holder = _holders(instances)[0]
        for world in worlds:
            world.faults.store = "busy"
        await trio.sleep(4)
        for world in worlds:
            world.faults.store = ""
        await trio.sleep(3)
        assert _holders(instances) == [holder]
        nursery.cancel_scope.cancel()


async def test_an_append_without_answer_is_made_once(autojump_clock):
    platform = _platform()
    instance = _instances(platform, 1)[0]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        await trio.sleep(1)
        instance.configuration._world.faults.lose_append_answers = 2
        await _submit(instance, _job("c" * 16))
        await trio.sleep(4)
        assert await _state(instance, "c" * 16) is JobState.COMPLETED
        assert len(platform.runs()) == 2
        nursery.cancel_scope.cancel()


async def test_a_start_without_answer_is_ordered_again(autojump_clock):
    platform = _platform(1)
    instance = _instances(platform, 1)[0]
    platform.endpoint_by_id["e0"].lose_start_answers = 1
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        await trio.sleep(1)
        await _submit(instance, _job("d" * 16, gang=True))
        await trio.sleep(3)
        assert await _state(instance, "d" * 16) is JobState.COMPLETED
        assert [run for _, run, *_ in platform.runs()] == [1, 1]
        nursery.cancel_scope.cancel()


async def test_tasks_of_a_lost_endpoint_start_elsewhere_after_its_lease(
    autojump_clock,
):
    platform = _platform(2)
    instance = _instances(platform, 1)[0]
    for endpoint in platform.endpoint_by_id.values():
        endpoint.work_ms = 4_000
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        await trio.sleep(1)
        await _submit(instance, _job("e" * 16, count=1))
        await trio.sleep(0.5)
        first = platform.runs()[0][2]
        cut = platform.endpoint_by_id[first]
        cut.is_cut = True
        cut_at = cut.clock_ms()
        await trio.sleep(14)
        starts = platform.runs()
        assert len(starts) == 2
        assert starts[0][2] != starts[1][2]
        later = max(at for _, _, _, at, _ in starts)
        assert later >= cut_at + 5_000
        assert await _state(instance, "e" * 16) is JobState.COMPLETED
        nursery.cancel_scope.cancel()


async def test_work_done_while_nobody_scheduled_is_not_started_again(autojump_clock):
    platform = _platform()
    instances = _instances(platform, 3)
    worlds = [instance.configuration._world for instance in instances]
    for endpoint in platform.endpoint_by_id.values():
        endpoint.work_ms = 10_000
    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(instance.run)
        await trio.sleep(1)
        await _submit(instances[0], _job("f" * 16))
        await trio.sleep(1)
        for world in worlds:
            world.faults.store = "busy"
        # The holder gives up after 9 s without a confirmation; the work ends then.
        await trio.sleep(11)
        for world in worlds:
            world.faults.store = ""
        await trio.sleep(5)
        assert await _state(instances[0], "f" * 16) is JobState.COMPLETED
        assert len(platform.runs()) == 2
        nursery.cancel_scope.cancel()


async def test_a_restarted_holder_goes_on_at_once(autojump_clock):
    platform = _platform()
    first = _instances(platform, 1)[0]
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run)
            await trio.sleep(1)
            assert first.election.leadership is not None
            scope.cancel()
    restarted = _instances(platform, 1)[0]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(restarted.run)
        await trio.sleep(0.5)
        assert restarted.election.leadership is not None
        nursery.cancel_scope.cancel()


async def test_a_slow_log_does_not_keep_a_successor_from_the_term(
    autojump_clock, monkeypatch
):
    platform = _platform()
    instances = _instances(platform, 3)
    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(instance.run)
        await trio.sleep(1)
        monkeypatch.setattr("fakes.CALL_S", 0.24)
        await trio.sleep(3)
        (holder,) = _holders(instances)
        await holder.drain()
        await trio.sleep(1.5)
        assert _holders(instances)
        nursery.cancel_scope.cancel()


async def test_a_successor_starts_what_waits_at_once(autojump_clock, monkeypatch):
    # Pattern: a job is accepted while nobody schedules, and endpoints answer more
    # slowly than the log.
    monkeypatch.setattr("fakes.CROSS_S", 0.02)
    platform = _platform(6)
    instances = _instances(platform, 2)
    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(instance.run)
        await trio.sleep(1)
        (holder,) = _holders(instances)
        (other,) = [i for i in instances if i is not holder]
        holder.election.is_stopping = True
        holder.election.leadership.resign()
        await trio.sleep(0.02)
        await _submit(other, _job("a" * 16, count=12))
        await trio.sleep(0.6)
        assert _holders(instances) == [other]
        runs = platform.runs()
        assert len(runs) == 12
        assert {run for _, run, *_ in runs} == {1}
        nursery.cancel_scope.cancel()


async def test_leases_are_renewed_while_ends_wait_for_the_log(autojump_clock):
    # Pattern: a short task ends beside a long one while the log is away for 8 s.
    platform = _platform(1)
    instance = _instances(platform, 1)[0]
    endpoint = platform.endpoint_by_id["e0"]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        await trio.sleep(1)
        endpoint.work_ms = 12_000
        await _submit(instance, _job("a" * 16, count=2))
        await trio.sleep(0.5)
        ended = next(iter(endpoint.running))
        instance.configuration._world.faults.store = "busy"
        endpoint.finish(ended)
        await trio.sleep(8)
        instance.configuration._world.faults.store = ""
        await trio.sleep(8)
        assert await _state(instance, "a" * 16) is JobState.COMPLETED
        assert len(platform.runs()) == 2
        assert not endpoint.finished
        nursery.cancel_scope.cancel()


async def test_an_endpoint_that_was_cut_off_at_the_start_is_found_again(autojump_clock):
    platform = _platform(2)
    instance = _instances(platform, 1)[0]
    endpoint = platform.endpoint_by_id["e0"]
    endpoint.is_cut = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        await trio.sleep(5)
        endpoint.is_cut = False
        await trio.sleep(1.5)
        scheduler = instance.election.leadership._scheduler
        assert scheduler.endpoint_by_id["e0"].is_reachable
        nursery.cancel_scope.cancel()


async def test_small_instances_leave_the_term_to_larger_ones(autojump_clock):
    for _ in range(5):
        platform = _platform()
        small = [
            Instance(FakeWorld(platform), SchedulingSettings(f"s{n}", cores=0.5))
            for n in range(4)
        ]
        large = Instance(FakeWorld(platform), SchedulingSettings("l", cores=2.0))
        async with trio.open_nursery() as nursery:
            for instance in (*small, large):
                nursery.start_soon(instance.run)
            await trio.sleep(2)
            assert _holders([*small, large]) == [large]
            nursery.cancel_scope.cancel()
