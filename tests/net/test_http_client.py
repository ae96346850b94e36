"""A call ends when its answer is complete, or when the server makes no progress."""

import pytest
import trio
from slow_link import SlowLink

from ragwortshelf.core.model import Unreachable
from ragwortshelf.net.http_client import HttpClient
from ragwortshelf.net.http_messages import HttpResponse

LIMIT_MS = 700


def _connect(monkeypatch, link):
    monkeypatch.setattr(trio, "open_tcp_stream", link.open_stream)
    return HttpClient("10.0.0.1:80", timeout_ms=LIMIT_MS)


# Guards against a large answer that a slow link never delivers, because each call is
# cut at its time limit while data still arrives and the next one starts over.
async def test_an_answer_that_keeps_arriving_is_received_whole(
    autojump_clock, monkeypatch
):
    async def answer(request):
        return HttpResponse(200, (), b"x" * 900_000)

    link = SlowLink()
    client = _connect(monkeypatch, link)
    async with link.serving(answer):
        response = await client.call("GET", "/")
    assert not isinstance(response, Unreachable), response.detail
    assert len(response.body) == 900_000


async def test_a_call_without_an_answer_ends_at_its_time_limit(
    autojump_clock, monkeypatch
):
    async def answer(request):
        await trio.sleep_forever()

    link = SlowLink()
    client = _connect(monkeypatch, link)
    async with link.serving(answer):
        began = trio.current_time()
        response = await client.call("GET", "/")
        took_ms = (trio.current_time() - began) * 1000
    assert isinstance(response, Unreachable)
    assert response.may_have_applied
    assert response.received_bytes == 0
    assert LIMIT_MS <= took_ms <= LIMIT_MS + 10


async def test_an_answer_that_stops_arriving_ends_the_call(autojump_clock, monkeypatch):
    async def answer(request):
        return HttpResponse(200, (), b"x" * 900_000)

    link = SlowLink()
    client = _connect(monkeypatch, link)
    async with link.serving(answer), trio.open_nursery() as nursery:

        async def cut_the_link():
            await trio.sleep(0.5)
            link.bytes_per_s = 1e-3

        nursery.start_soon(cut_the_link)
        began = trio.current_time()
        response = await client.call("GET", "/")
        took_ms = (trio.current_time() - began) * 1000
    assert isinstance(response, Unreachable)
    assert 250_000 < response.received_bytes < 350_000
    assert f"{response.received_bytes} bytes received" in response.detail
    assert took_ms <= 500 + LIMIT_MS + 50


# Guards against a stalled call that a fast beginning of its answer keeps open for many
# times its limit.
async def test_a_trickle_after_a_fast_beginning_ends_the_call(
    autojump_clock, monkeypatch
):
    async def answer(request):
        return HttpResponse(200, (), b"x" * 900_000)

    link = SlowLink()
    client = _connect(monkeypatch, link)
    async with link.serving(answer), trio.open_nursery() as nursery:

        async def slow_the_link():
            await trio.sleep(1)
            link.bytes_per_s /= 40

        nursery.start_soon(slow_the_link)
        began = trio.current_time()
        response = await client.call("GET", "/")
        took_ms = (trio.current_time() - began) * 1000
    assert isinstance(response, Unreachable)
    assert took_ms <= 1_000 + 2 * LIMIT_MS


# Guards against calls that go to the old address for ever after a change of settings,
# because a call under way at that moment gives its connection back to the pool.
async def test_no_connection_to_an_old_address_is_used_again(
    autojump_clock, monkeypatch
):
    async def answer(request):
        await trio.sleep(0.5)
        return HttpResponse(200, (), request.header("host").encode())

    link = SlowLink()
    client = _connect(monkeypatch, link)
    async with link.serving(answer), trio.open_nursery() as nursery:
        nursery.start_soon(client.call, "GET", "/")
        await trio.sleep(0.1)
        client.set_address("10.0.0.2:80")
        await trio.sleep(1)
        opened_before = link.opened
        await client.call("GET", "/")
    assert link.opened == [*opened_before, "10.0.0.2"]


async def test_a_trickle_of_bytes_does_not_hold_a_call_open(
    autojump_clock, monkeypatch
):
    async def answer(request):
        return HttpResponse(200, (), b"x" * 900_000)

    link = SlowLink(bytes_per_s=SlowLink().bytes_per_s / 100)
    client = _connect(monkeypatch, link)
    async with link.serving(answer):
        began = trio.current_time()
        response = await client.call("GET", "/")
        took_ms = (trio.current_time() - began) * 1000
    assert isinstance(response, Unreachable)
    assert took_ms <= 2 * LIMIT_MS


# Guards against a call that raises instead of ending as unreachable, because its
# address is no address or a header cannot be sent.
@pytest.mark.parametrize(
    "address",
    [
        "",
        "nowhere",
        "127.0.0.1:",
        "127.0.0.1:²",
        "127.0.0.1:-1",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:" + "9" * 30,
        "127.0.0.1:" + "9" * 5_000,
        "0.0.0.0:1",
        "255.255.255.255:80",
        "[::1]:1",
        "::1:1",
        "[fe80::1%a\r\nb]:80",
        "[fe80::1%\ud800]:80",
        "[fe80::1%\x00]:80",
        f"[fe80::1%{'x' * 300}]:80",
        "fe80::1%é:80",
    ],
)
async def test_a_call_to_an_address_of_nothing_is_unreachable(address):
    response = await HttpClient(address).call("GET", "/", timeout_ms=200)
    assert isinstance(response, Unreachable)
    assert not response.may_have_applied


@pytest.mark.parametrize("value", ["é", "\ud800", "a\nb", "a\x00b", " a", "a "])
async def test_a_header_that_cannot_be_sent_makes_a_call_unreachable(
    autojump_clock, monkeypatch, value
):
    async def answer(request):
        return HttpResponse(200)

    link = SlowLink()
    client = _connect(monkeypatch, link)
    async with link.serving(answer):
        response = await client.call("GET", "/", headers=(("x-id", value),))
        assert isinstance(response, Unreachable)
        assert not response.may_have_applied
        assert (await client.call("GET", "/")).status == 200
