"""Which notes of the ends of leases in the log a successor may believe."""

import pytest
import trio
from cluster import holders, wait_until
from fakes import FakeLog, Faults
from test_leases_across_takeovers import _Loss
from test_restarted_endpoints import _Fleet

from ragwortshelf.core.scheduling.record_codec import encode_record
from ragwortshelf.core.scheduling.records import (
    LeasesEnd,
    LeasesResumed,
    TermClock,
    TermHeld,
)
from ragwortshelf.scheduler.log_follower import LogFollower
from ragwortshelf.scheduler.settings import SchedulingSettings
from ragwortshelf.standins.keyed_topic import KeyedTopic

NOTED = (TermClock(1, 0), TermHeld(1, "a", 0), LeasesEnd("e", 1, 5_000, 8_000))


def _append(topic, *records):
    topic.append([encode_record(record) for record in records])


async def _followed(topic, nursery):
    follower = LogFollower(FakeLog(topic, Faults()), SchedulingSettings("i"))
    nursery.start_soon(follower.run)
    await trio.sleep(1)
    return follower


# Guards against a task that runs twice: a holder of an older version, which knows no
# notes and writes no clock, extended leases on an endpoint that the one before noted.
@pytest.mark.parametrize("is_followed", [False, True])
async def test_notes_are_void_after_a_holder_that_wrote_no_clock(
    autojump_clock, is_followed
):
    topic = KeyedTopic()
    _append(topic, *NOTED)
    async with trio.open_nursery() as nursery:
        if is_followed:
            follower = await _followed(topic, nursery)
            assert "e" in follower.noted_leases()
        _append(topic, TermHeld(9, "old", 0))
        if not is_followed:
            follower = await _followed(topic, nursery)
        await trio.sleep(1)
        assert not follower.noted_leases()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: a follower missed that a note was withdrawn, as
# the record of that had expired when it read on.
async def test_a_note_that_was_withdrawn_in_a_gap_is_void(autojump_clock):
    topic = KeyedTopic()
    _append(topic, *NOTED)
    async with trio.open_nursery() as nursery:
        follower = await _followed(topic, nursery)
        assert "e" in follower.noted_leases()
        _append(topic, LeasesResumed("e"), TermHeld(1, "a", 1))
        topic.compact()
        await trio.sleep(2)
        assert not follower.noted_leases()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: a start without an answer reached a new
# incarnation that nobody knows, and a successor released its run with listed ones.
@pytest.mark.parametrize("takeovers", [1, 2])
async def test_a_successor_knows_which_runs_may_be_in_an_unknown_incarnation(
    autojump_clock, takeovers
):
    fleet = _Fleet(instances=3)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.endpoint.lose_start_answers = 1
        await fleet.place_at_first_call_after_restart()
        fleet.cut_off()
        for _ in range(takeovers):
            await trio.sleep(2)
            holder = fleet.holder
            fleet.kill(holder)
            fleet.instances.remove(holder)
            await wait_until(lambda: holders(fleet.instances))
        await fleet.assert_started_again_without_overlap()
        nursery.cancel_scope.cancel()


# Guards against a task that runs twice: a successor, or the session with an endpoint at
# another address, extends leases that the log still says to end.
@pytest.mark.parametrize("change", ["takeover", "address"])
async def test_leases_are_extended_again_only_after_the_note_is_withdrawn(
    autojump_clock, change
):
    cluster = _Loss()
    async with trio.open_nursery() as nursery:
        await cluster.run(nursery)
        await cluster.lose()
        if change == "takeover":
            await cluster.take_over("followers")
        else:
            cluster.platform.move(cluster.lost.info.id, "elsewhere")
            leadership = cluster.holder.election.leadership
            before = leadership._session_by_id[cluster.lost.info.id]
            await wait_until(
                lambda: leadership._session_by_id[cluster.lost.info.id] is not before
            )
        cluster.lost.is_disconnected = False
        await trio.sleep(5)
        assert len(cluster.starts()) == 1
        cluster.lost.is_disconnected = True
        await cluster.take_over("followers")
        await trio.sleep(25)
        assert cluster.has_restarted_only_after_the_first_run()
        nursery.cancel_scope.cancel()
