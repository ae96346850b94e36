"""Connections to peers: which are open or silent, and when to reconnect."""

from __future__ import annotations

import random
from dataclasses import dataclass

from .timing import (
    LINK_SILENT_AFTER_MS,
    OPEN_TIMEOUT_MS,
    RETRY_MAX_MS,
    RETRY_MIN_MS,
)

__all__ = ["Link", "LinkTable"]


@dataclass(slots=True)
class Link:
    """One open connection; ``received_ms`` is when it last carried a heartbeat."""

    peer: str
    connection_id: str
    opened_ms: int
    received_ms: int


@dataclass(slots=True)
class _Attempts:
    """Failed and pending attempts to connect to a peer since the last success."""

    failures: int = 0
    opening_until_ms: int = 0
    retry_at_ms: int = 0


class LinkTable:
    """The connections of one instance, at most one per peer."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._link_by_peer: dict[str, Link] = {}
        self._attempts_by_peer: dict[str, _Attempts] = {}
        self._missing_since_by_peer: dict[str, int] = {}

    @property
    def links(self) -> tuple[Link, ...]:
        """All open connections, sorted by the name of the peer."""
        return tuple(self._link_by_peer[name] for name in sorted(self._link_by_peer))

    def link_to(self, peer: str) -> Link | None:
        """Return the connection to a peer, or None."""
        return self._link_by_peer.get(peer)

    def is_in_use(self, connection_id: str, peer: str) -> bool:
        """Whether this connection is the one currently used for the peer."""
        link = self._link_by_peer.get(peer)
        return link is not None and link.connection_id == connection_id

    def mark_opened(self, peer: str, connection_id: str, now_ms: int) -> Link | None:
        """Use a new connection and return the one that it replaces, if any.

        The newer connection wins: the side that opened it either had no connection
        or found the old one silent.
        """
        replaced = self._link_by_peer.get(peer)
        self._link_by_peer[peer] = Link(peer, connection_id, now_ms, now_ms)
        self._attempts_by_peer.pop(peer, None)
        self._missing_since_by_peer.pop(peer, None)
        return replaced

    def mark_closed(self, peer: str, connection_id: str, now_ms: int) -> None:
        """Remove a closed connection and wait before the next attempt."""
        if self.is_in_use(connection_id, peer):
            del self._link_by_peer[peer]
            self._back_off(peer, now_ms)

    def mark_failed(self, peer: str, now_ms: int, *, min_backoff_ms: int = 0) -> None:
        """Back off before the next attempt.

        The wait is random, between half and all of the backoff. The backoff doubles
        with each failure up to ``RETRY_MAX_MS``, unless ``min_backoff_ms`` is higher.
        """
        self._back_off(peer, now_ms, min_backoff_ms)

    def mark_opening(self, peer: str, now_ms: int) -> None:
        """Record an attempt, which times out after ``OPEN_TIMEOUT_MS``."""
        attempts = self._attempts_by_peer.setdefault(peer, _Attempts())
        attempts.opening_until_ms = now_ms + OPEN_TIMEOUT_MS

    def may_open(self, peer: str, now_ms: int) -> bool:
        """Whether to try to connect: not while connected, opening or backing off."""
        if peer in self._link_by_peer:
            return False
        attempts = self._attempts_by_peer.get(peer)
        if attempts is None:
            return True
        return now_ms >= max(attempts.opening_until_ms, attempts.retry_at_ms)

    def failures(self, peer: str) -> int:
        """Return the number of consecutive failed attempts to connect to the peer."""
        attempts = self._attempts_by_peer.get(peer)
        return 0 if attempts is None else attempts.failures

    def missing_for_ms(self, peer: str, now_ms: int) -> int:
        """Return how long the peer has been without a connection, in milliseconds.

        The time counts from the first call that found no connection.
        """
        if peer in self._link_by_peer:
            return 0
        return now_ms - self._missing_since_by_peer.setdefault(peer, now_ms)

    def silent_links(self, now_ms: int) -> tuple[Link, ...]:
        """Return the connections without a heartbeat for ``LINK_SILENT_AFTER_MS``."""
        return tuple(
            link
            for link in self.links
            if now_ms - link.received_ms >= LINK_SILENT_AFTER_MS
        )

    def restart_timeouts(self, now_ms: int) -> None:
        """Restart the silence timeout of every connection, after a pause."""
        for link in self._link_by_peer.values():
            link.received_ms = now_ms

    def forget(self, peer: str) -> None:
        """Remove the history of connection attempts to a peer."""
        self._attempts_by_peer.pop(peer, None)
        self._missing_since_by_peer.pop(peer, None)

    def _back_off(self, peer: str, now_ms: int, min_backoff_ms: int = 0) -> None:
        attempts = self._attempts_by_peer.setdefault(peer, _Attempts())
        attempts.failures += 1
        attempts.opening_until_ms = 0
        doubled_ms = RETRY_MIN_MS << min(attempts.failures - 1, 8)
        backoff_ms = max(min(doubled_ms, RETRY_MAX_MS), min_backoff_ms)
        attempts.retry_at_ms = now_ms + self._rng.randint(backoff_ms // 2, backoff_ms)
