"""What directs the links of an instance, and is told of them."""

from __future__ import annotations

import abc

from ..core.membership import Heartbeat

__all__ = ["LinkObserver"]


class LinkObserver(abc.ABC):
    """What wants to know of connections and heartbeats."""

    @abc.abstractmethod
    def link_opened(self, peer: str, connection_id: str) -> None:
        """A connection is ready, whichever side opened it."""

    @abc.abstractmethod
    def link_closed(self, peer: str, connection_id: str) -> None:
        """A connection is gone."""

    @abc.abstractmethod
    def link_failed(self, peer: str, is_refused: bool) -> None:
        """A connection that `PeerNetwork.open_link` asked for could not be made.

        ``is_refused`` says that the peer's host answered and no process listens there.
        """

    @abc.abstractmethod
    def newer_incarnation_found(self, incarnation: int) -> None:
        """A peer knows a newer incarnation of this instance."""

    @abc.abstractmethod
    def incarnation_of(self, name: str) -> int:
        """Return the newest incarnation known of an instance, or 0."""

    @abc.abstractmethod
    def heartbeat_received(self, connection_id: str, heartbeat: Heartbeat) -> None:
        """A heartbeat came in."""

    @abc.abstractmethod
    def route_to(self, name: str) -> str | None:
        """Return the connected peer to pass a message for ``name`` to."""
