"""The retry delay of a declined caller depends on the other instances' readiness."""

import trio
from cluster import (
    announce_in,
    faults_of,
    make_instances,
    make_job,
    make_platform,
    running,
)

from ragwortshelf.core.scheduling.records import InstanceAnnounced
from ragwortshelf.scheduler.clock import monotonic_ms
from ragwortshelf.scheduler.gateway import OUTAGE_RETRY_AFTER_MS, Declined
from ragwortshelf.scheduler.peer_readiness import ANNOUNCEMENT_VALID_MS, peers_to_probe


async def _retry_after_ms(instance):
    declined = await instance.gateway.submit(make_job("a" * 16), monotonic_ms() + 2_700)
    assert isinstance(declined, Declined)
    return declined.retry_after_ms


def _disconnect_from_log(*instances):
    for instance in instances:
        faults_of(instance).store = "silent"


async def test_callers_of_the_only_disconnected_instance_retry_at_once(autojump_clock):
    # One instance loses the log while the others in its data centre still serve.
    platform = make_platform()
    instances = make_instances(platform, 3)
    announce_in(platform, instances)
    async with running(*instances):
        await trio.sleep(6)
        _disconnect_from_log(instances[0])
        await trio.sleep(2)
        assert await _retry_after_ms(instances[0]) == 0


async def test_callers_wait_while_no_instance_reaches_the_log(autojump_clock):
    # The log is silent for all instances. Callers have few attempts, which immediate
    # retries would use up.
    platform = make_platform()
    instances = make_instances(platform, 3)
    announce_in(platform, instances)
    async with running(*instances):
        await trio.sleep(6)
        _disconnect_from_log(*instances)
        await trio.sleep(2)
        for instance in instances:
            assert await _retry_after_ms(instance) == OUTAGE_RETRY_AFTER_MS


async def test_other_data_centres_count_once_callers_are_rerouted(autojump_clock):
    # A whole data centre loses the log. Callers reach other data centres only after the
    # load balancer has removed its instances.
    platform = make_platform()
    instances = make_instances(platform, 4)
    announce_in(platform, instances[:2], "near")
    announce_in(platform, instances[2:], "far")
    async with running(*instances):
        await trio.sleep(6)
        _disconnect_from_log(*instances[:2])
        await trio.sleep(2)
        assert await _retry_after_ms(instances[0]) == OUTAGE_RETRY_AFTER_MS
        await trio.sleep(2.5)
        assert await _retry_after_ms(instances[0]) == 0


async def test_probe_results_are_discarded_after_the_log_recovers(autojump_clock):
    platform = make_platform()
    instances = make_instances(platform, 2)
    announce_in(platform, instances)
    async with running(*instances):
        await trio.sleep(6)
        _disconnect_from_log(instances[0])
        await trio.sleep(2)
        faults_of(instances[0]).store = ""
        await trio.sleep(3)
        _disconnect_from_log(*instances)
        # A silent log is detected within 1.3 s, and the next probe follows within
        # another 0.6 s.
        await trio.sleep(2)
        assert await _retry_after_ms(instances[0]) == OUTAGE_RETRY_AFTER_MS


def test_old_announcements_and_the_own_one_are_not_probed():
    now = 1_000_000
    own = InstanceAnnounced("own", "dc", "a:1", now)
    near = InstanceAnnounced("near", "dc", "a:2", now - ANNOUNCEMENT_VALID_MS)
    expired = InstanceAnnounced("expired", "dc", "a:3", now - ANNOUNCEMENT_VALID_MS - 1)
    far = [InstanceAnnounced(f"far{n}", "else", f"b:{n}", now) for n in range(5)]
    probed = peers_to_probe([own, near, expired, *far], "own", "dc", now)
    assert probed[0] == near
    assert len(probed) == 3
    assert all(row in far for row in probed[1:])
