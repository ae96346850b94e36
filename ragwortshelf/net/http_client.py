"""An HTTP/1.1 client on trio and h11 with a small pool of connections."""

from __future__ import annotations

import h11
import trio

from ..core.model import Unreachable
from .http_messages import HttpResponse
from .transfer_deadline import TransferDeadline

__all__ = ["HttpClient", "split_address"]

_READ_BYTES = 64 * 1024
_MAX_BODY_BYTES = 64 * 1024 * 1024

MIN_ANSWER_BYTES_PER_S = 32 * 1024
"""Rate below which an answer that still arrives counts as stalled; a twentieth of the
slowest supported link, of 5 Mbit/s."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into host and port; IPv6 addresses are in brackets.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class HttpClient:
    """Client of one server that makes at most ``connections`` calls at a time.

    A call is cancelled once it has made no progress for its timeout, however large its
    answer is: an answer may be larger than a slow link carries within the timeout, and
    a repeated call would start over. A connection returns to the pool only after a
    complete response; otherwise it is closed.
    """

    def __init__(self, address: str, *, connections: int = 8, timeout_ms: int = 5_000):
        self.address = address
        self._timeout_ms = timeout_ms
        self._idle: list[tuple[trio.SocketStream, h11.Connection]] = []
        self._limiter = trio.CapacityLimiter(connections)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        *,
        timeout_ms: int | None = None,
    ) -> HttpResponse | Unreachable:
        """Send one request and return its complete response.

        The timeout bounds the time until the answer begins, including the wait for a
        free connection, and then each pause within the answer. An answer that arrives
        more slowly than ``MIN_ANSWER_BYTES_PER_S`` is also cut. ``may_have_applied`` of
        an ``Unreachable`` result is False only if no byte of the request was sent.
        """
        limit_ms = timeout_ms or self._timeout_ms
        deadline = TransferDeadline(limit_ms, MIN_ANSWER_BYTES_PER_S)
        progress = _Progress(deadline)
        with deadline.scope:
            async with self._limiter:
                return await self._call(method, target, body, headers, progress)
        return progress.unreachable(f"{self.address}: no progress in {limit_ms} ms")

    async def _call(self, method, target, body, headers, progress):
        address = self.address
        # The server may have closed an idle connection in the meantime. A GET that
        # fails on one is repeated once on a new connection. Other methods are not
        # repeated, because the server may have acted on the first request.
        if self._idle:
            stream, connection = self._idle.pop()
            connection.start_next_cycle()
            answer = await self._exchange(
                address, stream, connection, method, target, body, headers, progress
            )
            if not isinstance(answer, Unreachable) or method != "GET":
                return answer
        try:
            stream = await trio.open_tcp_stream(*split_address(address))
        except (OSError, ValueError, OverflowError) as error:
            # The last two are of an address that is none, and of one whose host cannot
            # be encoded.
            return progress.unreachable(f"{address}: {error}")
        return await self._exchange(
            address,
            stream,
            h11.Connection(h11.CLIENT),
            method,
            target,
            body,
            headers,
            progress,
        )

    async def _exchange(
        self, address, stream, connection, method, target, body, headers, progress
    ):
        is_reusable = False
        try:
            data = _encode(connection, address, method, target, body, headers)
            progress.has_sent = True
            await stream.send_all(data)
            response = await _read_response(stream, connection, progress)
            # The address may have been changed during the call.
            is_reusable = (
                address == self.address
                and connection.our_state is h11.DONE
                and connection.their_state is h11.DONE
            )
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.LocalProtocolError,
            h11.RemoteProtocolError,
            UnicodeError,
        ) as error:
            # A local one, or one of encoding, is of a header that cannot be sent.
            return progress.unreachable(f"{address}: {error}")
        finally:
            if is_reusable:
                self._idle.append((stream, connection))
            else:
                await trio.aclose_forcefully(stream)
        return response

    def set_address(self, address: str) -> None:
        """Use another address for further calls and drop the idle connections."""
        if address != self.address:
            self.address = address
            self._idle.clear()

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            stream, _ = self._idle.pop()
            await trio.aclose_forcefully(stream)


class _Progress:
    """How far one call has come, which moves its deadline."""

    def __init__(self, deadline: TransferDeadline):
        self._deadline = deadline
        self.has_sent = False
        self.received_bytes = 0

    def received(self, size_bytes: int) -> None:
        """Extend the deadline, since a part of the answer has arrived."""
        self.received_bytes += size_bytes
        self._deadline.advance(size_bytes)

    def unreachable(self, reason: str) -> Unreachable:
        received = self.received_bytes
        detail = f"{reason}, {received} bytes received" if received else reason
        return Unreachable(detail, self.has_sent, received)


def _encode(connection, address, method, target, body, headers) -> bytes:
    head = h11.Request(
        method=method,
        target=target,
        headers=[
            ("host", address),
            ("content-length", str(len(body))),
            *headers,
        ],
    )
    data = connection.send(head)
    if body:
        data += connection.send(h11.Data(data=body))
    return data + connection.send(h11.EndOfMessage())


async def _read_response(stream, connection, progress: _Progress) -> HttpResponse:
    head = None
    parts = []
    size = 0
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = await stream.receive_some(_READ_BYTES)
            progress.received(len(data))
            connection.receive_data(data)
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > _MAX_BODY_BYTES:
                raise h11.RemoteProtocolError("response body too large")
        elif isinstance(event, h11.EndOfMessage):
            headers = tuple(
                (k.decode("latin-1"), v.decode("latin-1")) for k, v in head.headers
            )
            return HttpResponse(head.status_code, headers, b"".join(parts))
        elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise h11.RemoteProtocolError("closed before a whole answer")
