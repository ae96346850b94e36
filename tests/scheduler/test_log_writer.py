"""Concurrent callers' records reach the log, and each caller an answer in time."""

import trio
from fakes import FakeLog, Faults

from ragwortshelf.scheduler.clock import monotonic_ms
from ragwortshelf.scheduler.log_writer import Committed, GroupWriter, NotCommitted
from ragwortshelf.scheduler.settings import SchedulingSettings
from ragwortshelf.standins.keyed_topic import KeyedTopic

SETTINGS = SchedulingSettings("i")
SLOWEST_LINK_BYTES_PER_S = 625_000


class Fixture:
    """A writer on a fake log, and what became of its callers by name."""

    def __init__(self):
        self.faults = Faults()
        self.topic = KeyedTopic()
        self.writer = GroupWriter(FakeLog(self.topic, self.faults), SETTINGS)
        self.outcome_by_name = {}
        self.ended_ms_by_name = {}

    async def commit(self, name, deadline_ms, size=100):
        outcome = await self.writer.commit([(name, b"x" * size)], deadline_ms)
        self.outcome_by_name[name] = outcome
        self.ended_ms_by_name[name] = monotonic_ms()

    def names_in_log(self):
        return [name for name, _ in self.topic.entries]


# Guards against groups that a slow link never carries within the time limit of an
# append, so that every caller in them ends uncertain.
async def test_many_records_are_committed_across_a_slow_link(autojump_clock):
    fixture = Fixture()
    fixture.faults.append_bytes_per_s = SLOWEST_LINK_BYTES_PER_S
    names = [f"j/{number}" for number in range(300)]
    deadline_ms = monotonic_ms() + 5_000
    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as callers:
            for name in names:
                callers.start_soon(fixture.commit, name, deadline_ms, 2_500)
            nursery.start_soon(fixture.writer.run)
        nursery.cancel_scope.cancel()
    outcomes = fixture.outcome_by_name.values()
    assert sum(isinstance(outcome, Committed) for outcome in outcomes) == 300
    assert sorted(fixture.names_in_log()) == sorted(names)
    limit_s = SETTINGS.log_call_timeout_ms / 1000
    assert max(fixture.faults.append_sizes) <= SLOWEST_LINK_BYTES_PER_S * limit_s / 4


async def test_a_record_larger_than_a_group_is_appended_alone(autojump_clock):
    fixture = Fixture()
    deadline_ms = monotonic_ms() + 2_000
    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as callers:
            for name, size in (("a", 100), ("b", 400_000), ("c", 100)):
                callers.start_soon(fixture.commit, name, deadline_ms, size)
                await trio.sleep(0)
            nursery.start_soon(fixture.writer.run)
        nursery.cancel_scope.cancel()
    assert [len(value) for _, value in fixture.topic.entries].count(400_000) == 1
    assert 400_001 in fixture.faults.append_sizes
    assert all(isinstance(o, Committed) for o in fixture.outcome_by_name.values())


# Guards against callers that wait beyond their deadlines for an append under way.
async def test_a_caller_is_answered_at_its_deadline_during_an_append(autojump_clock):
    fixture = Fixture()
    fixture.faults.lose_append_answers = 1
    began_ms = monotonic_ms()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fixture.writer.run)
        await fixture.commit("a", began_ms + 300)
        nursery.cancel_scope.cancel()
    assert 300 <= fixture.ended_ms_by_name["a"] - began_ms <= 305
    assert isinstance(fixture.outcome_by_name["a"], NotCommitted)
    assert fixture.outcome_by_name["a"].may_be_appended
    assert fixture.names_in_log() == ["a"]


# Guards against records that are appended after their caller's deadline, though no
# attempt had been made by then.
async def test_a_record_not_tried_by_its_deadline_is_never_appended(autojump_clock):
    fixture = Fixture()
    fixture.faults.lose_append_answers = 1
    began_ms = monotonic_ms()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fixture.writer.run)
        nursery.start_soon(fixture.commit, "a", began_ms + 5_000)
        await trio.sleep(0.1)
        await fixture.commit("b", began_ms + 400)
        await trio.sleep(5)
        nursery.cancel_scope.cancel()
    assert 400 <= fixture.ended_ms_by_name["b"] - began_ms <= 405
    assert isinstance(fixture.outcome_by_name["b"], NotCommitted)
    assert not fixture.outcome_by_name["b"].may_be_appended
    assert isinstance(fixture.outcome_by_name["a"], Committed)
    assert set(fixture.names_in_log()) == {"a"}


# Guards against records of disconnected callers that are appended after the deadline.
async def test_a_record_of_a_cancelled_caller_is_not_appended_late(autojump_clock):
    fixture = Fixture()
    fixture.faults.lose_append_answers = 1
    began_ms = monotonic_ms()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fixture.writer.run)
        nursery.start_soon(fixture.commit, "a", began_ms + 5_000)
        await trio.sleep(0.1)
        with trio.move_on_after(0.1):
            await fixture.commit("b", began_ms + 400)
        await trio.sleep(5)
        nursery.cancel_scope.cancel()
    assert "b" not in fixture.outcome_by_name
    assert set(fixture.names_in_log()) == {"a"}


# Guards against the claim that a record is not in the log after an unanswered attempt,
# because a later one was refused.
async def test_a_refusal_does_not_undo_an_earlier_unanswered_attempt(autojump_clock):
    fixture = Fixture()
    fixture.faults.lose_append_answers = 1
    began_ms = monotonic_ms()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fixture.writer.run)
        nursery.start_soon(fixture.commit, "a", began_ms + 2_000)
        await trio.sleep(0.5)
        fixture.faults.store = "busy"
        await trio.sleep(1.6)
        nursery.cancel_scope.cancel()
    assert isinstance(fixture.outcome_by_name["a"], NotCommitted)
    assert fixture.outcome_by_name["a"].may_be_appended
    assert fixture.names_in_log() == ["a"]


async def test_a_record_that_was_only_refused_is_reported_as_not_appended(
    autojump_clock,
):
    fixture = Fixture()
    fixture.faults.store = "busy"
    began_ms = monotonic_ms()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fixture.writer.run)
        await fixture.commit("a", began_ms + 1_000)
        nursery.cancel_scope.cancel()
    assert isinstance(fixture.outcome_by_name["a"], NotCommitted)
    assert not fixture.outcome_by_name["a"].may_be_appended
    assert fixture.names_in_log() == []
