"""Choice of an endpoint, or of a peer that runs a request instead.

Both take two candidates at random and use the less loaded one, which keeps instances
with equally old reports from crowding onto the same endpoint.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, replace

from ..model import Decision, MemberState, Request, ServingEndpoint
from .messages import LoadReport

__all__ = ["EndpointPool", "PeerLoads", "least_loaded_of_two", "routed"]

REPORT_MAX_AGE_MS = 2_000
REFUSAL_PAUSE_MS = 50


def least_loaded_of_two(
    load_by_name: Mapping[str, int], rng: random.Random
) -> tuple[str, str | None]:
    """Return the less loaded of two names taken at random, and the other one.

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
    """The endpoints of this data centre as the list last named them.

    A list that is empty, or that has lost all live endpoints of the data centre, leaves
    the pool as it was; a single endpoint that disappears is taken for gone.
    """

    def __init__(self, data_centre: str):
        self._data_centre = data_centre
        self.info_by_name: dict[str, ServingEndpoint] = {}
        self._refused_until_ms: dict[str, int] = {}

    def set_endpoints(self, endpoints: tuple[ServingEndpoint, ...]) -> bool:
        """Apply the list; False if it tells nothing and is passed over."""
        own = {m.name: m for m in endpoints if m.data_centre == self._data_centre}
        if not own:
            return False
        self.info_by_name = own
        return True

    def usable(self, now_ms: int) -> list[str]:
        """Return the endpoints that may get new requests."""
        return [
            name
            for name, info in self.info_by_name.items()
            if info.state is MemberState.LIVE
            and self._refused_until_ms.get(name, 0) <= now_ms
        ]

    def note_refusal(self, name: str, now_ms: int) -> None:
        """An endpoint refused with proof; leave it alone for a moment."""
        self._refused_until_ms[name] = now_ms + REFUSAL_PAUSE_MS


@dataclass(frozen=True, slots=True)
class _TimedLoad:
    load: LoadReport
    noted_ms: int


class PeerLoads:
    """What peers last reported, and what was sent to them since."""

    def __init__(self):
        self._timed_by_peer: dict[str, _TimedLoad] = {}

    def note(self, peer: str, load: LoadReport, now_ms: int) -> None:
        """Record a report."""
        self._timed_by_peer[peer] = _TimedLoad(load, now_ms)

    def forget(self, peer: str) -> None:
        """Use the peer no more until its next report."""
        self._timed_by_peer.pop(peer, None)

    def take_slot(self, peer: str) -> None:
        """Note that a request goes to a peer, ahead of its next report."""
        timed = self._timed_by_peer.get(peer)
        if timed is not None:
            left = max(0, timed.load.free_slots - 1)
            load = replace(timed.load, free_slots=left)
            self._timed_by_peer[peer] = _TimedLoad(load, timed.noted_ms)

    def no_slots(self, peer: str) -> None:
        """Note that a peer turned a request away for want of free slots."""
        timed = self._timed_by_peer.get(peer)
        if timed is not None:
            load = replace(timed.load, free_slots=0)
            self._timed_by_peer[peer] = _TimedLoad(load, timed.noted_ms)

    def fresh(self, now_ms: int) -> dict[str, LoadReport]:
        """Return the reports that are young enough to act on."""
        return {
            peer: timed.load
            for peer, timed in self._timed_by_peer.items()
            if timed.noted_ms + REPORT_MAX_AGE_MS > now_ms
        }

    def in_flight(self, endpoint: str, now_ms: int) -> int:
        """Return how many requests peers have running on an endpoint."""
        return sum(
            load.in_flight_by_endpoint.get(endpoint, 0)
            for load in self.fresh(now_ms).values()
        )

    def choose(
        self, data_centre: str, now_ms: int, rng: random.Random
    ) -> tuple[str, str | None] | None:
        """Return a peer with a free slot and the one passed over, or None.

        Peers of ``data_centre`` go before those further away.
        """
        free = {
            peer: load
            for peer, load in self.fresh(now_ms).items()
            if load.free_slots > 0 and not load.is_draining
        }
        near = {p: load for p, load in free.items() if load.data_centre == data_centre}
        taken_by_peer = {p: -load.free_slots for p, load in (near or free).items()}
        return least_loaded_of_two(taken_by_peer, rng) if taken_by_peer else None


def routed(
    request: Request, choice: str, reason: str, passed_over: tuple[str, ...] = ()
) -> Decision:
    """Return the decision-log value of one routing decision."""
    return Decision(
        kind="route_request",
        subject=request.request_id,
        choice=choice,
        reason=reason,
        passed_over=passed_over,
        organisation=request.organisation,
    )
