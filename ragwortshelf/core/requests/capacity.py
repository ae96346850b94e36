"""Slots that this instance may use now, on its own endpoints and through peers."""

from __future__ import annotations

from .entries import EntryTable
from .health import EndpointHealth
from .routing import EndpointPool, PeerLoads
from .shares import ShareManager

__all__ = ["Capacity"]


class Capacity:
    """Counts free slots and slots in service.

    The counts combine the instance's shares, the endpoint list, the health of
    endpoints, the load that peers report and the open attempts.
    """

    def __init__(
        self,
        shares: ShareManager,
        pool: EndpointPool,
        health: EndpointHealth,
        peer_loads: PeerLoads,
        entries: EntryTable,
    ):
        self._shares = shares
        self._pool = pool
        self._health = health
        self._peer_loads = peer_loads
        self._entries = entries

    def free_by_endpoint(self, now_ms: int) -> dict[str, int]:
        """Return the free slots of endpoints that are not ejected, without zeros."""
        free_by_endpoint = {}
        for name in self._pool.usable(now_ms):
            free = self._free_slots_at(name, now_ms)
            if free > 0 and not self._health.is_ejected(name):
                free_by_endpoint[name] = free
        return free_by_endpoint

    def free_slots(self, now_ms: int) -> int:
        """Return how many requests could start now on this instance's endpoints."""
        return sum(self.free_by_endpoint(now_ms).values())

    def serving_slots(self, now_ms: int) -> int:
        """Return the slots that serve the queue: own slots and free slots of peers."""
        peer_slots = sum(
            load.free_slots
            for load in self._peer_loads.fresh(now_ms).values()
            if not load.is_draining
        )
        return self.own_slots(now_ms) + peer_slots

    def own_slots(self, now_ms: int) -> int:
        """Return this instance's slots on endpoints that serve and are not ejected.

        Those of endpoints that pause after a refusal count, as the pause is over before
        a refused caller would return.
        """
        return sum(
            self._shares.slots(name, now_ms)
            for name in self._pool.live()
            if not self._health.is_ejected(name)
        )

    def endpoints_to_probe(self, now_ms: int) -> list[str]:
        """Return ejected endpoints that are due for a probe and have a free slot."""
        return [
            name
            for name in self._pool.usable(now_ms)
            if self._health.is_probe_due(name, now_ms)
            and self._free_slots_at(name, now_ms) > 0
        ]

    def load_by_endpoint(self, names, now_ms: int) -> dict[str, int]:
        """Return how many requests of this instance and its peers run on endpoints."""
        return {
            name: self._entries.in_flight(name)
            + self._peer_loads.in_flight(name, now_ms)
            for name in names
        }

    def excess_attempts(self, endpoint: str, now_ms: int) -> int:
        """Return how many open attempts exceed this instance's limit.

        The limit drops below the open attempts only when the lease has expired.
        """
        running = self._entries.in_flight(endpoint)
        return max(0, running - self._shares.limit(endpoint, now_ms))

    def _free_slots_at(self, name: str, now_ms: int) -> int:
        return self._shares.slots(name, now_ms) - self._entries.in_flight(name)
