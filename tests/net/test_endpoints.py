"""Connections to endpoints accept only complete responses to their own request."""

import pytest
import trio

from ragwortshelf.core.model import Answered, Request, ServingEndpoint, Unreachable
from ragwortshelf.net.endpoints import HttpEndpoint, open_endpoint
from ragwortshelf.net.interfaces import NotSent

REQUEST = Request("a1.1.7", "o", False, 0, path="/post", body=b"amount=1")


def encode_response(
    body=b"ok", status=200, request_id="a1.1.7", length=None, headers=b""
):
    length = len(body) if length is None else length
    return b"HTTP/1.1 %d x\r\nx-request-id: %s\r\ncontent-length: %d\r\n%s\r\n%s" % (
        status,
        request_id.encode(),
        length,
        headers,
        body,
    )


async def exchange(*pieces, closes=False, request=REQUEST):
    """Send a request to a fake endpoint that writes ``pieces`` one by one."""
    near, far = trio.testing.memory_stream_pair()
    endpoint = HttpEndpoint("m1", "127.0.0.1:1", near)
    results = []

    async def send():
        results.append(await endpoint.send(request))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        received = await far.receive_some()
        for piece in pieces:
            await far.send_all(piece)
            await trio.testing.wait_all_tasks_blocked()
        if closes:
            await far.aclose()
    return results[0], endpoint, received


async def test_response_in_several_reads_is_complete():
    response_data = encode_response(b"verdict")
    result, endpoint, received = await exchange(
        response_data[:9], response_data[9:50], response_data[50:]
    )
    assert isinstance(result, Answered) and result.body == b"verdict"
    assert endpoint.is_usable
    assert received.startswith(b"POST /post HTTP/1.1\r\n")
    for header in (b"x-request-id: a1.1.7", b"x-idempotent: false"):
        assert header in received.lower()


@pytest.mark.parametrize(
    "piece",
    [
        encode_response(b"cut", length=100),
        encode_response()[:20],
        b"",
        b"nonsense\r\n\r\n",
        encode_response(request_id="a1.1.6"),
        encode_response(
            status=503, request_id="a1.1.6", headers=b"x-not-run: true\r\n"
        ),
    ],
    ids=["truncated", "cut in head", "closed", "not http", "other id", "other 503"],
)
async def test_incomplete_or_foreign_response_is_unreachable(piece):
    result, endpoint, _ = await exchange(*([piece] if piece else []), closes=True)
    assert isinstance(result, Unreachable) and result.may_have_applied
    assert not endpoint.is_usable


async def test_503_marked_as_not_run_is_not_sent_and_plain_503_is_answered():
    refusal = encode_response(b"", status=503, headers=b"x-not-run: true\r\n")
    result, endpoint, _ = await exchange(refusal)
    assert result == NotSent("m1 refused", is_leaving=True)
    assert endpoint.is_usable
    result, _, _ = await exchange(encode_response(b"", status=503))
    assert isinstance(result, Answered)


async def test_unsolicited_second_response_makes_the_connection_unusable():
    result, endpoint, _ = await exchange(encode_response() + encode_response(b"twice"))
    assert isinstance(result, Answered) and result.body == b"ok"
    assert not endpoint.is_usable


async def test_cancelled_send_closes_the_connection(autojump_clock):
    near, _ = trio.testing.memory_stream_pair()
    endpoint = HttpEndpoint("m1", "127.0.0.1:1", near)
    with trio.move_on_after(1):
        await endpoint.send(REQUEST)
    assert not endpoint.is_usable
    with pytest.raises(trio.ClosedResourceError):
        await near.receive_some()


async def test_reserved_headers_of_the_caller_are_dropped():
    headers = (("X-Request-Id", "b1.1.1"), ("Content-Length", "0"), ("x-a", "b"))
    request = Request("a1.1.7", "o", True, 0, headers=headers, body=b"12345")
    _, _, received = await exchange(encode_response(), request=request)
    assert b"b1.1.1" not in received and b"x-a: b" in received
    assert received.lower().count(b"content-length") == 1


async def test_request_with_an_invalid_header_is_not_sent():
    near, _ = trio.testing.memory_stream_pair()
    endpoint = HttpEndpoint("m1", "127.0.0.1:1", near)
    bad = Request("a1.1.7", "o", False, 0, headers=(("x-a", "b\r\nx-c: d"),))
    assert isinstance(await endpoint.send(bad), NotSent)


async def test_connection_closed_while_idle_sends_nothing(nursery):
    async def accept(stream):
        await stream.aclose()

    listeners = await nursery.start(trio.serve_tcp, accept, 0)
    port = listeners[0].socket.getsockname()[1]
    info = ServingEndpoint("m1", "d1", f"127.0.0.1:{port}")
    deadline_ms = int(trio.current_time() * 1000) + 5_000
    endpoint = await open_endpoint(info, deadline_ms=deadline_ms)
    await trio.lowlevel.wait_readable(endpoint._stream.socket)
    assert isinstance(await endpoint.send(REQUEST), NotSent)
    nursery.cancel_scope.cancel()


async def test_refused_connection_certainly_did_not_apply():
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    info = ServingEndpoint("m1", "d1", f"127.0.0.1:{port}")
    deadline_ms = int(trio.current_time() * 1000) + 5_000
    result = await open_endpoint(info, deadline_ms=deadline_ms)
    assert isinstance(result, Unreachable) and not result.may_have_applied
