"""Clients that share a limit close idle connections of each other, and wait."""

import contextlib

import pytest
import trio

from ragwortshelf.core.model import Unreachable
from ragwortshelf.net.connection_limit import ConnectionLimit
from ragwortshelf.net.http_client import HttpClient
from ragwortshelf.net.http_messages import HttpLimits, HttpResponse
from ragwortshelf.net.http_server import HttpServer


class Servers:
    """Servers that answer at once, or once ``release`` is set."""

    def __init__(self):
        self.release = trio.Event()
        self.release.set()

    def hold(self):
        self.release = trio.Event()

    async def answer(self, request):
        await self.release.wait()
        return HttpResponse(200, (), str(request.connection).encode())


@contextlib.asynccontextmanager
async def serving(servers, count):
    addresses = []
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            host, port = listeners[0].socket.getsockname()
            addresses.append(f"{host}:{port}")
            server = HttpServer(servers.answer, HttpLimits())
            nursery.start_soon(server.serve, listeners)
        yield addresses
        nursery.cancel_scope.cancel()


@pytest.fixture
def limit():
    return ConnectionLimit(2)


@pytest.fixture
def servers():
    return Servers()


async def ask(client, **options):
    """Return the server's number of the connection that carried the call."""
    response = await client.call("POST", "/", **options)
    assert not isinstance(response, Unreachable), response.detail
    return int(response.body)


async def test_the_idle_connection_used_longest_ago_is_closed(limit, servers):
    async with serving(servers, 3) as addresses:
        first, second, third = (HttpClient(a, limit=limit) for a in addresses)
        assert await ask(first) == 1
        assert await ask(second) == 1
        assert await ask(first) == 1
        assert await ask(third) == 1
        assert limit.open_connections == 2
        assert await ask(first) == 1
        assert await ask(second) == 2
        for client in (first, second, third):
            await client.aclose()
        assert limit.open_connections == 0


async def test_a_call_waits_for_a_connection_while_all_are_in_use(limit, servers):
    servers.hold()
    answered = []
    async with serving(servers, 3) as addresses:

        async def ask_held(address):
            await ask(HttpClient(address, limit=limit, timeout_ms=20_000))
            answered.append(address)

        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(ask_held, address)
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert limit.open_connections == 2
            assert limit.is_waited_for
            servers.release.set()
        assert set(answered) == set(addresses)
        assert limit.open_connections <= 2


async def test_the_wait_for_a_connection_ends_with_the_time_limit(limit, servers):
    servers.hold()
    async with serving(servers, 2) as addresses, trio.open_nursery() as nursery:
        busy = HttpClient(addresses[0], limit=limit, timeout_ms=20_000)
        for _ in range(2):
            nursery.start_soon(ask, busy)
        await trio.testing.wait_all_tasks_blocked(0.05)
        waiting = HttpClient(addresses[1], limit=limit)
        response = await waiting.call("POST", "/", timeout_ms=50)
        assert isinstance(response, Unreachable)
        assert not response.may_have_applied
        assert not limit.is_waited_for
        servers.release.set()


async def test_failed_attempts_and_changed_addresses_free_their_places(limit, servers):
    async with serving(servers, 2) as addresses:
        refused = HttpClient("127.0.0.1:1", limit=limit)
        for _ in range(5):
            assert isinstance(await refused.call("POST", "/"), Unreachable)
        assert limit.open_connections == 0
        client = HttpClient(addresses[0], limit=limit)
        await ask(client)
        client.set_address(addresses[1])
        assert limit.open_connections == 0
        await ask(client)
        assert limit.open_connections == 1


async def test_a_cut_call_frees_its_place(limit, servers):
    servers.hold()
    async with serving(servers, 1) as addresses:
        client = HttpClient(addresses[0], limit=limit)
        for _ in range(5):
            response = await client.call("POST", "/", timeout_ms=20)
            assert response.may_have_applied
        assert limit.open_connections == 0
