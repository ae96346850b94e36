"""One connection to a peer: a bounded queue of frames to send, and frames received."""

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

__all__ = ["Outgoing", "PeerLink"]

_CLOSE_GRACE_S = 0.5


@dataclass(slots=True)
class Outgoing:
    """A frame to send.

    ``has_left`` becomes True just before the first byte is handed to the socket. A
    frame with ``is_withdrawn`` set before that is never sent.
    """

    data: bytes
    has_left: bool = False
    is_withdrawn: bool = False


@dataclass(eq=False)
class PeerLink:
    """An authenticated connection.

    ``bytes_sent`` and ``bytes_received`` count frames without the headers of
    websockets and TCP.
    """

    peer: Identity
    websocket: Connection
    queue_frames: int
    bytes_sent: int = 0
    bytes_received: int = 0
    _queue: deque[Outgoing] = field(default_factory=deque)
    _wake: trio.Event = field(default_factory=trio.Event)
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    _is_closed: bool = False

    def offer(self, frame: Frame) -> Outgoing | None:
        """Queue a frame; None if the queue is full or the connection is closing."""
        if self._is_closed or len(self._queue) >= self.queue_frames:
            return None
        outgoing = Outgoing(encode(frame))
        self._queue.append(outgoing)
        self._wake.set()
        return outgoing

    def close(self) -> None:
        """Close the connection soon; safe at any time."""
        self._is_closed = True
        self._scope.cancel()

    async def run(self, on_frame: Callable[[Frame], None]) -> None:
        """Send and receive until the connection ends or `close` is called."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write)
                await self._read(on_frame)
                nursery.cancel_scope.cancel()
        self._is_closed = True
        with trio.move_on_after(_CLOSE_GRACE_S, shield=True):
            await self.websocket.aclose()

    async def _write(self) -> None:
        while True:
            while self._queue:
                outgoing = self._queue.popleft()
                if outgoing.is_withdrawn:
                    continue
                outgoing.has_left = True
                try:
                    await self.websocket.send(outgoing.data)
                except ConnectionClosed:
                    self.close()
                    return
                self.bytes_sent += len(outgoing.data)
            self._wake = trio.Event()
            await self._wake.wait()

    async def _read(self, on_frame: Callable[[Frame], None]) -> None:
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
