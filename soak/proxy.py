"""A loopback proxy that delays, resets, silences or cuts connections one way."""

from __future__ import annotations

import enum
import socket
import struct

import trio

__all__ = ["Proxy", "ProxyMode"]

DELAY_S = 0.25
"""One-way delay of a slow link, some 60 times the usual answer of the store."""


class ProxyMode(enum.Enum):
    """What happens to what passes."""

    OPEN = "open"
    SLOW = "slow"
    SILENT = "silent"
    RESET = "reset"
    LOSE_ANSWERS = "lose_answers"


class Proxy:
    """Forwards to ``target``; ``mode`` may change at any time."""

    def __init__(self, target: tuple[str, int]):
        self._target = target
        self.mode = ProxyMode.OPEN
        self._streams: set[trio.SocketStream] = set()

    async def serve(self, listeners) -> None:
        """Forward connections until cancelled."""
        await trio.serve_listeners(self._forward, listeners)

    def reset_all(self) -> None:
        """Reset every open connection."""
        for stream in list(self._streams):
            linger = struct.pack("ii", 1, 0)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.socket.close()

    async def _forward(self, client: trio.SocketStream) -> None:
        if self.mode is ProxyMode.RESET:
            return
        try:
            server = await trio.open_tcp_stream(*self._target)
        except OSError:
            return
        pair = {client, server}
        self._streams |= pair
        try:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._pump, client, server, False, scope)
                nursery.start_soon(self._pump, server, client, True, scope)
        finally:
            self._streams -= pair
            for stream in pair:
                await trio.aclose_forcefully(stream)

    async def _pump(self, source, sink, is_answer: bool, scope) -> None:
        try:
            while True:
                data = await source.receive_some(65536)
                if not data:
                    break
                if self.mode is ProxyMode.SLOW:
                    await trio.sleep(DELAY_S)
                if self._drops(is_answer):
                    # A connection that has lost bytes returns nothing further.
                    await trio.sleep_forever()
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        scope.cancel()

    def _drops(self, is_answer: bool) -> bool:
        if self.mode is ProxyMode.SILENT:
            return True
        return is_answer and self.mode is ProxyMode.LOSE_ANSWERS
