"""A holder that outlives its term tells its successors which runs it saw done."""

import pytest
import trio
from cluster import faults_of, holders, state_of, wait_until
from test_leases_of_a_deposed_holder import LOST_AFTER_S, _Deposed

from ragwortshelf.core.scheduling import JobState


class _Finished(_Deposed):
    """A cluster whose task ends while the log is silent to the holder alone."""

    async def depose_after_end(self):
        self.deposed = self.holder
        self.silent_s = trio.current_time()
        faults_of(self.deposed).store = "silent"
        (task,) = self.lost.running
        self.lost.finish(task)
        await trio.sleep_until(self.silent_s + LOST_AFTER_S)
        self.lost.is_disconnected = True
        await wait_until(lambda: self.successors())
        await wait_until(lambda: self.deposed.election.leadership is None)

    async def is_completed(self):
        # The deposed instance follows the log like every other one.
        instance = self.instances[0]
        return await state_of(instance, self.job_id) is JobState.COMPLETED


# Guards against a step that waits on an idle fleet: the holder before had read the end
# of the last run, could not write it, and said nothing when the log answered again.
@pytest.mark.parametrize("takeover_s", [None, -1, 1])
async def test_an_end_that_a_deposed_holder_saw_counts(autojump_clock, takeover_s):
    cluster = _Finished(instances=4)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.depose_after_end()
        if takeover_s == -1:
            await trio.sleep(0.9)
            await cluster.take_over("followers")
        await cluster.regain_log()
        await trio.sleep(0.6)
        assert cluster.reports()
        if takeover_s == 1:
            await cluster.take_over("all without power")
        await trio.sleep(1)
        assert await cluster.is_completed()
        await trio.sleep(15)
        assert len(cluster.starts()) == 1
        nursery.cancel_scope.cancel()


# Guards against a run that counts as done by the end of the one before it.
async def test_an_end_of_an_earlier_run_does_not_count(autojump_clock):
    cluster = _Finished(instances=4)
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.depose_after_end()
        await wait_until(lambda: len(cluster.starts()) == 2)
        leadership = holders(cluster.instances)[0].election.leadership
        ended = cluster.deposed.term_reporter._waiting
        assert not ended or ended[0][1].done_runs
        faults_of(cluster.deposed).store = ""
        await trio.sleep(2)
        assert leadership._scheduler.unit_by_key
        assert not await cluster.is_completed()
        nursery.cancel_scope.cancel()
