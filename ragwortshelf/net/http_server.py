"""An HTTP/1.1 server on trio and h11 that passes complete requests to a handler.

One task serves each connection, one request at a time; pipelined requests are answered
in order. Invalid input gets an error response with the reason, or the connection is
closed. If a caller disconnects while its request is handled, the handler is cancelled.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable

import h11
import trio
from absl import logging

from .http_messages import (
    CloseConnection,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    json_response,
)
from .transfer_deadline import TransferDeadline

__all__ = ["Handler", "HttpServer"]

Handler = Callable[[HttpRequest], Awaitable[HttpResponse | CloseConnection]]

_READ_BYTES = 64 * 1024
_SEND_BYTES = 16 * 1024
"""Size of the parts of a response whose sending counts as progress."""

MIN_BYTES_PER_S = 6_250
"""Rate below which a body or a response counts as stalled, 50 kbit/s."""

_REASON_PHRASES = {
    400: b"Bad Request",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


class _RequestError(Exception):
    """An invalid request: answered with ``status``, after which the connection closes.

    It is caught within this module.
    """

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status
        self.detail = detail


class HttpServer:
    """Serves requests with ``handler`` until drained.

    ``drain`` closes the listeners and the idle connections; ``serve`` returns once the
    last request in progress has been answered. ``accepted`` counts the connections
    served so far, and ``connections_max`` is the highest number open at once.
    """

    def __init__(self, handler: Handler, limits: HttpLimits | None = None):
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._connections: set[_Connection] = set()
        self._accept_scopes: list[trio.CancelScope] = []
        self._is_draining = False
        self._connection_closed = trio.Event()
        self.accepted = 0
        self.connections_max = 0

    async def serve(self, listeners: list[trio.SocketListener]) -> None:
        """Accept and serve connections; returns after ``drain``."""
        async with trio.open_nursery() as nursery:
            for listener in listeners:
                nursery.start_soon(self._accept, listener, nursery)

    def drain(self) -> None:
        """Stop accepting connections, and close each open one once it is idle."""
        self._is_draining = True
        for scope in self._accept_scopes:
            scope.cancel()
        for connection in list(self._connections):
            connection.drain()

    async def wait_idle(self) -> None:
        """Wait until the last connection has closed; used after ``drain``."""
        while self._connections:
            await self._connection_closed.wait()

    async def _accept(self, listener, nursery) -> None:
        with trio.CancelScope() as scope:
            self._accept_scopes.append(scope)
            if self._is_draining:
                scope.cancel()
            while True:
                try:
                    stream = await listener.accept()
                except OSError as error:
                    logging.warning("accept failed: %s", error)
                    await trio.sleep(0.1)
                    continue
                if len(self._connections) >= self._limits.connections:
                    await trio.aclose_forcefully(stream)
                    continue
                nursery.start_soon(self._serve_connection, stream)
        with trio.CancelScope(shield=True):
            await listener.aclose()

    async def _serve_connection(self, stream) -> None:
        self.accepted += 1
        connection = _Connection(stream, self._handler, self._limits, self.accepted)
        self._connections.add(connection)
        self.connections_max = max(self.connections_max, len(self._connections))
        try:
            await connection.run()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception:
            logging.exception("connection handler failed")
        finally:
            self._connections.discard(connection)
            self._connection_closed.set()
            self._connection_closed = trio.Event()
            await trio.aclose_forcefully(stream)


class _Connection:
    """One accepted connection and the state of its HTTP protocol."""

    def __init__(self, stream, handler: Handler, limits: HttpLimits, serial: int):
        self._serial = serial
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._idle_scope: trio.CancelScope | None = None
        self._is_draining = False

    def drain(self) -> None:
        """Close now if idle, otherwise after the request in progress."""
        self._is_draining = True
        if self._idle_scope is not None:
            self._idle_scope.cancel()

    async def run(self) -> None:
        """Serve requests until either side ends the connection."""
        while not self._is_draining:
            try:
                request = await self._read_request()
            except (_RequestError, h11.RemoteProtocolError) as error:
                await self._send_error(error)
                return
            if request is None or not await self._respond(request):
                return
            if self._h11.our_state is not h11.DONE:
                return
            if self._h11.their_state is not h11.DONE:
                return
            self._h11.start_next_cycle()

    async def _read_request(self) -> HttpRequest | None:
        head = await self._read_head()
        if head is None:
            return None
        body = await self._read_body(head)
        headers = tuple(
            (k.decode("latin-1"), v.decode("latin-1")) for k, v in head.headers
        )
        return HttpRequest(
            head.method.decode("latin-1"),
            head.target.decode("latin-1"),
            headers,
            body,
            self._serial,
        )

    async def _read_head(self):
        with trio.move_on_after(self._limits.idle_timeout_ms / 1000) as scope:
            self._idle_scope = scope
            event = self._h11.next_event()
            if event is h11.NEED_DATA and not await self._receive():
                return None
        self._idle_scope = None
        if scope.cancelled_caught:
            return None
        # The request has begun, so the rest must arrive within the read timeout.
        with trio.move_on_after(self._limits.read_timeout_ms / 1000):
            while event is h11.NEED_DATA:
                event = self._h11.next_event()
                if event is h11.NEED_DATA and not await self._receive():
                    return None
            if isinstance(event, h11.Request):
                self._check_head(event)
                return event
            return None
        raise _RequestError(408, "the request's headers took too long")

    def _check_head(self, head: h11.Request) -> None:
        # h11 limits only incomplete events; one read may bring a complete, larger head.
        size = len(head.target) + sum(len(k) + len(v) + 4 for k, v in head.headers)
        if size > self._limits.header_bytes:
            limit = self._limits.header_bytes
            raise _RequestError(431, f"the head exceeds {limit} bytes")

    async def _read_body(self, head) -> bytes:
        declared_bytes = _content_length(head)
        if declared_bytes > self._limits.body_bytes:
            raise _RequestError(
                413, f"the body exceeds {self._limits.body_bytes} bytes"
            )
        if self._h11.they_are_waiting_for_100_continue:
            await self._send_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        parts = []
        size = 0
        deadline = TransferDeadline(self._limits.read_timeout_ms, MIN_BYTES_PER_S)
        with deadline.scope:
            while True:
                event = self._h11.next_event()
                if event is h11.NEED_DATA:
                    # If the stream has ended, h11 raises in its next event.
                    await self._receive()
                elif isinstance(event, h11.Data):
                    deadline.advance(len(event.data))
                    parts.append(bytes(event.data))
                    size += len(event.data)
                    if size > self._limits.body_bytes:
                        limit = self._limits.body_bytes
                        raise _RequestError(413, f"the body exceeds {limit} bytes")
                else:
                    return b"".join(parts)
        raise _RequestError(408, "the request's body took too long")

    async def _receive(self) -> bool:
        """Pass received data to h11; False at the end of the stream."""
        data = await self._stream.receive_some(_READ_BYTES)
        self._h11.receive_data(data)
        return bool(data)

    async def _respond(self, request: HttpRequest) -> bool:
        """Handle one request; False if the connection must be closed."""
        response = await self._handle_while_connected(request)
        if response is None:
            return False
        if isinstance(response, CloseConnection):
            if response.data:
                await self._stream.send_all(response.data)
            return False
        await self._send_response(response)
        return True

    async def _handle_while_connected(self, request):
        """Return the handler's response, or None if the caller disconnected first."""
        response = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
            response = await self._handle(request)
            nursery.cancel_scope.cancel()
        return response

    async def _handle(self, request):
        try:
            return await self._handler(request)
        except Exception:
            logging.exception("handler failed: %s %s", request.method, request.path)
            return json_response(500, {"error": "internal error"})

    async def _cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel ``scope`` when the caller disconnects; buffer pipelined requests.

        Once more than ``header_bytes`` are buffered, a disconnect goes unnoticed.
        """
        buffered = 0
        while buffered <= self._limits.header_bytes:
            try:
                data = await self._stream.receive_some(_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                scope.cancel()
                return
            buffered += len(data)
            self._h11.receive_data(data)

    async def _send_response(self, response: HttpResponse) -> None:
        headers = [
            *response.headers,
            ("content-length", str(len(response.body))),
        ]
        if self._is_draining:
            headers.append(("connection", "close"))
        reason = _REASON_PHRASES.get(response.status, b"")
        head = h11.Response(status_code=response.status, headers=headers, reason=reason)
        data = self._h11.send(head)
        if response.body:
            data += self._h11.send(h11.Data(data=response.body))
        data += self._h11.send(h11.EndOfMessage())
        await self._send(data)

    async def _send(self, data: bytes) -> None:
        deadline = TransferDeadline(self._limits.read_timeout_ms, MIN_BYTES_PER_S)
        with deadline.scope:
            for start in range(0, len(data), _SEND_BYTES):
                part = data[start : start + _SEND_BYTES]
                await self._stream.send_all(part)
                deadline.advance(len(part))
        if deadline.scope.cancelled_caught:
            raise trio.TooSlowError

    async def _send_event(self, event) -> None:
        await self._stream.send_all(self._h11.send(event))

    async def _send_error(self, error) -> None:
        """Answer an invalid request with its error, unless a response has begun."""
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        status = getattr(error, "status", None) or getattr(
            error, "error_status_hint", 400
        )
        response = json_response(
            status, {"error": str(error)}, (("connection", "close"),)
        )
        with trio.move_on_after(self._limits.read_timeout_ms / 1000):
            await self._send_response(response)
            await self._discard_input()

    async def _discard_input(self) -> None:
        """Read and drop input for up to a second before the connection is closed.

        Closing a socket with unread input makes TCP reset the connection, which can
        discard the response before the caller has read it.
        """
        await self._stream.send_eof()
        with trio.move_on_after(1):
            remaining_bytes = 4 * self._limits.header_bytes
            while remaining_bytes > 0:
                data = await self._stream.receive_some(_READ_BYTES)
                if not data:
                    return
                remaining_bytes -= len(data)


def _content_length(head) -> float:
    for key, value in head.headers:
        if key == b"content-length":
            # Any length of 20 digits or more exceeds the limit; it is not converted.
            return int(value) if len(value) < 20 else math.inf
    return 0
