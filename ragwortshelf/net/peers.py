"""Websocket connections to the other instances, and calls between them."""

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
    authenticate_as_client,
    authenticate_as_server,
)
from .peer_link import OutgoingFrame, PeerLink
from .peer_observer import LinkObserver
from .peer_relay import RelayTable, make_answer

__all__ = ["PeerNetwork"]

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_QUEUED_FRAMES = 512
MAX_RUNNING_HANDLERS = 512
OPEN_TIMEOUT_S = 2.5
PING_INTERVAL_S = 5.0
PING_TIMEOUT_S = 5.0
CLOSE_TIMEOUT_S = 1.0

# Passed to websockets, whose messages below CRITICAL are dropped.
_LIBRARY_LOGGER = logging.getLogger("ragwortshelf.peers")
_LIBRARY_LOGGER.setLevel(logging.CRITICAL)


@dataclass(eq=False, slots=True)
class _PendingCall:
    """A call of this instance that waits for its answer."""

    link: PeerLink
    outgoing: OutgoingFrame
    ended: trio.Event = field(default_factory=trio.Event)
    answer: Envelope | None = None


class PeerNetwork(Peers):
    """The connections of one instance, opened and closed as its membership requires.

    ``secret`` is shared by all instances. A connection is closed when it receives a
    frame that is undecodable or larger than ``max_frame_bytes``, or when its peer does
    not answer pings. Handlers must not raise.
    """

    def __init__(
        self,
        instance: InstanceInfo,
        incarnation: int,
        secret: bytes,
        *,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        queue_frames: int = MAX_QUEUED_FRAMES,
        ping_interval_s: float = PING_INTERVAL_S,
        ping_timeout_s: float = PING_TIMEOUT_S,
    ):
        if not secret:
            raise ValueError("the secret must not be empty")
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
        self._type_by_name: dict[str, type] = {}
        self._link_by_connection: dict[str, PeerLink] = {}
        self._newest_link_by_peer: dict[str, PeerLink] = {}
        self._incarnation_by_name: dict[str, int] = {}
        self._pending_by_call_id: dict[int, _PendingCall] = {}
        self._relay = RelayTable()
        self._running_handlers = 0
        self._call_ids = itertools.count(1)
        self._connection_numbers = itertools.count(1)

    @property
    def links(self) -> tuple[PeerLink, ...]:
        """All open connections."""
        return tuple(self._link_by_connection.values())

    def observe(self, observer: LinkObserver) -> None:
        """Report connections and heartbeats to ``observer``, and use its routes."""
        self._observer = observer

    def register(self, *message_types: type) -> None:
        """Register types of messages that may be received as replies."""
        for message_type in message_types:
            self._type_by_name[message_type.__name__] = message_type

    def handle(
        self,
        message_type: type,
        handler: Callable[[str, object], Awaitable[object]],
    ) -> None:
        """Answer messages of a type with the result of ``handler(sender, message)``.

        Unless the reply is None, its type must be registered at the caller.
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
                peer = await authenticate_as_server(
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
        """Connect to a peer in the background; the observer is told the outcome."""
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
                    answer = await authenticate_as_client(
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
            await link.run(lambda frame: self._handle_frame(link, frame))
        finally:
            self._remove_link(link)

    def _newest_incarnation(self, name: str) -> int:
        known_incarnation = self._incarnation_by_name.get(name, 0)
        return max(known_incarnation, self._observer.incarnation_of(name))

    def _remove_link(self, link: PeerLink) -> None:
        del self._link_by_connection[link.peer.connection_id]
        if self._newest_link_by_peer.get(link.peer.name) is link:
            del self._newest_link_by_peer[link.peer.name]
        for pending in self._pending_by_call_id.values():
            if pending.link is link:
                pending.ended.set()
        self._relay.remove_link(link)
        self._observer.link_closed(link.peer.name, link.peer.connection_id)

    def close_link(self, connection_id: str) -> None:
        """Close a connection; an unknown id is ignored."""
        link = self._link_by_connection.get(connection_id)
        if link is not None:
            link.close()

    def send_heartbeat(self, connection_id: str, heartbeat: Heartbeat) -> None:
        """Send a heartbeat; if the queue of the connection is full, close it.

        Heartbeats hold only changes since the previous one, so none may be skipped.
        """
        link = self._link_by_connection.get(connection_id)
        if link is not None and link.enqueue(heartbeat) is None:
            link.close()

    async def call(
        self, instance: str, message: object, *, deadline_ms: int
    ) -> object | Unreachable:
        """Send a message and return the peer's reply.

        ``deadline_ms`` is on this process's monotonic clock (`trio.current_time`), in
        milliseconds. ``Unreachable.may_have_applied`` is False if the message was
        certainly not handled.
        """
        data = encode(message)
        if len(data) > self._max_frame_bytes // 2:
            return Unreachable("message too large", may_have_applied=False)
        if trio.current_time() * 1000 >= deadline_ms:
            return Unreachable("deadline passed", may_have_applied=False)
        call_id = next(self._call_ids)
        link, outgoing = self._enqueue(instance, EnvelopeKind.CALL, call_id, data)
        if outgoing is None:
            return Unreachable("no connection takes it", may_have_applied=False)
        pending = _PendingCall(link, outgoing)
        self._pending_by_call_id[call_id] = pending
        try:
            with trio.move_on_at(deadline_ms / 1000):
                await pending.ended.wait()
        finally:
            del self._pending_by_call_id[call_id]
            outgoing.is_cancelled = True
        if pending.answer is None:
            return Unreachable("no answer", may_have_applied=outgoing.has_send_started)
        return self._decode_answer(pending.answer)

    def notify(self, instance: str, message: object) -> bool:
        """Send a message without a reply; False if no connection accepted it."""
        _, outgoing = self._enqueue(instance, EnvelopeKind.NOTIFY, 0, encode(message))
        return outgoing is not None

    def _enqueue(
        self, instance: str, kind: EnvelopeKind, call_id: int, data: bytes
    ) -> tuple[PeerLink | None, OutgoingFrame | None]:
        link = self._link_for(instance)
        if link is None:
            return None, None
        envelope = Envelope(
            kind, call_id, self._instance.name, self._incarnation, instance, data
        )
        return link, link.enqueue(envelope)

    def _link_for(self, instance: str) -> PeerLink | None:
        """Return the link to an instance, or to the peer that forwards to it."""
        link = self._newest_link_by_peer.get(instance)
        if link is not None:
            return link
        next_hop = self._observer.route_to(instance)
        return None if next_hop is None else self._newest_link_by_peer.get(next_hop)

    def _decode_answer(self, answer: Envelope) -> object | Unreachable:
        if answer.kind is EnvelopeKind.FAILED:
            return Unreachable(answer.detail, answer.may_have_applied)
        if not answer.body:
            return None
        reply = decode(answer.body, self._type_by_name)
        if isinstance(reply, Undecodable):
            return Unreachable(reply.detail)
        return reply

    def _handle_frame(self, link: PeerLink, frame: Frame) -> None:
        if isinstance(frame, Heartbeat):
            if frame.sender == link.peer.name:
                self._observer.heartbeat_received(link.peer.connection_id, frame)
        elif isinstance(frame, Envelope):
            self._handle_envelope(link, frame)

    def _handle_envelope(self, link: PeerLink, envelope: Envelope) -> None:
        is_answer = envelope.kind in (EnvelopeKind.REPLY, EnvelopeKind.FAILED)
        if is_answer and envelope.to == self._instance.name:
            self._handle_answer(envelope)
        elif is_answer:
            self._relay.forward_answer(envelope)
        elif envelope.to == self._instance.name:
            self._handle_message(link, envelope)
        else:
            next_link = self._link_for(envelope.to)
            if not self._relay.forward(envelope, link, next_link):
                self._reject(link, envelope, "no way onward")

    def _handle_answer(self, envelope: Envelope) -> None:
        pending = self._pending_by_call_id.get(envelope.call_id)
        if pending is not None and envelope.incarnation == self._incarnation:
            pending.answer = envelope
            pending.ended.set()

    def _handle_message(self, link: PeerLink, envelope: Envelope) -> None:
        if envelope.incarnation < self._newest_incarnation(envelope.sender):
            self._reject(link, envelope, "an older incarnation")
            return
        self._incarnation_by_name[envelope.sender] = envelope.incarnation
        message = decode(envelope.body, self._type_by_name)
        handler = self._handler_by_type_name.get(type(message).__name__)
        if handler is None:
            self._reject(link, envelope, "no handler for the message")
        elif self._running_handlers >= MAX_RUNNING_HANDLERS:
            self._reject(link, envelope, "too many messages at once")
        else:
            self._running_handlers += 1
            self._nursery.start_soon(
                self._run_handler, link, envelope, handler, message
            )

    async def _run_handler(self, link, envelope: Envelope, handler, message) -> None:
        try:
            reply = await handler(envelope.sender, message)
        finally:
            self._running_handlers -= 1
        if envelope.kind is EnvelopeKind.NOTIFY:
            return
        body = b"" if reply is None else encode(reply)
        if len(body) > self._max_frame_bytes // 2:
            self._send_failure(link, envelope, "reply too large", may_have_applied=True)
            return
        link.enqueue(make_answer(envelope, EnvelopeKind.REPLY, body=body))

    def _reject(self, link: PeerLink, envelope: Envelope, detail: str) -> None:
        self._send_failure(link, envelope, detail, may_have_applied=False)

    def _send_failure(
        self, link: PeerLink, envelope: Envelope, detail: str, *, may_have_applied: bool
    ) -> None:
        if envelope.kind is EnvelopeKind.CALL:
            link.enqueue(
                make_answer(
                    envelope,
                    EnvelopeKind.FAILED,
                    detail=detail,
                    may_have_applied=may_have_applied,
                )
            )


def _is_refused(error: Exception) -> bool:
    """Whether an error of `connect` means that the host refused the connection.

    trio wraps the errors of its attempts in an ``OSError``.
    """
    cause = error.__cause__
    if isinstance(cause, ExceptionGroup):
        return all(isinstance(e, ConnectionRefusedError) for e in cause.exceptions)
    return isinstance(cause or error, ConnectionRefusedError)
