"""A holder that was paused sends no orders after its permission has run out."""

import trio
from cluster import holders, make_instances, make_job, make_platform, running, submit
from fakes import HostOrders

from ragwortshelf.core.scheduling.record_codec import encode_record
from ragwortshelf.core.scheduling.records import TermHeld
from ragwortshelf.core.scheduling.upkeep import HostInfo, HostState, UpkeepWave
from ragwortshelf.scheduler.clock import wall_ms

PAUSE_S = 20
"""Longer than a holder keeps its role and than the leases that it granted."""


def _claim_for_another_instance(platform):
    """Append the claim of a successor that reached none of the endpoints."""
    term = len(platform.jobs.entries) + 1
    platform.jobs.append([encode_record(TermHeld(term, "successor", wall_ms()))])


async def test_no_lease_is_renewed_after_a_pause_longer_than_the_role(autojump_clock):
    platform = make_platform(3)
    (instance,) = make_instances(platform, 1)
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job("a" * 16))
        await trio.sleep(0.5)
        term = holders(instances := [instance])[0].election.leadership.claim.term
        _claim_for_another_instance(platform)
        for endpoint in platform.endpoint_by_id.values():
            endpoint.renewals.clear()
        autojump_clock.jump(PAUSE_S)
        await trio.sleep(1)
        assert not holders(instances)
        for endpoint in platform.endpoint_by_id.values():
            assert not [token for token, _ in endpoint.renewals if token == term]


async def test_no_host_is_ordered_after_a_pause_in_which_the_role_was_lost(
    autojump_clock,
):
    # Hosts may not check the fencing token. The pause falls between the listing of the
    # hosts and the order that follows from it.
    platform = make_platform(1)
    hosts = platform.hosts = HostOrders((HostInfo("h0", "pool", HostState.UP, "e0"),))
    platform.waves = {1: UpkeepWave(1, ("h0",), 20_000, 1)}
    (instance,) = make_instances(platform, 1)
    async with running(instance):
        await hosts.listed.wait()
        _claim_for_another_instance(platform)
        autojump_clock.jump(PAUSE_S / 2)
        hosts.may_answer.set()
        await trio.sleep(0.1)
        assert not hosts.orders
