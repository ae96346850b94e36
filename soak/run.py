"""Puts the parts together for one seed, and judges the run."""

from __future__ import annotations

import json
import random
import signal
from dataclasses import dataclass
from pathlib import Path

import trio

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.fleet import EndpointInfo
from ragwortshelf.net.http_server import HttpServer
from ragwortshelf.standins.platform_endpoint import EndpointState

from .callers import KEY, PREFIX, Callers
from .checks import check
from .faults import FaultSeries
from .instances import ProcessSet
from .platform_server import EndpointServer, StoreServer
from .proxy import Proxy

__all__ = ["Verdict", "run_soak"]

SETTLE_S = 25.0
"""Time after the last fault in which every accepted job must end: the longest leases of
an endpoint that a successor could not reach, and the work itself."""

START_S = 2.0

CLOCK_RATE_MIN = 0.98
CLOCK_OFFSET_MAX_MS = 10**9
"""Clocks of endpoints start anywhere and may be 2% slow, by the platform's pages."""

NETWORKS = 250
GUARD_PORT = 8520
READY_PORT = 8523
CALLER_PORT = 8521


@dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of one seed."""

    seed: int
    jobs: int
    accepted: int
    runs: int
    faults: tuple[str, ...]
    injected: tuple[str, ...]


async def run_soak(
    seed: int, seconds: float, instances: int, endpoints: int, directory: Path
) -> Verdict:
    """Run one seed and return what was seen."""
    async with trio.open_nursery() as nursery:
        store = StoreServer()
        store_address = await _serve(nursery, store.handle)
        servers, links = await _open_endpoints(nursery, store, endpoints, seed)
        network = await _claim_network(nursery)
        ips = [f"127.{network}.{n // 200}.{n % 200 + 1}" for n in range(instances)]
        store.topic("keyed.op").append([("config", _configuration(ips))])
        processes = ProcessSet(directory)
        proxies, addresses = [], []
        for number, ip in enumerate(ips):
            proxy = Proxy(store_address)
            proxies.append(proxy)
            proxy_address = await _listen(nursery, proxy.serve)
            addresses.append(f"{ip}:{CALLER_PORT}")
            name = f"i{number}"
            processes.add(name, _settings(name, ip, proxy_address))
            processes.start(name)
        try:
            series = FaultSeries(seed, processes, proxies, servers, links, store)
            verdict = await _play(seed, seconds, processes, series, servers, addresses)
        finally:
            processes.end_all()
        nursery.cancel_scope.cancel()
    return verdict


async def _play(seed, seconds, processes, series, servers, addresses) -> Verdict:
    callers = Callers(addresses, seed)
    await trio.sleep(START_S)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run)
        await series.run(seconds)
        callers.is_stopping = True
    for name in processes.names:
        processes.signal(name, signal.SIGCONT)
        processes.start(name)
    final = await _final_states(callers)
    states = [server.state for server in servers]
    faults = check(callers.job_by_id, states, final)
    faults += _process_faults(processes)
    accepted = sum(job.is_accepted for job in callers.job_by_id.values())
    runs = sum(len(state.history) for state in states)
    return Verdict(
        seed, len(callers.job_by_id), accepted, runs, tuple(faults), tuple(series.log)
    )


async def _final_states(callers: Callers) -> dict[str, str]:
    """Ask for each accepted job until it has ended, or the time is over."""
    final: dict[str, str] = {}
    open_ids = {job.id for job in callers.job_by_id.values() if job.is_accepted}
    with trio.move_on_after(SETTLE_S):
        while open_ids:
            for job_id in sorted(open_ids):
                status, state = await callers.state(job_id)
                final[job_id] = state or str(status)
                if state in ("completed", "failed", "cancelled"):
                    open_ids.discard(job_id)
            await trio.sleep(0.3)
    return final


def _process_faults(processes: ProcessSet) -> list[str]:
    expected = {None, 0, -signal.SIGKILL}
    return [
        f"{name}: exit status {status}"
        for name, status in processes.exit_statuses().items()
        if status not in expected
    ]


async def _open_endpoints(nursery, store, count: int, seed: int):
    """Return the endpoints' servers, and the proxies through which they are called."""
    servers, links = [], []
    for number in range(count):
        lengths = random.Random(f"{seed}/{number}")
        info = EndpointInfo(f"e{number}", "pool", "", "a", Resources(8000, 8000, 8))
        state = EndpointState(
            info,
            _work(lengths),
            clock_rate=lengths.uniform(CLOCK_RATE_MIN, 1.0),
            clock_offset_ms=lengths.randrange(CLOCK_OFFSET_MAX_MS),
        )
        server = EndpointServer(state)
        link = Proxy(await _serve(nursery, server.handle))
        host, port = await _listen(nursery, link.serve)
        report = {
            "service": "pool",
            "address": f"{host}:{port}",
            "zone": "a",
            "state": "ready",
            "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 8},
            "labels": ["a", f"r{number // 4}"],
        }
        store.topic("keyed.servers").append([(info.id, json.dumps(report).encode())])
        servers.append(server)
        links.append(link)
    return servers, links


def _work(lengths: random.Random):
    length_by_task: dict[str, int] = {}

    def work_ms(task: str) -> int:
        # Tasks of one gang have to end together.
        return length_by_task.setdefault(task.split(".")[0], lengths.randint(200, 1500))

    return work_ms


async def _claim_network(nursery) -> int:
    """Take addresses that no other run on this machine has, for as long as we run."""
    for network in range(2, 2 + NETWORKS):
        try:
            guards = await trio.open_tcp_listeners(
                GUARD_PORT, host=f"127.{network}.255.254"
            )
        except OSError:
            continue
        nursery.start_soon(trio.serve_listeners, _refuse, guards)
        return network
    raise RuntimeError("no free network on the loopback range")


async def _refuse(stream: trio.SocketStream) -> None:
    await stream.aclose()


async def _serve(nursery, handler) -> tuple[str, int]:
    return await _listen(nursery, HttpServer(handler).serve)


async def _listen(nursery, serve) -> tuple[str, int]:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(serve, listeners)
    return listeners[0].socket.getsockname()[:2]


def _configuration(hosts: list[str]) -> bytes:
    # Callers name the instance that they call as the host.
    routes = [
        {
            "name": "jobs",
            "host": host,
            "path_prefix": PREFIX,
            "service": "pool",
            "priority": 1,
            "max_attempts": 4,
        }
        for host in hosts
    ]
    tenant = {"name": "org", "api_keys": [KEY], "guaranteed": {"gpu": 8}}
    service = {"name": "pool", "admission_control": True}
    fields = {"version": 1, "routes": routes, "services": [service]}
    return json.dumps(fields | {"tenants": [tenant]}).encode()


def _settings(name: str, ip: str, store: tuple[str, int]) -> dict:
    return {
        "node_name": name,
        "ip": ip,
        "zone": "a",
        "bind_addresses": {
            "frontend": f"{ip}:{CALLER_PORT}",
            "readiness": f"{ip}:{READY_PORT}",
        },
        "bounds": {"revoke_ms": 5000, "grace_s": 6, "hold_max_ms": 10000},
        "platform": {"address": f"{store[0]}:{store[1]}"},
    }
