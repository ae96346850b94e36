"""Findings of a review of the incident of leases counted anew; each fails."""

import trio
from cluster import faults_of, holders, submit, wait_until
from test_leases_across_takeovers import LIMIT_MS, _Loss
from test_restarted_endpoints import JOB_ID, _Fleet, _make_job


def _session_of(fleet):
    leadership = fleet.holder.election.leadership
    return leadership._session_by_id[fleet.endpoint.info.id]


# Guards against a task that runs twice: a start is carried out seconds after it was
# sent, by a new incarnation, which the holder sees and cannot write to the log.
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


# Guards against a task that waits on an idle fleet: a claim whose answer was lost made
# void what the holder before had noted.
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


# Guards against the same by a holder that is killed before its first append.
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


# Guards against a task that waits without end: an unexpected error while the end of
# leases is noted kept that end from being watched.
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
