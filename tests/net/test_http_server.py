"""Invalid or slow input gets an error response or a closed connection."""

import contextlib
import gc
import weakref
from dataclasses import replace

import pytest
import trio
from trio.testing import lockstep_stream_pair

from ragwortshelf.net import http_server
from ragwortshelf.net.http_messages import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    json_response,
    parse_json,
)
from ragwortshelf.net.http_server import HttpServer
from ragwortshelf.net.receive_budget import ReceiveBudget

LIMITS = HttpLimits(
    header_bytes=1024, body_bytes=100, read_timeout_ms=1000, connections=4
)


@contextlib.asynccontextmanager
async def serving(handler, limits=LIMITS, **options):
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    server = HttpServer(handler, limits, **options)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, listeners)
        yield server, listeners[0].socket.getsockname()
        nursery.cancel_scope.cancel()


async def echo(request):
    return json_response(200, {"body": request.body.decode("latin-1")})


async def exchange(address, data, *, eof=False):
    stream = await trio.open_tcp_stream(*address)
    async with stream:
        await stream.send_all(data)
        if eof:
            await stream.send_eof()
        received = b""
        with trio.fail_after(20):
            with contextlib.suppress(trio.BrokenResourceError):
                while part := await stream.receive_some(65536):
                    received += part
        return received


CLOSE = b"Connection: close\r\n"
POST = b"POST / HTTP/1.1\r\nHost: x\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (POST + CLOSE + b"Content-Length: 2\r\n\r\nab", b"200"),
        (POST + b"Content-Length: 101\r\n\r\n", b"413"),
        (POST + b"Content-Length: " + b"9" * 400 + b"\r\n\r\n", b"4"),
        (POST + b"Content-Length: -1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 2000 + b"\r\n\r\n", b"431"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n", b"408"),
        (b"GET / HTTP/1.1\r\nHo", b"408"),
        (b"\x00\xff garbage\r\n\r\n", b"400"),
        (
            POST + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"40\r\n" + b"a" * 64 + b"\r\n40\r\n" + b"a" * 64 + b"\r\n0\r\n\r\n",
            b"413",
        ),
    ],
)  # fmt: skip
async def test_request_gets_the_expected_status(data, status):
    async with serving(echo) as (_, address):
        answer = await exchange(address, data)
        assert answer.startswith(b"HTTP/1.1 " + status)
        # The server still serves other connections.
        valid_request = b"GET / HTTP/1.1\r\nHost: x\r\n" + CLOSE + b"\r\n"
        assert (await exchange(address, valid_request)).startswith(b"HTTP/1.1 200")


async def test_pipelined_requests_are_answered_in_order():
    first = POST + b"Content-Length: 1\r\n\r\n1"
    second = b"POST / HTTP/1.1\r\nHost: x\r\n" + CLOSE + b"Content-Length: 1\r\n\r\n2"
    async with serving(echo) as (_, address):
        answer = await exchange(address, first + second)
    assert answer.count(b"HTTP/1.1 200") == 2
    assert answer.index(b'"1"') < answer.index(b'"2"')


async def test_a_handler_that_raises_gives_500():
    async def fail(request):
        raise RuntimeError("broken")

    data = b"GET / HTTP/1.1\r\nHost: x\r\n" + CLOSE + b"\r\n"
    async with serving(fail) as (_, address):
        assert (await exchange(address, data)).startswith(b"HTTP/1.1 500")


async def test_a_caller_that_disconnects_cancels_its_handler():
    started = trio.Event()
    cancelled = trio.Event()

    async def wait(request):
        started.set()
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()

    async with serving(wait) as (_, address):
        stream = await trio.open_tcp_stream(*address)
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await started.wait()
        await stream.aclose()
        with trio.fail_after(20):
            await cancelled.wait()


async def assert_closed(stream):
    with trio.fail_after(20), contextlib.suppress(trio.BrokenResourceError):
        assert await stream.receive_some(1) == b""


async def receive_response(stream):
    """Return the bytes of one response, whose body is not empty."""
    received = b""
    with trio.fail_after(20):
        while not received.partition(b"\r\n\r\n")[2]:
            part = await stream.receive_some(65536)
            if not part:
                break
            received += part
    return received


class HeldHandler:
    """Handler whose requests are in progress until ``release`` is set."""

    def __init__(self):
        self.release = trio.Event()
        self.in_progress = 0
        self._has_begun = trio.Event()

    async def __call__(self, request):
        self.in_progress += 1
        self._has_begun.set()
        self._has_begun = trio.Event()
        await self.release.wait()
        return await echo(request)

    async def wait_in_progress(self, count):
        with trio.fail_after(20):
            while self.in_progress < count:
                await self._has_begun.wait()


GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


# Guards against idle connections that lock out other callers.
async def test_the_connection_idle_for_longest_makes_room_at_the_limit():
    refusals = []
    async with serving(echo, observe_refusal=refusals.append) as (server, address):
        streams = [await trio.open_tcp_stream(*address) for _ in range(4)]
        for stream in (streams[1], streams[0], *streams[2:]):
            await stream.send_all(GET)
            assert (await receive_response(stream)).startswith(b"HTTP/1.1 200")
        streams.append(await trio.open_tcp_stream(*address))
        await assert_closed(streams[1])
        for stream in (streams[0], *streams[2:]):
            await stream.send_all(GET)
            assert (await receive_response(stream)).startswith(b"HTTP/1.1 200")
        assert server.connections_max == 4
        assert refusals == ["idle"]
        for stream in streams:
            await stream.aclose()


# Guards against requests that never end and lock out other callers.
async def test_unfinished_requests_make_room_if_no_connection_is_idle():
    refusals = []
    limits = replace(LIMITS, read_timeout_ms=60_000)
    async with serving(echo, limits, observe_refusal=refusals.append) as (
        server,
        address,
    ):
        streams = []
        for _ in range(3):
            streams.append(await trio.open_tcp_stream(*address))
            await streams[-1].send_all(POST + b"Content-Length: 9\r\n\r\nhalf")
            await trio.testing.wait_all_tasks_blocked(0.05)
        streams.append(await trio.open_tcp_stream(*address))
        await trio.testing.wait_all_tasks_blocked(0.05)
        for evicted in (streams[3], streams[0]):
            newest = await trio.open_tcp_stream(*address)
            await newest.send_all(POST + b"Content-Length: 9\r\n\r\nhalf")
            await assert_closed(evicted)
            streams.append(newest)
        assert server.connections_max == 4
        assert refusals == ["idle", "unfinished"]
        for stream in streams:
            await stream.aclose()


async def test_connections_are_closed_while_all_others_have_requests_in_progress():
    handler = HeldHandler()
    refusals = []
    async with serving(handler, observe_refusal=refusals.append) as (server, address):
        streams = [await trio.open_tcp_stream(*address) for _ in range(4)]
        for stream in streams:
            await stream.send_all(GET)
        await handler.wait_in_progress(4)
        async with await trio.open_tcp_stream(*address) as refused:
            await assert_closed(refused)
        handler.release.set()
        for stream in streams:
            assert (await receive_response(stream)).startswith(b"HTTP/1.1 200")
            await stream.aclose()
        assert server.connections_max == 4
        assert refusals == ["full"]


# Guards against bodies within the limit that together exceed the memory.
@pytest.mark.parametrize("is_chunked", [False, True])
async def test_the_largest_unfinished_request_is_refused_for_others(is_chunked):
    refusals = []
    budget = ReceiveBudget(5_000, small_bytes=1_024)
    limits = replace(LIMITS, body_bytes=4_000, read_timeout_ms=60_000)
    head = b"Content-Length: 4000\r\n\r\n"
    if is_chunked:
        head = b"Transfer-Encoding: chunked\r\n\r\nfa0\r\n"
    async with serving(
        count_bytes, limits, budget=budget, observe_refusal=refusals.append
    ) as (_, address):
        large = await trio.open_tcp_stream(*address)
        await large.send_all(POST + head + b"x" * 3_000)
        await trio.testing.wait_all_tasks_blocked(0.05)
        small = await trio.open_tcp_stream(*address)
        await small.send_all(POST + b"Content-Length: 2500\r\n\r\n" + b"y" * 2_000)
        answer = await receive_response(large)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 1" in answer.lower()
        assert budget.held_bytes < 2_200
        # The rest of a refused body is not taken for a request.
        await large.send_all(b"x" * 1_000 + GET)
        await small.send_all(b"y" * 500)
        assert b'{"bytes":2500}' in await receive_response(small)
        await assert_closed(large)
        assert refusals == ["memory"]
        await small.aclose()
        await large.aclose()
    assert budget.held_bytes == 0


# Guards against an eviction by which a request in progress ends without its response.
async def test_a_request_in_progress_is_answered_although_pipelined_ones_are_dropped():
    handler = HeldHandler()
    refusals = []
    budget = ReceiveBudget(2_000, small_bytes=1_024)
    async with serving(handler, budget=budget, observe_refusal=refusals.append) as (
        _,
        address,
    ):
        pipelining = await trio.open_tcp_stream(*address)
        await pipelining.send_all(GET)
        await handler.wait_in_progress(1)
        await pipelining.send_all(GET * 60)
        await trio.testing.wait_all_tasks_blocked(0.05)
        other = await trio.open_tcp_stream(*address)
        await other.send_all(b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 990)
        await other.send_all(b"\r\n\r\n")
        await handler.wait_in_progress(2)
        assert refusals == ["pipelined"]
        assert budget.held_bytes < 1_200
        handler.release.set()
        assert (await receive_response(other)).startswith(b"HTTP/1.1 200")
        answer = await receive_response(pipelining)
        assert answer.count(b"HTTP/1.1 200") == 1
        assert b"connection: close" in answer.lower()
        await assert_closed(pipelining)
        await pipelining.aclose()
        await other.aclose()
    assert handler.in_progress == 2


# Guards against large requests in progress that together exceed the memory.
async def test_a_large_request_is_refused_while_others_in_progress_hold_the_memory():
    handler = HeldHandler()
    budget = ReceiveBudget(10_000, small_bytes=1_024)
    limits = replace(LIMITS, body_bytes=4_000)
    post = POST + b"Content-Length: 4000\r\n\r\n" + b"x" * 4_000
    async with serving(handler, limits, budget=budget) as (_, address):
        first = await trio.open_tcp_stream(*address)
        await first.send_all(post)
        await handler.wait_in_progress(1)
        assert (await exchange(address, post)).startswith(b"HTTP/1.1 503")
        small = await trio.open_tcp_stream(*address)
        await small.send_all(GET)
        await handler.wait_in_progress(2)
        handler.release.set()
        for stream in (first, small):
            assert (await receive_response(stream)).startswith(b"HTTP/1.1 200")
        # What the first one held is free again.
        await first.send_all(post)
        assert (await receive_response(first)).startswith(b"HTTP/1.1 200")
        await first.aclose()
        await small.aclose()


# Guards against a connection that keeps the body of its last request while it is idle.
async def test_an_idle_connection_holds_nothing_of_its_last_request():
    requests = []

    async def handle(request):
        requests.append(weakref.ref(request))
        return json_response(200, {})

    class Request(HttpRequest):
        __slots__ = ("__weakref__",)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(http_server, "HttpRequest", Request)
        async with serving(handle) as (_, address):
            stream = await trio.open_tcp_stream(*address)
            await stream.send_all(GET)
            assert (await receive_response(stream)).startswith(b"HTTP/1.1 200")
            await trio.testing.wait_all_tasks_blocked(0.05)
            gc.collect()
            assert [request() for request in requests] == [None]
            await stream.aclose()


# Guards against work without end for a body in tiny chunks.
async def test_the_framing_of_chunks_is_bounded():
    limits = replace(LIMITS, body_bytes=100_000)
    head = POST + b"Transfer-Encoding: chunked\r\n\r\n"
    async with serving(count_bytes, limits) as (_, address):
        answer = await exchange(address, head + b"1\r\nx\r\n" * 40_000)
        assert answer.startswith(b"HTTP/1.1 413")
        chunks = b"1\r\nx\r\n" * 30_000 + b"0\r\n\r\n"
        answer = await exchange(address, head + chunks, eof=True)
        assert b'{"bytes":30000}' in answer


# Guards against one read of tiny chunks that keeps all other tasks waiting.
async def test_other_tasks_run_while_the_chunks_of_one_read_are_decoded():
    turns = 0
    has_ended = False

    async def count_turns():
        nonlocal turns
        while not has_ended:
            turns += 1
            await trio.lowlevel.checkpoint()

    async def handle(request):
        nonlocal has_ended
        has_ended = True
        return await count_bytes(request)

    limits = replace(LIMITS, body_bytes=100_000)
    data = b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 5_000
    async with (
        connected(handle, limits) as (_, stream),
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(count_turns)
        await stream.send_all(POST + CLOSE + data + b"0\r\n\r\n")
        assert b'{"bytes":5000}' in await stream.receive_some(65536)
    # A turn at least for every hundred of the chunks.
    assert turns > 50


async def test_a_drain_finishes_running_requests_and_closes_idle_connections():
    release = trio.Event()
    started = trio.Event()

    async def wait(request):
        started.set()
        await release.wait()
        return json_response(200, {})

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = listeners[0].socket.getsockname()
    server = HttpServer(wait, LIMITS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, listeners)
        idle = await trio.open_tcp_stream(*address)
        busy = await trio.open_tcp_stream(*address)
        await busy.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await started.wait()
        server.drain()
        assert await idle.receive_some(1) == b""
        release.set()
        assert (await busy.receive_some(100)).startswith(b"HTTP/1.1 200")
        await idle.aclose()
        await busy.aclose()


@pytest.mark.parametrize(
    "body", [b"{", b"[]", b'{"a": NaN}', b"[" * 100_000, b'{"a": ' + b"9" * 5000 + b"}"]
)
def test_a_body_that_is_not_a_json_object_is_malformed(body):
    assert hasattr(parse_json(body), "detail")


SLOW_BYTES_PER_S = 62_500
"""Share of one of ten transfers on a link of 5 Mbit/s."""

SEGMENT_BYTES = 1_400
SLOW_LIMITS = HttpLimits(read_timeout_ms=1000)


class SegmentedStream:
    """Sends in segments, so that what has not been received is lost with a cut."""

    def __init__(self, stream):
        self._stream = stream
        self.receive_some = stream.receive_some
        self.send_eof = stream.send_eof
        self.aclose = stream.aclose

    async def send_all(self, data):
        for start in range(0, len(data), SEGMENT_BYTES):
            await self._stream.send_all(data[start : start + SEGMENT_BYTES])


class MemoryListener:
    """Accepts connections in memory, on which a sender waits for the receiver."""

    def __init__(self):
        self._send, self._receive = trio.open_memory_channel(1)

    async def connect(self):
        client, server = lockstep_stream_pair()
        await self._send.send(SegmentedStream(server))
        return client

    async def accept(self):
        return await self._receive.receive()

    async def aclose(self):
        self._receive.close()


@contextlib.asynccontextmanager
async def connected(handler, limits=SLOW_LIMITS):
    listener = MemoryListener()
    server = HttpServer(handler, limits)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, [listener])
        yield server, await listener.connect()
        nursery.cancel_scope.cancel()


async def send_slowly(stream, data, part_bytes, interval_s):
    with contextlib.suppress(trio.BrokenResourceError):
        for start in range(0, len(data), part_bytes):
            await stream.send_all(data[start : start + part_bytes])
            await trio.sleep(interval_s)


async def receive_slowly(stream, part_bytes, interval_s):
    received = b""
    pause_at_bytes = part_bytes
    with contextlib.suppress(trio.BrokenResourceError):
        while part := await stream.receive_some(pause_at_bytes - len(received)):
            received += part
            if len(received) == pause_at_bytes:
                pause_at_bytes += part_bytes
                await trio.sleep(interval_s)
    return received


async def post_slowly(stream, size, part_bytes, interval_s):
    """Return the answer to a body sent in parts, and after how long it arrived."""
    await stream.send_all(POST + CLOSE + b"Content-Length: %d\r\n\r\n" % size)
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_slowly, stream, b"x" * size, part_bytes, interval_s)
        answer = await stream.receive_some(65536)
        nursery.cancel_scope.cancel()
    return answer, trio.current_time() - began


async def count_bytes(request):
    return json_response(200, {"bytes": len(request.body)})


# Guards against bodies that are refused on a slow link although they keep arriving.
async def test_a_body_that_keeps_arriving_is_read_whole(autojump_clock):
    async with connected(count_bytes) as (_, stream):
        part_bytes = SLOW_BYTES_PER_S // 10
        answer, took_s = await post_slowly(stream, 500_000, part_bytes, 0.1)
    assert answer.startswith(b"HTTP/1.1 200")
    assert b'{"bytes":500000}' in answer
    assert took_s >= 7


# Guards against bodies that stop arriving, or trickle, and hold a connection open.
@pytest.mark.parametrize(
    ("part_bytes", "interval_s", "limit_s"),
    [(100_000, 60, 1.1), (1, 0.5, 1.1), (1_000, 0.5, 2)],
)
async def test_a_body_that_stops_or_trickles_is_refused(
    autojump_clock, part_bytes, interval_s, limit_s
):
    async with connected(count_bytes) as (_, stream):
        answer, took_s = await post_slowly(stream, 500_000, part_bytes, interval_s)
    assert answer.startswith(b"HTTP/1.1 408")
    assert 1 <= took_s <= limit_s


# Guards against bodies that end early and are waited for until the time limit.
@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 20\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n14\r\n",
    ],
)
async def test_a_body_that_ends_early_is_refused_at_once(autojump_clock, head):
    async with connected(count_bytes) as (_, stream):
        await stream.send_all(POST + head + b"half of it")
        await stream.send_eof()
        answer = await stream.receive_some(65536)
        assert trio.current_time() < 0.1
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"without sending complete message body" in answer


# Guards against responses that are cut on a slow link although they keep moving.
async def test_a_response_that_keeps_moving_is_sent_whole(autojump_clock):
    async def answer(request):
        return HttpResponse(200, (), b"x" * 500_000)

    async with connected(answer) as (_, stream):
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n" + CLOSE + b"\r\n")
        received = await receive_slowly(stream, SLOW_BYTES_PER_S // 10, 0.1)
        assert received.partition(b"\r\n\r\n")[2].count(b"x") == 500_000
        assert trio.current_time() >= 7


# Guards against callers that read a response slowly to hold a connection open.
@pytest.mark.parametrize(
    ("part_bytes", "interval_s", "limit_s"),
    [(100_000, 600, 21), (100, 5, 11), (16 * 1024, 9, 21)],
)
async def test_a_response_that_is_read_in_a_trickle_is_cut(
    autojump_clock, part_bytes, interval_s, limit_s
):
    async def answer(request):
        return HttpResponse(200, (), b"x" * 500_000)

    async with connected(answer, HttpLimits()) as (server, stream):
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n" + CLOSE + b"\r\n")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive_slowly, stream, part_bytes, interval_s)
            await server.wait_idle()
            nursery.cancel_scope.cancel()
        assert 10 <= trio.current_time() <= limit_s
