"""A loopback TCP proxy that can delay, drop or reset traffic."""

from __future__ import annotations

import enum
import socket
import struct

import trio

__all__ = ["Proxy", "ProxyMode"]

SLOW_DELAY_S = 0.25
"""One-way delay in slow mode, about 60 times the store's usual response time."""


class ProxyMode(enum.Enum):
    """What the proxy does with traffic.

    ``OPEN`` forwards it and ``SLOW`` delays it. ``SILENT`` drops both directions,
    ``LOSE_ANSWERS`` only the responses. ``RESET`` closes each new connection at once.
    """

    OPEN = "open"
    SLOW = "slow"
    SILENT = "silent"
    RESET = "reset"
    LOSE_ANSWERS = "lose_answers"


class Proxy:
    """Forwards connections to ``target``; ``mode`` may be changed at any time."""

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
            if stream.socket.fileno() < 0:
                # Closed, and not yet removed by the task that forwards it.
                continue
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
                nursery.start_soon(self._copy, client, server, False, scope)
                nursery.start_soon(self._copy, server, client, True, scope)
        finally:
            self._streams -= pair
            for stream in pair:
                await trio.aclose_forcefully(stream)

    async def _copy(self, source, sink, is_response: bool, scope) -> None:
        try:
            while True:
                data = await source.receive_some(65536)
                if not data:
                    break
                if self.mode is ProxyMode.SLOW:
                    await trio.sleep(SLOW_DELAY_S)
                if self._drops(is_response):
                    # A TCP stream cannot continue after lost bytes.
                    await trio.sleep_forever()
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        scope.cancel()

    def _drops(self, is_response: bool) -> bool:
        if self.mode is ProxyMode.SILENT:
            return True
        return is_response and self.mode is ProxyMode.LOSE_ANSWERS
