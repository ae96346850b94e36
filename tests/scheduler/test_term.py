"""One instance schedules at a time, and a successor continues its work."""

from dataclasses import replace

import pytest
import trio
from cluster import (
    CONFIGURATION,
    faults_of,
    holders,
    make_instances,
    make_job,
    make_platform,
    running,
    state_of,
    submit,
)
from fakes import FakePlatformAdapter, Platform

from ragwortshelf.core.scheduling import JobState, Resources
from ragwortshelf.core.scheduling.actions import (
    PersistEvidence,
    PersistUnit,
    StartTask,
)
from ragwortshelf.core.scheduling.job_table import JobTable
from ragwortshelf.core.scheduling.listings import StartOutcome
from ragwortshelf.core.scheduling.model import Incarnation, UnitKey, UnitPhase
from ragwortshelf.core.scheduling.record_codec import decode_record, encode_record
from ragwortshelf.core.scheduling.records import (
    EndpointForgotten,
    EndpointObserved,
    ServiceCapacity,
    TermHeld,
    UnitRecord,
)
from ragwortshelf.daemon.metrics import Metrics
from ragwortshelf.scheduler.clock import boot_ms
from ragwortshelf.scheduler.instance import Instance
from ragwortshelf.scheduler.log_topics import open_logs
from ragwortshelf.scheduler.settings import SchedulingSettings
from ragwortshelf.scheduler.term_writer import TermWriter

SLOWEST_LINK_BYTES_PER_S = 625_000


async def test_simultaneous_claims_result_in_one_holder(autojump_clock):
    # The log answers a repeated append like the original one. Identical claims of two
    # instances would therefore give both of them the role.
    for _ in range(20):
        platform = make_platform()
        instances = make_instances(platform, 6)
        async with running(*instances):
            for _ in range(100):
                await trio.sleep(0.01)
                assert len(holders(instances)) <= 1
            assert len(holders(instances)) == 1


async def test_a_job_runs_to_its_end_and_every_instance_shows_it(autojump_clock):
    platform = make_platform()
    instances = make_instances(platform, 3)
    async with running(*instances):
        await trio.sleep(1)
        await submit(instances[0], make_job("a" * 16))
        await trio.sleep(0.5)
        for instance in instances:
            assert await state_of(instance, "a" * 16) is JobState.RUNNING
        await trio.sleep(2)
        for instance in instances:
            assert await state_of(instance, "a" * 16) is JobState.COMPLETED
        assert len(platform.runs()) == 2


async def test_a_successor_continues_without_starting_tasks_twice(autojump_clock):
    platform = make_platform()
    instances = make_instances(platform, 3)
    for endpoint in platform.endpoint_by_id.values():
        endpoint.work_ms = 6_000
    async with trio.open_nursery() as nursery:
        scopes = {}

        async def run(instance):
            with trio.CancelScope() as scopes[instance]:
                await instance.run()

        for instance in instances:
            nursery.start_soon(run, instance)
        await trio.sleep(1)
        holder = holders(instances)[0]
        await submit(holder, make_job("b" * 16))
        await trio.sleep(1)
        scopes[holder].cancel()
        rest = [i for i in instances if i is not holder]
        await trio.sleep(3)
        assert len(holders(rest)) == 1
        await trio.sleep(5)
        assert await state_of(rest[0], "b" * 16) is JobState.COMPLETED
        assert len(platform.runs()) == 2
        nursery.cancel_scope.cancel()


async def test_a_planned_stop_hands_over_at_once(autojump_clock):
    platform = make_platform()
    instances = make_instances(platform, 3)
    async with running(*instances):
        await trio.sleep(1)
        holder = holders(instances)[0]
        await holder.drain()
        await trio.sleep(0.8)
        assert holders(instances) and holder not in holders(instances)


async def test_an_outage_of_the_log_does_not_change_the_holder(autojump_clock):
    platform = make_platform()
    instances = make_instances(platform, 3)
    adapters = [instance.configuration._adapter for instance in instances]
    async with running(*instances):
        await trio.sleep(1)
        holder = holders(instances)[0]
        for adapter in adapters:
            adapter.faults.store = "busy"
        await trio.sleep(4)
        for adapter in adapters:
            adapter.faults.store = ""
        await trio.sleep(3)
        assert holders(instances) == [holder]


async def test_an_unanswered_append_takes_effect_once(autojump_clock):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        faults_of(instance).lose_append_answers = 2
        await submit(instance, make_job("c" * 16))
        await trio.sleep(4)
        assert await state_of(instance, "c" * 16) is JobState.COMPLETED
        assert len(platform.runs()) == 2


async def test_an_unanswered_start_is_retried(autojump_clock):
    platform = make_platform(1)
    instance = make_instances(platform, 1)[0]
    platform.endpoint_by_id["e0"].lose_start_answers = 1
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job("d" * 16, gang=True))
        await trio.sleep(3)
        assert await state_of(instance, "d" * 16) is JobState.COMPLETED
        assert [run for _, run, *_ in platform.runs()] == [1, 1]


async def test_tasks_of_a_lost_endpoint_start_elsewhere_after_its_lease(
    autojump_clock,
):
    platform = make_platform(2)
    instance = make_instances(platform, 1)[0]
    for endpoint in platform.endpoint_by_id.values():
        endpoint.work_ms = 4_000
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job("e" * 16, count=1))
        await trio.sleep(0.5)
        first = platform.runs()[0][2]
        lost_endpoint = platform.endpoint_by_id[first]
        lost_endpoint.is_disconnected = True
        lost_ms = lost_endpoint.clock_ms()
        await trio.sleep(14)
        starts = platform.runs()
        assert len(starts) == 2
        assert starts[0][2] != starts[1][2]
        later = max(at for _, _, _, at, _ in starts)
        assert later >= lost_ms + 5_000
        assert await state_of(instance, "e" * 16) is JobState.COMPLETED


async def test_tasks_that_finish_without_a_scheduler_are_not_restarted(autojump_clock):
    platform = make_platform()
    instances = make_instances(platform, 3)
    adapters = [instance.configuration._adapter for instance in instances]
    for endpoint in platform.endpoint_by_id.values():
        endpoint.work_ms = 10_000
    async with running(*instances):
        await trio.sleep(1)
        await submit(instances[0], make_job("f" * 16))
        await trio.sleep(1)
        for adapter in adapters:
            adapter.faults.store = "busy"
        # The holder gives the role up after 9 s without confirmation; tasks end then.
        await trio.sleep(11)
        for adapter in adapters:
            adapter.faults.store = ""
        await trio.sleep(5)
        assert await state_of(instances[0], "f" * 16) is JobState.COMPLETED
        assert len(platform.runs()) == 2


async def test_a_restarted_holder_continues_at_once(autojump_clock):
    platform = make_platform()
    first = make_instances(platform, 1)[0]
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run)
            await trio.sleep(1)
            assert first.election.leadership is not None
            scope.cancel()
    restarted = make_instances(platform, 1)[0]
    async with running(restarted):
        await trio.sleep(0.5)
        assert restarted.election.leadership is not None


async def test_a_successor_claims_the_role_while_the_log_is_slow(
    autojump_clock, monkeypatch
):
    platform = make_platform()
    instances = make_instances(platform, 3)
    async with running(*instances):
        await trio.sleep(1)
        monkeypatch.setattr("fakes.LOG_CALL_S", 0.24)
        await trio.sleep(3)
        (holder,) = holders(instances)
        await holder.drain()
        await trio.sleep(1.5)
        assert holders(instances)


async def test_a_successor_starts_what_waits_at_once(autojump_clock, monkeypatch):
    # Guards against starts that are sent before the endpoints have leases: a job is
    # accepted while no instance schedules, and endpoints answer more slowly than the
    # log.
    monkeypatch.setattr("fakes.LINK_DELAY_S", 0.02)
    platform = make_platform(6)
    instances = make_instances(platform, 2)
    async with running(*instances):
        await trio.sleep(1)
        (holder,) = holders(instances)
        (other,) = [i for i in instances if i is not holder]
        holder.election.is_stopping = True
        holder.election.leadership.resign()
        await trio.sleep(0.02)
        await submit(other, make_job("a" * 16, count=12))
        await trio.sleep(0.6)
        assert holders(instances) == [other]
        runs = platform.runs()
        assert len(runs) == 12
        assert {run for _, run, *_ in runs} == {1}


async def test_leases_are_renewed_while_finished_runs_wait_for_the_log(autojump_clock):
    # Guards against lost leases: a short task finishes beside a long one while the log
    # is unavailable for 8 s.
    platform = make_platform(1)
    instance = make_instances(platform, 1)[0]
    endpoint = platform.endpoint_by_id["e0"]
    async with running(instance):
        await trio.sleep(1)
        endpoint.work_ms = 12_000
        await submit(instance, make_job("a" * 16, count=2))
        await trio.sleep(0.5)
        ended = next(iter(endpoint.running))
        faults_of(instance).store = "busy"
        endpoint.finish(ended)
        await trio.sleep(8)
        faults_of(instance).store = ""
        await trio.sleep(8)
        assert await state_of(instance, "a" * 16) is JobState.COMPLETED
        assert len(platform.runs()) == 2
        assert not endpoint.finished


async def test_an_endpoint_unreachable_at_first_becomes_reachable(autojump_clock):
    platform = make_platform(2)
    instance = make_instances(platform, 1)[0]
    endpoint = platform.endpoint_by_id["e0"]
    endpoint.is_disconnected = True
    async with running(instance):
        await trio.sleep(5)
        endpoint.is_disconnected = False
        await trio.sleep(1.5)
        scheduler = instance.election.leadership._scheduler
        assert scheduler.endpoint_by_id["e0"].is_reachable


async def test_an_endpoint_that_recovers_gets_starts_within_a_new_lease(autojump_clock):
    # Guards against starts refused as late: an endpoint is unreachable for longer than
    # a lease while a job waits for it.
    platform = make_platform(1)
    instance = make_instances(platform, 1)[0]
    endpoint = platform.endpoint_by_id["e0"]
    outcomes = []
    start = endpoint.start
    endpoint.start = lambda *order: outcomes.append(start(*order)) or outcomes[-1]
    async with running(instance):
        await trio.sleep(1)
        endpoint.is_disconnected = True
        await trio.sleep(9)
        await submit(instance, make_job("a" * 16, count=2))
        endpoint.is_disconnected = False
        # The renewal in progress takes 0.4 s and the pause after it at most 0.8 s.
        await trio.sleep(1.5)
    assert outcomes == [StartOutcome.STARTED] * 2


async def test_larger_instances_win_the_election(autojump_clock):
    for _ in range(5):
        platform = make_platform()
        small = [
            Instance(
                FakePlatformAdapter(platform), SchedulingSettings(f"s{n}", cores=0.5)
            )
            for n in range(4)
        ]
        large = Instance(
            FakePlatformAdapter(platform), SchedulingSettings("l", cores=2.0)
        )
        async with trio.open_nursery() as nursery:
            for instance in (*small, large):
                nursery.start_soon(instance.run)
            await trio.sleep(2)
            assert holders([*small, large]) == [large]
            nursery.cancel_scope.cancel()


async def test_an_endpoint_is_used_again_after_its_restart(autojump_clock):
    platform = make_platform(1)
    instance = make_instances(platform, 1)[0]
    endpoint = platform.endpoint_by_id["e0"]
    endpoint.work_ms = 3_000
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job("a" * 16))
        await trio.sleep(0.5)
        endpoint.born = 2
        endpoint.token = 0
        endpoint.running.clear()
        endpoint.finished.clear()
        await trio.sleep(6)
        assert await state_of(instance, "a" * 16) is JobState.COMPLETED
        assert sorted(run for _, run, *_ in platform.runs()) == [1, 1, 2, 2]


async def test_a_holder_whose_resignation_is_not_answered_grants_no_more_leases(
    autojump_clock,
):
    # The successor counts the leases of a holder that resigned from its resignation on.
    platform = make_platform(2)
    instances = make_instances(platform, 2)
    async with running(*instances):
        await trio.sleep(1)
        (holder,) = holders(instances)
        term = holder.election.leadership.claim.term
        faults_of(holder).lose_append_answers = 5
        async with trio.open_nursery() as nursery:
            nursery.start_soon(holder.drain)
            while not _has_resigned(platform, term):
                await trio.sleep(0.001)
            for endpoint in platform.endpoint_by_id.values():
                endpoint.renewals.clear()
        await trio.sleep(2)
        assert holders(instances)
        for endpoint in platform.endpoint_by_id.values():
            tokens = {token for token, _ in endpoint.renewals}
            assert tokens and term not in tokens


def _has_resigned(platform, term):
    return any(
        record.term == term and record.is_resigned
        for record in (
            decode_record(key, value) for key, value in platform.jobs.entries
        )
        if isinstance(record, TermHeld)
    )


def _make_term_writer(adapter, due_records=tuple):
    return TermWriter(
        TermHeld(1, "i", 0),
        boot_ms(),
        0,
        open_logs(adapter, Metrics()),
        SchedulingSettings("i"),
        JobTable(),
        due_records,
    )


def _decision(number, endpoint_count):
    endpoints = tuple(f"endpoint-{n:04}.rack.example" for n in range(endpoint_count))
    key = UnitKey(f"{number:016x}", 0, 0, 0)
    record = UnitRecord(key, 1, UnitPhase.FAILED, 1, 0, endpoints)
    return PersistUnit(record, "test")


# Guards against a term that ends unconfirmed because its decisions, of units with many
# endpoints or of many units, never cross a slow link within the timeout of an append.
@pytest.mark.parametrize(("count", "endpoint_count"), [(400, 64), (4_000, 8)])
async def test_many_decisions_are_written_across_a_slow_link(
    autojump_clock, count, endpoint_count
):
    platform = make_platform()
    adapter = FakePlatformAdapter(platform)
    adapter.faults.append_bytes_per_s = SLOWEST_LINK_BYTES_PER_S
    writer = _make_term_writer(adapter)
    started = []

    def start(action):
        # Starts are sent once all earlier decisions are in the log.
        written = sum(key.startswith("u/") for key, _ in platform.jobs.entries)
        started.append((action.run, written >= action.run))

    decisions = [_decision(number, endpoint_count) for number in range(count)]
    for number, decision in enumerate(decisions, 1):
        writer.add(decision)
        writer.add(StartTask("e", decision.record.key, "t", number, "", ""))
    writer.resign()
    with trio.move_on_after(10):
        assert await writer.run(start) == "resigned"
    entries = platform.jobs.entries
    written = [entry for entry in entries if entry[0].startswith("u/")]
    assert written == [encode_record(decision.record) for decision in decisions]
    assert started == [(number, True) for number in range(1, count + 1)]
    renewals = [decode_record(*entry) for entry in entries if entry[0] == "term"]
    assert [renewal.is_resigned for renewal in renewals[:-1]] == [False] * (
        len(renewals) - 1
    )
    assert renewals[-1].is_resigned and entries[-1][0] == "term"
    assert not writer.uncommitted_jobs
    limit_s = SchedulingSettings("i").log_call_timeout_ms / 1000
    assert max(adapter.faults.append_sizes) <= SLOWEST_LINK_BYTES_PER_S * limit_s / 4


async def test_a_decision_larger_than_an_append_is_written_alone(autojump_clock):
    platform = make_platform()
    adapter = FakePlatformAdapter(platform)
    writer = _make_term_writer(adapter)
    decisions = [_decision(0, 1), _decision(1, 8_000), _decision(2, 1)]
    for decision in decisions:
        writer.add(decision)
    writer.resign()
    assert await writer.run(lambda action: None) == "resigned"
    keys = [key.partition("/")[0] for key, _ in platform.jobs.entries]
    assert keys == ["u", "clock", "term"] * 3


_LONG_NAME = "x" * 300
_UNWRITABLE_EVIDENCE = [
    PersistEvidence(EndpointObserved(Incarnation(_LONG_NAME, "a", 1)), "test"),
    PersistEvidence(EndpointObserved(Incarnation("e", "\ud800", 1)), "test"),
    PersistEvidence(EndpointForgotten("\ud800"), "test"),
]


# Guards against terms that end one after another, because a record of each of them
# cannot be encoded or has a key that the log cannot hold.
@pytest.mark.parametrize("faulty", _UNWRITABLE_EVIDENCE)
async def test_evidence_that_cannot_be_written_costs_only_its_record(
    autojump_clock, faulty
):
    platform = make_platform()
    writer = _make_term_writer(FakePlatformAdapter(platform))
    decisions = [_decision(0, 1), _decision(1, 1)]
    started = []
    for action in (decisions[0], faulty, decisions[1]):
        writer.add(action)
    writer.add(StartTask("e", decisions[1].record.key, "t", 1, "", ""))
    writer.resign()
    assert await writer.run(started.append) == "resigned"
    await writer.wait_committed(writer.mark())
    keys = [key.partition("/")[0] for key, _ in platform.jobs.entries]
    assert keys == ["u", "u", "clock", "term"]
    assert len(started) == 1
    assert not writer.uncommitted_jobs


async def test_a_due_record_that_cannot_be_written_costs_only_itself(autojump_clock):
    platform = make_platform()
    services = ("pool", _LONG_NAME, "\ud800", "other")
    due = [ServiceCapacity(service, 1, 2, Resources()) for service in services]
    writer = _make_term_writer(FakePlatformAdapter(platform), lambda: due)
    writer.resign()
    assert await writer.run(lambda action: None) == "resigned"
    keys = [key for key, _ in platform.jobs.entries]
    assert keys == ["f/pool", "f/other", "clock", "term"]


# Guards against a run that a successor does not know of, because the decision that
# precedes its start is not in the log.
async def test_a_run_whose_decision_cannot_be_written_is_not_started(autojump_clock):
    platform = make_platform()
    writer = _make_term_writer(FakePlatformAdapter(platform))
    sound, faulty = _decision(0, 1), _decision(1, 1)
    unwritable = replace(faulty.record, checkpoint="\ud800")
    started = []
    for action in (
        replace(faulty, record=unwritable),
        StartTask("e", unwritable.key, "t", 1, "", ""),
        sound,
        StartTask("e", sound.record.key, "t", 2, "", ""),
        StartTask("e", unwritable.key, "t", 3, "", ""),
        faulty,
        StartTask("e", faulty.record.key, "t", 4, "", ""),
    ):
        writer.add(action)
    writer.resign()
    assert await writer.run(started.append) == "resigned"
    assert [action.run for action in started] == [2, 4]
    assert not writer.uncommitted_jobs


# Guards against a job that is shown as ended although its end is not in the log.
async def test_a_decision_that_cannot_be_written_stays_uncommitted(autojump_clock):
    platform = make_platform()
    writer = _make_term_writer(FakePlatformAdapter(platform))
    faulty = _decision(1, 1)
    writer.add(faulty)
    writer.add(replace(faulty, record=replace(faulty.record, checkpoint="\ud800")))
    writer.resign()
    assert await writer.run(lambda action: None) == "resigned"
    assert writer.uncommitted_jobs == {faulty.record.key.job_id: 1}


async def test_an_endpoint_whose_record_cannot_be_written_ends_no_term(autojump_clock):
    platform = make_platform(2)
    infos = [endpoint.info for endpoint in platform.endpoint_by_id.values()]
    platform = Platform(CONFIGURATION, [*infos, replace(infos[0], id=_LONG_NAME)])
    instances = make_instances(platform, 2)
    async with running(*instances):
        await trio.sleep(1)
        (holder,) = holders(instances)
        await submit(instances[0], make_job("5" * 16))
        await trio.sleep(20)
        assert holders(instances) == [holder]
        assert await state_of(instances[1], "5" * 16) is JobState.COMPLETED
