"""An HTTP/1.1 server on trio and h11 that passes complete requests to a handler.

One task serves each connection, one request at a time; pipelined requests are answered
in order. Invalid input gets an error response with the reason, or the connection is
closed. If a caller disconnects while its request is handled, the handler is cancelled.

A budget bounds what all requests hold in memory. At the limit of connections, idle ones
and then unfinished requests make room for new connections.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable

import h11
import trio
from absl import logging

from .block_buffer import BlockBuffer
from .http_messages import (
    CloseConnection,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    json_response,
)
from .receive_budget import ReceiveBudget
from .transfer_deadline import TransferDeadline

__all__ = ["Handler", "HttpServer"]

Handler = Callable[[HttpRequest], Awaitable[HttpResponse | CloseConnection]]

_READ_BYTES = 16 * 1024
_DECODE_BYTES = 16 * 1024
"""Size of the parts passed to h11, which keeps what it has not decoded."""

_EVENTS_PER_TURN = 16
"""Events decoded until other tasks get their turn."""

_REQUEST_BODIES_MAX = 2
"""Largest request, with the framing of its chunks, in bodies of the largest size."""

_BUDGET_BODIES_MIN = 3
"""Smallest budget, in bodies of the largest size; it must admit a whole request."""

_RETRY_AFTER_S = 1

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


_REFUSAL_BY_STATUS = {408: "slow", 413: "body_size", 431: "head_size", 503: "memory"}

RefusalObserver = Callable[[str], None]


def _log_refusal(reason: str) -> None:
    logging.warning("connection refused or evicted: %s", reason)


class _RequestError(Exception):
    """A refused request: answered with ``status``, after which the connection closes.

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

    Servers of one process may share a ``budget``. ``observe_refusal`` is called with
    the reason of each connection that is refused or evicted; without it, the reasons
    are logged.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
        *,
        budget: ReceiveBudget | None = None,
        observe_refusal: RefusalObserver = _log_refusal,
    ):
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._budget = budget or _default_budget(self._limits)
        self._observe_refusal = observe_refusal
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
                try:
                    has_room = await self._make_room()
                except trio.Cancelled:
                    await trio.aclose_forcefully(stream)
                    raise
                if not has_room:
                    self._observe_refusal("full")
                    await trio.aclose_forcefully(stream)
                    continue
                connection = self._add_connection(stream)
                nursery.start_soon(self._serve_connection, connection, stream)
        with trio.CancelScope(shield=True):
            await listener.aclose()

    async def _make_room(self) -> bool:
        """Evict a connection at the limit; False if all have requests in progress."""
        while len(self._connections) >= self._limits.connections:
            closed = self._connection_closed
            evicted = self._connection_to_evict()
            if evicted is None:
                return False
            self._observe_refusal("idle" if evicted.is_idle else "unfinished")
            evicted.evict()
            await closed.wait()
        return True

    def _connection_to_evict(self) -> _Connection | None:
        """Return the one idle for longest, then the one receiving for longest."""
        waiting = [
            connection
            for connection in self._connections
            if connection.waits_since_s is not None
        ]
        return min(
            waiting,
            key=lambda connection: (not connection.is_idle, connection.waits_since_s),
            default=None,
        )

    def _add_connection(self, stream) -> _Connection:
        self.accepted += 1
        connection = _Connection(
            stream,
            self._handler,
            self._limits,
            self.accepted,
            self._budget,
            self._observe_refusal,
        )
        self._connections.add(connection)
        self.connections_max = max(self.connections_max, len(self._connections))
        return connection

    async def _serve_connection(self, connection: _Connection, stream) -> None:
        try:
            await connection.run()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception:
            logging.exception("connection handler failed")
        finally:
            try:
                await trio.aclose_forcefully(stream)
            finally:
                self._connections.discard(connection)
                self._connection_closed.set()
                self._connection_closed = trio.Event()


def _default_budget(limits: HttpLimits) -> ReceiveBudget:
    held_bytes = max(limits.held_bytes, _BUDGET_BODIES_MIN * limits.body_bytes)
    return ReceiveBudget(held_bytes, limits.header_bytes)


class _Connection:
    """One accepted connection and the state of its HTTP protocol.

    ``waits_since_s`` tells since when it is idle or receives a request, and is None
    while a request is in progress.
    """

    def __init__(
        self,
        stream,
        handler: Handler,
        limits: HttpLimits,
        serial: int,
        budget: ReceiveBudget,
        observe_refusal: RefusalObserver,
    ):
        self._serial = serial
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._observe_refusal = observe_refusal
        self._share = budget.open_share(self._drop_received)
        self._h11 = self._new_protocol()
        self._received = bytearray()
        self._body = BlockBuffer()
        self._request_bytes = 0
        self._undecoded_bytes = 0
        self._scope = trio.CancelScope()
        self._read_scope: trio.CancelScope | None = None
        self._idle_scope: trio.CancelScope | None = None
        self._is_dropped = False
        self._is_draining = False
        self.is_idle = True
        self.waits_since_s: float | None = trio.current_time()

    def drain(self) -> None:
        """Close now if idle, otherwise after the request in progress."""
        self._is_draining = True
        if self._idle_scope is not None:
            self._idle_scope.cancel()

    def evict(self) -> None:
        """Close the connection without an answer."""
        self._scope.cancel()

    async def run(self) -> None:
        """Serve requests until either side ends the connection."""
        with self._scope:
            try:
                await self._serve_requests()
            finally:
                self._share.hold(0)

    async def _serve_requests(self) -> None:
        while not self._is_draining:
            response = await self._next_response()
            if response is None or not await self._respond(response):
                return
            if self._h11.our_state is not h11.DONE:
                return
            if self._h11.their_state is not h11.DONE:
                return
            self._h11.start_next_cycle()

    def _new_protocol(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )

    def _drop_received(self) -> None:
        """Drop what the budget has evicted.

        An unfinished request is refused. Behind a request in progress, the requests
        already received are dropped, and the connection closes after its response.
        """
        self._is_dropped = True
        self._received.clear()
        if self._read_scope is not None:
            self._drop_request()
            self._read_scope.cancel()
        else:
            self._is_draining = True
            self._observe_refusal("pipelined")

    def _drop_request(self) -> None:
        self._received.clear()
        self._body.clear()
        # h11 does not offer to drop its buffer.
        self._h11 = self._new_protocol()
        self._share.hold(0)

    async def _next_response(self):
        """Read and handle a request; None if the connection must be closed.

        The request is not referenced while its response is sent or the next one is
        waited for.
        """
        try:
            request = await self._read_request()
        except (_RequestError, h11.RemoteProtocolError) as error:
            status = getattr(error, "status", None) or error.error_status_hint
            detail = str(error)
        else:
            if request is None:
                return None
            return await self._handle_while_connected(request)
        self._drop_request()
        await self._send_refusal(status, detail)
        return None

    async def _read_request(self) -> HttpRequest | None:
        self._share.hold(len(self._received) + self._undecoded_bytes)
        self._request_bytes = 0
        self.is_idle = self._share.evictable_bytes == 0
        self.waits_since_s = trio.current_time()
        with trio.CancelScope() as self._read_scope:
            head = await self._read_head()
            if head is None:
                return None
            await self._read_body(head)
            self._read_scope = None
            return self._complete_request(head)
        raise self._eviction_error()

    def _complete_request(self, head) -> HttpRequest:
        head_bytes = _head_size(head)
        self._undecoded_bytes = len(self._h11.trailing_data[0])
        if not self._share.try_pin(
            head_bytes + len(self._body) + self._undecoded_bytes, len(self._received)
        ):
            raise self._eviction_error()
        headers = tuple(
            (k.decode("latin-1"), v.decode("latin-1")) for k, v in head.headers
        )
        body = bytes(self._body)
        self._body.clear()
        self.waits_since_s = None
        return HttpRequest(
            head.method.decode("latin-1"),
            head.target.decode("latin-1"),
            headers,
            body,
            self._serial,
        )

    def _eviction_error(self) -> _RequestError:
        return _RequestError(503, "the server has no memory left for this request")

    def _check_not_evicted(self) -> None:
        # A task that was to run already when its scope was cancelled is not cancelled,
        # and what it has received is not the start of a request.
        if self._is_dropped:
            raise self._eviction_error()

    async def _read_head(self):
        with trio.move_on_after(self._limits.idle_timeout_ms / 1000) as scope:
            self._idle_scope = scope
            event = self._next_event()
            if event is h11.NEED_DATA and not await self._receive():
                return None
        self._idle_scope = None
        if scope.cancelled_caught:
            return None
        if self.is_idle:
            self.is_idle = False
            self.waits_since_s = trio.current_time()
        # The request has begun, so the rest must arrive within the read timeout.
        with trio.move_on_after(self._limits.read_timeout_ms / 1000):
            while event is h11.NEED_DATA:
                event = self._next_event()
                if event is h11.NEED_DATA and not await self._receive():
                    return None
            if isinstance(event, h11.Request):
                self._check_head(event)
                return event
            return None
        raise _RequestError(408, "the request's headers took too long")

    def _check_head(self, head: h11.Request) -> None:
        # h11 limits only incomplete events; one read may bring a complete, larger head.
        if _head_size(head) > self._limits.header_bytes:
            limit = self._limits.header_bytes
            raise _RequestError(431, f"the head exceeds {limit} bytes")

    async def _read_body(self, head) -> None:
        limit_bytes = self._limits.body_bytes
        if _content_length(head) > limit_bytes:
            raise _RequestError(413, f"the body exceeds {limit_bytes} bytes")
        if self._h11.they_are_waiting_for_100_continue:
            await self._send_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        deadline = TransferDeadline(self._limits.read_timeout_ms, MIN_BYTES_PER_S)
        with deadline.scope:
            events = 0
            while True:
                event = self._next_event()
                if event is h11.NEED_DATA:
                    # If the stream has ended, h11 raises in its next event.
                    await self._receive()
                elif isinstance(event, h11.Data):
                    deadline.advance(len(event.data))
                    self._body.append(event.data)
                    if len(self._body) > limit_bytes:
                        raise _RequestError(
                            413, f"the body exceeds {limit_bytes} bytes"
                        )
                else:
                    return
                events += 1
                if events % _EVENTS_PER_TURN == 0:
                    await trio.lowlevel.checkpoint()
                    self._check_not_evicted()
        raise _RequestError(408, "the request's body took too long")

    def _next_event(self):
        """Decode the next event from the bytes received so far."""
        event = self._h11.next_event()
        while event is h11.NEED_DATA and self._received:
            part = bytes(self._received[:_DECODE_BYTES])
            del self._received[:_DECODE_BYTES]
            self._request_bytes += len(part)
            limit_bytes = _REQUEST_BODIES_MAX * self._limits.body_bytes
            # The part may have the head before the body, and a request after it.
            if self._request_bytes > limit_bytes + 2 * _DECODE_BYTES:
                raise _RequestError(413, f"the request exceeds {limit_bytes} bytes")
            self._h11.receive_data(part)
            event = self._h11.next_event()
        return event

    async def _receive(self) -> bool:
        """Buffer received data; False at the end of the stream."""
        data = await self._stream.receive_some(_READ_BYTES)
        self._check_not_evicted()
        if not data:
            self._h11.receive_data(data)
            return False
        self._buffer(data)
        self._check_not_evicted()
        return True

    def _buffer(self, data) -> None:
        self._received += data
        self._share.take(len(data))

    async def _respond(self, response: HttpResponse | CloseConnection) -> bool:
        """Send a response; False if the connection must be closed."""
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
        self._share.hold(len(self._received), self._undecoded_bytes)
        return response

    async def _handle(self, request):
        try:
            return await self._handler(request)
        except Exception:
            logging.exception("handler failed: %s %s", request.method, request.path)
            return json_response(500, {"error": "internal error"})

    async def _cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel ``scope`` when the caller disconnects; buffer pipelined requests.

        Once more than ``header_bytes`` are buffered, or the buffered ones were evicted,
        a disconnect goes unnoticed.
        """
        while not self._is_dropped and len(self._received) <= self._limits.header_bytes:
            try:
                data = await self._stream.receive_some(_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                scope.cancel()
                return
            if not self._is_dropped:
                self._buffer(data)

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

    async def _send_refusal(self, status: int, detail: str) -> None:
        """Answer a request that was not handed to the handler."""
        self._observe_refusal(_REFUSAL_BY_STATUS.get(status, "invalid"))
        headers = [("connection", "close")]
        if status == 503:
            headers.append(("retry-after", str(_RETRY_AFTER_S)))
        response = json_response(status, {"error": detail}, tuple(headers))
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


def _head_size(head) -> int:
    return len(head.target) + sum(len(k) + len(v) + 4 for k, v in head.headers)


def _content_length(head) -> float:
    for key, value in head.headers:
        if key == b"content-length":
            # Any length of 20 digits or more exceeds the limit; it is not converted.
            return int(value) if len(value) < 20 else math.inf
    return 0
