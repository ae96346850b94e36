"""Random fault injection; faults may overlap and repeat."""

from __future__ import annotations

import json
import random
import signal
from collections.abc import Sequence

import trio

from .instances import ProcessSet
from .platform_server import EndpointServer, StoreServer
from .proxy import Proxy, ProxyMode

__all__ = ["ZONES", "FaultInjector"]

ZONES = ("a", "b")
"""Data centres of the endpoints, which take turns."""

EVACUATION_DURATION_S = (0.1, 10.0)
EVACUATION_GAPS_S = ((0.05, 0.4), (1.0, 15.0), (1.0, 15.0))
"""Duration of a request, which is about as often longer as shorter than its bound of
5 s, and the time until the next one, which may come back within one read of the log."""

FAULT_INTERVAL_S = (0.3, 2.0)
FAULT_DURATION_S = (0.5, 4.5)
"""Ranges of the time between the starts of two faults, and of the duration of a fault.
Outages of the platform last 4 to 5 s by its specification."""

RESTART_DELAY_S = (0.3, 1.5)


class FaultInjector:
    """Injects random faults and repairs them; failed tasks are not in ``log``."""

    def __init__(
        self,
        seed: int,
        processes: ProcessSet,
        store_proxies: Sequence[Proxy],
        endpoints: Sequence[EndpointServer],
        endpoint_proxies: Sequence[Proxy],
        store: StoreServer,
    ):
        self._seed = seed
        self._random = random.Random(seed)
        self._processes = processes
        self._store_proxies = store_proxies
        self._endpoints = endpoints
        self._endpoint_proxies = endpoint_proxies
        self._store = store
        self.log: list[str] = []
        # Data centre, request and withdrawal, in milliseconds on trio's clock.
        self.evacuations: list[tuple[str, float, float]] = []

    async def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``, and return once all are repaired."""
        faults = (
            self._kill,
            self._terminate,
            self._pause,
            self._reload,
            self._disturb_one_store_link,
            self._disturb_all_store_links,
            self._reset_store_connections,
            self._fail_task,
            self._shrink_endpoints,
            self._disturb_endpoint_links,
            self._reset_endpoint_connections,
            self._delete_history,
        )
        deadline_s = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for zone in ZONES:
                nursery.start_soon(self._evacuate, zone, deadline_s)
            while trio.current_time() < deadline_s:
                fault = self._random.choice(faults)
                nursery.start_soon(fault, self._random.uniform(*FAULT_DURATION_S))
                await trio.sleep(self._random.uniform(*FAULT_INTERVAL_S))

    def _record(self, text: str) -> None:
        self.log.append(f"{trio.current_time():.1f} {text}")

    async def _kill(self, duration_s: float) -> None:
        name = self._random.choice(self._processes.names)
        self._record(f"kill {name}")
        self._processes.signal(name, signal.SIGKILL)
        await self._restart(name)

    async def _terminate(self, duration_s: float) -> None:
        name = self._random.choice(self._processes.names)
        self._record(f"terminate {name}")
        self._processes.signal(name, signal.SIGTERM)
        with trio.move_on_after(8):
            while self._processes.is_running(name):
                await trio.sleep(0.1)
        await self._restart(name)

    async def _restart(self, name: str) -> None:
        await trio.sleep(self._random.uniform(*RESTART_DELAY_S))
        self._processes.start(name)

    async def _pause(self, duration_s: float) -> None:
        name = self._random.choice(self._processes.names)
        self._record(f"pause {name} {duration_s:.1f} s")
        self._processes.signal(name, signal.SIGSTOP)
        await trio.sleep(duration_s)
        self._processes.signal(name, signal.SIGCONT)

    async def _reload(self, duration_s: float) -> None:
        name = self._random.choice(self._processes.names)
        self._record(f"reload {name}")
        self._processes.signal(name, signal.SIGHUP)

    async def _disturb_one_store_link(self, duration_s: float) -> None:
        await self._disturb([self._random.choice(self._store_proxies)], duration_s)

    async def _disturb_all_store_links(self, duration_s: float) -> None:
        await self._disturb(self._store_proxies, duration_s)

    async def _disturb(self, proxies: Sequence[Proxy], duration_s: float) -> None:
        modes = [mode for mode in ProxyMode if mode is not ProxyMode.OPEN]
        mode = self._random.choice(modes)
        self._record(f"{mode.value} for {len(proxies)} links {duration_s:.1f} s")
        for proxy in proxies:
            proxy.mode = mode
        await trio.sleep(duration_s)
        for proxy in proxies:
            proxy.mode = ProxyMode.OPEN
            proxy.reset_all()

    async def _reset_store_connections(self, duration_s: float) -> None:
        self._record("reset all connections to the store")
        for proxy in self._store_proxies:
            proxy.reset_all()

    async def _disturb_endpoint_links(self, duration_s: float) -> None:
        # Some faults last longer than a lease, so that its tasks must start elsewhere.
        count = self._random.randint(1, max(1, len(self._endpoint_proxies) // 2))
        proxies = self._random.sample(self._endpoint_proxies, count)
        await self._disturb(proxies, duration_s * self._random.choice((1, 3)))

    async def _reset_endpoint_connections(self, duration_s: float) -> None:
        self._record("reset all connections to endpoints")
        for proxy in self._endpoint_proxies:
            proxy.reset_all()

    async def _delete_history(self, duration_s: float) -> None:
        self._record("the store deletes its history")
        for topic in self._store.topic_by_name.values():
            topic.compact()

    async def _evacuate(self, zone: str, deadline_s: float) -> None:
        """Write and delete requests for one data centre until the deadline."""
        topic = self._store.topic("keyed.op")
        # The sequence of the other faults of a seed does not depend on this one.
        rng = random.Random(f"{self._seed}/{zone}")
        while trio.current_time() < deadline_s:
            with trio.move_on_at(deadline_s):
                await trio.sleep(rng.uniform(*rng.choice(EVACUATION_GAPS_S)))
            self._record(f"evacuate {zone}")
            topic.append([(f"evacuate/{zone}", b"{}")])
            since_ms = 1000 * trio.current_time()
            with trio.move_on_at(deadline_s):
                await trio.sleep(rng.uniform(*EVACUATION_DURATION_S))
            topic.append([(f"evacuate/{zone}", b"")])
            until_ms = 1000 * trio.current_time()
            self.evacuations.append((zone, since_ms, until_ms))

    async def _shrink_endpoints(self, duration_s: float) -> None:
        count = self._random.randint(1, len(self._endpoints))
        self._record(f"{count} endpoints shrink for {duration_s:.1f} s")
        endpoints = self._random.sample(self._endpoints, count)
        for endpoint in endpoints:
            self._resize(endpoint, self._random.randint(0, 6))
        await trio.sleep(duration_s * self._random.choice((1, 3)))
        for endpoint in endpoints:
            self._resize(endpoint, endpoint.state.info.capacity.gpus)

    def _resize(self, endpoint: EndpointServer, gpus: int) -> None:
        endpoint.resize(gpus)
        topic = self._store.topic("keyed.servers")
        report = json.loads(dict(topic.newest())[endpoint.state.info.id])
        report["capacity"]["gpu"] = gpus
        topic.append([(endpoint.state.info.id, json.dumps(report).encode())])

    async def _fail_task(self, duration_s: float) -> None:
        self._random.choice(self._endpoints).fail_running_task()
