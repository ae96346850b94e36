"""An in-memory log and endpoints with the platform's rules, for virtual time."""

from __future__ import annotations

from collections import deque

import trio

from ragwortshelf.core.scheduling import ServiceConfiguration
from ragwortshelf.core.scheduling.fleet import (
    EndpointInfo,
    FinishedRun,
    RunEnd,
    RunningTask,
    StartOutcome,
)
from ragwortshelf.scheduler.interfaces import (
    Appended,
    Deposed,
    EndpointAnswer,
    EndpointClient,
    EndpointUnreachable,
    KeyedLog,
    LogPage,
    LogRefused,
    LogUnanswered,
    Moved,
    NewestPage,
    OutsideWorld,
)

CALL_S = 0.004
CROSS_S = 0.001
REPEATS_KEPT = 5


class SharedLog:
    """The records of one keyed topic, with conditions, fences and repeats."""

    def __init__(self):
        self.entries = []
        self.epoch_by_producer = {}
        self.recent_by_producer = {}
        self.grown = trio.Event()

    def append(self, entries, at, fence):
        if fence is not None:
            early = self._fenced(fence)
            if early is not None:
                return early
        if at is not None and at != len(self.entries):
            return Moved(len(self.entries))
        offset = len(self.entries)
        self.entries.extend(entries)
        outcome = Appended(offset, len(self.entries))
        if fence is not None:
            self._remember(fence, outcome)
        self.grown.set()
        self.grown = trio.Event()
        return outcome

    def _fenced(self, fence):
        epoch, sequence = self.epoch_by_producer.get(fence.producer, (-1, 0))
        if fence.epoch < epoch:
            return Deposed("fenced")
        if fence.epoch > epoch:
            return None
        recent = self.recent_by_producer[fence.producer]
        for known, outcome in recent:
            if known == fence.sequence:
                return outcome
        return None if fence.sequence == sequence + 1 else Deposed("seq")

    def _remember(self, fence, outcome):
        epoch, _ = self.epoch_by_producer.get(fence.producer, (-1, 0))
        if fence.epoch > epoch:
            self.recent_by_producer[fence.producer] = deque(maxlen=REPEATS_KEPT)
        self.epoch_by_producer[fence.producer] = (fence.epoch, fence.sequence)
        self.recent_by_producer[fence.producer].append((fence.sequence, outcome))

    def put(self, key, value):
        self.append([(key, value)], None, None)


class FakeLog(KeyedLog):
    """One instance's way to a shared log."""

    def __init__(self, shared: SharedLog, faults):
        self._shared = shared
        self._faults = faults

    async def append(self, entries, *, timeout_ms, at=None, fence=None):
        await trio.sleep(CALL_S)
        match self._faults.store:
            case "silent":
                await trio.sleep(timeout_ms / 1000)
                return LogUnanswered("silent")
            case "busy":
                return LogRefused("busy")
        outcome = self._shared.append(entries, at, fence)
        if self._faults.lose_append_answers > 0:
            self._faults.lose_append_answers -= 1
            await trio.sleep(timeout_ms / 1000)
            return LogUnanswered("lost")
        return outcome

    async def read(self, offset, *, wait_ms, timeout_ms):
        await trio.sleep(CALL_S)
        if self._faults.store == "silent":
            await trio.sleep(timeout_ms / 1000)
            return LogUnanswered("silent")
        if self._faults.store == "busy":
            return LogRefused("busy")
        with trio.move_on_after(wait_ms / 1000):
            while len(self._shared.entries) <= offset:
                await self._shared.grown.wait()
        entries = tuple(self._shared.entries[offset:])
        end = len(self._shared.entries)
        return LogPage(entries, end, end)

    async def newest(self, after_key, *, timeout_ms):
        await trio.sleep(CALL_S)
        if self._faults.store:
            return LogRefused(self._faults.store)
        newest = dict(self._shared.entries)
        kept = tuple((k, v) for k, v in sorted(newest.items()) if v)
        return NewestPage(kept, len(self._shared.entries), None)


class FakeEndpoint:
    """An endpoint that runs tasks under leases and fences by token."""

    def __init__(self, info: EndpointInfo):
        self.info = info
        self.born = 1
        self.token = 0
        self.until_ms = 0
        self.work_ms = 1_000
        self.running = {}
        self.finished = []
        self.number = 0
        self.top_run = {}
        self.started = []
        self.is_cut = False
        self.lose_start_answers = 0
        self.changed = trio.Event()

    def clock_ms(self):
        return int(trio.current_time() * 1000)

    def advance(self):
        now = self.clock_ms()
        if self.running and now > self.until_ms:
            for task in list(self.running):
                self._end(task, RunEnd.LAPSED)
        for task, (_, since) in list(self.running.items()):
            if now - since >= self.work_ms:
                self._end(task, RunEnd.DONE)

    def finish(self, task):
        self._end(task, RunEnd.DONE)

    def _end(self, task, end):
        run, _ = self.running.pop(task)
        self.number += 1
        self.finished.append(FinishedRun(self.number, task, run, end, ""))
        self.changed.set()
        self.changed = trio.Event()

    def start(self, task, run, until_ms, token):
        self.advance()
        if token < self.token:
            return StartOutcome.FENCED
        self.token = token
        if task in self.running and self.running[task][0] == run:
            return StartOutcome.STARTED
        if run <= self.top_run.get(task, 0):
            return StartOutcome.OUTDATED
        if until_ms < self.clock_ms():
            return StartOutcome.LATE
        self.until_ms = max(self.until_ms, until_ms)
        self.running[task] = (run, self.clock_ms())
        self.top_run[task] = run
        self.started.append((task, run, self.clock_ms(), token))
        return StartOutcome.STARTED

    def stop(self, task, run, token):
        self.advance()
        if token < self.token:
            return False
        self.token = token
        self.top_run[task] = max(run, self.top_run.get(task, 0))
        if task in self.running and self.running[task][0] <= run:
            self._end(task, RunEnd.STOPPED)
        return True


class FakeClient(EndpointClient):
    """One instance's way to a fake endpoint."""

    def __init__(self, endpoint: FakeEndpoint, token: int, faults):
        self._endpoint = endpoint
        self._token = token
        self._faults = faults

    async def _cross(self, timeout_ms):
        if self._endpoint.is_cut or self._faults.is_cut:
            await trio.sleep(timeout_ms / 1000)
            return False
        await trio.sleep(CROSS_S)
        return True

    async def renew(self, *, until_ms, ack_number, wait_ms, timeout_ms):
        if not await self._cross(timeout_ms):
            return EndpointUnreachable("timeout")
        endpoint = self._endpoint
        if self._token < endpoint.token:
            return EndpointUnreachable("fence", is_fenced=True)
        endpoint.token = self._token
        endpoint.advance()
        endpoint.finished = [r for r in endpoint.finished if r.number > ack_number]
        if until_ms is not None:
            endpoint.until_ms = max(endpoint.until_ms, until_ms)
        deadline = trio.current_time() + wait_ms / 1000
        while not endpoint.finished and trio.current_time() < deadline:
            await trio.sleep(0.01)
            endpoint.advance()
        return EndpointAnswer(
            endpoint.clock_ms(),
            endpoint.born,
            tuple(
                RunningTask(t, run, "", endpoint.clock_ms() - since)
                for t, (run, since) in endpoint.running.items()
            ),
            tuple(endpoint.finished),
        )

    async def start(self, task, run, text, checkpoint, ticket, until_ms, timeout_ms):
        if not await self._cross(timeout_ms):
            return StartOutcome.UNANSWERED
        outcome = self._endpoint.start(task, run, until_ms, self._token)
        if self._endpoint.lose_start_answers > 0:
            self._endpoint.lose_start_answers -= 1
            await trio.sleep(timeout_ms / 1000)
            return StartOutcome.UNANSWERED
        return outcome

    async def stop(self, task, run, timeout_ms):
        if not await self._cross(timeout_ms):
            return False
        return self._endpoint.stop(task, run, self._token)

    async def pace(self, task, run, percent, timeout_ms):
        return await self._cross(timeout_ms)

    async def aclose(self):
        pass


class Faults:
    """What is wrong between one instance and the rest."""

    def __init__(self):
        self.store = ""
        self.is_cut = False
        self.lose_append_answers = 0


class Platform:
    """The log and the endpoints that all instances share."""

    def __init__(self, configuration: ServiceConfiguration, endpoints):
        self.configuration = configuration
        self.jobs = SharedLog()
        self.operator = SharedLog()
        self.reports = SharedLog()
        self.endpoint_by_id = {info.id: FakeEndpoint(info) for info in endpoints}
        self.operator.put("config", b"1")
        self.advice = lambda step, endpoint_ids: None
        self.hosts = None
        self.waves = {}
        self.wave_states = []
        for info in endpoints:
            self.reports.put(info.id, b"1")

    def runs(self):
        """All starts as (task, run, endpoint id, time, token)."""
        return [
            (task, run, endpoint.info.id, at, token)
            for endpoint in self.endpoint_by_id.values()
            for task, run, at, token in endpoint.started
        ]


class FakeWorld(OutsideWorld):
    """One instance's view of the platform."""

    def __init__(self, platform: Platform):
        self.platform = platform
        self.faults = Faults()

    def job_log(self):
        return FakeLog(self.platform.jobs, self.faults)

    def operator_log(self):
        return FakeLog(self.platform.operator, self.faults)

    def endpoint_log(self):
        return FakeLog(self.platform.reports, self.faults)

    def endpoint_client(self, info, token):
        endpoint = self.platform.endpoint_by_id[info.id]
        return FakeClient(endpoint, token, self.faults)

    async def ask_advice(self, step, endpoint_ids):
        return self.platform.advice(step, endpoint_ids)

    def host_service(self):
        return self.platform.hosts

    async def publish_wave(self, wave, is_completed):
        self.platform.wave_states.append((wave, is_completed))
        return True

    def decode_waves(self, entries):
        return self.platform.waves

    def decode_configuration(self, entries):
        return self.platform.configuration

    def decode_endpoint(self, key, value):
        return self.platform.endpoint_by_id[key].info
