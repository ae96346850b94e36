"""Leases of endpoints that restart under their id, whose clocks start anew.

A deadline on the clock of an earlier incarnation lies far ahead on the new clock, so it
grants the longest lease there.
"""

import pytest
import trio
from cluster import (
    CONFIGURATION,
    faults_of,
    holders,
    make_instances,
    submit,
    wait_until,
)
from fakes import FakeEndpoint, Platform

from ragwortshelf.core.scheduling import JobSpec, Resources, Step
from ragwortshelf.core.scheduling.listings import EndpointInfo, StartOutcome
from ragwortshelf.scheduler.clock import monotonic_ms
from ragwortshelf.scheduler.interfaces import StartAnswer

FIRST_JOB_ID = "a" * 16
JOB_ID = "b" * 16

UPTIME_MS = 3_600_000
WORK_MS = 60_000


class _Fleet:
    """Two endpoints that one task occupies each.

    That of the second job runs on ``endpoint``. Once that one is cut off, the first job
    ends, so that there is room for the second one on ``other``.
    """

    def __init__(self, instances):
        capacity = Resources(8000, 8000, 8)
        infos = [EndpointInfo(f"e{i}", "pool", f"e{i}", "dc", capacity) for i in (0, 1)]
        self.platform = Platform(CONFIGURATION, infos)
        for endpoint in self.platform.endpoint_by_id.values():
            endpoint._clock_offset_ms = UPTIME_MS
            endpoint.downtime_s = 0
            endpoint.work_ms = WORK_MS
        self.instances = make_instances(self.platform, instances)
        self.endpoint: FakeEndpoint
        self.other: FakeEndpoint
        self._scope_by_name = {}

    async def run(self, nursery):
        for instance in self.instances:
            scope = self._scope_by_name[instance.settings.instance] = trio.CancelScope()
            nursery.start_soon(self._run_instance, instance, scope)
        await trio.sleep(1)
        await submit(self.instances[0], _make_job(FIRST_JOB_ID))
        await trio.sleep(0.3)
        endpoints = self.platform.endpoint_by_id.values()
        (self.endpoint,) = [e for e in endpoints if not e.running]
        (self.other,) = [e for e in endpoints if e.running]

    async def _run_instance(self, instance, scope):
        with scope:
            await instance.run()

    @property
    def holder(self):
        (holder,) = holders(self.instances)
        return holder

    def kill(self, instance):
        self._scope_by_name[instance.settings.instance].cancel()

    def runs(self):
        """Return the runs of the second job, oldest first."""
        for endpoint in self.platform.endpoint_by_id.values():
            endpoint.advance()
        runs = [
            run
            for endpoint in self.platform.endpoint_by_id.values()
            for run in endpoint.history.values()
            if run.task.startswith(JOB_ID)
        ]
        return sorted(runs, key=lambda run: run.started_ms)

    def cut_off(self):
        self.endpoint.is_disconnected = True
        (task,) = self.other.running
        self.other.finish(task)

    async def place_second_job(self):
        await submit(self.instances[0], _make_job(JOB_ID))
        while not self.endpoint.running:
            await trio.sleep(0.001)

    async def place_at_first_call_after_restart(self):
        """Let the start be the first call to reach the new incarnation."""
        start = self.endpoint.start

        def start_after_restart(*arguments):
            self.endpoint.start = start
            self.endpoint.crash()
            return start(*arguments)

        self.endpoint.start = start_after_restart
        await self.place_second_job()

    async def restart_at_next_renewal(self):
        """Let a renewal be the first call to reach the new incarnation."""
        restarted = trio.Event()
        renew = self.endpoint.renew

        async def renew_after_restart(*arguments):
            self.endpoint.renew = renew
            self.endpoint.crash()
            restarted.set()
            return await renew(*arguments)

        self.endpoint.renew = renew_after_restart
        await restarted.wait()

    async def wait_until_listed(self):
        """Wait until a renewal that was sent since the restart is answered."""
        await trio.sleep(0.05)

    async def assert_started_again_without_overlap(self):
        await trio.sleep(30)
        runs = self.runs()
        assert len(runs) == 2
        assert runs[0].ended_ms is not None
        assert runs[0].ended_ms <= runs[1].started_ms


def _make_job(job_id):
    step = Step(1, Resources(8000, 8000, 8), 1000)
    return JobSpec(job_id, "q", "pool", "org", "text", (step,))


# Guards against a task that runs twice: renewals repeated the last deadline while they
# failed, and an endpoint that had restarted meanwhile took the longest lease from it.
async def test_no_task_starts_again_under_a_deadline_that_failing_renewals_repeated(
    autojump_clock,
):
    fleet = _Fleet(instances=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.endpoint.is_disconnected = True
        await trio.sleep(2.5)
        fleet.endpoint.crash()
        await trio.sleep(2.5)
        fleet.endpoint.is_disconnected = False
        await fleet.place_second_job()
        await fleet.wait_until_listed()
        fleet.cut_off()
        await fleet.assert_started_again_without_overlap()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: the first call to reach an incarnation that the
# holder didn't know yet was a start, or an ordinary renewal.
@pytest.mark.parametrize("is_listed", [False, True])
async def test_no_task_starts_again_under_a_start_that_reached_a_new_incarnation(
    autojump_clock, is_listed
):
    fleet = _Fleet(instances=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        await fleet.place_at_first_call_after_restart()
        if is_listed:
            await fleet.wait_until_listed()
        fleet.cut_off()
        await fleet.assert_started_again_without_overlap()
        nursery.cancel_scope.cancel()


async def test_no_task_starts_again_under_a_renewal_that_reached_a_new_incarnation(
    autojump_clock,
):
    fleet = _Fleet(instances=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        await fleet.restart_at_next_renewal()
        await fleet.place_second_job()
        await fleet.wait_until_listed()
        fleet.cut_off()
        await fleet.assert_started_again_without_overlap()
        nursery.cancel_scope.cancel()


# Guards against the same for a call that is carried out after the restart was noticed,
# and before the endpoint has seen a higher token, for which the log is needed.
async def test_calls_are_counted_until_the_endpoint_refuses_them(autojump_clock):
    fleet = _Fleet(instances=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        holder = fleet.holder
        faults_of(holder).store = "silent"
        # From now on the token is the newest that there is without the log.
        fleet.endpoint.crash()
        await trio.sleep(0.1)
        token, _ = fleet.endpoint.renewals[-1]
        fleet.endpoint.crash()
        await trio.sleep(3)
        await fleet.endpoint.renew(2 * UPTIME_MS, 0, 0, token)
        faults_of(holder).store = ""
        while fleet.endpoint.token <= token:
            await trio.sleep(0.01)
        await fleet.wait_until_listed()
        leadership = holder.election.leadership
        session = leadership._session_by_id[fleet.endpoint.info.id]
        assert session.lease_expiry_ms >= fleet.endpoint._lease_end_ms()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: a call that had been sent to the incarnation
# before was carried out seconds later, after newer calls.
@pytest.mark.parametrize("late_call", ["renewal", "start"])
async def test_no_task_starts_again_under_a_call_carried_out_after_a_restart(
    autojump_clock, late_call
):
    fleet = _Fleet(instances=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        await trio.sleep(1.2)
        token, until_ms = fleet.endpoint.renewals[-1]
        assert until_ms is not None
        fleet.endpoint.crash()
        await trio.sleep(0.5)
        await fleet.place_second_job()
        await trio.sleep(2)
        fleet.cut_off()
        if late_call == "renewal":
            await fleet.endpoint.renew(until_ms, 0, 0, token)
        else:
            fleet.endpoint.start("c" * 16 + ".0.0.0", 1, until_ms, token)
        await fleet.assert_started_again_without_overlap()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: a successor counted the leases that a holder
# grants, and not the longer one of an endpoint that had just restarted.
@pytest.mark.parametrize("how", ["kill", "resign"])
@pytest.mark.parametrize("first_call", ["repeated renewal", "renewal", "start"])
async def test_a_successor_counts_the_longest_lease_of_a_restarted_endpoint(
    autojump_clock, how, first_call
):
    fleet = _Fleet(instances=3)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        holder = fleet.holder
        match first_call:
            case "repeated renewal":
                fleet.endpoint.is_disconnected = True
                await trio.sleep(2.5)
                fleet.endpoint.crash()
                await trio.sleep(1)
                fleet.endpoint.is_disconnected = False
                await fleet.place_second_job()
            case "renewal":
                await fleet.restart_at_next_renewal()
                await fleet.place_second_job()
            case "start":
                await fleet.place_at_first_call_after_restart()
        # Until the incarnation is in the log, and the start not suspected of a crash.
        await trio.sleep(1.6)
        fleet.cut_off()
        if how == "kill":
            fleet.kill(holder)
        else:
            await holder.drain()
        await fleet.assert_started_again_without_overlap()
        nursery.cancel_scope.cancel()


# Guards against waits that an endpoint's restart does not call for: the longest lease
# was counted for an endpoint that restarted long before.
async def test_a_successor_does_not_wait_longer_for_an_endpoint_that_did_not_restart(
    autojump_clock,
):
    fleet = _Fleet(instances=2)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        await fleet.place_second_job()
        await trio.sleep(10)
        fleet.cut_off()
        settings = fleet.holder.settings
        resigned_s = trio.current_time()
        await fleet.holder.drain()
        while len(fleet.runs()) < 2:
            await trio.sleep(0.01)
        waited_ms = 1000 * (trio.current_time() - resigned_s)
        # The lease on the slowest clock, and a change of the holder.
        assert waited_ms < settings.lease_ms / 0.98 + 1_500
        nursery.cancel_scope.cancel()


# Guards against orders that only the earlier incarnation would refuse: the tokens sent
# since a restart are above all tokens before it, and below that of any later term.
async def test_the_token_rises_at_a_restart_and_stays_below_that_of_later_terms(
    autojump_clock,
):
    fleet = _Fleet(instances=2)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        token_before = max(token for token, _ in fleet.endpoint.renewals)
        fleet.endpoint.crash()
        await trio.sleep(1)
        token_after = fleet.endpoint.token
        assert token_after > token_before
        holder = fleet.holder
        fleet.kill(holder)
        await trio.sleep(4)
        assert holders([i for i in fleet.instances if i is not holder])
        assert fleet.endpoint.token > token_after
        nursery.cancel_scope.cancel()


# Guards against a term that ends for no reason: a second session with an endpoint, at
# another address, sent a lower token than the first one.
async def test_an_endpoint_that_restarts_and_moves_does_not_end_the_term(
    autojump_clock,
):
    fleet = _Fleet(instances=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        term = fleet.holder.election.leadership.claim.term
        fleet.endpoint.crash()
        await trio.sleep(1)
        fleet.platform.move(fleet.endpoint.info.id, "elsewhere")
        await trio.sleep(2)
        assert fleet.holder.election.leadership.claim.term == term
        await fleet.place_second_job()
        nursery.cancel_scope.cancel()


# Guards against an endpoint that is given up: the log, from which a higher token comes,
# does not answer when the endpoint restarts.
async def test_an_endpoint_that_restarts_during_an_outage_is_used_after_it(
    autojump_clock,
):
    fleet = _Fleet(instances=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        faults_of(fleet.holder).store = "silent"
        await trio.sleep(0.5)
        fleet.endpoint.crash()
        await trio.sleep(3)
        faults_of(fleet.holder).store = ""
        await trio.sleep(1)
        await fleet.place_second_job()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: a suspension of the holder, which its steady
# clock does not count, made an endpoint's new clock look like that before its restart.
async def test_a_restart_during_a_suspension_of_the_holder_is_not_ruled_out(
    autojump_clock, monkeypatch
):
    suspended_ms = 0
    monkeypatch.setattr(
        "ragwortshelf.scheduler.endpoint_session.boot_ms",
        lambda: monotonic_ms() + suspended_ms,
    )
    fleet = _Fleet(instances=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        start = fleet.endpoint.start

        def start_after_suspension(*arguments):
            nonlocal suspended_ms
            suspended_ms = 3_000
            fleet.endpoint.start = start
            fleet.endpoint.crash()
            # It began during the suspension.
            fleet.endpoint._clock_offset_ms += suspended_ms
            outcome = start(*arguments)
            fleet.cut_off()
            return outcome

        fleet.endpoint.start = start_after_suspension
        await fleet.place_second_job()
        await fleet.assert_started_again_without_overlap()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: a start whose connection broke is carried out
# within its time limit, by an incarnation that began meanwhile.
async def test_a_start_whose_connection_broke_may_still_be_carried_out(autojump_clock):
    fleet = _Fleet(instances=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        endpoint = fleet.endpoint
        endpoint._clock_rate = 0.98
        await trio.sleep(2.5)
        leadership = fleet.holder.election.leadership
        client = leadership._session_by_id[endpoint.info.id]._client

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


# Guards against a task that runs twice: the session with an endpoint at an earlier
# address repeated a start, which the present session did not count.
async def test_a_session_that_was_replaced_repeats_no_start(autojump_clock):
    fleet = _Fleet(instances=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        endpoint = fleet.endpoint
        endpoint._clock_rate = 0.98
        await trio.sleep(1.5)
        leadership = fleet.holder.election.leadership
        client = leadership._session_by_id[endpoint.info.id]._client
        attempts = []

        async def start(task, run, text, checkpoint, ticket, until_ms, timeout_ms):
            attempts.append(trio.current_time())
            if len(attempts) == 1:
                endpoint.is_disconnected = True
                fleet.platform.move(endpoint.info.id, "elsewhere")
                (other_task,) = fleet.other.running
                fleet.other.finish(other_task)
            await trio.sleep(timeout_ms / 1000)
            return StartAnswer(StartOutcome.UNANSWERED)

        client.start = start
        await submit(fleet.instances[0], _make_job(JOB_ID))
        await trio.sleep(4)
        assert len(attempts) == 1
        nursery.cancel_scope.cancel()


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
        session = fleet.holder.election.leadership._session_by_id[
            fleet.endpoint.info.id
        ]
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
