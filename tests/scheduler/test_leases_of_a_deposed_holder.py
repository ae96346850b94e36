"""A holder that outlives its term tells its successors when its leases end."""

import pytest
import trio
from cluster import (
    faults_of,
    holders,
    leave_only_the_holder_in_touch,
    wait_until,
)
from fakes import FakeLog
from test_leases_across_takeovers import _Loss, _now_ms

from ragwortshelf.core.scheduling.record_codec import decode_record
from ragwortshelf.core.scheduling.records import TermReport
from ragwortshelf.scheduler.settings import SchedulingSettings

SILENT_S = 4.2
LOST_AFTER_S = 0.8
"""Time after which an endpoint is lost, before another instance can claim the role."""


class _Deposed(_Loss):
    """A cluster whose holder loses the log, and then its term."""

    async def depose(self):
        """Lose the endpoint of the task shortly before another instance claims."""
        self.deposed = self.holder
        self.silent_s = trio.current_time()
        faults_of(self.deposed).store = "silent"
        await trio.sleep(LOST_AFTER_S)
        self.lost.is_disconnected = True
        self.lost_ms = _now_ms()
        await wait_until(lambda: self.successors())
        await wait_until(lambda: self.deposed.election.leadership is None)

    def successors(self):
        return [i for i in holders(self.instances) if i is not self.deposed]

    async def regain_log(self, lose_append_answers=0):
        """Let the log answer the holder that was deposed."""
        await trio.sleep_until(self.silent_s + SILENT_S)
        faults = faults_of(self.deposed)
        faults.lose_append_answers = lose_append_answers
        faults.store = ""

    def reports(self):
        records = [decode_record(*entry) for entry in self.platform.jobs.entries]
        return [record for record in records if isinstance(record, TermReport)]


# Guards against a task that waits on an idle fleet: a successor counted until when the
# holder before could have extended leases, which knew that it had not and said nothing.
@pytest.mark.parametrize("is_unlisted", [False, True])
@pytest.mark.parametrize("lose_append_answers", [0, 2])
async def test_a_deposed_holder_says_when_its_leases_end(
    autojump_clock, is_unlisted, lose_append_answers
):
    cluster = _Deposed()
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.depose()
        if is_unlisted:
            cluster.platform.reports.append([(cluster.lost.info.id, b"")])
        await cluster.regain_log(lose_append_answers)
        await cluster.wait_for_second_start()
        nursery.cancel_scope.cancel()


# Guards against the same when the role changes once more after the report.
@pytest.mark.parametrize("how", ["followers", "resignation"])
async def test_the_report_counts_for_every_later_term(autojump_clock, how):
    cluster = _Deposed(instances=4)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.depose()
        await cluster.regain_log()
        await trio.sleep(0.6)
        assert cluster.reports()
        await cluster.take_over(how)
        await cluster.wait_for_second_start()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: the report is read in a later term than the one
# that deposed its holder.
@pytest.mark.parametrize("how", ["followers", "resignation", "next process"])
async def test_a_report_in_a_later_term_ends_no_lease_too_early(autojump_clock, how):
    cluster = _Deposed(instances=4)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.depose()
        await trio.sleep(0.9)
        await cluster.take_over(how)
        await cluster.regain_log()
        await trio.sleep(25)
        assert cluster.reports()
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: all instances lose power, and nobody knows then
# which terms there were.
async def test_the_report_says_nothing_to_instances_that_knew_no_term(autojump_clock):
    cluster = _Deposed()
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.depose()
        await cluster.regain_log()
        await trio.sleep(0.6)
        (report,) = cluster.reports()
        await cluster.take_over("all without power")
        settings = SchedulingSettings("")
        worst_ms = settings.lease_grant_max_ms + settings.lease_ms
        leadership = cluster.holder.election.leadership
        left_ms = leadership._earlier_leases_expiry_ms - _now_ms()
        assert left_ms > worst_ms - 500 > report.left_ms
        await trio.sleep(25)
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: the holder before goes on to extend the lease,
# as it alone reaches the endpoint, and reports only once it has stopped.
@pytest.mark.parametrize("silent_s", [2, 4.2, 8])
async def test_a_holder_reports_only_once_it_has_stopped(autojump_clock, silent_s):
    cluster = _Deposed(instances=4)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        cluster.deposed = cluster.holder
        leave_only_the_holder_in_touch(cluster, cluster.lost.info.id)
        faults_of(cluster.deposed).store = "silent"
        await wait_until(lambda: cluster.successors())
        await trio.sleep(silent_s)
        cluster.lost.is_disconnected = True
        faults_of(cluster.deposed).store = ""
        await trio.sleep(25)
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: the report reaches the log seconds after it was
# sent, by which time it seems to be of a later moment.
async def test_a_report_that_arrives_late_ends_no_lease_too_early(
    autojump_clock, monkeypatch
):
    cluster = _Deposed()
    append = FakeLog.append

    async def append_late(log, entries, **options):
        if entries[0][0].startswith("t/"):
            await trio.sleep(1.5)
        return await append(log, entries, **options)

    monkeypatch.setattr(FakeLog, "append", append_late)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.depose()
        await cluster.regain_log()
        await trio.sleep(25)
        assert cluster.reports()
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()


# Guards against a holder that counts its own leases anew, or too short, when it claims
# the role again after the one that deposed it.
async def test_a_deposed_holder_that_claims_again_counts_its_own_leases(
    autojump_clock,
):
    cluster = _Deposed(instances=2)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.depose()
        await cluster.regain_log()
        await trio.sleep(0.6)
        (successor,) = cluster.successors()
        cluster.kill(successor)
        await wait_until(lambda: cluster.deposed.election.leadership)
        await trio.sleep(25)
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()
