"""A cluster that draws its size, its jobs and overlapping disruptions."""

import trio
from cluster import Cluster, faults_of, holders
from fakes import FakePlatformAdapter

from ragwortshelf.core.scheduling import JobSpec, Resources, Step
from ragwortshelf.scheduler.clock import monotonic_ms, wall_ms
from ragwortshelf.scheduler.gateway import Accepted
from ragwortshelf.scheduler.instance import Instance
from ragwortshelf.scheduler.settings import SchedulingSettings

CLOCK_RATE_MIN = 0.98
EPOCH_S = 1_750_000_000
UPTIME_MAX_MS = 3_600_000
DOWNTIME_MIN_S = 1.5
"""Longer than a renewal's time limit, so that a holder notices each restart before it
sends another start."""

SUSPECTED_MS = 15_000
"""Time for which a successor may take a run to have begun just before its term."""


class DisruptedCluster(Cluster):
    """A cluster that draws its size, its jobs and its disruptions."""

    def __init__(self, draw):
        super().__init__(draw.randint(3, 5), draw.randint(4, 8))
        self.draw = draw
        self.faults_by_name = {
            i.settings.instance: faults_of(i) for i in self.instances
        }
        self.endpoints = list(self.platform.endpoint_by_id.values())
        for endpoint in self.endpoints:
            endpoint._clock_rate = draw.choice([CLOCK_RATE_MIN, 1.0])
            endpoint._clock_offset_ms = draw.randrange(UPTIME_MAX_MS)
            endpoint.born = 1000 * EPOCH_S - endpoint._clock_offset_ms
            endpoint.work_ms = lambda task: self.work_ms_by_job[task.split(".")[0]]
        self.work_ms_by_job = {}
        self.spec_by_id = {}
        self.crashed_tasks = set()
        self.without_power_ms = 0
        self.trace = []

    async def run(self, nursery):
        self.nursery = nursery
        names = list(self.faults_by_name)
        self.instances.clear()
        for name in names:
            self.start(nursery, name)
        await trio.sleep(1)

    def start(self, nursery, name):
        """Start a new process of an instance, with the faults of the one before."""
        adapter = FakePlatformAdapter(self.platform)
        adapter.faults = self.faults_by_name[name]
        instance = Instance(adapter, SchedulingSettings(name))
        self.instances.append(instance)
        scope = self._scope_by_name[name] = trio.CancelScope()
        nursery.start_soon(self._run_instance, instance, scope)

    async def submit(self, work_s, count, *, gang=False):
        job_id = f"{len(self.work_ms_by_job) + 1:016x}"
        work_ms = self.work_ms_by_job[job_id] = int(1000 * self.draw.uniform(*work_s))
        step = Step(count, Resources(1000, 100, 1), work_ms, is_gang=gang)
        spec = JobSpec(job_id, "q", "pool", "org", "text", (step,))
        if self.instances:
            gateway = self.draw.choice(self.instances).gateway
            outcome = await gateway.submit(spec, monotonic_ms() + 2_000)
            if isinstance(outcome, Accepted):
                self.spec_by_id[job_id] = spec

    def note(self, *words):
        self.trace.append((round(trio.current_time(), 3), *words))

    # Disruptions. Each ends with what it disrupted at work again.

    def _endpoint(self):
        """Draw an endpoint, more often one that has work."""
        busy = [endpoint for endpoint in self.endpoints if endpoint.running]
        is_busy = busy and self.draw.random() < 0.7
        return self.draw.choice(busy if is_busy else self.endpoints)

    async def cut_off(self):
        endpoint = self._endpoint()
        self.note("cut off", endpoint.info.id)
        endpoint.is_disconnected = True
        await trio.sleep(self.draw.uniform(0.3, 12))
        endpoint.is_disconnected = False
        self.note("reachable", endpoint.info.id)

    async def cut_off_from_one(self):
        name = self.draw.choice(list(self.faults_by_name))
        if holders(self.instances) and self.draw.random() < 0.6:
            name = self.draw.choice(holders(self.instances)).settings.instance
        ids = {endpoint.info.id for endpoint in self.endpoints}
        ids = set(self.draw.sample(sorted(ids), self.draw.randint(1, len(ids))))
        self.note("cut off from", name, sorted(ids))
        self.faults_by_name[name].unreachable_ids |= ids
        await trio.sleep(self.draw.uniform(0.3, 12))
        self.faults_by_name[name].unreachable_ids -= ids
        self.note("reachable from", name, sorted(ids))

    async def crash(self):
        endpoint = self._endpoint()
        # Leases that have expired by now ended their runs then.
        endpoint.advance()
        # A task that seems to crash two endpoints at its start is rightly given up.
        now_ms = 1000 * trio.current_time()
        tasks = {
            run.task
            for run in endpoint.history.values()
            if run.ended_ms is None or run.ended_ms > now_ms - SUSPECTED_MS
        }
        if endpoint.is_down or tasks & self.crashed_tasks:
            return
        self.crashed_tasks |= tasks
        endpoint.downtime_s = self.draw.uniform(DOWNTIME_MIN_S, 4)
        self.note("crash", endpoint.info.id, endpoint.downtime_s)
        endpoint.crash()
        endpoint.born = wall_ms() + int(1000 * endpoint.downtime_s)
        await trio.sleep(endpoint.downtime_s)

    async def unlist(self):
        endpoint_id = self._endpoint().info.id
        self.note("unlisted", endpoint_id)
        self.platform.reports.append([(endpoint_id, b"")])
        await trio.sleep(self.draw.uniform(0.5, 10))
        self.platform.reports.append([(endpoint_id, b"1")])
        self.note("listed", endpoint_id)

    async def log_fault(self):
        names = list(self.faults_by_name)
        if self.draw.random() < 0.6:
            names = [self._holder_or_any().settings.instance] if self.instances else []
        fault = self.draw.choice(["silent", "busy", "append_lost"])
        self.note(fault, names)
        for name in names:
            self.faults_by_name[name].store = fault
        await trio.sleep(self.draw.uniform(0.5, 6))
        for name in names:
            self.faults_by_name[name].store = ""
        self.note("log answers", names)

    async def lose_answers(self):
        if self.draw.random() < 0.5:
            for faults in self.faults_by_name.values():
                faults.lose_append_answers = self.draw.randint(0, 2)
        else:
            self._endpoint().lose_start_answers = 1
        self.note("lose answers")

    def _holder_or_any(self):
        return self.draw.choice(holders(self.instances) or self.instances)

    async def kill_holder(self):
        if not self.instances:
            return
        instance = self._holder_or_any()
        name = instance.settings.instance
        self.note("kill", name, "holder", bool(instance.election.leadership))
        self.kill(instance)
        await trio.sleep(self.draw.uniform(0.3, 1.5))
        self.start(self.nursery, name)
        self.note("start", name)

    async def kill_twice(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.kill_holder)
            await trio.sleep(self.draw.uniform(0.5, 4))
            nursery.start_soon(self.kill_holder)

    async def kill_all(self):
        killed = list(self.instances)
        self.note("kill all")
        for instance in killed:
            self.kill(instance)
        await trio.sleep(1)
        self.without_power_ms += 1_000
        for instance in killed:
            self.start(self.nursery, instance.settings.instance)
        self.note("start all")

    async def resign(self):
        if not self.instances:
            return
        instance = self._holder_or_any()
        self.note("drain", instance.settings.instance)
        await instance.drain()
        if instance in self.instances:
            self.kill(instance)
            await trio.sleep(self.draw.uniform(0.3, 1.5))
            self.start(self.nursery, instance.settings.instance)

    async def submit_short(self):
        await self.submit(
            (0.3, 4), self.draw.randint(1, 3), gang=self.draw.random() < 0.3
        )
