"""A limit on the open connections of several HTTP clients together."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import h11
import trio

__all__ = ["ClientConnection", "ConnectionLimit", "split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into host and port; IPv6 addresses are in brackets.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


@dataclass(frozen=True, slots=True, eq=False)
class ClientConnection:
    """An open connection and the state of its HTTP protocol."""

    slot: object
    stream: trio.abc.Stream
    protocol: h11.Connection


class ConnectionLimit:
    """Opens and closes connections, of which at most ``connections`` are open.

    At the limit, the idle connection that was used longest ago is closed for a new one.
    If all are in use, opening waits until one is closed.
    """

    def __init__(self, connections: float = math.inf):
        self._limiter = trio.CapacityLimiter(connections)
        # In the order of their last use.
        self._on_evict_by_idle: dict[ClientConnection, Callable[[], None]] = {}

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return self._limiter.borrowed_tokens

    @property
    def is_waited_for(self) -> bool:
        """Whether a client waits until a connection is closed."""
        return self._limiter.statistics().tasks_waiting > 0

    async def open(self, address: str) -> ClientConnection:
        """Open a connection to ``address`` once the limit allows it."""
        while self._limiter.available_tokens < 1 and self._on_evict_by_idle:
            oldest, on_evict = next(iter(self._on_evict_by_idle.items()))
            on_evict()
            await self.close(oldest)
        slot = object()
        await self._limiter.acquire_on_behalf_of(slot)
        try:
            stream = await trio.open_tcp_stream(*split_address(address))
        except BaseException:
            self._limiter.release_on_behalf_of(slot)
            raise
        return ClientConnection(slot, stream, h11.Connection(h11.CLIENT))

    def set_idle(
        self, connection: ClientConnection, on_evict: Callable[[], None]
    ) -> None:
        """Allow the eviction of a connection, before which ``on_evict`` is called."""
        self._on_evict_by_idle[connection] = on_evict

    def set_in_use(self, connection: ClientConnection) -> None:
        """Keep a connection open until it is closed by its user."""
        del self._on_evict_by_idle[connection]

    async def close(self, connection: ClientConnection) -> None:
        """Close a connection, which need not be idle."""
        self._on_evict_by_idle.pop(connection, None)
        try:
            await trio.aclose_forcefully(connection.stream)
        finally:
            self._limiter.release_on_behalf_of(connection.slot)

    def drop(self, connection: ClientConnection) -> None:
        """Release an idle connection, which is closed once it is not referenced."""
        self.set_in_use(connection)
        self._limiter.release_on_behalf_of(connection.slot)
