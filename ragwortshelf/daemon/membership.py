"""Service that runs the membership machine on a `PeerNetwork` and the instance list."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

import trio

from ..core.membership import (
    HEARTBEAT_INTERVAL_MS,
    CloseLink,
    DrainStarted,
    Event,
    Heartbeat,
    HeartbeatReceived,
    LinkClosed,
    LinkFailed,
    LinkOpened,
    ListFetched,
    MembersChanged,
    MembershipMachine,
    NewerIncarnationFound,
    OpenLink,
    Published,
    SendHeartbeat,
    Tick,
    View,
)
from ..core.model import InstanceInfo
from ..core.streams.codec import Undecodable, decode, encode
from ..net.interfaces import InstanceList, Membership
from ..net.peer_observer import LinkObserver
from ..net.peers import PeerNetwork
from .clock import monotonic_ms, wall_ms

__all__ = ["MembershipService", "new_incarnation"]

LIST_INTERVAL_MS = 1_000


def new_incarnation() -> int:
    """Return the wall time in milliseconds, so that each start has a higher number."""
    return wall_ms()


class MembershipService(LinkObserver):
    """An instance's view of the members, and the state that it shares with them.

    Use it as follows, inside a nursery::

        network = PeerNetwork(info, incarnation, secret)
        service = MembershipService(info, incarnation, instance_list, network, rng)
        await nursery.start(network.run)
        nursery.start_soon(service.run)

    The membership machine runs on `trio.current_time` in whole milliseconds.
    """

    def __init__(
        self,
        instance: InstanceInfo,
        incarnation: int,
        instance_list: InstanceList,
        network: PeerNetwork,
        rng: random.Random,
    ):
        self._machine = MembershipMachine(instance, incarnation, rng)
        self._instance_list = instance_list
        self._network = network
        self._view_callbacks: list[Callable[[View], None]] = []
        self._list_callbacks: list[Callable[[Membership], None]] = []
        self._shared_types_by_name: dict[str, type] = {}
        self._published_by_key: dict[str, bytes] = {}
        network.observe(self)

    @property
    def view(self) -> View:
        """The view after the last event."""
        return self._machine.view

    @property
    def is_superseded(self) -> bool:
        """Whether a newer incarnation of this instance runs and this one must exit."""
        return self._machine.is_superseded

    def is_placer(self) -> bool:
        """Whether this instance may act as the placer of its data centre now."""
        return self._machine.is_placer() and self.may_act_in_role()

    def may_act_in_role(self) -> bool:
        """Whether this instance may act in any role; see `MembershipMachine`."""
        return self._machine.may_act_in_role(monotonic_ms())

    def on_change(self, callback: Callable[[View], None]) -> None:
        """Call ``callback`` with each new view."""
        self._view_callbacks.append(callback)

    def on_list(self, callback: Callable[[Membership], None]) -> None:
        """Call ``callback`` with each answer of the instance list."""
        self._list_callbacks.append(callback)

    def set_draining(self) -> None:
        """Announce to the peers that this instance stops, and resign its roles."""
        self._handle(DrainStarted())

    def publish(self, key: str, value: object) -> None:
        """Share a data class instance or bytes under ``key`` with all instances."""
        data = value if isinstance(value, bytes) else encode(value)
        if self._published_by_key.get(key) == data:
            return
        self._published_by_key[key] = data
        self._handle(Published(key, data))

    def register(self, *message_types: type) -> None:
        """Register types for `peer_state` to decode."""
        for message_type in message_types:
            self._shared_types_by_name[message_type.__name__] = message_type

    def peer_state(self, key: str) -> Mapping[str, object]:
        """Return the values that members share under ``key``, by member name.

        This instance is included. Values of registered types are decoded, and others
        are left as bytes. The last value of a dead member remains until the member is
        removed from `view`, which shows each member's status.
        """
        values = {}
        for name, data in self._machine.values(key).items():
            decoded = decode(data, self._shared_types_by_name)
            values[name] = data if isinstance(decoded, Undecodable) else decoded
        return values

    async def run(self) -> None:
        """Send heartbeats and poll the instance list until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_heartbeats)
            nursery.start_soon(self._poll_list)

    async def _send_heartbeats(self) -> None:
        while True:
            self._handle(Tick())
            await trio.sleep(HEARTBEAT_INTERVAL_MS / 1000)

    async def _poll_list(self) -> None:
        while True:
            answer = await self._instance_list.fetch()
            if isinstance(answer, Membership):
                self._handle(ListFetched(answer.instances))
                for callback in self._list_callbacks:
                    callback(answer)
            await trio.sleep(LIST_INTERVAL_MS / 1000)

    def link_opened(self, peer: str, connection_id: str) -> None:
        """Pass the event to the membership machine; called by the network."""
        self._handle(LinkOpened(peer, connection_id))

    def link_closed(self, peer: str, connection_id: str) -> None:
        """Pass the event to the membership machine; called by the network."""
        self._handle(LinkClosed(peer, connection_id))

    def link_failed(self, peer: str, is_refused: bool) -> None:
        """Pass the event to the membership machine; called by the network."""
        self._handle(LinkFailed(peer, is_refused))

    def newer_incarnation_found(self, incarnation: int) -> None:
        """Pass the event to the membership machine; called by the network."""
        self._handle(NewerIncarnationFound(incarnation))

    def incarnation_of(self, name: str) -> int:
        """Return the newest known incarnation of an instance, or 0."""
        return self._machine.incarnation_of(name)

    def heartbeat_received(self, connection_id: str, heartbeat: Heartbeat) -> None:
        """Pass the event to the membership machine; called by the network."""
        self._handle(HeartbeatReceived(connection_id, heartbeat))

    def route_to(self, name: str) -> str | None:
        """Return the connected peer that relays messages to ``name``, or None."""
        return self._machine.route_to(name)

    def _handle(self, event: Event) -> None:
        for action in self._machine.handle(event, monotonic_ms()):
            match action:
                case SendHeartbeat(_, connection_id, heartbeat):
                    self._network.send_heartbeat(connection_id, heartbeat)
                case OpenLink(peer):
                    self._network.open_link(peer)
                case CloseLink(_, connection_id):
                    self._network.close_link(connection_id)
                case MembersChanged(view):
                    for callback in self._view_callbacks:
                        callback(view)
