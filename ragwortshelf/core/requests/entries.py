"""Table of unfinished requests with their open attempts and timers."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from ..model import Request

__all__ = ["Entry", "EntryTable"]


@dataclass(slots=True)
class Entry:
    """State of a request that is not finished or has an attempt open.

    An attempt is open while ``endpoint`` or ``peer`` is set. ``may_have_run`` is set
    once an attempt ended without proof that it did not run. ``silent_attempts`` counts
    attempts aborted for lack of progress. ``is_suspect`` says that the connection of
    the open attempt is suspect, and ``has_silent_siblings`` that siblings of this
    connection, as ``ProgressRules`` defines them, are suspect too.
    """

    request: Request
    is_delegated: bool
    arrived_ms: int
    cost_ms: float
    attempt: int = 0
    may_have_run: bool = False
    not_before_ms: int = 0
    endpoint: str | None = None
    peer: str | None = None
    sent_ms: int = 0
    progress_deadline_ms: int = 0
    silent_attempts: int = 0
    is_suspect: bool = False
    has_silent_siblings: bool = False
    is_aborted: bool = False
    is_finished: bool = False

    @property
    def has_open_attempt(self) -> bool:
        """Whether an attempt is open."""
        return self.endpoint is not None or self.peer is not None


class EntryTable:
    """Stores entries by request id, counts open attempts and keeps timers."""

    def __init__(self):
        self._entry_by_id: dict[str, Entry] = {}
        self._timers: list[tuple[int, str]] = []
        self._in_flight_by_endpoint: dict[str, int] = {}
        self._in_flight_by_organisation: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._entry_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entry_by_id

    def get(self, request_id: str) -> Entry | None:
        """Return the entry of a request, or None."""
        return self._entry_by_id.get(request_id)

    def add(self, entry: Entry) -> None:
        """Add a request with a timer at its deadline."""
        request = entry.request
        self._entry_by_id[request.request_id] = entry
        self.wake_at(entry, request.deadline_ms)

    def remove(self, entry: Entry) -> None:
        """Remove a finished request that has no open attempt."""
        del self._entry_by_id[entry.request.request_id]

    def open_attempt(
        self, entry: Entry, now_ms: int, *, endpoint: str | None = None, peer=None
    ) -> None:
        """Open an attempt at an endpoint or at a peer."""
        entry.attempt += 1
        entry.endpoint = endpoint
        entry.peer = peer
        entry.sent_ms = now_ms
        self._add_to_counts(entry, 1)

    def close_attempt(self, entry: Entry) -> None:
        """Close the open attempt."""
        self._add_to_counts(entry, -1)
        entry.endpoint = None
        entry.peer = None
        entry.is_aborted = False
        entry.is_suspect = False
        entry.has_silent_siblings = False

    def in_flight(self, endpoint: str) -> int:
        """Return the number of open attempts at an endpoint."""
        return self._in_flight_by_endpoint.get(endpoint, 0)

    def in_flight_by_endpoint(self) -> dict[str, int]:
        """Return the number of open attempts by endpoint, without zeros."""
        return {name: n for name, n in self._in_flight_by_endpoint.items() if n}

    def in_flight_of(self, organisation: str) -> int:
        """Return the number of open attempts of an organisation."""
        return self._in_flight_by_organisation.get(organisation, 0)

    def entries_at(self, endpoint: str) -> list[Entry]:
        """Return the entries with an open attempt at an endpoint."""
        return [e for e in self._entry_by_id.values() if e.endpoint == endpoint]

    def wake_at(self, entry: Entry, when_ms: int) -> None:
        """Add a timer that makes the entry due at ``when_ms``."""
        heapq.heappush(self._timers, (when_ms, entry.request.request_id))

    def next_wake_ms(self) -> int | None:
        """Return the time of the next timer, or None without timers."""
        return self._timers[0][0] if self._timers else None

    def due(self, now_ms: int) -> Iterator[Entry]:
        """Remove expired timers and yield their entries that are not finished."""
        while self._timers and self._timers[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._timers)
            entry = self._entry_by_id.get(request_id)
            if entry is not None and not entry.is_finished:
                yield entry

    def _add_to_counts(self, entry: Entry, change: int) -> None:
        organisation = entry.request.organisation
        count = self.in_flight_of(organisation) + change
        self._in_flight_by_organisation[organisation] = count
        if entry.endpoint is not None:
            count = self.in_flight(entry.endpoint) + change
            self._in_flight_by_endpoint[entry.endpoint] = count
