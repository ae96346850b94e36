"""A random series of faults; they overlap and repeat."""

from __future__ import annotations

import random
import signal
from collections.abc import Sequence

import trio

from .instances import ProcessSet
from .platform_server import EndpointServer, StoreServer
from .proxy import Proxy, ProxyMode

__all__ = ["FaultSeries"]

GAP_S = (0.3, 2.0)
LENGTH_S = (0.5, 4.5)
"""Ranges from which pauses and lengths are drawn; outages of the platform's pages last
4 to 5 s."""

RESTART_S = (0.3, 1.5)


class FaultSeries:
    """Injects faults until stopped, and heals what it broke."""

    def __init__(
        self,
        seed: int,
        processes: ProcessSet,
        proxies: Sequence[Proxy],
        endpoints: Sequence[EndpointServer],
        endpoint_proxies: Sequence[Proxy],
        store: StoreServer,
    ):
        self._random = random.Random(seed)
        self._processes = processes
        self._proxies = proxies
        self._endpoints = endpoints
        self._endpoint_proxies = endpoint_proxies
        self._store = store
        self.log: list[str] = []

    async def run(self, seconds: float) -> None:
        """Inject faults for so long; returns once all are healed."""
        kinds = (
            self._kill,
            self._terminate,
            self._pause,
            self._hang_up,
            self._cut_one,
            self._cut_all,
            self._reset,
            self._fail_task,
            self._cut_endpoints,
            self._reset_endpoints,
            self._forget_history,
        )
        deadline = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < deadline:
                kind = self._random.choice(kinds)
                nursery.start_soon(kind, self._random.uniform(*LENGTH_S))
                await trio.sleep(self._random.uniform(*GAP_S))

    def _note(self, text: str) -> None:
        self.log.append(f"{trio.current_time():.1f} {text}")

    async def _kill(self, length_s: float) -> None:
        name = self._random.choice(self._processes.names)
        self._note(f"kill {name}")
        self._processes.signal(name, signal.SIGKILL)
        await self._restart(name)

    async def _terminate(self, length_s: float) -> None:
        name = self._random.choice(self._processes.names)
        self._note(f"terminate {name}")
        self._processes.signal(name, signal.SIGTERM)
        with trio.move_on_after(8):
            while self._processes.is_running(name):
                await trio.sleep(0.1)
        await self._restart(name)

    async def _restart(self, name: str) -> None:
        await trio.sleep(self._random.uniform(*RESTART_S))
        self._processes.start(name)

    async def _pause(self, length_s: float) -> None:
        name = self._random.choice(self._processes.names)
        self._note(f"pause {name} {length_s:.1f} s")
        self._processes.signal(name, signal.SIGSTOP)
        await trio.sleep(length_s)
        self._processes.signal(name, signal.SIGCONT)

    async def _hang_up(self, length_s: float) -> None:
        name = self._random.choice(self._processes.names)
        self._note(f"hang up {name}")
        self._processes.signal(name, signal.SIGHUP)

    async def _cut_one(self, length_s: float) -> None:
        await self._change([self._random.choice(self._proxies)], length_s)

    async def _cut_all(self, length_s: float) -> None:
        await self._change(self._proxies, length_s)

    async def _change(self, proxies: Sequence[Proxy], length_s: float) -> None:
        modes = [mode for mode in ProxyMode if mode is not ProxyMode.OPEN]
        mode = self._random.choice(modes)
        self._note(f"{mode.value} for {len(proxies)} links {length_s:.1f} s")
        for proxy in proxies:
            proxy.mode = mode
        await trio.sleep(length_s)
        for proxy in proxies:
            proxy.mode = ProxyMode.OPEN
            proxy.reset_all()

    async def _reset(self, length_s: float) -> None:
        self._note("reset all connections to the store")
        for proxy in self._proxies:
            proxy.reset_all()

    async def _cut_endpoints(self, length_s: float) -> None:
        # Some cuts outlast a lease, so that its tasks have to start elsewhere.
        count = self._random.randint(1, max(1, len(self._endpoint_proxies) // 2))
        cut = self._random.sample(self._endpoint_proxies, count)
        await self._change(cut, length_s * self._random.choice((1, 3)))

    async def _reset_endpoints(self, length_s: float) -> None:
        self._note("reset all connections to endpoints")
        for proxy in self._endpoint_proxies:
            proxy.reset_all()

    async def _forget_history(self, length_s: float) -> None:
        self._note("the store deletes its history")
        for topic in self._store.topic_by_name.values():
            topic.compact()

    async def _fail_task(self, length_s: float) -> None:
        self._random.choice(self._endpoints).fail_one()
