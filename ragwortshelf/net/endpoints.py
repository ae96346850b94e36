"""Connections to endpoints over HTTP/1.1.

A connection carries one request at a time. A response is accepted only if it is
complete and echoes the id of the request; anything else closes the connection.
"""

from __future__ import annotations

import socket

import h11
import trio

from ..core.model import Answered, Request, ServingEndpoint, Unreachable
from .interfaces import EndpointConnection, NotSent

__all__ = ["HttpEndpoint", "open_endpoint"]

REQUEST_ID_HEADER = "x-request-id"
NOT_RUN_HEADER = "x-not-run"
READ_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
SERVICE_UNAVAILABLE = 503
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 5_000

_RESERVED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
        "x-idempotent",
        "x-organisation",
        REQUEST_ID_HEADER,
    }
)


async def open_endpoint(
    info: ServingEndpoint, *, deadline_ms: int
) -> HttpEndpoint | Unreachable:
    """Open one connection to an endpoint.

    ``deadline_ms`` is a time on trio's clock, in milliseconds. ``may_have_applied`` of
    an ``Unreachable`` result is always False, because no request is sent here.
    """
    host, _, port = info.address.rpartition(":")
    with trio.move_on_at(deadline_ms / 1000):
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, ValueError) as error:
            return Unreachable(f"connect to {info.name}: {error}", False)
        _set_keepalive(stream.socket)
        return HttpEndpoint(info.name, info.address, stream)
    return Unreachable(f"connect to {info.name}: timeout", False)


class HttpEndpoint(EndpointConnection):
    """An open connection to one endpoint over any trio stream.

    ``is_usable`` becomes False once the connection can carry no further request.
    """

    def __init__(self, name: str, address: str, stream: trio.abc.Stream):
        self.name = name
        self.is_usable = True
        self._address = address
        self._stream = stream
        self._protocol = h11.Connection(h11.CLIENT)

    async def send(self, request: Request) -> Answered | NotSent | Unreachable:
        """Send a request and return its complete response.

        A 503 response marked as not run gives ``NotSent``. Cancellation closes the
        connection, so that a late response cannot be taken for the next request's.
        """
        try:
            message = self._encode(request)
        except h11.LocalProtocolError as error:
            await self.close()
            return NotSent(f"request cannot be encoded: {error}")
        if self._has_unexpected_input():
            await self.close()
            return NotSent(f"{self.name}: connection had ended")
        is_reusable = False
        try:
            result = await self._exchange(request, message)
            is_reusable = (
                isinstance(result, Answered | NotSent) and self._prepare_next_exchange()
            )
            return result
        finally:
            if not is_reusable:
                self.is_usable = False
                await trio.aclose_forcefully(self._stream)

    async def close(self) -> None:
        """Close the connection immediately."""
        self.is_usable = False
        await trio.aclose_forcefully(self._stream)

    def _has_unexpected_input(self) -> bool:
        """Whether the idle connection was closed or received unsolicited data."""
        sock = getattr(self._stream, "socket", None)
        return sock is not None and sock.is_readable()

    def _encode(self, request: Request) -> bytes:
        """Encode a request, without the caller's values of reserved headers."""
        headers = [
            (k, v) for k, v in request.headers if k.lower() not in _RESERVED_HEADERS
        ]
        headers += [
            ("host", self._address),
            ("content-length", str(len(request.body))),
            (REQUEST_ID_HEADER, request.request_id),
            ("x-organisation", request.organisation),
            ("x-idempotent", "true" if request.is_idempotent else "false"),
        ]
        start = h11.Request(method=request.method, target=request.path, headers=headers)
        parts = [
            self._protocol.send(start),
            self._protocol.send(h11.Data(data=request.body)),
            self._protocol.send(h11.EndOfMessage()),
        ]
        return b"".join(parts)

    async def _exchange(self, request, message):
        try:
            await self._stream.send_all(message)
            return await self._read_response(request)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ) as error:
            return Unreachable(f"{self.name}: {type(error).__name__}: {error}")

    async def _read_response(self, request):
        response = None
        body = bytearray()
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                self._protocol.receive_data(await self._stream.receive_some(READ_BYTES))
            elif isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_RESPONSE_BYTES:
                    return Unreachable(f"{self.name}: answer too large")
            elif isinstance(event, h11.EndOfMessage):
                return self._classify_response(request, response, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                return Unreachable(f"{self.name}: closed before the answer")

    def _classify_response(self, request, response, body):
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers
        )
        # The first value of a repeated header counts.
        value_by_header = dict(reversed(headers))
        answered_id = value_by_header.get(REQUEST_ID_HEADER)
        is_refusal = value_by_header.get(NOT_RUN_HEADER) == "true"
        if answered_id != request.request_id:
            self.is_usable = False
            return Unreachable(
                f"{self.name}: answer to {answered_id}, not to this request"
            )
        if response.status_code == SERVICE_UNAVAILABLE and is_refusal:
            return NotSent(f"{self.name} refused", is_leaving=True)
        return Answered(response.status_code, headers, body)

    def _prepare_next_exchange(self) -> bool:
        """Reset the protocol state; False if the connection must be closed instead."""
        is_exchange_complete = (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )
        # Bytes after the response belong to no known request.
        if not is_exchange_complete or self._protocol.trailing_data[0]:
            return False
        self._protocol.start_next_cycle()
        return True


def _set_keepalive(sock) -> None:
    """Enable TCP keepalive, so that a lost connection is noticed during a long run.

    ``TCP_USER_TIMEOUT_MS`` limits how long sent data may stay unacknowledged. Options
    that the operating system lacks are left out.
    """
    options = (
        (socket.SOL_SOCKET, "SO_KEEPALIVE", 1),
        (socket.IPPROTO_TCP, "TCP_KEEPIDLE", KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, "TCP_KEEPINTVL", KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, "TCP_KEEPCNT", KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, "TCP_USER_TIMEOUT", TCP_USER_TIMEOUT_MS),
    )
    for level, name, value in options:
        option = getattr(socket, name, None)
        if option is not None:
            sock.setsockopt(level, option, value)
