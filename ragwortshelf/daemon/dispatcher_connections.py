"""Pool of connections to endpoints, which also detects broken network paths."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..core.model import ServingEndpoint, Unreachable
from ..net.interfaces import EndpointConnection

__all__ = ["ConnectionPool", "OpenEndpoint", "PooledConnection"]

OpenEndpoint = Callable[..., Awaitable[EndpointConnection | Unreachable]]
"""``await open_endpoint(info, deadline_ms=…)`` opens one connection."""

IDLE_MAX_MS = 5_000
CONNECT_TIMEOUT_MS = 1_000


@dataclass(eq=False, slots=True)
class PooledConnection:
    """A connection with the times of its opening, last use and last answer.

    ``name`` is the endpoint's. ``request_id`` names the request that the connection
    carries, or is None while it is idle.
    """

    endpoint: EndpointConnection
    name: str
    opened_ms: int
    answered_ms: int | None = None
    used_ms: int = 0
    request_id: str | None = None

    @property
    def is_old(self) -> bool:
        """Whether it has already delivered an answer."""
        return self.answered_ms is not None


class ConnectionPool:
    """Idle and busy connections by endpoint.

    Every acquired connection has to be released or discarded. The number open stays
    within ``limit(endpoint)``, since a connection is opened only for a running request
    and idle ones are closed first.
    """

    def __init__(self, open_endpoint: OpenEndpoint, limit: Callable[[str], int]):
        self._open_endpoint = open_endpoint
        self._limit = limit
        self._connections_by_endpoint: dict[str, list[PooledConnection]] = {}
        self._opening_by_endpoint: dict[str, int] = {}
        self._closing: list[PooledConnection] = []

    def count(self, name: str) -> int:
        """Return how many connections to an endpoint are open, opening or closing."""
        opening = self._opening_by_endpoint.get(name, 0)
        closing = sum(c.name == name for c in self._closing)
        return len(self._connections_by_endpoint.get(name, ())) + opening + closing

    def endpoints(self) -> tuple[str, ...]:
        """Return the names of all endpoints to which a connection was opened."""
        return tuple(self._connections_by_endpoint)

    async def acquire(
        self, info: ServingEndpoint, request_id: str, now_ms: int
    ) -> PooledConnection | Unreachable:
        """Return the most recently used idle connection, or open a new one.

        ``Unreachable`` means that the limit is reached or that opening failed.
        """
        idle = self._idle(info.name)
        if idle:
            connection = max(idle, key=lambda c: c.used_ms)
            connection.request_id = request_id
            connection.used_ms = now_ms
            return connection
        if self.count(info.name) >= self._limit(info.name):
            return Unreachable(f"{info.name}: no connection left", False)
        opening = self._opening_by_endpoint
        opening[info.name] = opening.get(info.name, 0) + 1
        try:
            opened = await self._open_endpoint(
                info, deadline_ms=now_ms + CONNECT_TIMEOUT_MS
            )
        finally:
            opening[info.name] -= 1
        if isinstance(opened, Unreachable):
            return opened
        connection = PooledConnection(opened, info.name, now_ms, used_ms=now_ms)
        connection.request_id = request_id
        self._connections_by_endpoint.setdefault(info.name, []).append(connection)
        return connection

    def release(self, connection: PooledConnection, now_ms: int) -> None:
        """Mark a connection as idle after a complete answer."""
        connection.answered_ms = now_ms
        connection.used_ms = now_ms
        connection.request_id = None

    async def discard(self, connection: PooledConnection) -> None:
        """Remove a connection from the pool and close it."""
        connections = self._connections_by_endpoint.get(connection.name, [])
        if connection in connections:
            connections.remove(connection)
        await connection.endpoint.close()

    def suspect(self, request_id: str) -> tuple[str, ...]:
        """Return the requests on suspect connections after one did not answer in time.

        ``request_id`` names the request without an answer. Siblings of its connection
        are those to the same endpoint that were open when it was sent. If one of them
        has answered since, the network path works and nothing is suspect. Otherwise
        idle siblings are marked for closing, and the ids of this request and of the
        requests on busy siblings are returned.
        """
        silent = self.find_by_request(request_id)
        if silent is None:
            return ()
        suspects = [
            connection
            for connection in self._connections_by_endpoint.get(silent.name, ())
            if connection is not silent and connection.opened_ms <= silent.used_ms
        ]
        if any((c.answered_ms or 0) > silent.used_ms for c in suspects):
            return ()
        for connection in suspects:
            if connection.request_id is None:
                self._connections_by_endpoint[silent.name].remove(connection)
                self._closing.append(connection)
        busy = (c.request_id for c in suspects if c.request_id is not None)
        return (request_id, *busy)

    def find_by_request(self, request_id: str) -> PooledConnection | None:
        """Return the connection that carries a request, or None."""
        for connections in self._connections_by_endpoint.values():
            for connection in connections:
                if connection.request_id == request_id:
                    return connection
        return None

    async def close_excess(self, now_ms: int) -> None:
        """Close suspect, excess and long unused connections, all of them idle."""
        while self._closing:
            await self._closing.pop().endpoint.close()
        for name in self.endpoints():
            excess = self.count(name) - self._limit(name)
            for connection in sorted(self._idle(name), key=lambda c: c.used_ms):
                if excess > 0 or connection.used_ms + IDLE_MAX_MS <= now_ms:
                    excess -= 1
                    await self.discard(connection)

    async def close(self) -> None:
        """Close every connection."""
        for connections in list(self._connections_by_endpoint.values()):
            for connection in list(connections):
                await self.discard(connection)
        await self.close_excess(0)

    def _idle(self, name: str) -> list[PooledConnection]:
        return [
            c
            for c in self._connections_by_endpoint.get(name, ())
            if c.request_id is None
        ]
