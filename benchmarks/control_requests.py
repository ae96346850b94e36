"""Network traffic and processor time of the heartbeats of the request service.

At the daemon's interval, each instance exchanges shares with all others of its data
centre, and load reports with `REMOTE_REPORTS_PER_ROUND` instances elsewhere. Each pair
of data centres has one link, so a call to another one crosses up to three connections.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from ragwortshelf.core.requests import LoadReport, ShareHeartbeat, ShareReply
from ragwortshelf.core.streams.codec import encode
from ragwortshelf.daemon.dispatcher_heartbeats import (
    HEARTBEAT_MS,
    REMOTE_REPORTS_PER_ROUND,
)
from ragwortshelf.net.peer_frames import Envelope, EnvelopeKind, decode_frame

from .control_network import Deflate
from .control_sharing import ENDPOINTS_PER_DATA_CENTRE, Size
from .control_workers import PACKET_BYTES

__all__ = ["RequestsCost", "requests_cost"]

ROUNDS = 200
FRAME_HEADER_BYTES = 8


@dataclass(frozen=True, slots=True)
class RequestsCost:
    """Cost per node, with the bytes sent and received."""

    bytes_per_s: float
    cpu_s_per_s: float


def requests_cost(size: Size, seed: int) -> RequestsCost:
    """Return the mean cost per node of a deployment."""
    rng = random.Random(seed)
    local_peers = size.instances_per_data_centre - 1
    remote_peers = min(REMOTE_REPORTS_PER_ROUND, size.instances - local_peers - 1)
    share_bytes, share_cpu_s = _exchange(rng, _share_pair)
    load_bytes, load_cpu_s = _exchange(rng, _load_pair)
    hops = _mean_hops(size)
    rounds_per_s = 1000 / HEARTBEAT_MS
    # Every byte is sent by one node and received by another, so the mean node handles
    # twice what it sends.
    return RequestsCost(
        2
        * rounds_per_s
        * (local_peers * share_bytes + remote_peers * hops * load_bytes),
        rounds_per_s * (local_peers * share_cpu_s + remote_peers * hops * load_cpu_s),
    )


def _mean_hops(size: Size) -> float:
    link_end_probability = 1 / size.instances_per_data_centre
    return 1 + 2 * (1 - link_end_probability)


def _exchange(rng: random.Random, make_pair) -> tuple[float, float]:
    """Return the mean bytes and processor seconds of a call with its reply."""
    call_deflate = Deflate()
    reply_deflate = Deflate()
    total = 0
    started_s = time.process_time()
    for number in range(ROUNDS):
        call, reply = make_pair(rng, number)
        for deflate, kind, message in (
            (call_deflate, EnvelopeKind.CALL, call),
            (reply_deflate, EnvelopeKind.REPLY, reply),
        ):
            envelope = Envelope(
                kind, number, "dc1-1", 1_800_000_000_000, "dc1-2", encode(message)
            )
            data = deflate.compress(encode(envelope))
            decode_frame(deflate.decompress(data))
            total += len(data) + FRAME_HEADER_BYTES + PACKET_BYTES
    cpu_s = time.process_time() - started_s
    return total / ROUNDS, cpu_s / ROUNDS


def _endpoints(rng: random.Random) -> dict[str, int]:
    return {
        f"endpoint-{index}": rng.randrange(8)
        for index in range(ENDPOINTS_PER_DATA_CENTRE)
    }


def _load(rng: random.Random) -> LoadReport:
    return LoadReport(
        "dc1", rng.randrange(64), rng.randrange(100), False, _endpoints(rng)
    )


def _share_pair(rng: random.Random, number: int):
    members = ("dc1-1", "dc1-2", "dc1-3", "dc1-4")
    return (
        ShareHeartbeat(
            "dc1", 1, number, _endpoints(rng), members, True, load=_load(rng)
        ),
        ShareReply(1, number, _endpoints(rng), members, True, load=_load(rng)),
    )


def _load_pair(rng: random.Random, number: int):
    del number
    return _load(rng), _load(rng)
