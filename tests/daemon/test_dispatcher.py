"""RequestService against fake endpoints and peers, in virtual time."""

import random
from collections import Counter
from dataclasses import replace

import pytest
import trio

from ragwortshelf.core.model import (
    Answered,
    InstanceInfo,
    MemberState,
    NotRun,
    Reason,
    Request,
    RequestClass,
    ServingEndpoint,
    Unknown,
    Unreachable,
)
from ragwortshelf.core.requests import MESSAGE_TYPES, ShareSettings
from ragwortshelf.core.streams import decode, encode
from ragwortshelf.daemon.dispatcher import RequestService
from ragwortshelf.net.interfaces import EndpointConnection, NotSent, Peers

TYPES_BY_NAME = {cls.__name__: cls for cls in MESSAGE_TYPES}
SETTINGS = ShareSettings(isolated_slots=0)
LIST_INTERVAL_S = 2.0


def now_ms():
    return int(trio.current_time() * 1000)


class FakeEndpoint:
    """An endpoint with eight slots; tests inject faults through its attributes."""

    def __init__(self, name, data_centre="d1"):
        self.info = ServingEndpoint(name, data_centre, "127.0.0.1:1")
        self.runs_by_id = Counter()
        self.running = 0
        self.running_max = 0
        self.run_ms = 10
        self.fails = False
        self.refuses = False
        self.answers_to_lose = 0
        self.silent_opened_before = -1
        self.connections = 0


class FakeConnection(EndpointConnection):
    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.opened = trio.current_time()
        self.is_open = True
        endpoint.connections += 1

    async def send(self, request):
        endpoint = self.endpoint
        if self.opened < endpoint.silent_opened_before:
            await trio.sleep_forever()
        if endpoint.refuses or endpoint.running >= 8:
            return NotSent("refused", is_leaving=True)
        endpoint.runs_by_id[request.request_id] += 1
        endpoint.running += 1
        endpoint.running_max = max(endpoint.running_max, endpoint.running)
        run_ms = dict(request.headers).get("x-run-ms", endpoint.run_ms)
        try:
            await trio.sleep(int(run_ms) / 1000)
        finally:
            endpoint.running -= 1
        if endpoint.answers_to_lose:
            endpoint.answers_to_lose -= 1
            return Unreachable("lost")
        if endpoint.fails:
            return Answered(500, (), b"")
        return Answered(200, (), request.request_id.encode())

    async def close(self):
        if self.is_open:
            self.is_open = False
            self.endpoint.connections -= 1


class FakeNetwork:
    """Links between instances: messages pass the codec, and cut links lose them."""

    def __init__(self):
        self.handlers_by_name = {}
        self.cut_links = set()

    def peers(self, name):
        return FakePeers(self, name)


class FakePeers(Peers):
    def __init__(self, network, name):
        self.network, self.name, self.handlers = network, name, {}
        network.handlers_by_name[name] = self.handlers

    async def call(self, instance, message, *, deadline_ms):
        await trio.sleep(0.001)
        handlers = self.network.handlers_by_name.get(instance)
        if (
            handlers is None
            or frozenset((self.name, instance)) in self.network.cut_links
        ):
            return Unreachable("cut")
        with trio.move_on_at(deadline_ms / 1000):
            sent = decode(encode(message), TYPES_BY_NAME)
            reply = await handlers[type(message)](self.name, sent)
            return decode(encode(reply), TYPES_BY_NAME)
        return Unreachable("timeout")

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler


class Cluster:
    """Instances a1 and a2 in d1 and b1 in d2, with two endpoints in each."""

    def __init__(self, nursery, names=("a1", "a2", "b1")):
        self.nursery = nursery
        self.network = FakeNetwork()
        self.decisions = []
        self.endpoint_by_name = {
            name: FakeEndpoint(name, f"d{name[1]}")
            for name in ("m11", "m12", "m21", "m22")
        }
        self.service_by_name = {}
        self.scope_by_name = {}
        self.infos = [self.info(name) for name in names]

    def info(self, name):
        return InstanceInfo(name, "d1" if name[0] == "a" else "d2", "", "")

    async def open(self, info, *, deadline_ms):
        return FakeConnection(self.endpoint_by_name[info.name])

    async def start(self):
        for info in self.infos:
            await self.start_one(info.name)
        await trio.sleep(16)

    async def start_one(self, name):
        service = RequestService(
            name,
            1,
            self.info(name).data_centre,
            self.open,
            self.network.peers(name),
            self.decisions.append,
            random.Random(name),
            share_settings=SETTINGS,
        )
        self.service_by_name[name] = service
        service.set_endpoints(
            tuple(endpoint.info for endpoint in self.endpoint_by_name.values())
        )
        scope = self.scope_by_name[name] = trio.CancelScope()

        async def run(task_status):
            with scope:
                await service.run(task_status=task_status)

        await self.nursery.start(run)
        self.nursery.start_soon(self.follow_list, name, scope)
        return service

    async def follow_list(self, name, scope):
        while not scope.cancel_called:
            self.service_by_name[name].set_instances(tuple(self.infos))
            await trio.sleep(LIST_INTERVAL_S)

    def kill(self, name):
        self.scope_by_name[name].cancel()
        del self.network.handlers_by_name[name]


@pytest.fixture
async def cluster(nursery):
    cluster = Cluster(nursery)
    await cluster.start()
    return cluster


def request(request_id, *, idempotent=False, in_ms=2_000, run_ms=10, **kwargs):
    return Request(
        request_id,
        "o",
        idempotent,
        now_ms() + in_ms,
        headers=(("x-run-ms", str(run_ms)),),
        **kwargs,
    )


def runs(cluster, request_id):
    return sum(
        endpoint.runs_by_id[request_id]
        for endpoint in cluster.endpoint_by_name.values()
    )


def reserve_id(service):
    return service.reserve_ids(1)[0]


async def test_request_is_answered_with_a_logged_reason(cluster, autojump_clock):
    service = cluster.service_by_name["a1"]
    request_id = reserve_id(service)
    outcome = await service.submit(request(request_id))
    assert outcome == Answered(200, (), request_id.encode())
    (decision,) = [d for d in cluster.decisions if d.subject == request_id]
    assert decision.kind == "route_request"
    assert decision.choice in ("m11", "m12")
    assert decision.passed_over


async def test_two_instances_stay_within_the_slots_under_load(cluster, autojump_clock):
    services = [cluster.service_by_name[name] for name in ("a1", "a2")]
    outcomes = []

    async def submit_one(service):
        request_id = reserve_id(service)
        outcomes.append(
            await service.submit(request(request_id, in_ms=60_000, run_ms=50))
        )

    async with trio.open_nursery() as nursery:
        for index in range(400):
            nursery.start_soon(submit_one, services[index % 2])
    assert Counter(type(o) for o in outcomes) == {Answered: 400}
    local_endpoints = [cluster.endpoint_by_name[n] for n in ("m11", "m12")]
    assert [endpoint.running_max for endpoint in local_endpoints] == [8, 8]
    assert all(endpoint.connections <= 64 for endpoint in local_endpoints)
    assert (
        sum(
            endpoint.runs_by_id.total()
            for endpoint in cluster.endpoint_by_name.values()
        )
        == 400
    )


async def test_busy_data_centre_delegates_to_another_one(cluster, autojump_clock):
    service = cluster.service_by_name["a1"]
    async with trio.open_nursery() as nursery:
        for _ in range(30):
            nursery.start_soon(service.submit, request(reserve_id(service), run_ms=900))
    remote_runs = [
        cluster.endpoint_by_name[n].runs_by_id.total() for n in ("m21", "m22")
    ]
    assert sum(remote_runs) >= 3
    assert any("own endpoints" in str(d.passed_over) for d in cluster.decisions)


async def test_retry_at_another_instance_gets_the_first_answer(cluster, autojump_clock):
    a1, b1 = cluster.service_by_name["a1"], cluster.service_by_name["b1"]
    request_id = reserve_id(a1)
    outcomes = []

    async def ask(service):
        outcomes.append(await service.submit(request(request_id, run_ms=100)))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask, a1)
        nursery.start_soon(ask, b1)
    await ask(b1)
    assert outcomes == [Answered(200, (), request_id.encode())] * 3
    assert runs(cluster, request_id) == 1


async def test_lost_answer_of_a_non_idempotent_request_is_unknown_and_never_resent(
    cluster, autojump_clock
):
    service = cluster.service_by_name["a1"]
    for endpoint in cluster.endpoint_by_name.values():
        endpoint.answers_to_lose = 1
    request_id = reserve_id(service)
    for _ in range(2):
        outcome = await service.submit(request(request_id))
        assert isinstance(outcome, Unknown)
    assert runs(cluster, request_id) == 1


async def test_lost_answer_of_an_idempotent_request_is_retried(cluster, autojump_clock):
    service = cluster.service_by_name["a1"]
    for name in ("m11", "m12"):
        cluster.endpoint_by_name[name].answers_to_lose = 1
    outcome = await service.submit(request(reserve_id(service), idempotent=True))
    assert isinstance(outcome, Answered)


async def test_request_of_a_dead_owner_runs_only_if_idempotent(cluster, autojump_clock):
    request_id, idempotent_id = cluster.service_by_name["a1"].reserve_ids(2)
    cluster.kill("a1")
    service = cluster.service_by_name["a2"]
    assert await service.submit(request(request_id)) == Unknown(
        Reason.OWNER_UNREACHABLE, "the owner of the id did not answer"
    )
    assert isinstance(
        await service.submit(request(idempotent_id, idempotent=True)), Answered
    )
    assert runs(cluster, request_id) == 0


async def test_hanging_owner_delays_no_caller_past_the_deadline(
    cluster, autojump_clock
):
    request_id = reserve_id(cluster.service_by_name["a1"])

    async def hang(sender, message):
        await trio.sleep_forever()

    for handlers in cluster.network.handlers_by_name.values():
        for message_type in list(handlers):
            handlers[message_type] = hang
    started = trio.current_time()
    outcome = await cluster.service_by_name["b1"].submit(request(request_id, in_ms=700))
    assert outcome.reason is Reason.OWNER_UNREACHABLE
    assert trio.current_time() - started <= 0.702


async def test_drain_refuses_new_requests_finishes_running_ones_and_hands_over(
    cluster, autojump_clock
):
    a1 = cluster.service_by_name["a1"]
    running, unused, late = a1.reserve_ids(3)
    outcomes = {}

    async def ask(name, service, request_id):
        outcomes[name] = await service.submit(request(request_id, run_ms=500))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask, "running", a1, running)
        await trio.sleep(0.1)
        nursery.start_soon(a1.drain)
        await trio.sleep(0.1)
        nursery.start_soon(ask, "late", a1, late)
        await trio.sleep(0.1)
        assert outcomes["late"].reason is Reason.DRAINING
    assert isinstance(outcomes["running"], Answered)
    cluster.kill("a1")
    for name in ("a2", "b1"):
        service = cluster.service_by_name[name]
        assert await service.submit(request(running)) == outcomes["running"]
        refused = await service.submit(request(unused))
        assert isinstance(refused, NotRun) and refused.retry_after_ms == 0
    assert runs(cluster, running) == 1
    await trio.sleep(1)
    assert cluster.service_by_name["a2"].slots_by_endpoint()["m11"] == 8


async def test_leaving_endpoint_gets_no_new_requests(cluster, autojump_clock):
    leaving = cluster.endpoint_by_name["m11"]
    infos = [endpoint.info for endpoint in cluster.endpoint_by_name.values()]
    infos[0] = ServingEndpoint("m11", "d1", "127.0.0.1:1", state=MemberState.LEAVING)
    service = cluster.service_by_name["a1"]
    service.set_endpoints(tuple(infos))
    for _ in range(20):
        await service.submit(request(reserve_id(service)))
    assert leaving.runs_by_id.total() == 0
    service.set_endpoints(())  # an empty list changes nothing
    assert isinstance(await service.submit(request(reserve_id(service))), Answered)
    assert leaving.runs_by_id.total() == 0


async def test_request_refused_before_its_start_is_sent_to_another_endpoint(
    cluster, autojump_clock
):
    cluster.endpoint_by_name["m11"].refuses = True
    service = cluster.service_by_name["a1"]
    for _ in range(20):
        assert isinstance(await service.submit(request(reserve_id(service))), Answered)


async def test_failing_endpoint_is_ejected_and_readmitted(cluster, autojump_clock):
    failing = cluster.endpoint_by_name["m11"]
    failing.fails = True
    service = cluster.service_by_name["a1"]
    for _ in range(40):
        await service.submit(request(reserve_id(service), idempotent=True))
    assert service.ejected_endpoints() == {"m11"}
    before = failing.runs_by_id.total()
    outcomes = [await service.submit(request(reserve_id(service))) for _ in range(10)]
    assert {o.status for o in outcomes} == {200}
    assert failing.runs_by_id.total() == before
    failing.fails = False
    for _ in range(20):
        await trio.sleep(0.2)
        await service.submit(request(reserve_id(service), idempotent=True))
    assert service.ejected_endpoints() == set()


async def test_not_all_endpoints_are_ejected(cluster, autojump_clock):
    for endpoint in cluster.endpoint_by_name.values():
        endpoint.fails = True
    service = cluster.service_by_name["a1"]
    for _ in range(60):
        await service.submit(request(reserve_id(service), idempotent=True, in_ms=500))
    assert len(service.ejected_endpoints()) == 1


async def test_silent_connections_are_replaced_without_ejecting_the_endpoint(
    cluster, autojump_clock
):
    service = cluster.service_by_name["a1"]

    async def ask():
        quick = RequestClass.QUICK
        request_id = reserve_id(service)
        outcomes.append(
            await service.submit(
                request(request_id, idempotent=True, in_ms=4_000, request_class=quick)
            )
        )

    outcomes = []
    for _ in range(2):
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(ask)
        for name in ("m11", "m12"):
            endpoint = cluster.endpoint_by_name[name]
            endpoint.silent_opened_before = trio.current_time()
    started = trio.current_time()
    outcomes.clear()
    for _ in range(8):
        await ask()
    assert all(isinstance(o, Answered) for o in outcomes)
    assert trio.current_time() - started < 3
    assert service.ejected_endpoints() == set()


async def test_long_request_is_not_treated_as_silent(cluster, autojump_clock):
    service = cluster.service_by_name["a1"]
    request_id = reserve_id(service)
    outcome = await service.submit(
        request(
            request_id, in_ms=60_000, run_ms=50_000, request_class=RequestClass.LONG
        )
    )
    assert isinstance(outcome, Answered)
    assert runs(cluster, request_id) == 1


async def test_cancelled_caller_releases_its_slot(cluster, autojump_clock):
    service = cluster.service_by_name["a1"]
    request_id = reserve_id(service)
    with trio.move_on_after(0.2):
        await service.submit(request(request_id, run_ms=1_500))
    await trio.sleep(0.01)
    assert service.load_report().in_flight_by_endpoint == {}
    assert isinstance(await service.submit(request(request_id)), Unknown)
    assert runs(cluster, request_id) == 1


async def test_deadline_ends_a_running_request_promptly(cluster, autojump_clock):
    service = cluster.service_by_name["a1"]
    started = trio.current_time()
    outcome = await service.submit(
        request(reserve_id(service), in_ms=300, run_ms=5_000)
    )
    assert isinstance(outcome, Unknown)
    assert trio.current_time() - started <= 0.301


async def test_ids_that_were_never_reserved_are_refused(cluster, autojump_clock):
    service = cluster.service_by_name["a1"]
    for request_id in ("a1.1.999", "a1.1.0", "nonsense", "a1.x.1"):
        outcome = await service.submit(request(request_id))
        assert (outcome.reason, outcome.retry_after_ms) == (Reason.INVALID, None)


async def test_request_id_of_another_organisation_reveals_no_answer(
    cluster, autojump_clock
):
    a1, a2 = cluster.service_by_name["a1"], cluster.service_by_name["a2"]
    request_id = reserve_id(a1)
    outcomes = []

    async def ask(service, **changes):
        changed_request = replace(request(request_id, run_ms=100), **changes)
        outcomes.append(await service.submit(changed_request))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask, a1)
        await trio.sleep(0.05)
        await ask(a1, organisation="p")
    await ask(a2, body=b"another amount")
    await a1.drain()
    cluster.kill("a1")
    await ask(a2, organisation="p")
    await ask(a2)
    assert [type(o) for o in outcomes] == [NotRun, Answered, NotRun, NotRun, Answered]
    assert runs(cluster, request_id) == 1
