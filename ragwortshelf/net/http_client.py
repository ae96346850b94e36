"""An HTTP/1.1 client on trio and h11 with a small pool of connections."""

from __future__ import annotations

import h11
import trio

from ..core.model import Unreachable
from .connection_limit import ClientConnection, ConnectionLimit, split_address
from .http_messages import HttpResponse
from .transfer_deadline import TransferDeadline

__all__ = ["HttpClient", "split_address"]

_READ_BYTES = 64 * 1024
_MAX_BODY_BYTES = 64 * 1024 * 1024

MIN_ANSWER_BYTES_PER_S = 32 * 1024
"""Rate below which an answer that still arrives counts as stalled; a twentieth of the
slowest supported link, of 5 Mbit/s."""


class HttpClient:
    """Client of one server that makes at most ``connections`` calls at a time.

    A call is cancelled once it has made no progress for its timeout, however large its
    answer is: an answer may be larger than a slow link carries within the timeout, and
    a repeated call would start over. A connection returns to the pool only after a
    complete response; otherwise it is closed.

    Clients may share a ``limit`` of their open connections. A call at this limit waits
    within its timeout unless an idle connection can be closed.
    """

    def __init__(
        self,
        address: str,
        *,
        connections: int = 8,
        timeout_ms: int = 5_000,
        limit: ConnectionLimit | None = None,
    ):
        self.address = address
        self._timeout_ms = timeout_ms
        self._idle: list[ClientConnection] = []
        self._limit = limit or ConnectionLimit()
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
            connection = self._idle.pop()
            self._limit.set_in_use(connection)
            connection.protocol.start_next_cycle()
            answer = await self._exchange(
                address, connection, method, target, body, headers, progress
            )
            if not isinstance(answer, Unreachable) or method != "GET":
                return answer
        try:
            connection = await self._limit.open(address)
        except (OSError, ValueError, OverflowError) as error:
            # The last two are of an address that is none, and of one whose host cannot
            # be encoded.
            return progress.unreachable(f"{address}: {error}")
        return await self._exchange(
            address, connection, method, target, body, headers, progress
        )

    async def _exchange(
        self, address, connection, method, target, body, headers, progress
    ):
        is_reusable = False
        stream, protocol = connection.stream, connection.protocol
        try:
            data = _encode(protocol, address, method, target, body, headers)
            progress.has_sent = True
            await stream.send_all(data)
            response = await _read_response(stream, protocol, progress)
            # The address may have been changed during the call.
            is_reusable = (
                address == self.address
                and protocol.our_state is h11.DONE
                and protocol.their_state is h11.DONE
                and not self._limit.is_waited_for
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
                self._idle.append(connection)
                self._limit.set_idle(connection, lambda: self._idle.remove(connection))
            else:
                await self._limit.close(connection)
        return response

    def set_address(self, address: str) -> None:
        """Use another address for further calls and drop the idle connections."""
        if address != self.address:
            self.address = address
            while self._idle:
                self._limit.drop(self._idle.pop())

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._limit.close(self._idle.pop())


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
