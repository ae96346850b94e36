"""A link of limited bandwidth between an HTTP client and a server, in virtual time."""

import contextlib

import trio
from trio.testing import memory_stream_pair

from ragwortshelf.net.http_server import HttpServer

SEGMENT_BYTES = 8 * 1024

SLOWEST_LINK_BYTES_PER_S = 625_000
"""The slowest link of the supported deployments, 5 Mbit/s."""


class SlowLink:
    """Accepts connections like a listener and carries their answers at a fixed rate.

    All connections share the bandwidth. Requests, which are small, are not delayed.
    ``carried_bytes`` counts what clients have received, and ``opened`` lists the hosts
    that they have connected to.
    """

    def __init__(self, bytes_per_s=SLOWEST_LINK_BYTES_PER_S):
        self.bytes_per_s = bytes_per_s
        self.carried_bytes = 0
        self.opened = []
        self._free_at_s = 0.0
        self._nursery = None
        self._send, self._receive = trio.open_memory_channel(1000)

    async def open_stream(self, host, port):
        """Connect; replaces ``trio.open_tcp_stream``."""
        self.opened = [*self.opened, host]
        client, client_end = memory_stream_pair()
        server_end, server = memory_stream_pair()
        self._nursery.start_soon(self._carry, client_end, server_end, False)
        self._nursery.start_soon(self._carry, server_end, client_end, True)
        await self._send.send(server)
        return client

    async def accept(self):
        return await self._receive.receive()

    async def aclose(self):
        self._receive.close()

    @contextlib.asynccontextmanager
    async def serving(self, handler):
        """Serve with ``handler`` at the far end during the block."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(HttpServer(handler).serve, [self])
            yield
            nursery.cancel_scope.cancel()

    async def _carry(self, source, target, is_answer):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some(SEGMENT_BYTES):
                if is_answer:
                    await self._wait_for_bandwidth(len(data))
                    self.carried_bytes += len(data)
                await target.send_all(data)
            await target.send_eof()
        await trio.aclose_forcefully(source)

    async def _wait_for_bandwidth(self, size):
        start = max(self._free_at_s, trio.current_time())
        self._free_at_s = start + size / self.bytes_per_s
        await trio.sleep_until(self._free_at_s)
