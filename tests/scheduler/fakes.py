"""Fake platform clients that inject faults and latency, in virtual time."""

from __future__ import annotations

import math
from dataclasses import replace
from functools import partial

import trio

from ragwortshelf.core.scheduling import ServiceConfiguration
from ragwortshelf.core.scheduling.listings import RunEnd, StartOutcome
from ragwortshelf.core.scheduling.upkeep import UpkeepOutcome
from ragwortshelf.scheduler.interfaces import (
    Advice,
    EndpointAnswer,
    EndpointClient,
    EndpointUnreachable,
    HostService,
    KeyedLog,
    LogGap,
    LogPage,
    LogRefused,
    LogUnanswered,
    NewestPage,
    PlatformAdapter,
    StartAnswer,
    check_entry,
)
from ragwortshelf.standins.keyed_topic import KeyedTopic
from ragwortshelf.standins.platform_endpoint import EndpointState
from ragwortshelf.standins.policy_service import PolicyService

LOG_CALL_S = 0.004
LINK_DELAY_S = 0.001


class FakeLog(KeyedLog):
    """One instance's client of a topic."""

    newest_page_rows = 500

    def __init__(self, topic: KeyedTopic, faults):
        self._topic = topic
        self._faults = faults

    async def append(self, entries, *, timeout_ms, at=None, fence=None):
        for entry in entries:
            check_entry(entry)
        self._faults.append_sizes.append(sum(len(k) + len(v) for k, v in entries))
        sending_s = self._faults.append_sizes[-1] / self._faults.append_bytes_per_s
        if LOG_CALL_S + sending_s > timeout_ms / 1000:
            await trio.sleep(timeout_ms / 1000)
            return LogUnanswered("cut while sending")
        await trio.sleep(LOG_CALL_S + sending_s)
        match self._faults.store:
            case "silent":
                await trio.sleep(timeout_ms / 1000)
                return LogUnanswered("silent")
            case "busy":
                return LogRefused("busy")
            case "append_lost":
                await trio.sleep(timeout_ms / 1000)
                return LogUnanswered("lost")
        outcome = self._topic.append(entries, at, fence)
        if self._faults.lose_append_answers > 0:
            self._faults.lose_append_answers -= 1
            await trio.sleep(timeout_ms / 1000)
            return LogUnanswered("lost")
        return outcome

    async def read(self, offset, *, wait_ms, timeout_ms, is_brief=False):
        await trio.sleep(LOG_CALL_S)
        if self._faults.store == "silent":
            await trio.sleep(timeout_ms / 1000)
            return LogUnanswered("silent")
        if self._faults.store == "busy":
            return LogRefused("busy")
        if offset < self._topic.first:
            return LogGap(self._topic.first)
        await self._topic.wait(offset, wait_ms)
        entries = tuple(self._topic.entries[offset:])
        end = len(self._topic.entries)
        return LogPage(entries, end, end)

    async def newest(self, after_key, *, timeout_ms):
        await trio.sleep(LOG_CALL_S)
        if self._faults.store:
            return LogRefused(self._faults.store)
        end = len(self._topic.entries)
        rows = sorted(self._topic.newest())
        rest = [row for row in rows if after_key is None or row[0] > after_key]
        page = tuple(rest[: self.newest_page_rows])
        is_last = len(page) == len(rest)
        return NewestPage(page, end, None if is_last else page[-1][0])


class LossyLog(FakeLog):
    """A log whose pages of newest records hold one row, and of which some fail.

    Calls fail whose number, from 1, is a multiple of ``failing_period``, or is in
    ``failing_calls``. ``loss`` is "refused" or "unanswered". ``on_failure`` is called
    at each failure. ``after_keys`` lists the arguments of all calls, and
    ``answer_delay_s_by_call`` has those whose answers are on their way for longer.
    """

    newest_page_rows = 1

    def __init__(
        self, topic: KeyedTopic, loss, *, failing_period=None, failing_calls=()
    ):
        super().__init__(topic, Faults())
        self.loss = loss
        self.failing_period = failing_period
        self.failing_calls = failing_calls
        self.on_failure = lambda: None
        self.after_keys = []
        self.answer_delay_s_by_call = {}

    async def newest(self, after_key, *, timeout_ms):
        self.after_keys.append(after_key)
        call = len(self.after_keys)
        is_periodic = self.failing_period and call % self.failing_period == 0
        if not is_periodic and call not in self.failing_calls:
            page = await super().newest(after_key, timeout_ms=timeout_ms)
            await trio.sleep(self.answer_delay_s_by_call.get(call, 0))
            return page
        self.on_failure()
        if self.loss == "refused":
            await trio.sleep(LOG_CALL_S)
            return LogRefused("busy")
        await trio.sleep(timeout_ms / 1000)
        return LogUnanswered("lost")


class FakeEndpoint(EndpointState):
    """An endpoint that can be disconnected, lose its answers or crash.

    The start of a task in ``crashing_tasks`` crashes it. It is back ``downtime_s``
    later, under its id, unless ``on_crash`` replaces it.
    """

    def __init__(self, info, crashing_tasks=frozenset()):
        super().__init__(info)
        self.is_disconnected = False
        self.lose_start_answers = 0
        self.renewals = []
        self.crashing_tasks = crashing_tasks
        self.downtime_s = 3.4
        self.on_crash = lambda endpoint: None
        self.takes_ticket = lambda task, ticket: True
        self.crash_times_s = []

    @property
    def is_down(self):
        """Whether it refuses connections."""
        if not self.crash_times_s:
            return False
        return trio.current_time() < self.crash_times_s[-1] + self.downtime_s

    def crash(self):
        super().crash()
        self.crash_times_s.append(trio.current_time())
        self.on_crash(self)

    def start(self, task, run, until_ms, token):
        outcome = super().start(task, run, until_ms, token)
        if outcome is StartOutcome.STARTED and task in self.crashing_tasks:
            self.crash()
        return outcome

    def finish(self, task):
        self.end(task, RunEnd.DONE)


class FakeClient(EndpointClient):
    """One instance's client of a fake endpoint."""

    def __init__(self, endpoint: FakeEndpoint, token: int, faults):
        self._endpoint = endpoint
        self._token = token
        self._faults = faults

    def raise_token(self, token):
        self._token = token

    async def _cross_link(self, timeout_ms):
        is_cut_off = (
            self._endpoint.is_disconnected
            or self._faults.is_disconnected
            or self._endpoint.info.id in self._faults.unreachable_ids
        )
        if is_cut_off:
            await trio.sleep(timeout_ms / 1000)
            return False
        await trio.sleep(LINK_DELAY_S)
        return True

    async def renew(self, *, until_ms, ack_number, wait_ms, timeout_ms):
        self._endpoint.renewals.append((self._token, until_ms))
        endpoint = self._endpoint
        if endpoint.is_down:
            return EndpointUnreachable("refused")
        if not await self._cross_link(timeout_ms):
            return EndpointUnreachable("timeout")
        born = endpoint.born
        if not await endpoint.renew(until_ms, ack_number, wait_ms, self._token):
            return EndpointUnreachable("fence", is_fenced=True)
        if endpoint.born != born:
            return EndpointUnreachable("closed")
        return EndpointAnswer(
            endpoint.clock_ms(),
            endpoint.born,
            endpoint.rows(),
            tuple(endpoint.finished),
        )

    async def start(self, task, run, text, checkpoint, ticket, until_ms, timeout_ms):
        if self._endpoint.is_down:
            return StartAnswer(StartOutcome.UNHEALTHY)
        if not await self._cross_link(timeout_ms):
            return StartAnswer(StartOutcome.UNANSWERED)
        if self._endpoint.is_down:
            return StartAnswer(StartOutcome.UNANSWERED)
        if not self._endpoint.takes_ticket(task, ticket):
            return StartAnswer(StartOutcome.NO_TICKET, self._endpoint.clock_ms())
        outcome = self._endpoint.start(task, run, until_ms, self._token)
        if self._endpoint.lose_start_answers > 0:
            self._endpoint.lose_start_answers -= 1
            await trio.sleep(timeout_ms / 1000)
            return StartAnswer(StartOutcome.UNANSWERED)
        return StartAnswer(outcome, self._endpoint.clock_ms())

    async def stop(self, task, run, timeout_ms):
        if self._endpoint.is_down or not await self._cross_link(timeout_ms):
            return False
        return self._endpoint.stop(task, run, self._token)

    async def pace(self, task, run, percent, timeout_ms):
        return await self._cross_link(timeout_ms)

    async def aclose(self):
        pass


class HostOrders(HostService):
    """Lists the given hosts once ``may_answer`` is set, and records the orders."""

    def __init__(self, hosts):
        self._hosts = list(hosts)
        self.listed = trio.Event()
        self.may_answer = trio.Event()
        self.orders = []

    async def list_hosts(self):
        self.listed.set()
        await self.may_answer.wait()
        return self._hosts

    async def begin_upkeep(self, host_id, wave, holder, token):
        self.orders.append((host_id, holder, token))
        return UpkeepOutcome.BEGUN


class Faults:
    """Faults between one instance and the platform.

    ``store`` is "silent" (calls time out), "busy" (calls are refused), "append_lost"
    (only appends time out) or empty. An append that needs longer than its time limit to
    cross the link, at ``append_bytes_per_s``, is cut; ``append_sizes`` has the size of
    each one tried. The endpoints in ``unreachable_ids`` don't answer this instance.
    """

    def __init__(self):
        self.store = ""
        self.is_disconnected = False
        self.unreachable_ids = set()
        self.lose_append_answers = 0
        self.append_bytes_per_s = math.inf
        self.append_sizes = []


class Platform:
    """The state of the platform that all instances share."""

    def __init__(self, configuration: ServiceConfiguration, endpoints):
        self.configuration = configuration
        self.jobs = KeyedTopic()
        self.operator = KeyedTopic()
        self.reports = KeyedTopic()
        self.endpoint_by_id = {info.id: FakeEndpoint(info) for info in endpoints}
        self.operator.append([("config", b"1")])
        self.is_ready_by_address = {}
        self.policy: PolicyService | None = None
        # Jobs that need no ticket, and the starts that were refused for want of one.
        self.unadvised_ids = set()
        self.refused_tickets = 0
        self.hosts = None
        self.waves = {}
        self.wave_states = []
        for info in endpoints:
            self.reports.append([(info.id, b"1")])

    def add_policy(self, terms, **options):
        """Let the endpoints start nothing without a ticket of a policy service."""

        def incarnation_of(endpoint_id):
            endpoint = self.endpoint_by_id.get(endpoint_id)
            return None if endpoint is None or endpoint.is_down else endpoint.born

        self.policy = PolicyService(terms, incarnation_of, **options)
        for endpoint in self.endpoint_by_id.values():
            endpoint.takes_ticket = partial(self._takes_ticket, endpoint.info.id)

    def _takes_ticket(self, endpoint_id, task, ticket):
        if task.partition(".")[0] in self.unadvised_ids:
            return True
        is_valid = self.policy.is_valid(ticket, task, endpoint_id)
        self.refused_tickets += not is_valid
        return is_valid

    def resize(self, endpoint_id, capacity):
        """Change an endpoint's capacity, and report it."""
        endpoint = self.endpoint_by_id[endpoint_id]
        endpoint.info = replace(endpoint.info, capacity=capacity)
        self.reports.append([(endpoint_id, b"1")])

    def move(self, endpoint_id, address):
        """Change an endpoint's address, and report it."""
        endpoint = self.endpoint_by_id[endpoint_id]
        endpoint.info = replace(endpoint.info, address=address)
        self.reports.append([(endpoint_id, b"1")])

    def make_tasks_crash(self, tasks, *, is_replaced=False):
        """Let the starts of these tasks crash every endpoint.

        With ``is_replaced`` a crashed one comes back at its address under another id.
        """
        for endpoint in self.endpoint_by_id.values():
            endpoint.crashing_tasks = frozenset(tasks)
            if is_replaced:
                endpoint.on_crash = self._replace

    def _replace(self, endpoint):
        endpoint.downtime_s = math.inf
        info = replace(endpoint.info, id=f"{endpoint.info.id}+")
        successor = FakeEndpoint(info, endpoint.crashing_tasks)
        successor.work_ms = endpoint.work_ms
        successor.on_crash = self._replace
        successor.crash_times_s.append(trio.current_time())
        self.endpoint_by_id[info.id] = successor
        self.reports.append([(info.id, b"1"), (endpoint.info.id, b"")])

    def crash_count(self):
        """Return how often an endpoint crashed."""
        return sum(
            len(endpoint.crash_times_s) - endpoint.info.id.endswith("+")
            for endpoint in self.endpoint_by_id.values()
        )

    def runs(self):
        """Return all starts as (task, run, endpoint id, time, token)."""
        return [
            (run.task, run.run, endpoint.info.id, run.started_ms, run.token)
            for endpoint in self.endpoint_by_id.values()
            for run in endpoint.history.values()
        ]


class FakePlatformAdapter(PlatformAdapter):
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

    async def ask_advice(self, step, endpoint_ids, *, timeout_ms):
        policy = self.platform.policy
        if policy is None:
            return None
        answer = None
        with trio.move_on_after(timeout_ms / 1000):
            answer = await policy.ask(str(id(self)), step, endpoint_ids)
        if answer is None:
            return None
        return Advice(answer.ticket_by_id, answer.valid_ms)

    async def is_instance_ready(self, address, *, timeout_ms):
        await trio.sleep(LINK_DELAY_S)
        return self.platform.is_ready_by_address.get(address, lambda: False)()

    def host_service(self):
        return self.platform.hosts

    async def publish_wave(self, wave, is_completed):
        self.platform.wave_states.append((wave, is_completed))
        return True

    def decode_waves(self, entries):
        return self.platform.waves

    def decode_evacuations(self, entries):
        prefix = "evacuate/"
        keys = [key for key in entries if key.startswith(prefix)]
        return frozenset(key.removeprefix(prefix) for key in keys)

    def decode_configuration(self, entries):
        return self.platform.configuration

    def decode_endpoint(self, key, value):
        return self.platform.endpoint_by_id[key].info
