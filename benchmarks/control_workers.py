"""Network traffic and processor time of monitoring workers, from encoded messages.

For each worker the placer polls for changes, refreshes the state, renews the leases in
one message and reads usage, each at the daemon's interval. The messages are the HTTP
messages of docs/standins.md.
"""

from __future__ import annotations

import base64
import json
import time
from dataclasses import dataclass

import h11

from ragwortshelf.core.jobs.stages import RENEWAL_INTERVAL_MS
from ragwortshelf.core.model import JobSpec
from ragwortshelf.core.streams.codec import encode
from ragwortshelf.daemon.placer import (
    CHANGE_POLL_WAIT_MS,
    REFRESH_INTERVAL_MS,
    USAGE_INTERVAL_MS,
)

from .control_sharing import Size

__all__ = ["PACKET_BYTES", "WorkerCost", "worker_cost"]

PACKET_BYTES = 52
"""IP and TCP headers of each message."""

REPETITIONS = 200


@dataclass(frozen=True, slots=True)
class WorkerCost:
    """Cost of one worker for its placer, with the bytes sent and received."""

    bytes_per_s: float
    cpu_s_per_s: float


def worker_cost(size: Size) -> WorkerCost:
    """Return the cost of a worker that has ``size.leases_per_worker`` leases."""
    total_bytes = 0.0
    total_cpu_s = 0.0
    for method, target, body, answer, interval_ms in _exchanges(size):
        byte_count, cpu_s = _exchange(method, target, body, answer)
        total_bytes += byte_count * 1000 / interval_ms
        total_cpu_s += cpu_s * 1000 / interval_ms
    return WorkerCost(total_bytes, total_cpu_s)


def _exchanges(size: Size):
    leases = [_lease(index) for index in range(size.leases_per_worker)]
    ids = [f"{lease['job_id']}:1:worker-100" for lease in leases]
    state = {
        "worker": "worker-100",
        "boot_id": "b" * 32,
        "data_centre": "dc1",
        "rack": "rack-10",
        "accelerators": 8,
        "cores": 32,
        "memory_bytes": 64 << 30,
        "leases": leases,
    }
    renewed = {"renewed": ids, "lost": [], "boot_id": "b" * 32}
    usage = {"reports": [], "cursor": 100_000}
    version = {"version": "b" * 12 + ".1000"}
    changes = f"/changes?version={version['version']}&wait_ms={CHANGE_POLL_WAIT_MS}"
    yield "GET", changes, None, version, CHANGE_POLL_WAIT_MS
    yield "GET", "/state", None, state, REFRESH_INTERVAL_MS
    yield (
        "POST",
        "/renewals",
        {"lease_ids": ids, "ttl_ms": 15_000},
        renewed,
        RENEWAL_INTERVAL_MS,
    )
    yield "GET", "/usage?cursor=100000&limit=1000", None, usage, USAGE_INTERVAL_MS


def _lease(index: int) -> dict:
    spec = JobSpec(f"job-{index:032d}", "organisation-100", "dc1", 8, tasks=8)
    return {
        "job_id": spec.job_id,
        "attempt": 1,
        "holder": "instance-1/1800000000000",
        "accelerators": [index],
        "remaining_ms": 12_000,
        "label": base64.b64encode(encode(spec)).decode(),
        "task_state": "running",
        "has_started": True,
        "checkpoint": 3,
        "is_live": True,
    }


def _exchange(method, target, body, answer) -> tuple[int, float]:
    """Return the bytes sent and received, and the client's processor seconds."""
    payload = json.dumps(answer).encode()
    response = (
        b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
        b"content-length: %d\r\n\r\n" % len(payload)
    ) + payload
    connection = h11.Connection(h11.CLIENT)
    sent = 0
    started_s = time.process_time()
    for _ in range(REPETITIONS):
        data = b"" if body is None else json.dumps(body).encode()
        headers = [("host", "10.0.1.100:8000"), ("content-length", str(len(data)))]
        request = connection.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        if data:
            request += connection.send(h11.Data(data=data))
        request += connection.send(h11.EndOfMessage())
        sent = len(request)
        _read_response(connection, response)
        connection.start_next_cycle()
    cpu_s = (time.process_time() - started_s) / REPETITIONS
    return sent + len(response) + 2 * PACKET_BYTES, cpu_s


def _read_response(connection: h11.Connection, response: bytes) -> object:
    connection.receive_data(response)
    parts = []
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return json.loads(b"".join(parts))
