"""A simulated network of instances in virtual time, with faults.

Each instance is a `MembershipMachine`; messages are encoded and decoded as on the wire.
Once a message is sent in a direction that is cut, the connection stays silent in that
direction permanently, even after the cut ends, which is the worst way for a connection
to fail. Connections opened later work.
"""

from __future__ import annotations

import heapq
import itertools
import random
import time
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ragwortshelf.core.membership import (
    HEARTBEAT_INTERVAL_MS,
    CloseLink,
    Event,
    Heartbeat,
    HeartbeatReceived,
    LinkClosed,
    LinkFailed,
    LinkOpened,
    ListFetched,
    MembershipMachine,
    NewerIncarnationFound,
    OpenLink,
    SendHeartbeat,
    Tick,
)
from ragwortshelf.core.model import InstanceInfo
from ragwortshelf.core.streams.codec import encode
from ragwortshelf.net.peer_frames import decode_frame

__all__ = ["Deflate", "VirtualNetwork", "VirtualNode", "instances"]

LIST_INTERVAL_MS = 2_000
OPEN_TIMEOUT_MS = 2_500


def instances(data_centres: int, per_data_centre: int) -> tuple[InstanceInfo, ...]:
    """Return instances named ``dc1-1``, ``dc1-2`` and so on."""
    return tuple(
        InstanceInfo(
            f"dc{number}-{index}",
            f"dc{number}",
            f"10.0.{number}.{index}:8080",
            f"10.0.{number}.{index}:8081",
        )
        for number in range(1, data_centres + 1)
        for index in range(1, per_data_centre + 1)
    )


@dataclass(eq=False)
class VirtualNode:
    """One instance; ``cpu_s`` is the processor time of its state machine and codec."""

    machine: MembershipMachine
    info: InstanceInfo
    incarnation: int
    is_up: bool = True
    is_host_lost: bool = False
    is_paused: bool = False
    bytes_sent: int = 0
    bytes_received: int = 0
    frames_sent: int = 0
    cpu_s: float = 0.0
    deferred: list[Event] = field(default_factory=list)
    views_changed: int = 0


class Deflate:
    """Compresses one direction as the websocket extension permessage-deflate does."""

    def __init__(self):
        self._compressor = zlib.compressobj(wbits=-12, memLevel=5)
        self._decompressor = zlib.decompressobj(wbits=-12)

    def compress(self, data: bytes) -> bytes:
        compressed = self._compressor.compress(data)
        return (compressed + self._compressor.flush(zlib.Z_SYNC_FLUSH))[:-4]

    def decompress(self, data: bytes) -> bytes:
        return self._decompressor.decompress(data + b"\x00\x00\xff\xff")


@dataclass(eq=False)
class _Connection:
    """A connection; data sent by the instances in ``silent_senders`` is dropped."""

    ends: tuple[VirtualNode, VirtualNode]
    is_open: bool = True
    silent_senders: set[str] = field(default_factory=set)
    deflate_by_sender: dict[str, Deflate] = field(default_factory=dict)


class VirtualNetwork:
    """Instances, the connections between them and the platform's instance list.

    Tests set the faults: ``is_cut(sender, receiver)`` tells whether a direction is cut,
    and ``listed`` is None while the list is unavailable.
    """

    def __init__(self, seed: int, *, latency_ms: int = 1, is_compressed: bool = True):
        self.is_compressed = is_compressed
        self.now_ms = 0
        self.latency_ms = latency_ms
        self.rng = random.Random(seed)
        self.node_by_name: dict[str, VirtualNode] = {}
        self.listed: tuple[InstanceInfo, ...] | None = ()
        self.on_heartbeat: Callable[[str, Heartbeat], None] = lambda *_: None
        self.is_cut: Callable[[VirtualNode, VirtualNode], bool] = lambda a, b: False
        self._connection_by_id: dict[str, _Connection] = {}
        self._sequence = itertools.count(1)
        self._event_queue: list[tuple[int, int, Callable[[], None]]] = []

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Run ``action`` in ``delay_ms`` of virtual time."""
        entry = (self.now_ms + delay_ms, next(self._sequence), action)
        heapq.heappush(self._event_queue, entry)

    def run(self, duration_ms: int) -> None:
        """Advance virtual time by ``duration_ms``, running all actions that are due."""
        until_ms = self.now_ms + duration_ms
        while self._event_queue and self._event_queue[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._event_queue)
            action()
        self.now_ms = until_ms

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> int | None:
        """Return the time until ``condition`` holds, or None after ``limit_ms``.

        The condition is checked every 50 ms of virtual time.
        """
        start_ms = self.now_ms
        while not condition():
            if self.now_ms - start_ms >= limit_ms:
                return None
            self.run(50)
        return self.now_ms - start_ms

    def start_all(self, infos: Iterable[InstanceInfo]) -> None:
        """Start instances and add them to the platform's list."""
        infos = tuple(infos)
        self.listed = (*(self.listed or ()), *infos)
        for info in infos:
            self.start(info)

    def start(self, info: InstanceInfo, incarnation: int = 1) -> VirtualNode:
        """Start an instance; one already running under the same name keeps running."""
        machine = MembershipMachine(
            info, incarnation, random.Random(self.rng.getrandbits(64))
        )
        node = VirtualNode(machine, info, incarnation)
        self.node_by_name[info.name] = node
        self.after(self.rng.randrange(HEARTBEAT_INTERVAL_MS), lambda: self._tick(node))
        self.after(self.rng.randrange(500), lambda: self._poll(node))
        return node

    def stop(self, node: VirtualNode, *, is_host_lost: bool = False) -> None:
        """Stop an instance's process, or its host if ``is_host_lost``.

        The end of a process resets its connections, and new ones are refused. A lost
        host answers nothing, so new connections to it time out.
        """
        node.is_up = False
        node.is_host_lost = is_host_lost
        if is_host_lost:
            return
        for connection_id, connection in tuple(self._connection_by_id.items()):
            if node in connection.ends:
                self._reset(connection_id)

    def pause(self, node: VirtualNode) -> None:
        """Suspend an instance; its incoming events are queued."""
        node.is_paused = True

    def resume(self, node: VirtualNode) -> None:
        """Resume a paused instance and handle its queued events."""
        node.is_paused = False
        events, node.deferred = node.deferred, []
        for event in events:
            self.feed(node, event)

    def silence(self, one: str, other: str) -> None:
        """Make the open connections between two instances silent permanently."""
        for connection in self._connection_by_id.values():
            if {node.info.name for node in connection.ends} == {one, other}:
                connection.silent_senders |= {one, other}

    def placers(self, data_centre: str) -> tuple[str, ...]:
        """Return the running instances that may act as placer of ``data_centre``."""
        return tuple(
            name
            for name, node in self.node_by_name.items()
            if node.info.data_centre == data_centre
            and node.is_up
            and not node.is_paused
            and node.machine.is_placer()
            and node.machine.may_act_in_role(self.now_ms)
        )

    def feed(self, node: VirtualNode, event: Event) -> None:
        """Pass an event to an instance and carry out the resulting actions."""
        if not node.is_up:
            return
        if node.is_paused:
            node.deferred.append(event)
            return
        started_s = time.process_time()
        actions = node.machine.handle(event, self.now_ms)
        node.cpu_s += time.process_time() - started_s
        for action in actions:
            self._carry_out(node, action)

    def _tick(self, node: VirtualNode) -> None:
        if not node.is_up:
            return
        if not node.is_paused:
            self.feed(node, Tick())
        self.after(HEARTBEAT_INTERVAL_MS, lambda: self._tick(node))

    def _poll(self, node: VirtualNode) -> None:
        if not node.is_up:
            return
        if self.listed is not None and not node.is_paused:
            self.feed(node, ListFetched(self.listed))
        self.after(LIST_INTERVAL_MS, lambda: self._poll(node))

    def _carry_out(self, node: VirtualNode, action) -> None:
        match action:
            case SendHeartbeat(_, connection_id, heartbeat):
                self._send(node, connection_id, heartbeat)
            case OpenLink(peer):
                self._open(node, peer.name)
            case CloseLink(_, connection_id):
                self._reset(connection_id)
            case _:
                node.views_changed += 1

    def _open(self, node: VirtualNode, peer_name: str) -> None:
        peer = self.node_by_name.get(peer_name)
        if (
            peer is None
            or peer.is_host_lost
            or peer.is_paused
            or self.is_cut(node, peer)
            or self.is_cut(peer, node)
        ):
            self._feed_later(node, LinkFailed(peer_name), OPEN_TIMEOUT_MS)
        elif peer.machine.incarnation_of(node.info.name) > node.incarnation:
            known_incarnation = peer.machine.incarnation_of(node.info.name)
            self._feed_later(
                node, NewerIncarnationFound(known_incarnation), 2 * self.latency_ms
            )
        elif not peer.is_up:
            self._feed_later(node, LinkFailed(peer_name, True), 2 * self.latency_ms)
        else:
            connection_id = f"{node.info.name}/{next(self._sequence)}"
            self._connection_by_id[connection_id] = _Connection((node, peer))
            name = node.info.name
            self._feed_later(peer, LinkOpened(name, connection_id), self.latency_ms)
            self._feed_later(
                node, LinkOpened(peer_name, connection_id), 2 * self.latency_ms
            )

    def _send(self, node: VirtualNode, connection_id: str, heartbeat) -> None:
        connection = self._connection_by_id.get(connection_id)
        if connection is None:
            return
        self.on_heartbeat(connection_id, heartbeat)
        started_s = time.process_time()
        data = encode(heartbeat)
        if self.is_compressed:
            deflate = connection.deflate_by_sender.setdefault(node.info.name, Deflate())
            data = deflate.compress(data)
        node.cpu_s += time.process_time() - started_s
        node.bytes_sent += len(data)
        node.frames_sent += 1
        one, other = connection.ends
        peer = other if node is one else one
        if self.is_cut(node, peer):
            connection.silent_senders.add(node.info.name)
        if node.info.name in connection.silent_senders:
            return
        self.after(self.latency_ms, lambda: self._deliver(peer, connection_id, data))

    def _deliver(self, node: VirtualNode, connection_id: str, data: bytes) -> None:
        connection = self._connection_by_id.get(connection_id)
        if connection is None or not node.is_up:
            return
        node.bytes_received += len(data)
        started_s = time.process_time()
        if self.is_compressed:
            one, other = connection.ends
            sender = one if node is other else other
            data = connection.deflate_by_sender[sender.info.name].decompress(data)
        heartbeat = decode_frame(data)
        node.cpu_s += time.process_time() - started_s
        self.feed(node, HeartbeatReceived(connection_id, heartbeat))

    def _reset(self, connection_id: str) -> None:
        connection = self._connection_by_id.pop(connection_id, None)
        if connection is None:
            return
        one, other = connection.ends
        self._feed_later(
            one, LinkClosed(other.info.name, connection_id), self.latency_ms
        )
        self._feed_later(
            other, LinkClosed(one.info.name, connection_id), self.latency_ms
        )

    def _feed_later(self, node: VirtualNode, event: Event, delay_ms: int) -> None:
        self.after(delay_ms, lambda: self.feed(node, event))
