"""Sets up one soak run, executes it and evaluates the result."""

from __future__ import annotations

import json
import random
import signal
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import trio

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.listings import EndpointInfo
from ragwortshelf.net.http_server import HttpServer
from ragwortshelf.standins.platform_endpoint import EndpointState
from ragwortshelf.standins.policy_service import PolicyService

from .callers import Callers, is_advised
from .checks import EVACUATION_BOUND_MS, find_forbidden_starts, find_violations
from .faults import ZONES, FaultInjector
from .instances import ProcessSet
from .operator import Operator
from .platform_server import EndpointServer, PolicyServer, StoreServer
from .policy_faults import USUAL_TERMS, PolicyFaults
from .proxy import Proxy

__all__ = ["SoakResult", "run_soak"]

SETTLE_TIMEOUT_S = 25.0
"""Time after the last fault within which every accepted job must end. It covers the
longest lease on an endpoint that the successor could not reach, and the work itself."""

START_DELAY_S = 2.0

CLOCK_RATE_MIN = 0.98
CLOCK_OFFSET_MAX_MS = 10**9
"""Endpoint clocks have an arbitrary offset and may run 2% slow, by the platform's
specification."""

APPROVED_SHARE = 0.6

NETWORK_COUNT = 250
RESERVATION_PORT = 8520
READINESS_PORT = 8523
CALLER_PORT = 8521


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The outcome of one seed.

    ``violations`` has a line for each violated guarantee and each unexpected exit of a
    process. ``injected_faults`` has a line with the time of each fault, apart from
    failed tasks.
    """

    seed: int
    jobs: int
    accepted: int
    runs: int
    violations: tuple[str, ...]
    injected_faults: tuple[str, ...]


async def run_soak(
    seed: int, seconds: float, instances: int, endpoints: int, directory: Path
) -> SoakResult:
    """Start all servers and processes, run one seed and return its result."""
    async with trio.open_nursery() as nursery:
        store = StoreServer()
        store_address = await _serve(nursery, store.handle)
        servers, endpoint_proxies = await _open_endpoints(
            nursery, store, endpoints, seed
        )
        network = await _reserve_loopback_network(nursery)
        ips = [f"127.{network}.{n // 200}.{n % 200 + 1}" for n in range(instances)]
        policy_server = _open_policy(seed, servers)
        operator = Operator(store, ips)
        operator.configure(policy_server.policy.terms)
        processes = ProcessSet(directory)
        store_proxies, policy_proxies, addresses = [], [], []
        for number, ip in enumerate(ips):
            proxy = Proxy(store_address)
            store_proxies.append(proxy)
            proxy_address = await _listen(nursery, proxy.serve)
            addresses.append(f"{ip}:{CALLER_PORT}")
            name = f"i{number}"
            advice_proxy = Proxy(
                await _serve(nursery, partial(policy_server.handle, name))
            )
            policy_proxies.append(advice_proxy)
            advice_address = await _listen(nursery, advice_proxy.serve)
            settings = _settings(name, ip, proxy_address, advice_address)
            processes.add(name, settings)
            processes.start(name)
        try:
            injector = FaultInjector(
                seed, processes, store_proxies, servers, endpoint_proxies, store
            )
            policy_faults = PolicyFaults(
                seed, policy_server.policy, policy_proxies, operator, injector.log
            )
            result = await _run_load_and_faults(
                seed, seconds, processes, injector, policy_faults, servers, addresses
            )
        finally:
            processes.kill_all()
        nursery.cancel_scope.cancel()
    return result


async def _run_load_and_faults(
    seed, seconds, processes, injector, policy_faults, servers, addresses
) -> SoakResult:
    callers = Callers(addresses, seed)
    await trio.sleep(START_DELAY_S)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run)
        nursery.start_soon(policy_faults.run, seconds)
        await injector.run(seconds)
        callers.is_stopping = True
    for name in processes.names:
        processes.signal(name, signal.SIGCONT)
        processes.start(name)
    final_state_by_id = await _wait_for_final_states(callers)
    states = [server.state for server in servers]
    violations = find_violations(callers.job_by_id, states, final_state_by_id)
    violations += find_forbidden_starts(states, injector.evacuations)
    violations += _unexpected_exits(processes)
    violations += [line for server in servers for line in server.overfilled]
    accepted = sum(job.is_accepted for job in callers.job_by_id.values())
    runs = sum(len(state.history) for state in states)
    return SoakResult(
        seed,
        len(callers.job_by_id),
        accepted,
        runs,
        tuple(violations),
        tuple(injector.log),
    )


async def _wait_for_final_states(callers: Callers) -> dict[str, str]:
    """Poll each accepted job until it has ended, for at most `SETTLE_TIMEOUT_S`."""
    state_by_id: dict[str, str] = {}
    open_ids = {job.id for job in callers.job_by_id.values() if job.is_accepted}
    with trio.move_on_after(SETTLE_TIMEOUT_S):
        while open_ids:
            for job_id in sorted(open_ids):
                status, state = await callers.state(job_id)
                state_by_id[job_id] = state or str(status)
                if state in ("completed", "failed", "cancelled"):
                    open_ids.discard(job_id)
            await trio.sleep(0.3)
    return state_by_id


def _unexpected_exits(processes: ProcessSet) -> list[str]:
    expected = {None, 0, -signal.SIGKILL}
    return [
        f"{name}: exit status {status}"
        for name, status in processes.exit_statuses().items()
        if status not in expected
    ]


async def _open_endpoints(nursery, store, count: int, seed: int):
    """Start the endpoints; return their servers and the proxies in front of them."""
    servers, endpoint_proxies = [], []
    for number in range(count):
        rng = random.Random(f"{seed}/{number}")
        zone = ZONES[number % len(ZONES)]
        info = EndpointInfo(f"e{number}", "pool", "", zone, Resources(8000, 8000, 8))
        state = EndpointState(
            info,
            _run_time_function(rng),
            clock_rate=rng.uniform(CLOCK_RATE_MIN, 1.0),
            clock_offset_ms=rng.randrange(CLOCK_OFFSET_MAX_MS),
        )
        server = EndpointServer(state)
        endpoint_proxy = Proxy(await _serve(nursery, server.handle))
        server.on_crash = endpoint_proxy.reset_all
        host, port = await _listen(nursery, endpoint_proxy.serve)
        report = {
            "service": "pool",
            "address": f"{host}:{port}",
            "zone": zone,
            "state": "ready",
            "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 8},
            "labels": ["a", f"r{number // 4}"],
        }
        store.topic("keyed.servers").append([(info.id, json.dumps(report).encode())])
        servers.append(server)
        endpoint_proxies.append(endpoint_proxy)
    return servers, endpoint_proxies


def _run_time_function(rng: random.Random):
    run_ms_by_job: dict[str, int] = {}

    def run_ms(task: str) -> int:
        # All tasks of a job get the same run time: those of a gang must end together.
        return run_ms_by_job.setdefault(task.split(".")[0], rng.randint(200, 1500))

    return run_ms


async def _reserve_loopback_network(nursery) -> int:
    """Return the second number of a loopback network that no other run uses.

    A listener on one of its addresses reserves it until the nursery ends.
    """
    for network in range(2, 2 + NETWORK_COUNT):
        try:
            listeners = await trio.open_tcp_listeners(
                RESERVATION_PORT, host=f"127.{network}.255.254"
            )
        except OSError:
            continue
        nursery.start_soon(trio.serve_listeners, _refuse, listeners)
        return network
    raise RuntimeError("all loopback networks are in use")


async def _refuse(stream: trio.SocketStream) -> None:
    await stream.aclose()


async def _serve(nursery, handler) -> tuple[str, int]:
    return await _listen(nursery, HttpServer(handler).serve)


async def _listen(nursery, serve) -> tuple[str, int]:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(serve, listeners)
    return listeners[0].socket.getsockname()[:2]


def _open_policy(seed: int, servers: list[EndpointServer]) -> PolicyServer:
    """Return a policy service that denies some endpoints, and have them heed it."""
    state_by_id = {server.state.info.id: server.state for server in servers}

    def may_run(step: str, endpoint_id: str) -> bool:
        # One endpoint in each data centre may run every step.
        if endpoint_id in ("e0", "e1"):
            return True
        return random.Random(f"{step}/{endpoint_id}").random() < APPROVED_SHARE

    policy = PolicyService(
        USUAL_TERMS[seed % len(USUAL_TERMS)],
        lambda endpoint_id: state_by_id[endpoint_id].born,
        is_counted_from_question=bool(seed % 2),
        may_run=may_run,
    )
    policy_server = PolicyServer(policy, is_advised)
    for server in servers:
        endpoint_id = server.state.info.id
        server.takes_ticket = partial(policy_server.takes, endpoint_id=endpoint_id)
    return policy_server


def _settings(
    name: str, ip: str, store: tuple[str, int], advice: tuple[str, int]
) -> dict:
    return {
        "node_name": name,
        "ip": ip,
        "zone": "a",
        "bind_addresses": {
            "frontend": f"{ip}:{CALLER_PORT}",
            "readiness": f"{ip}:{READINESS_PORT}",
        },
        "bounds": {"revoke_ms": 5000, "grace_s": 6, "hold_max_ms": 10000}
        | {"evacuation_ms": EVACUATION_BOUND_MS},
        "platform": {"address": f"{store[0]}:{store[1]}"},
        "advice": f"{advice[0]}:{advice[1]}",
    }
