"""How long a successor waits for the leases that earlier holders granted."""

from dataclasses import replace

import pytest
import trio
from cluster import (
    Cluster,
    faults_of,
    holders,
    leave_only_the_holder_in_touch,
    make_instances,
    make_platform,
    state_of,
    wait_until,
)

from ragwortshelf.core.scheduling import JobState
from ragwortshelf.core.scheduling.records import TERM_KEY

FINISH_S = 14
"""Time after the end of the traffic from which the platform requires that a job of
which nothing runs is started wherever it fits."""


# Guards against tasks that wait on an idle fleet for 17 s after their endpoint and the
# holder of the role were lost together.
async def test_a_task_lost_with_its_endpoint_and_the_holder_starts_again_in_time(
    autojump_clock,
):
    cluster = Cluster()
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        cluster.endpoint_of_first_run().is_disconnected = True
        cluster.kill(cluster.holder)
        await trio.sleep(FINISH_S)
        assert len(cluster.starts()) == 2
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: a holder that is cut off from the log renews
# the lease of an endpoint that only it reaches.
@pytest.mark.parametrize("clock_rate", [0.98, 1.0])
async def test_no_task_starts_again_under_a_lease_of_a_cut_off_holder(
    autojump_clock, clock_rate
):
    cluster = Cluster()
    for endpoint in cluster.platform.endpoint_by_id.values():
        endpoint._clock_rate = clock_rate
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        endpoint_id = cluster.endpoint_of_first_run().info.id
        cut_off = cluster.holder
        faults_of(cut_off).store = "silent"
        for instance in cluster.instances:
            if instance is not cut_off:
                faults_of(instance).unreachable_ids.add(endpoint_id)
        await trio.sleep(25)
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: the second successor counted the leases of the
# first one alone, which had resigned, and not those of the holder before it.
async def test_no_task_starts_again_under_a_lease_of_the_holder_before_the_last(
    autojump_clock,
):
    cluster = Cluster()
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        endpoint_id = cluster.endpoint_of_first_run().info.id
        cut_off = cluster.holder
        faults_of(cut_off).store = "silent"
        # It does not learn of a later term from the other endpoints either.
        ids = set(cluster.platform.endpoint_by_id)
        faults_of(cut_off).unreachable_ids |= ids - {endpoint_id}
        others = [i for i in cluster.instances if i is not cut_off]
        for instance in others:
            faults_of(instance).unreachable_ids.add(endpoint_id)
        while not holders(others):
            await trio.sleep(0.01)
        await holders(others)[0].drain()
        await trio.sleep(25)
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()


# Guards against leases that a successor does not count: the holder extended them for as
# long as it kept the role without the log's confirmation.
async def test_a_holder_without_the_logs_confirmation_soon_extends_no_lease(
    autojump_clock,
):
    cluster = Cluster(instances=1)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        settings = cluster.holder.settings
        faults_of(cluster.holder).store = "silent"
        lost_ms = trio.current_time() * 1000
        await trio.sleep(8)
        assert cluster.holder.election.leadership is not None
        latest_ms = lost_ms + settings.lease_grant_max_ms + settings.lease_ms
        for endpoint in cluster.platform.endpoint_by_id.values():
            assert lost_ms < endpoint.until_ms <= latest_ms
        nursery.cancel_scope.cancel()


# Guards against a confirmation that counts from the beginning of the term: on a slow
# log that is seconds after the claim, from which a successor counts.
async def test_a_claim_confirms_the_term_as_of_its_sending(autojump_clock, monkeypatch):
    platform = make_platform()
    (instance,) = make_instances(platform, 1)
    monkeypatch.setattr("fakes.LOG_CALL_S", 0.6)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        while not any(key == TERM_KEY for key, _ in platform.jobs.entries):
            await trio.sleep(0.001)
        claimed_ms = trio.current_time() * 1000
        while instance.election.leadership is None:
            await trio.sleep(0.001)
        writer = instance.election.leadership._writer
        assert writer.confirmed_boot_ms <= claimed_ms
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: an append whose answer was lost renews the term
# once, and its repetition confirmed the term as of the repetition.
async def test_no_task_starts_again_under_a_lease_confirmed_by_a_repeated_append(
    autojump_clock,
):
    cluster = Cluster()
    for instance in cluster.instances:
        # Small instances claim the role later, and runs are listed often.
        settings = replace(instance.settings, cores=0.4, listing_wait_ms=100)
        instance.reconfigure(settings)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        endpoint_id = cluster.endpoint_of_first_run().info.id
        cut_off = cluster.holder
        faults = faults_of(cut_off)
        leave_only_the_holder_in_touch(cluster, endpoint_id)
        faults.lose_append_answers = 2
        await wait_until(lambda: not faults.lose_append_answers)
        writer = cut_off.election.leadership._writer
        confirmed_boot_ms = writer.confirmed_boot_ms
        await wait_until(lambda: writer.confirmed_boot_ms != confirmed_boot_ms)
        faults.store = "silent"
        await trio.sleep(25)
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: an endpoint reported another address and did
# not answer there, while its run went on under the lease granted before.
async def test_no_task_starts_again_under_a_lease_granted_at_an_earlier_address(
    autojump_clock,
):
    cluster = Cluster(instances=1)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        endpoint = cluster.endpoint_of_first_run()
        endpoint.is_disconnected = True
        cluster.platform.move(endpoint.info.id, "elsewhere")
        await trio.sleep(15)
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()


# Guards against finished work that runs again: a successor that takes the role after
# all leases have expired released every task before it knew of any endpoint.
@pytest.mark.parametrize("are_listed_late", [False, True])
async def test_ends_are_read_before_tasks_of_unlisted_endpoints_are_released(
    autojump_clock, are_listed_late
):
    cluster = Cluster()
    platform = cluster.platform
    for endpoint in platform.endpoint_by_id.values():
        endpoint.work_ms = 6_000
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        for instance in cluster.instances:
            faults_of(instance).store = "busy"
        cluster.kill(cluster.holder)
        await trio.sleep(13)
        if are_listed_late:
            platform.reports.append([(name, b"") for name in platform.endpoint_by_id])
        for instance in cluster.instances:
            faults_of(instance).store = ""
        if are_listed_late:
            # Entries that expired in an outage are back within about two seconds.
            await trio.sleep(1.9)
            platform.reports.append([(name, b"1") for name in platform.endpoint_by_id])
        await trio.sleep(10)
        assert (
            await state_of(cluster.instances[0], Cluster.job_id) is JobState.COMPLETED
        )
        assert len(cluster.starts()) == 1
        nursery.cancel_scope.cancel()


# Guards against a bound that is shorter than the leases of a cut-off holder, or much
# longer: 3 s, 6 s or an endpoint's clock at full rate passed all other tests.
async def test_the_bound_of_a_successor_is_that_of_the_longest_lease(autojump_clock):
    cluster = Cluster()
    for instance in cluster.instances:
        # So that a renewal is read, and a lease extended, almost at once.
        settings = replace(instance.settings, listing_wait_ms=20, follow_interval_ms=10)
        instance.reconfigure(settings)
    for endpoint in cluster.platform.endpoint_by_id.values():
        endpoint._clock_rate = 0.98
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        endpoint = cluster.endpoint_of_first_run()
        cut_off = cluster.holder
        leave_only_the_holder_in_touch(cluster, endpoint.info.id)
        faults_of(cut_off).store = "silent"
        others = [i for i in cluster.instances if i is not cut_off]
        await wait_until(lambda: holders(others))
        bound_ms = holders(others)[0].election.leadership._earlier_leases_expiry_ms
        await trio.sleep(5)
        lease_end_ms = endpoint._lease_end_ms()
        assert lease_end_ms <= bound_ms <= lease_end_ms + 100
        nursery.cancel_scope.cancel()


# Guards against leases that are longer than a successor expects: a slow clock counted
# at full rate while the ends of runs wait for the log.
async def test_no_lease_is_longer_than_agreed_on_the_endpoints_clock(autojump_clock):
    cluster = Cluster(instances=1, endpoints=1)
    (endpoint,) = cluster.platform.endpoint_by_id.values()
    endpoint._clock_rate = 0.98
    lease_ms = []
    renew = endpoint.renew

    async def note_lease(until_ms, *rest):
        if until_ms is not None:
            lease_ms.append(until_ms - endpoint.clock_ms())
        return await renew(until_ms, *rest)

    endpoint.renew = note_lease
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        faults_of(cluster.holder).store = "silent"
        (task,) = endpoint.running
        endpoint.finish(task)
        lease_ms.clear()
        await trio.sleep(3)
        assert len(lease_ms) > 3
        assert max(lease_ms) <= cluster.holder.settings.lease_ms
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: an instance that has just loaded the log knows
# of the newest term alone, which was resigned, and not of the holder before it.
async def test_an_instance_that_has_just_started_counts_leases_of_terms_unseen(
    autojump_clock,
):
    cluster = Cluster(instances=2)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        endpoint_id = cluster.endpoint_of_first_run().info.id
        cut_off = cluster.holder
        (other,) = [i for i in cluster.instances if i is not cut_off]
        (started,) = make_instances(cluster.platform, 1)
        started.reconfigure(replace(started.settings, instance="started"))
        faults_of(started).unreachable_ids.add(endpoint_id)
        leave_only_the_holder_in_touch(cluster, endpoint_id)
        faults_of(cut_off).store = "silent"
        await wait_until(lambda: holders([other]))
        await other.drain()
        nursery.start_soon(started.run)
        await trio.sleep(25)
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()


# Guards against renewals without a pause while the lease runs out and the log has not
# confirmed the term: each would ask for an immediate answer, or get one because the end
# of a run is listed.
async def test_renewals_that_extend_no_lease_keep_their_interval(autojump_clock):
    cluster = Cluster(instances=1)
    (instance,) = cluster.instances
    # So that it runs out before the role is given up, whenever it was extended last.
    instance.reconfigure(replace(instance.settings, lease_ms=5_000))
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        faults_of(cluster.holder).store = "silent"
        await trio.sleep(7.2)
        assert holders(cluster.instances)
        for endpoint in cluster.platform.endpoint_by_id.values():
            endpoint.renewals.clear()
        # Until the role is given up.
        await wait_until(lambda: not holders(cluster.instances))
        for endpoint in cluster.platform.endpoint_by_id.values():
            assert 0 < len(endpoint.renewals) <= 5
        nursery.cancel_scope.cancel()
