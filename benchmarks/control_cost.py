"""Network traffic and processor time of the control plane per node, and their growth.

Instances run in virtual time with their real encoding; workers are measured by
`control_workers`. Bytes are those sent and received, including websocket, IP and TCP
headers. Processor time covers the state machine, the codec and HTTP, without sockets.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from .control_network import VirtualNetwork, instances
from .control_requests import requests_cost
from .control_sharing import SIZES, Size, publish_revision
from .control_workers import PACKET_BYTES, worker_cost

__all__ = ["measure_cost"]

WARM_UP_MS = 15_000
MEASURED_MS = 20_000
FRAME_HEADER_BYTES = 8

BUDGET_BYTES_PER_S = 11_000
BUDGET_CPU_PERCENT = 4.6


@dataclasses.dataclass(frozen=True, slots=True)
class _NodeCost:
    bytes_per_s: float
    cpu_percent: float


def measure_cost(seed: int) -> Iterator[dict]:
    """Yield the cost at each size, then its slopes at the largest size."""
    for size in SIZES:
        yield from _measure_size(size, seed)
    yield from _slopes(SIZES[-1], seed)


def _measure_size(size: Size, seed: int) -> Iterator[dict]:
    peers = _peer_cost(size, seed)
    worker = worker_cost(size)
    requests = requests_cost(size, seed)
    mean_workers = size.workers / size.instances
    placer_workers = size.workers / size.data_centres
    for node_kind, workers in (("mean", mean_workers), ("placer", placer_workers)):
        bytes_by_part = {
            "membership": peers.bytes_per_s,
            "requests": requests.bytes_per_s,
            "workers": worker.bytes_per_s * workers,
        }
        cpu_by_part = {
            "membership": peers.cpu_percent,
            "requests": requests.cpu_s_per_s * 100,
            "workers": worker.cpu_s_per_s * workers * 100,
        }
        total_bytes = sum(bytes_by_part.values())
        total_cpu = sum(cpu_by_part.values())
        yield {
            "measure": "control_a_node",
            "size": size.name,
            "node": node_kind,
            "workers": round(workers, 1),
            "bytes_per_s": round(total_bytes),
            "bytes_per_s_by_part": _rounded(bytes_by_part, 0),
            "cpu_percent": round(total_cpu, 2),
            "cpu_percent_by_part": _rounded(cpu_by_part, 2),
            "is_within_bytes_budget": total_bytes <= BUDGET_BYTES_PER_S,
            "is_within_cpu_budget": total_cpu <= BUDGET_CPU_PERCENT,
        }


def _rounded(value_by_part: dict[str, float], digits: int) -> dict[str, float]:
    return {part: round(value, digits) for part, value in value_by_part.items()}


def _slopes(size: Size, seed: int) -> Iterator[dict]:
    """Yield what one more instance, and what one more worker, costs a node.

    The instances are added equally to all data centres. Organisations have no slope,
    since the traffic between instances does not depend on their number.
    """
    half = size.instances_per_data_centre // 2
    fewer = dataclasses.replace(size, instances_per_data_centre=half)
    added = size.instances - fewer.instances
    worker = worker_cost(size)
    yield _slope("instance", _peer_cost(size, seed), _peer_cost(fewer, seed), added)
    yield {
        "measure": "slope",
        "per": "worker",
        "bytes_per_s": round(worker.bytes_per_s, 1),
        "cpu_percent": round(worker.cpu_s_per_s * 100, 4),
    }


def _slope(per: str, more: _NodeCost, fewer: _NodeCost, count: int) -> dict:
    return {
        "measure": "slope",
        "per": per,
        "bytes_per_s": round((more.bytes_per_s - fewer.bytes_per_s) / count, 1),
        "cpu_percent": round((more.cpu_percent - fewer.cpu_percent) / count, 4),
    }


def _peer_cost(size: Size, seed: int) -> _NodeCost:
    """Return the mean cost of membership over all nodes."""
    network = VirtualNetwork(seed)
    network.start_all(instances(size.data_centres, size.instances_per_data_centre))
    nodes = tuple(network.node_by_name.values())
    for node in nodes:
        publish_revision(network, node)
    network.run(WARM_UP_MS)
    for node in nodes:
        node.bytes_sent = node.bytes_received = node.frames_sent = 0
        node.cpu_s = 0.0
    network.run(MEASURED_MS)
    seconds = MEASURED_MS / 1000 * len(nodes)
    frames = 2 * sum(node.frames_sent for node in nodes)
    payload = sum(node.bytes_sent + node.bytes_received for node in nodes)
    total = payload + frames * (PACKET_BYTES + FRAME_HEADER_BYTES)
    cpu_s = sum(node.cpu_s for node in nodes)
    return _NodeCost(total / seconds, cpu_s / seconds * 100)
