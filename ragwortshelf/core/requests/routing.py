"""Choice of the endpoint for a request, or of a peer to delegate it to.

Both sample two candidates at random and use the less loaded one. This keeps instances
that act on equally old load reports from all choosing the same endpoint.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, replace

from ..model import Decision, MemberState, Request, ServingEndpoint
from .messages import LoadReport

__all__ = ["EndpointPool", "PeerLoads", "least_loaded_of_two", "routing_decision"]

REPORT_MAX_AGE_MS = 2_000
REFUSAL_PAUSE_MS = 50


def least_loaded_of_two(
    load_by_name: Mapping[str, int], rng: random.Random
) -> tuple[str, str | None]:
    """Return the less loaded of two names sampled at random, and the other one.

    >>> least_loaded_of_two({"m1": 3, "m2": 1}, random.Random(1))
    ('m2', 'm1')
    """
    names = list(load_by_name)
    if len(names) == 1:
        return names[0], None
    first, second = rng.sample(names, 2)
    if load_by_name[second] < load_by_name[first]:
        return second, first
    return first, second


class EndpointPool:
    """The endpoints of this data centre according to the last endpoint list.

    A list that is empty or names no endpoint of the data centre is ignored. A single
    endpoint that disappears from the list is removed.
    """

    def __init__(self, data_centre: str):
        self._data_centre = data_centre
        self.info_by_name: dict[str, ServingEndpoint] = {}
        self._refused_until_ms: dict[str, int] = {}

    def set_endpoints(self, endpoints: tuple[ServingEndpoint, ...]) -> bool:
        """Apply an endpoint list; False if it is ignored."""
        own = {e.name: e for e in endpoints if e.data_centre == self._data_centre}
        if not own:
            return False
        self.info_by_name = own
        return True

    def live(self) -> list[str]:
        """Return the endpoints that serve, including those that pause for a moment."""
        return [
            name
            for name, info in self.info_by_name.items()
            if info.state is MemberState.LIVE
        ]

    def usable(self, now_ms: int) -> list[str]:
        """Return the endpoints that may get new requests now."""
        return [
            name
            for name in self.live()
            if self._refused_until_ms.get(name, 0) <= now_ms
        ]

    def record_refusal(self, name: str, now_ms: int) -> None:
        """Record that an endpoint refused a request without running it.

        It gets no new requests for ``REFUSAL_PAUSE_MS``.
        """
        self._refused_until_ms[name] = now_ms + REFUSAL_PAUSE_MS


@dataclass(frozen=True, slots=True)
class _ReceivedLoad:
    """A load report and when it was received."""

    load: LoadReport
    received_ms: int


class PeerLoads:
    """Last load reports of peers, reduced by the requests delegated since."""

    def __init__(self):
        self._received_by_peer: dict[str, _ReceivedLoad] = {}

    def record(self, peer: str, load: LoadReport, now_ms: int) -> None:
        """Record a load report."""
        self._received_by_peer[peer] = _ReceivedLoad(load, now_ms)

    def discard(self, peer: str) -> None:
        """Drop a peer's report, so that it is not used until its next one."""
        self._received_by_peer.pop(peer, None)

    def reserve_slot(self, peer: str) -> None:
        """Subtract the slot of a request delegated to a peer from its report."""
        received = self._received_by_peer.get(peer)
        if received is not None:
            free_slots = max(0, received.load.free_slots - 1)
            load = replace(received.load, free_slots=free_slots)
            self._received_by_peer[peer] = _ReceivedLoad(load, received.received_ms)

    def mark_full(self, peer: str) -> None:
        """Record that a peer refused a request because it has no free slot."""
        received = self._received_by_peer.get(peer)
        if received is not None:
            load = replace(received.load, free_slots=0)
            self._received_by_peer[peer] = _ReceivedLoad(load, received.received_ms)

    def fresh(self, now_ms: int) -> dict[str, LoadReport]:
        """Return the reports younger than ``REPORT_MAX_AGE_MS``, by peer."""
        return {
            peer: received.load
            for peer, received in self._received_by_peer.items()
            if received.received_ms + REPORT_MAX_AGE_MS > now_ms
        }

    def in_flight(self, endpoint: str, now_ms: int) -> int:
        """Return how many requests of peers run on an endpoint."""
        return sum(
            load.in_flight_by_endpoint.get(endpoint, 0)
            for load in self.fresh(now_ms).values()
        )

    def choose(
        self, data_centre: str, now_ms: int, rng: random.Random
    ) -> tuple[str, str | None] | None:
        """Return a peer with a free slot and the other candidate, or None without any.

        Peers of ``data_centre`` are preferred to those of other data centres.
        """
        available = {
            peer: load
            for peer, load in self.fresh(now_ms).items()
            if load.free_slots > 0 and not load.is_draining
        }
        local = {
            peer: load
            for peer, load in available.items()
            if load.data_centre == data_centre
        }
        # A peer with more free slots counts as less loaded.
        load_by_peer = {p: -load.free_slots for p, load in (local or available).items()}
        return least_loaded_of_two(load_by_peer, rng) if load_by_peer else None


def routing_decision(
    request: Request, choice: str, reason: str, passed_over: tuple[str, ...] = ()
) -> Decision:
    """Return a routing decision for the decision log."""
    return Decision(
        kind="route_request",
        subject=request.request_id,
        choice=choice,
        reason=reason,
        passed_over=passed_over,
        organisation=request.organisation,
    )
