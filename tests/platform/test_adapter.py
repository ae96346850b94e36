"""Policy service, hosts and endpoints: requests sent and answers decoded."""

import json

import pytest
import trio
from platform_adapter import adapter as adapter_module
from platform_adapter.adapter import HttpPlatformAdapter
from platform_adapter.endpoints import MinionClient
from platform_adapter.hosts import MachineService
from platform_adapter.settings import parse_settings
from test_decoding import SETTINGS
from test_store import Client, _json

from ragwortshelf.core.model import Unreachable
from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.listings import EndpointInfo, RunEnd, StartOutcome
from ragwortshelf.core.scheduling.upkeep import HostState, UpkeepOutcome
from ragwortshelf.net.http_messages import HttpResponse
from ragwortshelf.net.http_server import HttpServer
from ragwortshelf.scheduler.interfaces import EndpointUnreachable


# Guards against a request that is ignored because its value cannot be read.
def test_the_presence_of_a_key_requests_an_evacuation():
    adapter = HttpPlatformAdapter(parse_settings(json.dumps(SETTINGS).encode()))
    entries = {
        "evacuate/a": b"{}",
        "evacuate/b/c": b"\xff not JSON",
        "evacuate/": b"{}",
        "evacuated/d": b"{}",
        "config": b"{}",
    }
    assert adapter.decode_evacuations(entries) == {"a", "b/c"}


def _endpoint(*responses):
    info = EndpointInfo("i-1", "pool", "10.0.0.1:1", "a", Resources())
    client = MinionClient(info, 7)
    client._client = Client(*responses)
    return client


async def _start(client, **fields):
    arguments = {"checkpoint": "", "ticket": "", "until_ms": 9, "timeout_ms": 100}
    return await client.start("t", 2, "text", **(arguments | fields))


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (_json(200, {"clock_ms": 1}), StartOutcome.STARTED),
        (_json(409, {"reason": "fence"}), StartOutcome.FENCED),
        (_json(409, {"reason": "old"}), StartOutcome.OUTDATED),
        (_json(409, {"reason": "late"}), StartOutcome.LATE),
        (_json(409, {"reason": "room"}), StartOutcome.NO_ROOM),
        (_json(409, {"reason": "ticket"}), StartOutcome.NO_TICKET),
        (_json(409, {"reason": ["room"]}), StartOutcome.UNANSWERED),
        (_json(409, {"reason": {}}), StartOutcome.UNANSWERED),
        (HttpResponse(400), StartOutcome.INVALID),
        (HttpResponse(421), StartOutcome.OTHER_INCARNATION),
        (HttpResponse(429), StartOutcome.UNHEALTHY),
        (HttpResponse(503), StartOutcome.UNHEALTHY),
        (Unreachable("lost"), StartOutcome.UNANSWERED),
        (Unreachable("refused", False), StartOutcome.UNHEALTHY),
    ],
)
async def test_each_answer_to_a_start_is_distinguished(response, outcome):
    assert (await _start(_endpoint(response))).outcome is outcome


# Guards against an answer that does not tell which incarnation gave it.
@pytest.mark.parametrize(
    ("fields", "clock_ms"),
    [({"clock_ms": 5}, 5), ({}, None), ({"clock_ms": "5"}, None)],
)
async def test_the_answer_to_a_start_has_the_endpoints_clock(fields, clock_ms):
    assert (await _start(_endpoint(_json(200, fields)))).clock_ms == clock_ms


async def test_a_start_carries_its_checkpoint_and_its_ticket():
    client = _endpoint(_json(200, {}))
    await _start(client, checkpoint="saved", ticket="ticket")
    ((_, target, body),) = client._client.calls
    assert target == "/api/run-start"
    assert json.loads(body) == {
        "task": "t",
        "run": 2,
        "spec": "text",
        "until_ms": 9,
        "fencing_token": 7,
        "checkpoint": "saved",
        "ticket": "ticket",
    }


async def test_a_pace_carries_its_percent_and_its_token():
    client = _endpoint(_json(200, {}), _json(409, {"reason": "fence"}))
    assert await client.pace("t", 2, 40, 100)
    assert not await client.pace("t", 2, 40, 100)
    _, target, body = client._client.calls[0]
    assert target == "/api/pace"
    assert json.loads(body) == {
        "task": "t",
        "run": 2,
        "percent": 40,
        "fencing_token": 7,
    }


async def test_task_lists_are_decoded_and_invalid_ones_count_as_no_answer():
    lists = {
        "clock_ms": 5,
        "born": 3,
        "running": [["t", 2, "saved", 41, 12.5]],
        "finished": [[58, "u", 1, "done", ""]],
    }
    client = _endpoint(_json(200, lists), _json(200, {"clock_ms": 5, "running": [[]]}))
    renewal = {"until_ms": 9, "ack_number": 4, "wait_ms": 0, "timeout_ms": 100}
    answer = await client.renew(**renewal)
    assert answer.running[0].load_metric == 12.5
    assert answer.finished[0].end is RunEnd.DONE
    assert isinstance(await client.renew(**renewal), EndpointUnreachable)


async def test_a_later_token_is_distinguished_from_other_refusals():
    client = _endpoint(_json(409, {"reason": "fence"}), HttpResponse(503))
    renewal = {"until_ms": None, "ack_number": 0, "wait_ms": 0, "timeout_ms": 100}
    assert (await client.renew(**renewal)).is_fenced
    assert not (await client.renew(**renewal)).is_fenced


async def test_advice_holds_the_tickets_of_approved_endpoints():
    adapter = HttpPlatformAdapter(parse_settings(json.dumps(SETTINGS).encode()))
    assert await adapter.ask_advice("s", ("i-1",), timeout_ms=100) is None
    adapter._advice = Client(
        _json(200, {"approved": [["i-1", "t"]], "valid_ms": 3000}), HttpResponse(429)
    )
    advice = await adapter.ask_advice("s", ("i-1", "i-2"), timeout_ms=100)
    assert advice.ticket_by_id == {"i-1": "t"}
    assert advice.valid_ms == 3000
    assert await adapter.ask_advice("s", ("i-1",), timeout_ms=100) is None


# Guards against questions that stay without an answer for a reason that no line tells.
@pytest.mark.parametrize(
    ("response", "message", "detail"),
    [
        (Unreachable("lost"), "advice_unanswered", "lost"),
        (HttpResponse(429), "advice_unanswered", "status 429"),
        (HttpResponse(200, (), b"{"), "advice_unreadable", ""),
        (_json(200, {"approved": [[]]}), "advice_unreadable", "IndexError"),
    ],
)
async def test_the_log_says_why_a_question_has_no_answer(
    monkeypatch, response, message, detail
):
    lines = []
    monkeypatch.setattr(
        adapter_module, "log_event", lambda name, **fields: lines.append((name, fields))
    )
    adapter = HttpPlatformAdapter(parse_settings(json.dumps(SETTINGS).encode()))
    adapter._advice = Client(response)
    assert await adapter.ask_advice("s", ("i-1",), timeout_ms=100) is None
    ((name, fields),) = lines
    assert name == message
    assert fields["step"] == "s"
    assert detail in fields["detail"]


async def test_hosts_are_listed_over_all_pages_or_not_at_all():
    row = {"machine": "m1", "pool": "p", "state": "up", "id": "i-1"}
    pages = (
        _json(200, {"machines": [row], "next_token": "x"}),
        _json(200, {"machines": [row | {"machine": "m2", "state": "odd"}]}),
    )
    service = MachineService("10.0.0.1:1")
    service._client = Client(*pages)
    hosts = await service.list_hosts()
    assert [host.state for host in hosts] == [HostState.UP, HostState.DOWN]
    service._client = Client(pages[0], HttpResponse(429))
    assert await service.list_hosts() is None


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (HttpResponse(200), UpkeepOutcome.BEGUN),
        (HttpResponse(400), UpkeepOutcome.NO_HOST),
        (_json(409, {"reason": "fence"}), UpkeepOutcome.FENCED),
        (_json(409, {"reason": "busy"}), UpkeepOutcome.BUSY),
        (_json(409, {"reason": "wave"}), UpkeepOutcome.OTHER_WAVE),
        (_json(409, {"reason": ["wave"]}), UpkeepOutcome.BUSY),
        (_json(409, {"reason": {}}), UpkeepOutcome.BUSY),
        (HttpResponse(429), UpkeepOutcome.LIMITED),
        (Unreachable("lost"), UpkeepOutcome.UNANSWERED),
    ],
)
async def test_each_answer_to_an_upkeep_is_distinguished(response, outcome):
    service = MachineService("10.0.0.1:1")
    service._client = Client(response)
    assert await service.begin_upkeep("m1", 1, "holder", 7) is outcome


async def test_an_upkeep_carries_its_wave_its_holder_and_its_token():
    class ClientWithHeaders(Client):
        async def call(self, method, target, body=b"", headers=(), **arguments):
            self.headers = dict(headers)
            return await super().call(method, target, body, headers, **arguments)

    service = MachineService("10.0.0.1:1")
    service._client = ClientWithHeaders(HttpResponse(200))
    await service.begin_upkeep("m1", 3, "holder", 7)
    ((method, target, body),) = service._client.calls
    assert (method, target) == ("POST", "/api/machine-upkeep")
    assert json.loads(body) == {"machine": "m1", "wave": 3}
    assert service._client.headers["x-lease-holder"] == "holder"
    assert service._client.headers["x-fencing-token"] == "7"


# Guards against calls to many endpoints that use up the descriptors of the process.
async def test_connections_to_all_endpoints_stay_within_the_descriptors():
    answering = trio.Event()

    async def answer(request):
        await answering.wait()
        return _json(200, {})

    settings = SETTINGS | {"limits": {"max_fds": 200}}
    adapter = HttpPlatformAdapter(parse_settings(json.dumps(settings).encode()))
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = listeners[0].socket.getsockname()
    server = HttpServer(answer)
    outcomes = []

    async def start(client):
        outcomes.append((await _start(client, timeout_ms=60_000)).outcome)

    async with trio.open_nursery() as serving:
        serving.start_soon(server.serve, listeners)
        clients = []
        for number in range(20):
            info = EndpointInfo(f"i-{number}", "p", f"{host}:{port}", "", Resources())
            clients.append(adapter.endpoint_client(info, 7))
        async with trio.open_nursery() as nursery:
            for client in clients * 8:
                nursery.start_soon(start, client)
            await trio.testing.wait_all_tasks_blocked(0.2)
            answering.set()
        assert server.connections_max <= 100
        assert outcomes == [StartOutcome.STARTED] * 160
        serving.cancel_scope.cancel()
