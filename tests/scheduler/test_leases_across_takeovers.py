"""What a holder knew of an endpoint's leases is not counted anew after it.

A task whose endpoint was lost before the holder of the role starts elsewhere once the
lease has expired that was granted, however the role changes meanwhile.
"""

import pytest
import trio
from cluster import (
    Cluster,
    faults_of,
    holders,
    leave_only_the_holder_in_touch,
    wait_until,
)

from ragwortshelf.core.scheduling.actions import StartTask
from ragwortshelf.core.scheduling.listings import StartOutcome
from ragwortshelf.core.scheduling.model import UnitKey
from ragwortshelf.scheduler.endpoint_session import StartResult
from ragwortshelf.scheduler.settings import SchedulingSettings

CLOCK_RATE = 0.98
MARGIN_MS = 2_000
"""Time allowed beyond the lease, from the loss of an endpoint to the new start."""

LIMIT_MS = SchedulingSettings("").lease_ms / CLOCK_RATE + MARGIN_MS

POWER_OFF_S = 1


class _Loss(Cluster):
    """A cluster of which one endpoint is lost, seen by the holder."""

    async def run(self, nursery):
        for endpoint in self.platform.endpoint_by_id.values():
            endpoint._clock_rate = CLOCK_RATE
        await super().run(nursery)
        self.nursery = nursery
        self.lost = self.endpoint_of_first_run()

    async def lose(self, lose_append_answers=0):
        """Cut the endpoint off, and wait until the holder has recorded that.

        The answers to so many attempts at that append are lost.
        """
        self.lost.is_disconnected = True
        self.lost_ms = _now_ms()
        scheduler = self.holder.election.leadership._scheduler
        endpoint = scheduler.endpoint_by_id[self.lost.info.id]
        await wait_until(lambda: not endpoint.is_reachable)
        faults_of(self.holder).lose_append_answers = lose_append_answers
        await trio.sleep(0.1)

    async def take_over(self, how):
        """Let another process take the role."""
        holder = self.holder
        name = holder.settings.instance
        match how:
            case "followers":
                self.kill(holder)
            case "resignation":
                await holder.drain()
                self.kill(holder)
            case "next process":
                self.kill(holder)
                await trio.sleep(0.6)
                self.start(self.nursery, name)
            case "all without power":
                names = [i.settings.instance for i in self.instances]
                for instance in list(self.instances):
                    self.kill(instance)
                await trio.sleep(POWER_OFF_S)
                for name in names:
                    self.start(self.nursery, name)
        await wait_until(lambda: holders(self.instances))

    async def wait_for_second_start(self, limit_ms=LIMIT_MS):
        with trio.move_on_after(15):
            while len(self.starts()) < 2:
                await trio.sleep(0.05)
        assert self.has_restarted_only_after_the_first_run()
        assert self.starts()[1].started_ms - self.lost_ms <= limit_ms


def _now_ms():
    return trio.current_time() * 1000


# Guards against tasks that wait on an idle fleet: each holder of the role counted the
# leases of a lost endpoint anew, from its own begin.
@pytest.mark.parametrize(
    "how", ["followers", "resignation", "next process", "all without power"]
)
@pytest.mark.parametrize("takeovers", [1, 2])
@pytest.mark.parametrize("is_unlisted", [False, True])
async def test_a_lost_endpoints_leases_are_not_counted_anew_after_a_takeover(
    autojump_clock, how, takeovers, is_unlisted
):
    cluster = _Loss()
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.lose()
        if is_unlisted:
            cluster.platform.reports.append([(cluster.lost.info.id, b"")])
        await trio.sleep(0.9)
        for _ in range(takeovers):
            took_over_s = trio.current_time()
            await cluster.take_over(how)
            await trio.sleep_until(took_over_s + 2)
        without_power_ms = 1000 * POWER_OFF_S * (how == "all without power")
        await cluster.wait_for_second_start(LIMIT_MS + takeovers * without_power_ms)
        nursery.cancel_scope.cancel()


# Guards against the same for leases that end shortly after a takeover: their end was
# noticed after calls that time out, or seconds after the endpoints' reports are read.
@pytest.mark.parametrize("is_unlisted", [False, True])
async def test_leases_that_end_at_a_takeover_hold_nothing_up(
    autojump_clock, is_unlisted
):
    cluster = _Loss()
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.lose()
        if is_unlisted:
            cluster.platform.reports.append([(cluster.lost.info.id, b"")])
        await trio.sleep_until(cluster.lost_ms / 1000 + 5.5)
        await cluster.take_over("followers")
        await cluster.wait_for_second_start()
        nursery.cancel_scope.cancel()


# Guards against tasks of endpoints that left one by one: all were released with the one
# that left last.
async def test_each_unlisted_endpoint_is_released_at_the_end_of_its_own_leases(
    autojump_clock,
):
    cluster = _Loss(endpoints=4)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.lose()
        others = [
            endpoint
            for endpoint in cluster.platform.endpoint_by_id.values()
            if endpoint is not cluster.lost
        ]
        await trio.sleep(3.5)
        others[0].is_disconnected = True
        await trio.sleep(1.5)
        ids = (cluster.lost.info.id, others[0].info.id)
        cluster.platform.reports.append([(endpoint_id, b"") for endpoint_id in ids])
        await cluster.take_over("followers")
        await cluster.wait_for_second_start()
        nursery.cancel_scope.cancel()


# Guards against a run that waits for the longest lease although its start was answered,
# and so by an incarnation that is known.
async def test_a_run_whose_start_was_answered_waits_for_the_lease_that_was_granted(
    autojump_clock,
):
    cluster = _Loss()
    for endpoint in cluster.platform.endpoint_by_id.values():
        # The list that is on its way does not show the run.
        endpoint.rows = tuple
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_lose_at_start, cluster)
        await cluster.run(nursery)
        await cluster.wait_for_second_start()
        nursery.cancel_scope.cancel()


async def _lose_at_start(cluster):
    endpoints = cluster.platform.endpoint_by_id.values()
    await wait_until(lambda: any(endpoint.history for endpoint in endpoints))
    await trio.sleep(0.01)
    cluster.endpoint_of_first_run().is_disconnected = True
    cluster.lost_ms = _now_ms()


# Guards against a task that runs twice: a holder that had recorded the end of an
# endpoint's leases extends them again, and its successor does not learn of it.
async def test_no_lease_is_extended_again_before_the_log_says_so(autojump_clock):
    cluster = _Loss()
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.lose()
        holder = cluster.holder
        leave_only_the_holder_in_touch(cluster, cluster.lost.info.id)
        faults_of(holder).store = "silent"
        cluster.lost.is_disconnected = False
        await trio.sleep(25)
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: a successor takes an end of leases for true
# that the holder has taken back, as the endpoint was reached again.
@pytest.mark.parametrize("how", ["followers", "next process", "all without power"])
async def test_leases_of_an_endpoint_that_was_reached_again_are_counted(
    autojump_clock, how
):
    cluster = _Loss()
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.lose()
        cluster.lost.is_disconnected = False
        await trio.sleep(5)
        assert len(cluster.starts()) == 1
        assert cluster.lost._lease_end_ms() > _now_ms() + 4_000
        cluster.lost.is_disconnected = True
        await cluster.take_over(how)
        await trio.sleep(25)
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: an append that is repeated seconds later seemed
# to show a later reading of the holder's clock.
@pytest.mark.parametrize("how", ["followers", "next process", "all without power"])
async def test_a_repeated_append_does_not_shorten_the_wait_for_leases(
    autojump_clock, how
):
    cluster = _Loss()
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.lose(lose_append_answers=1)
        holder = cluster.holder
        await wait_until(lambda: not faults_of(holder).lose_append_answers)
        await trio.sleep(0.9)
        await cluster.take_over(how)
        await trio.sleep(25)
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: the holder that recorded the end of leases is
# cut off, and goes on to call the endpoint in the term of its successors.
async def test_no_task_starts_again_while_a_cut_off_holder_goes_on(autojump_clock):
    cluster = _Loss(instances=4)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.lose()
        cut_off = cluster.holder
        leave_only_the_holder_in_touch(cluster, cluster.lost.info.id)
        faults_of(cut_off).store = "append_lost"
        cluster.lost.is_disconnected = False
        others = [i for i in cluster.instances if i is not cut_off]
        await wait_until(lambda: holders(others))
        await trio.sleep(1)
        cluster.kill(holders(others)[0])
        await trio.sleep(25)
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()


# Guards against starts that nobody can answer, after which a task waits for the longest
# lease: they were sent although the endpoint was known to be out of contact.
async def test_nothing_is_started_on_an_endpoint_that_is_out_of_contact(
    autojump_clock,
):
    cluster = _Loss(instances=1, endpoints=2)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        holder = cluster.holder
        await cluster.lose()
        session = holder.election.leadership._session_by_id[cluster.lost.info.id]
        session._is_still_ordered = lambda order: True
        starts = []
        session._client.start = lambda *arguments: starts.append(arguments)
        key = UnitKey("b" * 16, 0, 0, 0)
        order = StartTask(cluster.lost.info.id, key, "b" * 16 + ".0.0.0", 1, "", "")
        result = await session.start(order)
        assert not starts
        assert result == StartResult(StartOutcome.UNHEALTHY, was_unanswered=False)
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


# Guards against leases that run out in an outage of the log: a session that lost
# contact for a moment meanwhile waited for the log before it extended them.
async def test_a_moment_without_contact_in_an_outage_of_the_log_costs_no_run(
    autojump_clock,
):
    cluster = _Loss(instances=1)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        holder = cluster.holder
        faults_of(holder).store = "silent"
        await trio.sleep(0.5)
        await cluster.lose()
        cluster.lost.is_disconnected = False
        await trio.sleep(6)
        faults_of(holder).store = ""
        await trio.sleep(8)
        assert len(cluster.starts()) == 1
        nursery.cancel_scope.cancel()


# Guards against runs of which a successor does not know that they may be in another
# incarnation: they were started while the log still said that leases end there.
async def test_an_endpoint_is_not_used_while_the_log_says_that_its_leases_end(
    autojump_clock,
):
    cluster = _Loss(instances=1)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.lose()
        holder = cluster.holder
        faults_of(holder).store = "silent"
        cluster.lost.is_disconnected = False
        scheduler = holder.election.leadership._scheduler
        endpoint = scheduler.endpoint_by_id[cluster.lost.info.id]
        await trio.sleep(3)
        assert not endpoint.is_reachable
        faults_of(holder).store = ""
        await trio.sleep(2)
        assert endpoint.is_reachable
        nursery.cancel_scope.cancel()
