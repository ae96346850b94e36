"""One connection to a peer, with a bounded queue of frames to send."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from websockets.exceptions import ConnectionClosed
from websockets.trio.connection import Connection

from ..core.streams.codec import Undecodable
from .peer_frames import Frame, decode_frame, encode
from .peer_handshake import Identity

__all__ = ["OutgoingFrame", "PeerLink"]

_CLOSE_TIMEOUT_S = 0.5


@dataclass(slots=True)
class OutgoingFrame:
    """An encoded frame in the queue of a link.

    ``has_send_started`` becomes True just before the frame is handed to the websocket.
    A frame whose ``is_cancelled`` is set before that is never sent.
    """

    data: bytes
    has_send_started: bool = False
    is_cancelled: bool = False


@dataclass(eq=False)
class PeerLink:
    """An authenticated connection to ``peer``.

    The queue holds at most ``queue_frames`` frames. ``bytes_sent`` and
    ``bytes_received`` count encoded frames, without the headers of websockets and TCP.
    """

    peer: Identity
    websocket: Connection
    queue_frames: int
    bytes_sent: int = 0
    bytes_received: int = 0
    _queue: deque[OutgoingFrame] = field(default_factory=deque)
    _frame_queued: trio.Event = field(default_factory=trio.Event)
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    _is_closed: bool = False

    def enqueue(self, frame: Frame) -> OutgoingFrame | None:
        """Queue a frame; None if the queue is full or the connection is closing."""
        if self._is_closed or len(self._queue) >= self.queue_frames:
            return None
        outgoing = OutgoingFrame(encode(frame))
        self._queue.append(outgoing)
        self._frame_queued.set()
        return outgoing

    def close(self) -> None:
        """Start to close the connection; may be called at any time."""
        self._is_closed = True
        self._scope.cancel()

    async def run(self, on_frame: Callable[[Frame], None]) -> None:
        """Send and receive until the connection ends or `close` is called."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_frames)
                await self._receive_frames(on_frame)
                nursery.cancel_scope.cancel()
        self._is_closed = True
        with trio.move_on_after(_CLOSE_TIMEOUT_S, shield=True):
            await self.websocket.aclose()

    async def _send_frames(self) -> None:
        while True:
            while self._queue:
                outgoing = self._queue.popleft()
                if outgoing.is_cancelled:
                    continue
                outgoing.has_send_started = True
                try:
                    await self.websocket.send(outgoing.data)
                except ConnectionClosed:
                    self.close()
                    return
                self.bytes_sent += len(outgoing.data)
            self._frame_queued = trio.Event()
            await self._frame_queued.wait()

    async def _receive_frames(self, on_frame: Callable[[Frame], None]) -> None:
        while True:
            try:
                data = await self.websocket.recv()
            except ConnectionClosed:
                return
            self.bytes_received += len(data)
            frame = decode_frame(data)
            if isinstance(frame, Undecodable):
                return
            on_frame(frame)
