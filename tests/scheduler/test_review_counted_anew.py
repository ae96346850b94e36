"""Findings of a review of the incident of leases counted anew; each fails."""

import trio
from cluster import faults_of, holders, submit, wait_until
from test_leases_across_takeovers import LIMIT_MS, _Loss
from test_restarted_endpoints import JOB_ID, _Fleet, _make_job

from ragwortshelf.core.scheduling.listings import StartOutcome
from ragwortshelf.scheduler.interfaces import StartAnswer


def _session_of(fleet):
    leadership = fleet.holder.election.leadership
    return leadership._session_by_id[fleet.endpoint.info.id]


# TWICE. The holder's machine is suspended for 3 s, which its steady clock does not
# count. Meanwhile an endpoint restarts, and the first call to reach it is a start. Its
# clock is then ahead of the steady time since the last reading, so the run is taken to
# be in the known incarnation, and waits for the granted lease and not the longest one.
async def test_a_restart_during_a_suspension_of_the_holder_is_not_ruled_out(
    autojump_clock,
):
    fleet = _Fleet(instances=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        start = fleet.endpoint.start

        def start_after_suspension(*arguments):
            fleet.endpoint.start = start
            fleet.endpoint.crash()
            # So long ago, while no time passed on the holder's steady clock.
            fleet.endpoint._clock_offset_ms += 3_000
            return start(*arguments)

        fleet.endpoint.start = start_after_suspension
        await fleet.place_second_job()
        await trio.sleep(0.005)
        fleet.cut_off()
        await fleet.assert_started_again_without_overlap()
        nursery.cancel_scope.cancel()


# TWICE. A start without an answer is carried out seconds later, after a restart. The
# holder notices the restart and raises its bound, but not the one in the log, which it
# cannot withdraw before its next append; its successor counts the one in the log.
async def test_a_restart_seen_while_leases_end_is_counted_by_the_successor(
    autojump_clock,
):
    fleet = _Fleet(instances=2)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        holder = fleet.holder
        token, until_ms = fleet.endpoint.renewals[-1]
        assert until_ms is not None
        fleet.endpoint.is_disconnected = True
        await submit(fleet.instances[0], _make_job(JOB_ID))
        await trio.sleep(4)
        session = _session_of(fleet)
        assert session.are_leases_ending
        faults_of(holder).store = "silent"
        fleet.endpoint.crash()
        fleet.endpoint.start(JOB_ID + ".0.0.0", 1, until_ms, token)
        fleet.endpoint.is_disconnected = False
        born = fleet.endpoint.born
        await wait_until(lambda: session.started_wall_ms == born)
        fleet.cut_off()
        fleet.kill(holder)
        await fleet.assert_started_again_without_overlap()
        nursery.cancel_scope.cancel()


# TWICE. A start whose connection breaks is carried out within its time limit all the
# same, by an incarnation that began meanwhile. It counted until its time limit before.
async def test_a_start_whose_connection_broke_may_still_be_carried_out(autojump_clock):
    fleet = _Fleet(instances=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        endpoint = fleet.endpoint
        endpoint._clock_rate = 0.98
        await trio.sleep(2.5)
        client = _session_of(fleet)._client

        async def carry_out_late(task, run, until_ms):
            await trio.sleep(0.05)
            endpoint.crash()
            await trio.sleep(0.33)
            endpoint.start(task, run, until_ms, client._token)

        async def broken_start(
            task, run, text, checkpoint, ticket, until_ms, timeout_ms
        ):
            del client.start
            endpoint.is_disconnected = True
            (other_task,) = fleet.other.running
            fleet.other.finish(other_task)
            nursery.start_soon(carry_out_late, task, run, until_ms)
            await trio.sleep(0.005)
            client.start = refused_start
            return StartAnswer(StartOutcome.UNANSWERED)

        async def refused_start(*arguments):
            await trio.sleep(0.001)
            return StartAnswer(StartOutcome.UNANSWERED)

        client.start = broken_start
        await submit(fleet.instances[0], _make_job(JOB_ID))
        await fleet.assert_started_again_without_overlap()
        nursery.cancel_scope.cancel()


# LOST. The answer to a claim is lost. The same process claims again, and takes all
# that the holder had noted for void, as the claim without an answer is the newest term.
async def test_a_claim_without_an_answer_does_not_void_the_notes(autojump_clock):
    cluster = _Loss(instances=2)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.lose()
        await trio.sleep(0.9)
        holder = cluster.holder
        (follower,) = [i for i in cluster.instances if i is not holder]
        faults_of(follower).lose_append_answers = 1
        cluster.kill(holder)
        await wait_until(lambda: holders(cluster.instances))
        await cluster.wait_for_second_start(LIMIT_MS)
        nursery.cancel_scope.cancel()


# LOST. The next holder is killed before its first append, in the same way.
async def test_a_holder_killed_before_its_first_append_does_not_void_the_notes(
    autojump_clock,
):
    cluster = _Loss(instances=3)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.lose()
        await trio.sleep(0.9)
        cluster.kill(cluster.holder)
        await wait_until(lambda: holders(cluster.instances))
        cluster.kill(cluster.holder)
        await cluster.wait_for_second_start(LIMIT_MS)
        nursery.cancel_scope.cancel()


# LOST. An unexpected error while the end of leases is noted, once: nothing watches for
# that end any more, so the task waits until the endpoint answers or the term ends.
async def test_an_error_while_the_end_is_noted_does_not_keep_the_task_waiting(
    autojump_clock,
):
    cluster = _Loss(instances=1)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        scheduler = cluster.holder.election.leadership._scheduler
        leases_ended = scheduler.leases_ended

        def fail_once(*arguments):
            scheduler.leases_ended = leases_ended
            raise ValueError("unexpected")

        scheduler.leases_ended = fail_once
        await cluster.lose()
        await cluster.wait_for_second_start(LIMIT_MS)
        nursery.cancel_scope.cancel()
