"""Refusals for the load by whole instances, over a log that they share."""

from dataclasses import replace

import trio
from cluster import (
    CONFIGURATION,
    QUEUE,
    faults_of,
    holders,
    make_instances,
    make_platform,
    running,
)

from ragwortshelf.core.scheduling import JobSpec, Resources, Step
from ragwortshelf.core.scheduling.forecast import CAPACITY_SETTLES_MS, CapacityReporter
from ragwortshelf.core.scheduling.record_codec import decode_record, encode_record
from ragwortshelf.core.scheduling.records import JobSubmitted
from ragwortshelf.scheduler.clock import boot_ms, monotonic_ms
from ragwortshelf.scheduler.gateway import Accepted, Declined, Reason, Uncertain

SETTLED_S = 2 + CAPACITY_SETTLES_MS / 1000 + 1
"""Time until a scheduler was elected and has published its first record."""


def make_small_job(job_id, count=24, estimate_ms=1_000):
    """Return a job that fills the 3 endpoints, whose answer is of use for 3 s."""
    step = Step(count, Resources(1000, 100, 1), estimate_ms)
    return JobSpec(job_id, "q", "pool", "org", "text", (step,))


def make_cluster(instances=1, **queue):
    platform = make_platform()
    platform.configuration = replace(CONFIGURATION, queues=(replace(QUEUE, **queue),))
    for endpoint in platform.endpoint_by_id.values():
        # Tasks outrun their estimate, so that the backlog stays during a test.
        endpoint.work_ms = 20_000
    return platform, make_instances(platform, instances)


async def submit_one(instance, spec):
    return await instance.gateway.submit(spec, monotonic_ms() + 2_700)


def job_ids(count):
    return [f"{number:016x}" for number in range(count)]


async def flood(instance, count=20):
    """Submit jobs one after the other; returns the outcomes by the job's id."""
    outcomes = {}
    for job_id in job_ids(count):
        outcomes[job_id] = await submit_one(instance, make_small_job(job_id))
    return outcomes


def is_overloaded(outcome):
    return isinstance(outcome, Declined) and outcome.reason is Reason.OVERLOADED


# Guards against a flood of which every job is accepted, and against a refusal that is
# untrue because the job runs later.
async def test_a_flood_is_refused_and_a_refused_job_never_runs(autojump_clock):
    platform, (instance,) = make_cluster()
    async with running(instance):
        await trio.sleep(SETTLED_S)
        outcomes = await flood(instance)
        await trio.sleep(20)
        text = instance.metrics.text()
    refused = {job_id for job_id, outcome in outcomes.items() if is_overloaded(outcome)}
    accepted = {job_id for job_id, o in outcomes.items() if o == Accepted()}
    assert refused and accepted and refused | accepted == set(outcomes)
    assert all(outcomes[job_id].retry_after_ms >= 1_000 for job_id in refused)
    written = {key for key, _ in platform.jobs.entries}
    assert not any(f"j/{job_id}" in written for job_id in refused)
    assert not {run[0].partition(".")[0] for run in platform.runs()} & refused
    age = next(line for line in text.split("\n") if "capacity_record_age_ms" in line)
    assert 0 <= int(age.split()[1]) <= 6_000
    assert 'ragwortshelf_forecast_wait_ms{priority="1"}' in text


# Guards against refusals on an idle service, through the whole path.
async def test_nothing_is_refused_on_an_idle_or_moderately_loaded_service(
    autojump_clock,
):
    platform, instances = make_cluster(2)
    for endpoint in platform.endpoint_by_id.values():
        endpoint.work_ms = 1_000
    async with running(*instances):
        await trio.sleep(SETTLED_S)
        for number, job_id in enumerate(job_ids(40)):
            spec = make_small_job(job_id, count=12)
            assert await submit_one(instances[number % 2], spec) == Accepted()
            await trio.sleep(0.8)


# Guards against refusals by what an earlier or no scheduler said.
async def test_nothing_is_refused_without_a_scheduler_or_in_its_first_seconds(
    autojump_clock,
):
    _platform, instances = make_cluster(2)
    async with trio.open_nursery() as nursery:
        scopes = {}

        async def run(instance):
            with trio.CancelScope() as scopes[instance.settings.instance]:
                await instance.run()

        for instance in instances:
            nursery.start_soon(run, instance)
        await trio.sleep(SETTLED_S)
        (holder,) = holders(instances)
        other = next(i for i in instances if i is not holder)
        assert is_overloaded(list((await flood(other)).values())[-1])
        scopes[holder.settings.instance].cancel()
        await trio.sleep(1.3)
        outcome = await submit_one(other, make_small_job("a" * 16))
        assert outcome == Accepted()
        await trio.sleep(1.5)
        assert holders([other])
        outcome = await submit_one(other, make_small_job("b" * 16))
        assert outcome == Accepted()
        await trio.sleep(SETTLED_S)
        outcome = await submit_one(other, make_small_job("c" * 16))
        assert is_overloaded(outcome)
        nursery.cancel_scope.cancel()


# Guards against the claim that a job was not accepted although an append of it, here or
# at another instance, may be in the log.
async def test_a_repeat_of_an_uncertain_submission_is_not_refused(autojump_clock):
    platform, (first, second) = make_cluster(2)
    here, there = make_small_job("a" * 16), make_small_job("b" * 16)
    async with running(first, second):
        await trio.sleep(SETTLED_S)
        faults_of(first).store = "append_lost"
        assert isinstance(await submit_one(first, here), Uncertain)
        faults_of(first).store = ""
        # The lost submission counts for 5 s, during which the flood lasts.
        await trio.sleep(5)
        await flood(first)
        assert is_overloaded(await submit_one(first, make_small_job("c" * 16)))
        # The earlier append was lost, which this instance cannot know.
        assert not isinstance(await submit_one(first, here), Declined)

        # An append whose answer is lost and that the other instance reads only later.
        platform.jobs.append([encode_record(JobSubmitted(there))])
        assert await submit_one(second, there) == Accepted()


# Guards against an answer from a table that was emptied after the awaited read, by
# which a known job would be refused.
async def test_a_later_read_does_not_count_once_the_table_is_reloaded(
    autojump_clock, monkeypatch
):
    _platform, (instance,) = make_cluster()
    async with running(instance):
        await trio.sleep(SETTLED_S)
        follower = instance.follower
        record_answer = follower._record_answer

        def answer_and_restart(sent_boot_ms, reached_end):
            record_answer(sent_boot_ms, reached_end)
            if reached_end and sent_boot_ms > since_ms:
                faults_of(instance).store = "silent"
                follower.restart()

        since_ms = boot_ms()
        monkeypatch.setattr(follower, "_record_answer", answer_and_restart)
        assert not await follower.wait_for_later_read(since_ms, 600)
        assert follower.confirmed_boot_ms > since_ms


async def test_a_known_job_is_not_refused(autojump_clock):
    _platform, (instance,) = make_cluster()
    async with running(instance):
        await trio.sleep(SETTLED_S)
        outcomes = await flood(instance)
        assert is_overloaded(list(outcomes.values())[-1])
        for job_id, outcome in outcomes.items():
            if outcome == Accepted():
                again = await submit_one(instance, make_small_job(job_id))
                assert again == Accepted()


# Guards against a refusal for load when the log is not read, and against one that says
# nothing of the log's outage.
async def test_an_instance_without_the_log_does_not_refuse_for_load(autojump_clock):
    _platform, (instance,) = make_cluster()
    async with running(instance):
        await trio.sleep(SETTLED_S)
        assert is_overloaded(list((await flood(instance)).values())[-1])
        faults_of(instance).store = "silent"
        outcome = await submit_one(instance, make_small_job("a" * 16))
        assert not is_overloaded(outcome)
        await trio.sleep(1.5)
        outcome = await submit_one(instance, make_small_job("b" * 16))
        assert outcome.reason is Reason.LOG_UNAVAILABLE


async def test_the_capacity_is_published_with_renewals_of_the_term(autojump_clock):
    platform, (instance,) = make_cluster()
    appends = []
    append = platform.jobs.append

    def record_append(entries, *args):
        appends.append([key for key, _ in entries])
        return append(entries, *args)

    platform.jobs.append = record_append
    async with running(instance):
        await trio.sleep(SETTLED_S + 12)
    with_capacity = [keys for keys in appends if "f/pool" in keys]
    # Each 5 s, beside the renewal, so that no append is made for it.
    assert 3 <= len(with_capacity) <= 4
    assert all("term" in keys for keys in with_capacity)
    value = next(v for k, v in platform.jobs.entries if k == "f/pool")
    record = decode_record("f/pool", value)
    assert record.capacity == Resources(24_000, 24_000, 24)


# Guards against a term that ends because its capacity cannot be computed.
async def test_an_error_in_the_report_does_not_end_the_term(
    autojump_clock, monkeypatch
):
    def fail(*args):
        raise RuntimeError("injected")

    monkeypatch.setattr(CapacityReporter, "due_records", fail)
    _platform, (instance,) = make_cluster()
    async with running(instance):
        await trio.sleep(SETTLED_S + 2)
        assert instance.election.leadership.claim.term == 1
