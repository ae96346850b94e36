"""Processor time per node of heartbeats over real loopback sockets.

Unlike the runs in virtual time, this includes the cost of trio, websockets and the
kernel. All instances run in one process, so each frame is counted at both ends.
"""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import Iterator

import trio

from ragwortshelf.core.model import InstanceInfo
from ragwortshelf.daemon.membership import MembershipService
from ragwortshelf.net.interfaces import InstanceList, Membership
from ragwortshelf.net.peers import PeerNetwork

from .control_network import instances
from .control_sharing import SIZES, Size

__all__ = ["measure_sockets"]

WARM_UP_S = 6.0
MEASURED_S = 8.0


class _FixedList(InstanceList):
    def __init__(self):
        self.answer = Membership(1, (), (), ())

    async def fetch(self) -> Membership:
        return self.answer


def measure_sockets(seed: int) -> Iterator[dict]:
    """Yield the processor time per node for each size."""
    for size in SIZES:
        yield trio.run(_measure, size, seed)


async def _measure(size: Size, seed: int) -> dict:
    rng = random.Random(seed)
    instance_list = _FixedList()
    infos = []
    networks = []
    async with trio.open_nursery() as nursery:
        planned = instances(size.data_centres, size.instances_per_data_centre)
        for number, info in enumerate(planned):
            own, network = await _start(nursery, info)
            infos.append(own)
            networks.append(network)
            service = MembershipService(
                own, 1, instance_list, network, random.Random(seed + number)
            )
            nursery.start_soon(_share_load, service, rng)
            nursery.start_soon(service.run)
        instance_list.answer = Membership(1, tuple(infos), (), ())
        await trio.sleep(WARM_UP_S)
        started_s = time.process_time()
        await trio.sleep(MEASURED_S)
        cpu_s = time.process_time() - started_s
        links = sum(len(network.links) for network in networks)
        nursery.cancel_scope.cancel()
    return {
        "measure": "peers_over_sockets",
        "size": size.name,
        "instances": size.instances,
        "links_a_node": round(links / size.instances, 2),
        "cpu_percent_a_node": round(cpu_s / MEASURED_S / size.instances * 100, 2),
    }


async def _start(
    nursery: trio.Nursery, info: InstanceInfo
) -> tuple[InstanceInfo, PeerNetwork]:
    local = dataclasses.replace(info, peer_address="127.0.0.1:0")
    network = PeerNetwork(local, 1, b"benchmark")
    address = await nursery.start(network.run)
    return dataclasses.replace(info, peer_address=address), network


async def _share_load(service: MembershipService, rng: random.Random) -> None:
    while True:
        service.publish("load", rng.randbytes(60))
        await trio.sleep(1.0)
