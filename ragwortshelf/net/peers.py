"""Connections to the other instances over websockets, and calls over them."""

from __future__ import annotations

import itertools
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.trio.client import connect
from websockets.trio.connection import Connection
from websockets.trio.server import serve

from ..core.membership import Heartbeat
from ..core.model import InstanceInfo, Unreachable
from ..core.streams.codec import Undecodable, decode, encode
from .interfaces import Peers
from .peer_frames import Envelope, EnvelopeKind, Frame
from .peer_handshake import (
    Identity,
    Superseded,
    greet_as_client,
    greet_as_server,
)
from .peer_link import Outgoing, PeerLink
from .peer_observer import LinkObserver
from .peer_relay import RelayTable, answer_to

__all__ = ["PeerNetwork"]

MAX_FRAME_BYTES = 4 * 1024 * 1024
QUEUE_FRAMES = 512
HANDLERS_MAX = 512
OPEN_TIMEOUT_S = 2.5
PING_INTERVAL_S = 5.0
PING_TIMEOUT_S = 5.0
CLOSE_TIMEOUT_S = 1.0

_LIBRARY_LOGGER = logging.getLogger("ragwortshelf.peers")
_LIBRARY_LOGGER.setLevel(logging.CRITICAL)


@dataclass(eq=False, slots=True)
class _PendingCall:
    """A call that waits for its answer."""

    link: PeerLink
    outgoing: Outgoing
    done: trio.Event = field(default_factory=trio.Event)
    answer: Envelope | None = None


class PeerNetwork(Peers):
    """Links of one instance, kept as its `LinkObserver` (the membership) directs.

    ``secret`` is shared by all instances. Frames over ``max_frame_bytes`` break their
    connection; so do a frame that cannot be decoded and a connection that leaves pings
    unanswered. Handlers must not raise.
    """

    def __init__(
        self,
        instance: InstanceInfo,
        incarnation: int,
        secret: bytes,
        *,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        queue_frames: int = QUEUE_FRAMES,
        ping_interval_s: float = PING_INTERVAL_S,
        ping_timeout_s: float = PING_TIMEOUT_S,
    ):
        if not secret:
            raise ValueError("an empty secret protects nothing")
        self._instance = instance
        self._incarnation = incarnation
        self._secret = secret
        self._queue_frames = queue_frames
        self._options = {
            "compression": "deflate",
            "max_size": max_frame_bytes,
            "ping_interval": ping_interval_s,
            "ping_timeout": ping_timeout_s,
            "open_timeout": OPEN_TIMEOUT_S,
            "close_timeout": CLOSE_TIMEOUT_S,
            "logger": _LIBRARY_LOGGER,
        }
        self._max_frame_bytes = max_frame_bytes
        self._observer: LinkObserver | None = None
        self._nursery: trio.Nursery | None = None
        self._handler_by_type_name: dict[str, Callable] = {}
        self._types_by_name: dict[str, type] = {}
        self._link_by_connection: dict[str, PeerLink] = {}
        self._newest_link_by_peer: dict[str, PeerLink] = {}
        self._incarnation_by_name: dict[str, int] = {}
        self._pending_by_call_id: dict[int, _PendingCall] = {}
        self._relay = RelayTable()
        self._handlers_running = 0
        self._call_ids = itertools.count(1)
        self._connection_numbers = itertools.count(1)

    @property
    def links(self) -> tuple[PeerLink, ...]:
        """All open connections."""
        return tuple(self._link_by_connection.values())

    def observe(self, observer: LinkObserver) -> None:
        """Tell ``observer`` of connections and heartbeats, and route by it."""
        self._observer = observer

    def register(self, *message_types: type) -> None:
        """Make types known that replies may have."""
        for message_type in message_types:
            self._types_by_name[message_type.__name__] = message_type

    def handle(
        self,
        message_type: type,
        handler: Callable[[str, object], Awaitable[object]],
    ) -> None:
        """Answer messages of a type with ``await handler(sender, message)``.

        The type of the reply, unless it is None, must be registered at the caller.
        """
        self.register(message_type)
        self._handler_by_type_name[message_type.__name__] = handler

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen at the instance's peer address and serve until cancelled."""
        host, _, port = self._instance.peer_address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            address = listeners[0].socket.getsockname()
            nursery.start_soon(self._serve, listeners)
            task_status.started(f"{address[0]}:{address[1]}")

    async def _serve(self, listeners) -> None:
        await serve(self._accept, listeners=listeners, **self._options)

    async def _accept(self, websocket: Connection) -> None:
        peer = None
        try:
            with trio.move_on_after(OPEN_TIMEOUT_S):
                peer = await greet_as_server(
                    websocket,
                    self._instance.name,
                    self._incarnation,
                    self._secret,
                    self._newest_incarnation,
                )
        except ConnectionClosed:
            return
        if isinstance(peer, Identity):
            await self._run_link(peer, websocket)

    def open_link(self, peer: InstanceInfo) -> None:
        """Connect to a peer in the background; the observer hears how it went."""
        self._nursery.start_soon(self._connect, peer)

    async def _connect(self, peer: InstanceInfo) -> None:
        number = next(self._connection_numbers)
        own = Identity(
            self._instance.name,
            self._incarnation,
            f"{self._instance.name}/{self._incarnation}/{number}",
        )
        uri = f"ws://{peer.peer_address}/"
        is_connected = False
        is_refused = False
        try:
            async with connect(uri, proxy=None, **self._options) as websocket:
                answer = None
                with trio.move_on_after(OPEN_TIMEOUT_S):
                    answer = await greet_as_client(
                        websocket, own, peer.name, self._secret
                    )
                if isinstance(answer, Superseded):
                    self._observer.newer_incarnation_found(answer.incarnation)
                elif isinstance(answer, Identity):
                    is_connected = True
                    await self._run_link(answer, websocket)
        except (OSError, WebSocketException, EOFError) as error:
            is_refused = _is_refused(error)
        if not is_connected:
            self._observer.link_failed(peer.name, is_refused)

    async def _run_link(self, peer: Identity, websocket: Connection) -> None:
        link = PeerLink(peer, websocket, self._queue_frames)
        if peer.incarnation < self._newest_incarnation(peer.name):
            return
        if peer.connection_id in self._link_by_connection:
            return
        self._incarnation_by_name[peer.name] = peer.incarnation
        self._link_by_connection[peer.connection_id] = link
        self._newest_link_by_peer[peer.name] = link
        self._observer.link_opened(peer.name, peer.connection_id)
        try:
            await link.run(lambda frame: self._receive(link, frame))
        finally:
            self._drop(link)

    def _newest_incarnation(self, name: str) -> int:
        known = self._incarnation_by_name.get(name, 0)
        return max(known, self._observer.incarnation_of(name))

    def _drop(self, link: PeerLink) -> None:
        del self._link_by_connection[link.peer.connection_id]
        if self._newest_link_by_peer.get(link.peer.name) is link:
            del self._newest_link_by_peer[link.peer.name]
        for pending in self._pending_by_call_id.values():
            if pending.link is link:
                pending.done.set()
        self._relay.drop_link(link)
        self._observer.link_closed(link.peer.name, link.peer.connection_id)

    def close_link(self, connection_id: str) -> None:
        """Close a connection if it is open."""
        link = self._link_by_connection.get(connection_id)
        if link is not None:
            link.close()

    def send_heartbeat(self, connection_id: str, heartbeat: Heartbeat) -> None:
        """Send a heartbeat; a connection that cannot take it is closed.

        Heartbeats carry changes alone, so none may be left out.
        """
        link = self._link_by_connection.get(connection_id)
        if link is not None and link.offer(heartbeat) is None:
            link.close()

    async def call(
        self, instance: str, message: object, *, deadline_ms: int
    ) -> object | Unreachable:
        """Send a message and return the peer's reply.

        ``deadline_ms`` is on this process's monotonic clock (`trio.current_time`).
        ``Unreachable.may_have_applied`` is False if the message provably was not
        handled.
        """
        data = encode(message)
        if len(data) > self._max_frame_bytes // 2:
            return Unreachable("message too large", may_have_applied=False)
        if trio.current_time() * 1000 >= deadline_ms:
            return Unreachable("deadline passed", may_have_applied=False)
        call_id = next(self._call_ids)
        link, outgoing = self._offer(instance, EnvelopeKind.CALL, call_id, data)
        if outgoing is None:
            return Unreachable("no connection takes it", may_have_applied=False)
        pending = _PendingCall(link, outgoing)
        self._pending_by_call_id[call_id] = pending
        try:
            with trio.move_on_at(deadline_ms / 1000):
                await pending.done.wait()
        finally:
            del self._pending_by_call_id[call_id]
            outgoing.is_withdrawn = True
        if pending.answer is None:
            return Unreachable("no answer", may_have_applied=outgoing.has_left)
        return self._result(pending.answer)

    def notify(self, instance: str, message: object) -> bool:
        """Send a message that needs no reply; False if no connection takes it."""
        _, outgoing = self._offer(instance, EnvelopeKind.NOTIFY, 0, encode(message))
        return outgoing is not None

    def _offer(
        self, instance: str, kind: EnvelopeKind, call_id: int, data: bytes
    ) -> tuple[PeerLink | None, Outgoing | None]:
        link = self._link_towards(instance)
        if link is None:
            return None, None
        envelope = Envelope(
            kind, call_id, self._instance.name, self._incarnation, instance, data
        )
        return link, link.offer(envelope)

    def _link_towards(self, instance: str) -> PeerLink | None:
        link = self._newest_link_by_peer.get(instance)
        if link is not None:
            return link
        through = self._observer.route_to(instance)
        return None if through is None else self._newest_link_by_peer.get(through)

    def _result(self, answer: Envelope) -> object | Unreachable:
        if answer.kind is EnvelopeKind.FAILED:
            return Unreachable(answer.detail, answer.may_have_applied)
        if not answer.body:
            return None
        reply = decode(answer.body, self._types_by_name)
        if isinstance(reply, Undecodable):
            return Unreachable(reply.detail)
        return reply

    def _receive(self, link: PeerLink, frame: Frame) -> None:
        if isinstance(frame, Heartbeat):
            if frame.sender == link.peer.name:
                self._observer.heartbeat_received(link.peer.connection_id, frame)
        elif isinstance(frame, Envelope):
            self._receive_envelope(link, frame)

    def _receive_envelope(self, link: PeerLink, envelope: Envelope) -> None:
        is_answer = envelope.kind in (EnvelopeKind.REPLY, EnvelopeKind.FAILED)
        if is_answer and envelope.to == self._instance.name:
            self._take_answer(envelope)
        elif is_answer:
            self._relay.return_answer(envelope)
        elif envelope.to == self._instance.name:
            self._take_message(link, envelope)
        else:
            onward = self._link_towards(envelope.to)
            if not self._relay.pass_on(envelope, link, onward):
                self._refuse(link, envelope, "no way onward")

    def _take_answer(self, envelope: Envelope) -> None:
        pending = self._pending_by_call_id.get(envelope.call_id)
        if pending is not None and envelope.incarnation == self._incarnation:
            pending.answer = envelope
            pending.done.set()

    def _take_message(self, link: PeerLink, envelope: Envelope) -> None:
        if envelope.incarnation < self._newest_incarnation(envelope.sender):
            self._refuse(link, envelope, "an older incarnation")
            return
        self._incarnation_by_name[envelope.sender] = envelope.incarnation
        message = decode(envelope.body, self._types_by_name)
        handler = self._handler_by_type_name.get(type(message).__name__)
        if handler is None:
            self._refuse(link, envelope, "no handler for the message")
        elif self._handlers_running >= HANDLERS_MAX:
            self._refuse(link, envelope, "too many messages at once")
        else:
            self._handlers_running += 1
            self._nursery.start_soon(self._answer, link, envelope, handler, message)

    async def _answer(self, link, envelope: Envelope, handler, message) -> None:
        try:
            reply = await handler(envelope.sender, message)
        finally:
            self._handlers_running -= 1
        if envelope.kind is EnvelopeKind.NOTIFY:
            return
        body = b"" if reply is None else encode(reply)
        if len(body) > self._max_frame_bytes // 2:
            self._fail(link, envelope, "reply too large", may_have_applied=True)
            return
        link.offer(answer_to(envelope, EnvelopeKind.REPLY, body=body))

    def _refuse(self, link: PeerLink, envelope: Envelope, detail: str) -> None:
        self._fail(link, envelope, detail, may_have_applied=False)

    def _fail(
        self, link: PeerLink, envelope: Envelope, detail: str, *, may_have_applied: bool
    ) -> None:
        if envelope.kind is EnvelopeKind.CALL:
            link.offer(
                answer_to(
                    envelope,
                    EnvelopeKind.FAILED,
                    detail=detail,
                    may_have_applied=may_have_applied,
                )
            )


def _is_refused(error: Exception) -> bool:
    """Whether trio's error of connecting to one address is a refusal by its host."""
    cause = error.__cause__
    if isinstance(cause, ExceptionGroup):
        return all(isinstance(e, ConnectionRefusedError) for e in cause.exceptions)
    return isinstance(cause or error, ConnectionRefusedError)
