"""Findings of a review of the incident of leases counted anew; each fails."""

import trio
from cluster import faults_of, holders, wait_until
from test_leases_across_takeovers import LIMIT_MS, _Loss


def _session_of(fleet):
    leadership = fleet.holder.election.leadership
    return leadership._session_by_id[fleet.endpoint.info.id]


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
