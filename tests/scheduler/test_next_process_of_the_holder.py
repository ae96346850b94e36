"""What the next process of a holder counts of the leases granted before it.

It has loaded the log, and has read none of its records when they were written.
"""

import pytest
import trio
from cluster import Cluster, faults_of, holders, wait_until
from fakes import FakeLog, FakePlatformAdapter, Faults
from test_leases_across_takeovers import LIMIT_MS, POWER_OFF_S, _Loss
from test_restarted_endpoints import _Fleet

from ragwortshelf.core.scheduling.model import Incarnation
from ragwortshelf.core.scheduling.record_codec import encode_record
from ragwortshelf.core.scheduling.records import (
    EndpointObserved,
    TermClock,
    TermHeld,
)
from ragwortshelf.scheduler.clock import boot_ms
from ragwortshelf.scheduler.instance import Instance
from ragwortshelf.scheduler.log_follower import LogFollower
from ragwortshelf.scheduler.settings import SchedulingSettings
from ragwortshelf.standins.keyed_topic import KeyedTopic

GRANT_MAX_MS = SchedulingSettings("").lease_grant_max_ms
LEASE_MS = 7_000


def _append(topic, *records):
    topic.append([encode_record(record) for record in records])


def _located_leases_end_ms(follower):
    return follower.lease_grants.leases_end_ms(LEASE_MS, None, "e", is_located=True)


async def _load(topic, nursery, name="i"):
    """Return a follower that has just loaded the log, and the time of that."""
    follower = LogFollower(FakeLog(topic, Faults()), SchedulingSettings(name))
    nursery.start_soon(follower.run)
    await wait_until(lambda: follower.next_offset is not None)
    return follower, boot_ms()


# Guards against a task that waits 11 s on an idle fleet: the next process of a holder
# that was lost with the endpoint counted extensions by its own earlier process.
@pytest.mark.parametrize("how", ["next process", "all without power"])
@pytest.mark.parametrize("takeovers", [1, 2])
async def test_a_task_lost_with_the_holder_waits_for_one_lease_alone(
    autojump_clock, how, takeovers
):
    cluster = _Loss()
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        # The endpoint has been in its incarnation for longer than any lease.
        await trio.sleep(12)
        cluster.lost.is_disconnected = True
        cluster.lost_ms = trio.current_time() * 1000
        for _ in range(takeovers):
            took_over_s = trio.current_time()
            await cluster.take_over(how)
            await trio.sleep_until(took_over_s + 2)
        # No clock of a term shows how long all were without power between two.
        unseen_ms = 1000 * POWER_OFF_S * (how == "all without power") * (takeovers - 1)
        await cluster.wait_for_second_start(LIMIT_MS + unseen_ms)
        nursery.cancel_scope.cancel()


# Guards against a record that the earlier process had sent, and that arrives after the
# next one has loaded the log.
async def test_a_late_record_of_the_earlier_process_moves_no_bound(autojump_clock):
    topic = KeyedTopic()
    _append(topic, TermHeld(1, "i", 0), TermClock(1, 0, 0))
    async with trio.open_nursery() as nursery:
        follower, loaded_ms = await _load(topic, nursery)
        end_ms = _located_leases_end_ms(follower)
        assert loaded_ms - 50 <= end_ms - LEASE_MS <= loaded_ms
        _append(topic, TermClock(1, 350, 0), TermHeld(1, "i", 350))
        await trio.sleep(1)
        assert _located_leases_end_ms(follower) == end_ms
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: a holder that goes on is taken for an earlier
# process of the instance that reads its records.
async def test_the_holder_is_another_instance_whose_extensions_count(autojump_clock):
    topic = KeyedTopic()
    _append(topic, TermHeld(1, "other", 0), TermClock(1, 0, 0))
    async with trio.open_nursery() as nursery:
        follower, loaded_ms = await _load(topic, nursery)
        grant_end_ms = _located_leases_end_ms(follower) - LEASE_MS
        assert loaded_ms - 50 <= grant_end_ms - GRANT_MAX_MS <= loaded_ms
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: a holder before the last one is cut off, and
# the last one counted its extensions for some time yet, or did not count them.
@pytest.mark.parametrize(
    ("clock", "left_ms"),
    [
        (TermClock(9, 500, 1_700), 1_700),
        (TermClock(9, 500), GRANT_MAX_MS),
        (TermClock(3, 500, 0), GRANT_MAX_MS),
        (TermClock(11, 500, 0), GRANT_MAX_MS),
    ],
)
async def test_extensions_by_the_holders_before_the_last_count(
    autojump_clock, clock, left_ms
):
    topic = KeyedTopic()
    _append(topic, TermHeld(9, "i", 0), clock)
    async with trio.open_nursery() as nursery:
        follower, loaded_ms = await _load(topic, nursery)
        end_ms = follower.lease_grants.leases_end_ms(0, before_term=9)
        assert loaded_ms + left_ms - 50 <= end_ms <= loaded_ms + left_ms
        nursery.cancel_scope.cancel()


# Guards against a holder that writes a shorter time than the one before it may extend
# leases for: it has deposed a holder that is cut off.
async def test_a_holder_writes_how_long_the_one_before_may_extend_leases(
    autojump_clock,
):
    cluster = Cluster()
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        cut_off = cluster.holder
        faults_of(cut_off).store = "silent"
        silent_ms = boot_ms()
        others = [i for i in cluster.instances if i is not cut_off]
        await wait_until(lambda: holders(others))
        term = holders(others)[0].election.leadership.claim.term
        await trio.sleep(0.5)
        started, _ = await _load(cluster.platform.jobs, nursery, "started")
        ends_ms = started.lease_grants.leases_end_ms(0, before_term=term)
        # The last record of the holder was read up to one interval before.
        assert silent_ms + GRANT_MAX_MS - 600 <= ends_ms
        assert ends_ms <= silent_ms + GRANT_MAX_MS + 600
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: an endpoint that restarted shortly before may
# hold the longest lease, by a call that was sent to its incarnation before.
@pytest.mark.parametrize(
    ("observed", "age_ms"),
    [
        ((9, 4_000), 5_000),
        ((9, 9_500), 0),
        ((3, 4_000), 9_000),
        ((11, 4_000), 0),
        ((0, None), 0),
    ],
)
async def test_an_incarnation_is_as_old_as_the_clock_of_the_term_shows(
    autojump_clock, observed, age_ms
):
    topic = KeyedTopic()
    record = EndpointObserved(Incarnation("e", "a:1", 1), *observed)
    _append(topic, record, TermHeld(9, "i", 0), TermClock(9, 9_000, 0))
    async with trio.open_nursery() as nursery:
        follower, loaded_ms = await _load(topic, nursery)
        since_ms = follower.incarnations.since_ms("e")
        assert loaded_ms - age_ms - 50 <= since_ms <= loaded_ms - age_ms
        nursery.cancel_scope.cancel()


# Guards against the same for the time that a holder writes: it is not before the
# endpoint refuses what was sent to the incarnation before.
async def test_a_restart_shortly_before_is_dated_to_when_it_was_noticed(
    autojump_clock,
):
    cluster = _Loss()
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await trio.sleep(12)
        name = cluster.holder.settings.instance
        cluster.lost.downtime_s = 0
        cluster.lost.crash()
        restarted_ms = boot_ms()
        await trio.sleep(3)
        lost_id = cluster.lost.info.id
        cluster.lost.is_disconnected = True
        cluster.kill(cluster.holder)
        follower, loaded_ms = await _load(cluster.platform.jobs, nursery, name)
        since_ms = follower.incarnations.since_ms(lost_id)
        assert restarted_ms < since_ms < loaded_ms - 1_000
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: a start that the earlier process had sent is
# carried out by an incarnation that nobody knows, under the longest lease.
@pytest.mark.parametrize("processes", [1, 2])
async def test_a_start_of_the_earlier_process_may_run_under_the_longest_lease(
    autojump_clock, processes
):
    fleet = _Fleet(1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        # The incarnation before has been known for longer than any lease.
        await trio.sleep(12)
        await fleet.place_at_first_call_after_restart()
        fleet.cut_off()
        # The last end is in the log, and no answer of the new incarnation arrives.
        await trio.sleep(0.02)
        fleet.kill(fleet.holder)
        for process in range(processes):
            await trio.sleep(0.6)
            adapter = FakePlatformAdapter(fleet.platform)
            instance = Instance(adapter, SchedulingSettings("i0"))
            scope = fleet._scope_by_name["i0"] = trio.CancelScope()
            nursery.start_soon(fleet._run_instance, instance, scope)
            fleet.instances = [instance]
            await wait_until(lambda: holders(fleet.instances))
            if process < processes - 1:
                await trio.sleep(0.5)
                fleet.kill(instance)
        await trio.sleep(0.5)
        reader, _ = await _load(fleet.platform.jobs, nursery, "reader")
        assert fleet.endpoint.info.id in reader.unlocated_ids()
        await trio.sleep(25)
        first, second = fleet.runs()
        assert first.ended_ms is not None
        assert first.ended_ms <= second.started_ms
        nursery.cancel_scope.cancel()
