"""An unexpected error costs one job, one endpoint or one call, not the process."""

import pytest
import trio
from cluster import (
    holders,
    make_instances,
    make_job,
    make_platform,
    running,
    state_of,
    submit,
)
from fakes import FakePlatformAdapter

from ragwortshelf.core.scheduling import JobState, Scheduler
from ragwortshelf.core.scheduling.job_table import JobTable
from ragwortshelf.core.scheduling.planning import Planner
from ragwortshelf.scheduler.clock import monotonic_ms
from ragwortshelf.scheduler.configuration_follower import ConfigurationFollower
from ragwortshelf.scheduler.endpoint_directory import EndpointDirectory
from ragwortshelf.scheduler.endpoint_session import EndpointSession
from ragwortshelf.scheduler.gateway import Accepted, Uncertain
from ragwortshelf.scheduler.leadership import Leadership
from ragwortshelf.scheduler.log_follower import LogFollower
from ragwortshelf.scheduler.log_writer import GroupWriter
from ragwortshelf.scheduler.orders import OrderSender
from ragwortshelf.scheduler.peer_readiness import PeerReadiness
from ragwortshelf.scheduler.upkeep import UpkeepRunner

FAULTY = "f" * 16
SOUND = "5" * 16


def _raise_once(monkeypatch, owner, name):
    """Let the next call of a method raise; returns how often it was called."""
    method = getattr(owner, name)
    calls = []

    def replacement(self, *arguments, **options):
        calls.append(name)
        if len(calls) == 1:
            raise RuntimeError(f"injected into {name}")
        return method(self, *arguments, **options)

    monkeypatch.setattr(owner, name, replacement)
    return calls


def _raise_for(monkeypatch, owner, name, is_faulty):
    """Let each call of a method raise whose arguments contain a faulty item."""
    method = getattr(owner, name)

    def replacement(self, *arguments, **options):
        if any(map(is_faulty, arguments)):
            raise RuntimeError(f"injected into {name}")
        return method(self, *arguments, **options)

    monkeypatch.setattr(owner, name, replacement)


async def _submit_again_if_uncertain(instance, spec):
    """Submit as a caller does that repeats a call after an uncertain outcome."""
    outcome = await instance.gateway.submit(spec, monotonic_ms() + 2_000)
    if isinstance(outcome, Uncertain):
        outcome = await instance.gateway.submit(spec, monotonic_ms() + 2_000)
    assert isinstance(outcome, Accepted)


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (Scheduler, "plan"),
        (Scheduler, "listing_received"),
        (Scheduler, "start_answered"),
        (Scheduler, "job_changed"),
        (Planner, "_plan_unit"),
        (JobTable, "apply"),
        (EndpointSession, "_renew"),
        (EndpointSession, "start"),
        (EndpointDirectory, "_poll"),
        (OrderSender, "_start"),
        (GroupWriter, "_append"),
        (LogFollower, "_read"),
        (ConfigurationFollower, "_read"),
        (PeerReadiness, "_probe_loop"),
        (UpkeepRunner, "run"),
        (Leadership, "_deletion_loop"),
    ],
)
async def test_work_goes_on_after_an_error_at(monkeypatch, autojump_clock, owner, name):
    calls = _raise_once(monkeypatch, owner, name)
    platform = make_platform()
    instances = make_instances(platform, 2)
    async with running(*instances):
        await trio.sleep(4)
        await _submit_again_if_uncertain(instances[0], make_job(SOUND))
        await trio.sleep(25)
        assert len(calls) > 1
        assert len(holders(instances)) == 1
        assert await state_of(instances[1], SOUND) is JobState.COMPLETED


async def test_a_job_that_cannot_be_planned_delays_no_other(
    monkeypatch, autojump_clock
):
    def is_faulty(item):
        return getattr(getattr(item, "key", None), "job_id", None) == FAULTY

    _raise_for(monkeypatch, Planner, "_plan_unit", is_faulty)
    platform = make_platform()
    instances = make_instances(platform, 3)
    async with running(*instances):
        await trio.sleep(1)
        (holder,) = holders(instances)
        await submit(instances[0], make_job(FAULTY))
        await submit(instances[0], make_job(SOUND))
        await trio.sleep(20)
        assert holders(instances) == [holder]
        assert await state_of(instances[1], SOUND) is JobState.COMPLETED
        assert await state_of(instances[1], FAULTY) is JobState.QUEUED


async def test_an_endpoint_that_cannot_be_processed_costs_only_itself(
    monkeypatch, autojump_clock
):
    _raise_for(
        monkeypatch,
        Scheduler,
        "listing_received",
        lambda item: getattr(item, "endpoint_id", None) == "e0",
    )
    platform = make_platform(2)
    instances = make_instances(platform, 3)
    async with running(*instances):
        await trio.sleep(1)
        (holder,) = holders(instances)
        await submit(instances[0], make_job(SOUND))
        await trio.sleep(20)
        assert holders(instances) == [holder]
        assert await state_of(instances[1], SOUND) is JobState.COMPLETED
        assert {endpoint for _, _, endpoint, *_ in platform.runs()} == {"e1"}


# Guards against a directory that lists no endpoint after one whose entry raises.
@pytest.mark.parametrize(
    ("owner", "name"),
    [(FakePlatformAdapter, "decode_endpoint"), (Scheduler, "endpoint_updated")],
)
async def test_an_entry_that_cannot_be_applied_costs_only_its_endpoint(
    monkeypatch, autojump_clock, owner, name
):
    _raise_for(monkeypatch, owner, name, lambda item: getattr(item, "id", item) == "e0")
    platform = make_platform(2)
    instances = make_instances(platform, 3)
    async with running(*instances):
        await trio.sleep(1)
        (holder,) = holders(instances)
        await submit(instances[0], make_job(SOUND))
        await trio.sleep(20)
        assert holders(instances) == [holder]
        assert await state_of(instances[1], SOUND) is JobState.COMPLETED
        assert {endpoint for _, _, endpoint, *_ in platform.runs()} == {"e1"}


async def test_an_error_that_ends_every_term_does_not_start_terms_without_end(
    monkeypatch, autojump_clock
):
    async def fail(self):
        raise RuntimeError("injected")

    monkeypatch.setattr(Leadership, "_watch_confirmation", fail)
    platform = make_platform()
    instances = make_instances(platform, 6)
    async with running(*instances):
        await trio.sleep(120)
        claims = {
            value for key, value in platform.jobs.entries if key.startswith("term")
        }
        assert 1 < len(claims) < 100
        assert instances[0].gateway.is_ready()


# Guards against a term that fails before it begins, whose instance claims the role
# again and again while no other one can.
async def test_a_term_that_cannot_be_set_up_is_left_to_another_instance(
    monkeypatch, autojump_clock
):
    platform = make_platform()
    first, second = make_instances(platform, 2)
    create = Leadership.__init__

    def fail_on_first(self, claim, *arguments):
        if claim.holder == first.settings.instance:
            raise RuntimeError("injected into the constructor")
        create(self, claim, *arguments)

    monkeypatch.setattr(Leadership, "__init__", fail_on_first)
    async with running(first):
        await trio.sleep(0.5)
        async with running(second):
            await trio.sleep(1)
            await submit(second, make_job(SOUND))
            await trio.sleep(10)
            assert holders([first, second]) == [second]
            assert await state_of(second, SOUND) is JobState.COMPLETED
            assert await state_of(first, SOUND) is JobState.COMPLETED
