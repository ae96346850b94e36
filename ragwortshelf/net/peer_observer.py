"""Interface through which `PeerNetwork` reports connections and asks for routes."""

from __future__ import annotations

import abc

from ..core.membership import Heartbeat

__all__ = ["LinkObserver"]


class LinkObserver(abc.ABC):
    """Receives connection events and heartbeats, and decides on routes."""

    @abc.abstractmethod
    def link_opened(self, peer: str, connection_id: str) -> None:
        """A connection was established, by either side."""

    @abc.abstractmethod
    def link_closed(self, peer: str, connection_id: str) -> None:
        """A connection was closed or lost."""

    @abc.abstractmethod
    def link_failed(self, peer: str, is_refused: bool) -> None:
        """A connection requested with `PeerNetwork.open_link` could not be established.

        ``is_refused`` says that the peer's host answered but no process listens there.
        """

    @abc.abstractmethod
    def newer_incarnation_found(self, incarnation: int) -> None:
        """A peer knows a newer incarnation of this instance."""

    @abc.abstractmethod
    def incarnation_of(self, name: str) -> int:
        """Return the newest known incarnation of an instance, or 0 if none is known."""

    @abc.abstractmethod
    def heartbeat_received(self, connection_id: str, heartbeat: Heartbeat) -> None:
        """A heartbeat from the peer itself arrived on a connection."""

    @abc.abstractmethod
    def route_to(self, name: str) -> str | None:
        """Return the connected peer that forwards messages to ``name``, if any."""
