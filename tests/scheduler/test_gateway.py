"""Answers to callers, in particular while the log or the configuration is missing."""

from dataclasses import replace

import fakes
import pytest
import trio
from cluster import (
    faults_of,
    make_instances,
    make_job,
    make_lasting_job,
    make_platform,
    running,
    submit,
)
from fakes import FakeLog

from ragwortshelf.core.scheduling import JobState
from ragwortshelf.scheduler.clock import monotonic_ms
from ragwortshelf.scheduler.gateway import (
    Accepted,
    Declined,
    Reason,
    Shown,
    Uncertain,
)
from ragwortshelf.scheduler.interfaces import LogUnanswered
from ragwortshelf.scheduler.uncertain_submissions import UncertainSubmissions


async def _timed_submit(instance, spec):
    began = monotonic_ms()
    outcome = await instance.gateway.submit(spec, began + 2_700)
    return outcome, monotonic_ms() - began


async def test_a_submission_is_declined_at_once_while_the_log_is_unavailable(
    autojump_clock,
):
    # Guards against callers that wait while the whole log is silent for seconds.
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        faults_of(instance).store = "silent"
        await trio.sleep(1.5)
        outcome, took_ms = await _timed_submit(instance, make_job("a" * 16))
        assert isinstance(outcome, Declined)
        assert outcome.reason is Reason.LOG_UNAVAILABLE
        assert outcome.retry_after_ms
        assert took_ms < 10
    assert not any(key.startswith("j/") for key, _ in platform.jobs.entries)


async def test_an_unanswered_append_is_reported_uncertain_in_time(autojump_clock):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        faults_of(instance).lose_append_answers = 100
        outcome, took_ms = await _timed_submit(instance, make_job("a" * 16))
        # Either the record is read back from the log, or the append times out within a
        # second.
        assert isinstance(outcome, (Accepted, Uncertain))
        assert took_ms <= 1_600


# Guards against callers that are sent away while their append is about to succeed,
# because it began late behind another one on a slow log.
async def test_a_submission_behind_another_append_on_a_slow_log_is_accepted(
    autojump_clock, monkeypatch
):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    outcomes = []
    async with running(instance):
        await trio.sleep(1)
        monkeypatch.setattr(fakes, "LOG_CALL_S", 0.5)
        async with trio.open_nursery() as nursery:

            async def submit_and_note(spec):
                outcomes.append(await _timed_submit(instance, spec))

            for letter in "abcdef":
                nursery.start_soon(submit_and_note, make_job(letter * 16))
                await trio.sleep(0.09)
    assert [type(outcome) for outcome, _ in outcomes] == [Accepted] * 6
    assert max(took_ms for _, took_ms in outcomes) > 900


# Guards against the claim that a job was not accepted while the append of another
# submission of the same job is under way, or may have taken effect.
async def test_a_submission_beside_another_of_the_same_job_is_not_refused(
    autojump_clock, monkeypatch
):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    outcome_by_name = {}

    async def submit_as(name, spec):
        outcome_by_name[name], _ = await _timed_submit(instance, spec)

    async with running(instance):
        await trio.sleep(1)
        monkeypatch.setattr(fakes, "LOG_CALL_S", 0.5)
        async with trio.open_nursery() as nursery:
            # Two appends, each full with one job, keep the writer busy for 1 s.
            for letter in "bc":
                spec = replace(make_job(letter * 16), text="x" * 120_000)
                nursery.start_soon(submit_as, letter, spec)
                await trio.sleep(0.01)
            nursery.start_soon(submit_as, "first", make_job("a" * 16))
            await trio.sleep(0.1)
            nursery.start_soon(submit_as, "second", make_job("a" * 16))
    assert outcome_by_name["second"] == Accepted()
    assert not isinstance(outcome_by_name["first"], Declined)
    assert any(key == "j/" + "a" * 16 for key, _ in platform.jobs.entries)


def test_a_refused_submission_leaves_another_of_the_same_job_uncertain():
    uncertain = UncertainSubmissions()
    uncertain.add("a")
    uncertain.add("a")
    assert not uncertain.discard("a")
    assert "a" in uncertain
    assert uncertain.discard("a")
    assert "a" not in uncertain


async def test_an_instance_without_the_log_is_not_ready(autojump_clock):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        assert instance.gateway.is_ready()
        faults_of(instance).store = "silent"
        await trio.sleep(1.5)
        assert not instance.gateway.is_ready()
        faults_of(instance).store = ""
        await trio.sleep(2.5)
        assert instance.gateway.is_ready()


async def test_a_cancellation_also_covers_a_submission_that_comes_later(
    autojump_clock,
):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        deadline = monotonic_ms() + 2_000
        outcome = await instance.gateway.cancel("a" * 16, deadline)
        assert outcome == Declined(Reason.NO_JOB)
        await submit(instance, make_job("a" * 16))
        await trio.sleep(2)
        assert not platform.runs()


async def test_a_repeated_submission_stays_one_job(autojump_clock):
    platform = make_platform()
    instances = make_instances(platform, 3)
    async with running(*instances):
        await trio.sleep(1)
        for instance in instances:
            await submit(instance, make_job("a" * 16))
        await trio.sleep(3)
        await submit(instances[1], make_job("a" * 16))
        await trio.sleep(2)
        assert len(platform.runs()) == 2


async def test_a_disconnected_instance_declines_a_revoked_key_in_time(autojump_clock):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        assert not isinstance(instance.gateway.authorise("h", "/q/x", "key"), Declined)
        faults_of(instance).store = "silent"
        await trio.sleep(instance.settings.revocation_ms / 1000)
        refused = instance.gateway.authorise("h", "/q/x", "key")
        assert refused.reason is Reason.NOT_READY


async def test_each_reason_for_declining_is_distinguished(autojump_clock):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    gateway = instance.gateway
    assert gateway.authorise("h", "/q/x", "key").reason is Reason.NOT_READY
    async with running(instance):
        await trio.sleep(1)
        assert gateway.authorise("h", "/none/x", "key").reason is Reason.NO_QUEUE
        assert gateway.authorise("g", "/q/x", "key").reason is Reason.NO_QUEUE
        assert gateway.authorise("h", "/q/x", "other").reason is Reason.UNKNOWN_KEY
        assert (await gateway.state("0" * 16)).reason is Reason.NO_JOB


async def test_an_instance_serves_again_soon_after_a_silent_outage(autojump_clock):
    # Guards against a delay when the log recovers after 6 s while calls sent during
    # the outage are still waiting for an answer.
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        faults = faults_of(instance)
        for length_s in (5.9, 6.1, 6.3, 6.5):
            faults.store = "silent"
            await trio.sleep(length_s)
            faults.store = ""
            await trio.sleep(0.7)
            outcome = instance.gateway.authorise("h", "/q/x", "key")
            assert not isinstance(outcome, Declined)
            assert instance.gateway.is_ready()
            await trio.sleep(2)
        assert instance.election.leadership is not None


async def test_a_repeated_submission_is_not_refused_while_the_first_may_be_in_the_log(
    autojump_clock,
):
    # The answer to the first append was lost, then the log stopped answering.
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    spec = make_job("a" * 16)
    async with running(instance):
        await trio.sleep(1)
        faults_of(instance).store = "append_lost"
        outcome, _ = await _timed_submit(instance, spec)
        assert isinstance(outcome, Uncertain)
        faults_of(instance).store = "silent"
        await trio.sleep(1.5)
        outcome, took_ms = await _timed_submit(instance, spec)
        assert isinstance(outcome, Uncertain)
        assert took_ms < 10
        other, _ = await _timed_submit(instance, make_job("b" * 16))
        assert other.reason is Reason.LOG_UNAVAILABLE


async def test_a_submission_whose_caller_left_is_not_refused_when_repeated(
    autojump_clock,
):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    spec = make_job("a" * 16)
    async with running(instance):
        await trio.sleep(1)
        faults_of(instance).store = "append_lost"
        with trio.move_on_after(0.1):
            await _timed_submit(instance, spec)
        faults_of(instance).store = "silent"
        await trio.sleep(1.5)
        outcome, _ = await _timed_submit(instance, spec)
        assert isinstance(outcome, Uncertain)


def _slow_down_log(monkeypatch, call_s=0.24):
    """Let each call to the log take as long as in a slow phase of the platform."""
    monkeypatch.setattr(fakes, "LOG_CALL_S", call_s)


async def _timed_state(instance, job_id):
    began = monotonic_ms()
    outcome = await instance.gateway.state(job_id)
    return outcome, monotonic_ms() - began


# Guards against queries that wait for their whole time limit on a slow log, because no
# read can be as recent as wanted once it has been answered.
async def test_a_state_is_recent_after_the_next_reads_of_a_slow_log(
    autojump_clock, monkeypatch
):
    platform = make_platform()
    instance, other = make_instances(platform, 2)
    async with running(instance, other):
        await trio.sleep(1)
        await submit(other, make_lasting_job("a" * 16))
        await trio.sleep(1)
        _slow_down_log(monkeypatch)
        await trio.sleep(2)
        for pause_s in (0.01, 0.1, 0.2, 0.3):
            await trio.sleep(pause_s)
            outcome, took_ms = await _timed_state(instance, "a" * 16)
            assert outcome == Shown(JobState.RUNNING)
            assert took_ms <= 2 * 240 + 10


# Guards against an unknown job that is reported as unavailable for as long as the log
# is slow: the caller would ask again and again.
@pytest.mark.parametrize("call_s", [0.24, 0.6])
async def test_an_unknown_job_is_reported_as_such_on_a_slow_log(
    autojump_clock, monkeypatch, call_s
):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        _slow_down_log(monkeypatch, call_s)
        await trio.sleep(2)
        outcome, _ = await _timed_state(instance, "f" * 16)
    assert isinstance(outcome, Declined)
    assert outcome.reason is Reason.NO_JOB


# Guards against states that cannot change any more and still wait for the log.
async def test_the_state_of_an_ended_job_is_given_without_a_read(autojump_clock):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job("a" * 16))
        await trio.sleep(5)
        faults_of(instance).store = "silent"
        await trio.sleep(1.5)
        outcome, took_ms = await _timed_state(instance, "a" * 16)
    assert outcome == Shown(JobState.COMPLETED)
    assert took_ms < 10


# Guards against queries that wait for a log that does not answer, or hardly, although
# their answer does not depend on it: with many callers the last ones come too late.
@pytest.mark.parametrize(("store", "call_s"), [("silent", 0.004), ("", 0.6)])
async def test_the_state_of_a_known_job_is_given_in_time_beside_a_bad_log(
    autojump_clock, monkeypatch, store, call_s
):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_lasting_job("a" * 16))
        await trio.sleep(2)
        faults_of(instance).store = store
        _slow_down_log(monkeypatch, call_s)
        await trio.sleep(1.5)
        outcome, took_ms = await _timed_state(instance, "a" * 16)
    assert outcome == Shown(JobState.RUNNING)
    assert took_ms <= (10 if store else 260)


# Guards against cancellations that are in the log and are reported as uncertain, since
# the log takes appends and does not answer reads.
async def test_a_cancellation_in_the_log_is_accepted_without_reading_it_back(
    autojump_clock, monkeypatch
):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]

    async def read_in_vain(log, offset, *, wait_ms, timeout_ms, is_brief=False):
        await trio.sleep(timeout_ms / 1000)
        return LogUnanswered("lost")

    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_lasting_job("a" * 16))
        await trio.sleep(1)
        monkeypatch.setattr(FakeLog, "read", read_in_vain)
        # Reads that were under way are still answered.
        await trio.sleep(1.5)
        deadline_ms = monotonic_ms() + 2_700
        assert await instance.gateway.cancel("a" * 16, deadline_ms) == Accepted()
        assert isinstance(
            await instance.gateway.cancel("f" * 16, monotonic_ms() + 2_700), Uncertain
        )
