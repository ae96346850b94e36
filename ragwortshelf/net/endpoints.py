"""Connections to endpoints over HTTP/1.1.

One connection carries one request at a time. An answer counts only if it is whole and
carries the id of the request; anything else ends the connection.
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
ANSWER_MAX_BYTES = 16 * 1024 * 1024
SERVICE_UNAVAILABLE = 503
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_MAX_MS = 5_000

_OWN_HEADERS = frozenset(
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

    ``deadline_ms`` is on trio's clock in milliseconds. ``Unreachable`` never may have
    applied, since nothing is sent.
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
    """An open connection to one endpoint over any trio stream."""

    def __init__(self, name: str, address: str, stream: trio.abc.Stream):
        self.name = name
        self.is_usable = True
        self._address = address
        self._stream = stream
        self._protocol = h11.Connection(h11.CLIENT)

    async def send(self, request: Request) -> Answered | NotSent | Unreachable:
        """Send a request and return its whole answer.

        A refusal with proof is ``NotSent``. On cancellation the connection is closed,
        because an answer that comes later must not meet the next request.
        """
        try:
            message = self._encode(request)
        except h11.LocalProtocolError as error:
            await self.close()
            return NotSent(f"request cannot be encoded: {error}")
        if self._has_stray_input():
            await self.close()
            return NotSent(f"{self.name}: connection had ended")
        is_done = False
        try:
            result = await self._exchange(request, message)
            is_done = isinstance(result, Answered | NotSent) and self._reuse()
            return result
        finally:
            if not is_done:
                self.is_usable = False
                await trio.aclose_forcefully(self._stream)

    async def close(self) -> None:
        """Close the connection at once."""
        self.is_usable = False
        await trio.aclose_forcefully(self._stream)

    def _has_stray_input(self) -> bool:
        """Whether the other end closed, or sent what nobody asked for, while idle."""
        sock = getattr(self._stream, "socket", None)
        return sock is not None and sock.is_readable()

    def _encode(self, request: Request) -> bytes:
        headers = [(k, v) for k, v in request.headers if k.lower() not in _OWN_HEADERS]
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
            return await self._read_answer(request)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ) as error:
            return Unreachable(f"{self.name}: {type(error).__name__}: {error}")

    async def _read_answer(self, request):
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
                if len(body) > ANSWER_MAX_BYTES:
                    return Unreachable(f"{self.name}: answer too large")
            elif isinstance(event, h11.EndOfMessage):
                return self._judge(request, response, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                return Unreachable(f"{self.name}: closed before the answer")

    def _judge(self, request, response, body):
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers
        )
        first_by_name = dict(reversed(headers))
        echoed = first_by_name.get(REQUEST_ID_HEADER)
        is_refusal = first_by_name.get(NOT_RUN_HEADER) == "true"
        if echoed != request.request_id:
            self.is_usable = False
            return Unreachable(f"{self.name}: answer to {echoed}, not to this request")
        if response.status_code == SERVICE_UNAVAILABLE and is_refusal:
            return NotSent(f"{self.name} refused", is_leaving=True)
        return Answered(response.status_code, headers, body)

    def _reuse(self) -> bool:
        """Prepare the next exchange; False if the connection has to be closed."""
        has_ended = (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )
        # Bytes after an answer belong to no request that is known.
        if not has_ended or self._protocol.trailing_data[0]:
            return False
        self._protocol.start_next_cycle()
        return True


def _set_keepalive(sock) -> None:
    """Let the kernel find a path that lost the connection, however long a run is."""
    options = (
        (socket.SOL_SOCKET, "SO_KEEPALIVE", 1),
        (socket.IPPROTO_TCP, "TCP_KEEPIDLE", KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, "TCP_KEEPINTVL", KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, "TCP_KEEPCNT", KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, "TCP_USER_TIMEOUT", UNACKNOWLEDGED_MAX_MS),
    )
    for level, name, value in options:
        option = getattr(socket, name, None)
        if option is not None:
            sock.setsockopt(level, option, value)
