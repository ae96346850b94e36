"""Waves of upkeep as carried out by the instance that schedules."""

import trio
from cluster import holders, make_instances, make_platform, running
from fakes import HostOrders

from ragwortshelf.core.scheduling.upkeep import HostInfo, HostState, UpkeepWave


async def test_a_wave_is_ordered_with_the_holders_name_and_token(autojump_clock):
    platform = make_platform(1)
    hosts = platform.hosts = HostOrders((HostInfo("h0", "pool", HostState.UP, "e0"),))
    hosts.may_answer.set()
    platform.waves = {4: UpkeepWave(4, ("h0",), 20_000, 1)}
    instances = make_instances(platform, 2)
    async with running(*instances):
        await trio.sleep(10)
        (holder,) = holders(instances)
        term = holder.election.leadership.claim.term
        assert hosts.orders == [("h0", holder.settings.instance, term)]
    assert platform.wave_states == [(4, False), (4, True)]
