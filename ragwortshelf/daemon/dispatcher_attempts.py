"""Attempts to run a request: a send to an endpoint, or a call to a peer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio

from ..core.model import Answered, Request, ServingEndpoint, Unreachable
from ..core.requests import (
    AttemptEnded,
    ConnectionsSuspected,
    Delegate,
    DelegatedRequest,
    Event,
    NotSentToEndpoint,
    OutcomeMessage,
    Send,
)
from ..net.interfaces import NotSent, Peers
from .clock import monotonic_ms
from .dispatcher_connections import ConnectionPool, PooledConnection

__all__ = ["AttemptRunner"]


class AttemptRunner:
    """Runs attempts, each in its own cancel scope, and reports how each ended.

    ``handle`` receives the events. It is called once the attempt has released its
    connection.
    """

    def __init__(
        self, connections: ConnectionPool, peers: Peers, handle: Callable[[Event], None]
    ):
        self.endpoint_by_name: dict[str, ServingEndpoint] = {}
        self.nursery: trio.Nursery | None = None
        self._connections = connections
        self._peers = peers
        self._handle = handle
        self._scope_by_id: dict[str, trio.CancelScope] = {}
        self._aborted_connection_by_id: dict[str, PooledConnection] = {}

    def send(self, action: Send) -> None:
        """Start sending a request to an endpoint."""
        self._start(action.request, self._send, action)

    def delegate(self, action: Delegate) -> None:
        """Start delegating a request to a peer."""
        self._start(action.request, self._delegate, action)

    def abort(self, request_id: str, *, is_silent: bool) -> None:
        """Cancel an attempt, which closes its connection.

        ``is_silent`` means that no answer came in time; the connection's siblings are
        then checked as in `suspect`.
        """
        scope = self._scope_by_id.get(request_id)
        if scope is None:
            return
        if is_silent:
            self.suspect(request_id)
        connection = self._connections.find_by_request(request_id)
        if connection is not None:
            self._aborted_connection_by_id[request_id] = connection
        scope.cancel()

    def suspect(self, request_id: str) -> None:
        """Report the requests whose connections to a silent endpoint are suspect."""
        suspects = self._connections.suspect(request_id)
        if suspects:
            self._handle(ConnectionsSuspected(suspects))

    def _start(
        self,
        request: Request,
        function: Callable[..., Awaitable[AttemptEnded]],
        action: Send | Delegate,
    ) -> None:
        if self.nursery is None:
            return  # the service was cancelled, and with it every caller's task
        scope = trio.CancelScope()
        self._scope_by_id[request.request_id] = scope
        self.nursery.start_soon(self._attempt, request, scope, function, action)

    async def _attempt(self, request, scope, function, action) -> None:
        ended = AttemptEnded(request.request_id, Unreachable("aborted"))
        with scope:
            ended = await function(action)
        connection = self._aborted_connection_by_id.pop(request.request_id, None)
        if scope.cancelled_caught:
            is_old = connection is not None and connection.is_old
            ended = replace(ended, is_old_connection=is_old)
        del self._scope_by_id[request.request_id]
        self._handle(ended)

    async def _send(self, action: Send) -> AttemptEnded:
        request = action.request
        info = self.endpoint_by_name[action.endpoint]
        connection = await self._connections.acquire(
            info, request.request_id, monotonic_ms()
        )
        if isinstance(connection, Unreachable):
            return AttemptEnded(
                request.request_id, NotSentToEndpoint(connection.detail)
            )
        is_old = connection.is_old
        result = None
        try:
            result = await connection.endpoint.send(request)
        finally:
            await self._return_connection(connection, result)
        if isinstance(result, NotSent):
            result = NotSentToEndpoint(result.detail, result.is_leaving)
        return AttemptEnded(request.request_id, result, is_old)

    async def _return_connection(self, connection: PooledConnection, result) -> None:
        """Release a connection that can be reused, and discard any other."""
        has_definite_result = isinstance(result, Answered | NotSent)
        if has_definite_result and getattr(connection.endpoint, "is_usable", True):
            self._connections.release(connection, monotonic_ms())
            return
        with trio.CancelScope(shield=True):
            await self._connections.discard(connection)

    async def _delegate(self, action: Delegate) -> AttemptEnded:
        request = action.request
        remaining_ms = max(1, request.deadline_ms - monotonic_ms())
        message = DelegatedRequest(request, remaining_ms, action.attempt)
        reply = await self._peers.call(
            action.peer, message, deadline_ms=request.deadline_ms
        )
        if isinstance(reply, OutcomeMessage):
            reply = reply.outcome()
        return AttemptEnded(request.request_id, reply or Unreachable("no outcome"))
