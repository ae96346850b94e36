"""Builds instances on a fake platform, for the tests in this folder."""

from contextlib import asynccontextmanager
from dataclasses import replace

import trio
from fakes import FakePlatformAdapter, Platform

from ragwortshelf.core.scheduling import JobSpec, Resources, Step
from ragwortshelf.core.scheduling.configuration import (
    EndpointService,
    GuaranteedOrganisation,
    Queue,
    ServiceConfiguration,
)
from ragwortshelf.core.scheduling.listings import EndpointInfo
from ragwortshelf.scheduler.clock import monotonic_ms
from ragwortshelf.scheduler.gateway import Accepted
from ragwortshelf.scheduler.instance import Instance
from ragwortshelf.scheduler.settings import SchedulingSettings

QUEUE = Queue("q", "h", "/q/", "pool", priority=1, attempts_max=3)
CONFIGURATION = ServiceConfiguration(
    1,
    (QUEUE,),
    {"pool": EndpointService("pool")},
    (GuaranteedOrganisation("org", frozenset({"key"}), 8),),
)


def make_platform(endpoints=3):
    infos = [
        EndpointInfo(f"e{i}", "pool", f"e{i}", "dc", Resources(8000, 8000, 8))
        for i in range(endpoints)
    ]
    return Platform(CONFIGURATION, infos)


def make_job(job_id, count=2, gang=False):
    step = Step(count, Resources(1000, 100, 2), 1000, is_gang=gang)
    return JobSpec(job_id, "q", "pool", "org", "text", (step,))


def make_instances(platform, count):
    return [
        Instance(FakePlatformAdapter(platform), SchedulingSettings(f"i{n}"))
        for n in range(count)
    ]


@asynccontextmanager
async def running(*runnables):
    """Run instances, or other objects with a ``run`` method, during the block."""
    async with trio.open_nursery() as nursery:
        for runnable in runnables:
            nursery.start_soon(runnable.run)
        yield
        nursery.cancel_scope.cancel()


def faults_of(instance):
    """Return the faults between an instance and the platform, which tests change."""
    return instance.configuration._adapter.faults


async def submit(instance, spec):
    outcome = await instance.gateway.submit(spec, monotonic_ms() + 2_000)
    assert isinstance(outcome, Accepted)


async def state_of(instance, job_id):
    return (await instance.gateway.state(job_id)).state


def announce_in(platform, instances, data_centre="dc"):
    """Give each instance a readiness address, at which the others can probe it."""
    for instance in instances:
        name = instance.settings.instance
        settings = replace(
            instance.settings, data_centre=data_centre, readiness_address=name
        )
        instance.reconfigure(settings)
        platform.is_ready_by_address[name] = instance.gateway.is_ready


def holders(instances):
    return [i for i in instances if i.election.leadership is not None]
