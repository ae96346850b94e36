"""Connections to peers: which are open, silent or surplus, and when to try again."""

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
    """One open connection; ``heard_ms`` is when it last carried a heartbeat."""

    peer: str
    connection_id: str
    opened_ms: int
    heard_ms: int


@dataclass(slots=True)
class _Attempts:
    """Attempts to open a connection to a peer since the last success."""

    failures: int = 0
    opening_until_ms: int = 0
    retry_at_ms: int = 0


class LinkTable:
    """The connections of one instance, at most one a peer."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._link_by_peer: dict[str, Link] = {}
        self._attempts_by_peer: dict[str, _Attempts] = {}
        self._missing_since_by_peer: dict[str, int] = {}

    @property
    def links(self) -> tuple[Link, ...]:
        """All open connections in order of the peer's name."""
        return tuple(self._link_by_peer[name] for name in sorted(self._link_by_peer))

    def to(self, peer: str) -> Link | None:
        """Return the connection to a peer."""
        return self._link_by_peer.get(peer)

    def owns(self, connection_id: str, peer: str) -> bool:
        """Whether this is the connection in use with the peer."""
        link = self._link_by_peer.get(peer)
        return link is not None and link.connection_id == connection_id

    def note_opened(self, peer: str, connection_id: str, now_ms: int) -> Link | None:
        """Use a new connection; returns the one that it replaces.

        The newer one wins, since its opener had none or found the old one silent.
        """
        replaced = self._link_by_peer.get(peer)
        self._link_by_peer[peer] = Link(peer, connection_id, now_ms, now_ms)
        self._attempts_by_peer.pop(peer, None)
        self._missing_since_by_peer.pop(peer, None)
        return replaced

    def note_closed(self, peer: str, connection_id: str, now_ms: int) -> None:
        """Forget a connection that is gone."""
        if self.owns(connection_id, peer):
            del self._link_by_peer[peer]
            self._back_off(peer, now_ms)

    def note_failed(self, peer: str, now_ms: int, *, least_ms: int = 0) -> None:
        """Wait before the next attempt; at least ``least_ms``."""
        self._back_off(peer, now_ms, least_ms)

    def note_opening(self, peer: str, now_ms: int) -> None:
        """An attempt has begun; it counts as failed if nothing is heard of it."""
        attempts = self._attempts_by_peer.setdefault(peer, _Attempts())
        attempts.opening_until_ms = now_ms + OPEN_TIMEOUT_MS

    def may_open(self, peer: str, now_ms: int) -> bool:
        """Whether there is no connection, no attempt and no wait for the next one."""
        if peer in self._link_by_peer:
            return False
        attempts = self._attempts_by_peer.get(peer)
        if attempts is None:
            return True
        return now_ms >= max(attempts.opening_until_ms, attempts.retry_at_ms)

    def failures(self, peer: str) -> int:
        """Return how often in a row the peer could not be connected to."""
        attempts = self._attempts_by_peer.get(peer)
        return 0 if attempts is None else attempts.failures

    def missing_ms(self, peer: str, now_ms: int) -> int:
        """Return for how long a connection has been missed, from the first call on."""
        if peer in self._link_by_peer:
            return 0
        return now_ms - self._missing_since_by_peer.setdefault(peer, now_ms)

    def silent(self, now_ms: int) -> tuple[Link, ...]:
        """Return the connections that have carried nothing for too long."""
        return tuple(
            link
            for link in self.links
            if now_ms - link.heard_ms >= LINK_SILENT_AFTER_MS
        )

    def restart_waiting(self, now_ms: int) -> None:
        """Give every connection its full time again, after a pause."""
        for link in self._link_by_peer.values():
            link.heard_ms = now_ms

    def forget(self, peer: str) -> None:
        """Drop the history of attempts to a peer that is forgotten."""
        self._attempts_by_peer.pop(peer, None)
        self._missing_since_by_peer.pop(peer, None)

    def _back_off(self, peer: str, now_ms: int, least_ms: int = 0) -> None:
        attempts = self._attempts_by_peer.setdefault(peer, _Attempts())
        attempts.failures += 1
        attempts.opening_until_ms = 0
        doubled_ms = RETRY_MIN_MS << min(attempts.failures - 1, 8)
        limit_ms = max(min(doubled_ms, RETRY_MAX_MS), least_ms)
        attempts.retry_at_ms = now_ms + self._rng.randint(limit_ms // 2, limit_ms)
