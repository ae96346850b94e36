"""MembershipService over real sockets, on the real clock."""

from __future__ import annotations

import random
from dataclasses import dataclass

import trio

from ragwortshelf.core.model import InstanceInfo, Unreachable
from ragwortshelf.daemon.membership import MembershipService
from ragwortshelf.net.interfaces import InstanceList, Membership
from ragwortshelf.net.peers import PeerNetwork
from ragwortshelf.standins.launcher import free_ports


@dataclass(frozen=True, slots=True)
class Load:
    running: int


class FakeList(InstanceList):
    def __init__(self):
        self.answer = Unreachable("not yet")

    async def fetch(self):
        return self.answer


async def test_services_connect_share_state_and_replace_a_dead_placer():
    instance_list = FakeList()
    services = {}
    scopes = {}
    lists = []
    async with trio.open_nursery() as nursery:
        infos = []
        for name, port in zip(("a", "b", "c"), free_ports(3), strict=True):
            data_centre = "dc2" if name == "c" else "dc1"
            # Peers learn the address that the settings of an instance name.
            peer_address = f"127.0.0.1:{port}"
            info = InstanceInfo(name, data_centre, "127.0.0.1:0", peer_address)
            network = PeerNetwork(info, 1, b"secret")
            service = MembershipService(
                info, 1, instance_list, network, random.Random(1)
            )
            service.register(Load)
            scopes[name] = trio.CancelScope()

            async def run(
                network=network, service=service, scope=scopes[name], task_status=None
            ):
                with scope:
                    async with trio.open_nursery() as inner:
                        address = await inner.start(network.run)
                        inner.start_soon(service.run)
                        task_status.started(address)

            assert await nursery.start(run) == peer_address
            infos.append(info)
            services[name] = service
        services["a"].on_list(lists.append)
        views = []
        services["a"].on_change(views.append)
        instance_list.answer = Membership(1, tuple(infos), (), ())

        async def until(condition):
            with trio.fail_after(60):
                while not condition():
                    await trio.sleep(0.2)

        expected = {name: Load(len(name)) for name in services}
        for service in services.values():
            service.publish("load", Load(1))
        await until(
            lambda: all(s.peer_state("load") == expected for s in services.values())
        )
        await until(lambda: sum(s.is_placer() for s in services.values()) == 2)
        assert lists[-1] == instance_list.answer
        assert views[-1] == services["a"].view

        placer = "a" if services["a"].is_placer() else "b"
        (other,) = {"a", "b"} - {placer}
        scopes[placer].cancel()
        await until(services[other].is_placer)
        services[other].set_draining()
        assert not services[other].is_placer()
        nursery.cancel_scope.cancel()
