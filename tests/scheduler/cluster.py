"""Builds instances on a fake platform, for the tests in this folder."""

from contextlib import asynccontextmanager
from dataclasses import replace
from itertools import pairwise

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


def make_lasting_job(job_id):
    spec = make_job(job_id)
    steps = tuple(replace(step, is_long_running=True) for step in spec.steps)
    return replace(spec, steps=steps)


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


class Cluster:
    """Instances that can be killed one by one, and one task that runs on."""

    job_id = "a" * 16

    def __init__(self, instances=3, endpoints=3):
        self.platform = make_platform(endpoints)
        for endpoint in self.platform.endpoint_by_id.values():
            endpoint.work_ms = 120_000
        self.instances = make_instances(self.platform, instances)
        self._scope_by_name = {}

    async def run(self, nursery):
        """Start all instances, and the task."""
        for instance in self.instances:
            scope = self._scope_by_name[instance.settings.instance] = trio.CancelScope()
            nursery.start_soon(self._run_instance, instance, scope)
        await trio.sleep(1)
        await submit(self.instances[0], make_job(self.job_id, count=1))
        await trio.sleep(2)

    def start(self, nursery, name):
        """Start a new process of an instance, which knows nothing."""
        adapter = FakePlatformAdapter(self.platform)
        instance = Instance(adapter, SchedulingSettings(name))
        self.instances.append(instance)
        scope = self._scope_by_name[name] = trio.CancelScope()
        nursery.start_soon(self._run_instance, instance, scope)

    async def _run_instance(self, instance, scope):
        with scope:
            await instance.run()

    def kill(self, instance):
        self._scope_by_name[instance.settings.instance].cancel()
        self.instances.remove(instance)

    @property
    def holder(self):
        (holder,) = holders(self.instances)
        return holder

    def starts(self):
        """Return all starts of the task, oldest first."""
        started = [
            run
            for endpoint in self.platform.endpoint_by_id.values()
            for run in endpoint.history.values()
        ]
        return sorted(started, key=lambda run: run.started_ms)

    def endpoint_of_first_run(self):
        (endpoint,) = (e for e in self.platform.endpoint_by_id.values() if e.history)
        return endpoint

    def has_restarted_only_after_the_first_run(self):
        """Whether the task was started anew, and no two runs of it overlapped."""
        for endpoint in self.platform.endpoint_by_id.values():
            endpoint.advance()
        runs = self.starts()
        return len(runs) > 1 and all(
            before.ended_ms is not None and before.ended_ms <= after.started_ms
            for before, after in pairwise(runs)
        )


async def wait_until(condition):
    """Wait until a condition holds, for a minute at most."""
    with trio.fail_after(60):
        while not condition():
            await trio.sleep(0.001)


def leave_only_the_holder_in_touch(cluster, endpoint_id):
    """Let the holder alone reach an endpoint, and the others all but that one."""
    holder = cluster.holder
    others = set(cluster.platform.endpoint_by_id) - {endpoint_id}
    for instance in cluster.instances:
        ids = others if instance is holder else {endpoint_id}
        faults_of(instance).unreachable_ids |= ids
