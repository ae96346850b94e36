"""StreamService against a log with outages, lost answers and retention."""

import random
from itertools import pairwise

import pytest
import trio
import trio.testing

from ragwortshelf.core.model import (
    JobSpec,
    NotRun,
    Reason,
    Unreachable,
    UsageReport,
)
from ragwortshelf.core.releases import Accepted, Duplicate, parse_note
from ragwortshelf.core.streams import (
    JOBS_STREAM,
    RELEASES_STREAM,
    SNAPSHOTS_STREAM,
    USAGE_STREAM,
    CancelRequested,
    CommitLimits,
    JobAccepted,
    SnapshotPolicy,
    UsageRecorded,
    decode_record,
)
from ragwortshelf.daemon.streams import StreamService
from ragwortshelf.daemon.streams_fold import Clock, Fold
from ragwortshelf.daemon.streams_releases import ReleaseFold, submit_release
from ragwortshelf.net.interfaces import Appended, LogService, Page, Truncated


class FakeLog(LogService):
    """A log in memory, in which each item of ``append_faults`` disturbs one append.

    ``before`` loses the append, ``after`` the answer of an append that took effect, and
    ``late`` loses the answer and lets the append take effect later.
    """

    def __init__(self, retention=10**9):
        self.records_by_stream = {}
        self.retention = retention
        self.is_out = False
        self.round_trip_s = 0.005
        self.append_faults = []
        self.appends = []
        self.grew = trio.Event()

    def stored(self, stream):
        return self.records_by_stream.setdefault(stream, [])

    def _store(self, stream, records):
        self.stored(stream).extend(records)
        self.grew.set()
        self.grew = trio.Event()

    async def append(self, stream, records):
        await trio.sleep(self.round_trip_s)
        if self.is_out:
            return Unreachable("out")
        self.appends.append((stream, len(records)))
        fault = self.append_faults.pop(0) if self.append_faults else None
        if fault == "before":
            return Unreachable("lost")
        if fault == "late":
            trio.lowlevel.spawn_system_task(self._store_late, stream, records)
            return Unreachable("lost")
        first = len(self.stored(stream))
        self._store(stream, records)
        return Unreachable("lost") if fault else Appended(first, len(records))

    async def _store_late(self, stream, records):
        await trio.sleep(10 * self.round_trip_s)
        self._store(stream, records)

    async def read(self, stream, from_offset, *, limit, wait_ms):
        await trio.sleep(self.round_trip_s)
        with trio.move_on_after(wait_ms / 1000):
            while len(self.stored(stream)) <= from_offset and not self.is_out:
                await self.grew.wait()
        if self.is_out:
            return Unreachable("out")
        stored = self.stored(stream)
        first_available = max(0, len(stored) - self.retention)
        if from_offset < first_available:
            return Truncated(first_available, len(stored))
        page = tuple(stored[from_offset : from_offset + limit])
        return Page(from_offset, page, len(stored))


class ListFold(Fold):
    """Lists offsets and records as text, so that equal lists mean equal histories."""

    def __init__(self):
        self.lines = []

    def apply(self, offset, record):
        self.lines.append(f"{offset} {record}")

    def snapshot(self):
        return "\n".join(self.lines).encode()

    def restore(self, data):
        self.lines = data.decode().split("\n") if data else []
        return True


class VirtualClock(Clock):
    def wall_ms(self):
        return self.now_ms() + 10**12


def make_service(log, name="i1", folds=None, **options):
    folds = folds or {JOBS_STREAM: ListFold(), USAGE_STREAM: ListFold()}
    rng = random.Random(name)
    return StreamService(log, name, folds, rng, clock=VirtualClock(), **options), folds


def now_ms(after=0):
    return int(trio.current_time() * 1000) + after


def make_job(number):
    return JobAccepted(JobSpec(f"j{number}", "org", "dc1", 1), "i1")


def make_usage(number):
    return UsageRecorded((UsageReport("org", "j", 1, 0, number, 1),))


async def wait_until(condition, within_s=60):
    with trio.fail_after(within_s):
        while not condition():
            await trio.sleep(0.05)


@pytest.fixture
def log():
    return FakeLog()


async def test_concurrent_records_share_appends(autojump_clock, nursery, log):
    service, folds = make_service(log)
    nursery.start_soon(service.run)
    outcomes = []

    async def append(number):
        outcomes.append(await service.append(JOBS_STREAM, make_job(number)))

    async with trio.open_nursery() as appends:
        for number in range(500):
            appends.start_soon(append, number)
    assert sorted(outcome.first_offset for outcome in outcomes) == list(range(500))
    assert len(log.appends) <= 4
    assert await service.wait_for(JOBS_STREAM, 499, now_ms(1_000))
    assert len(folds[JOBS_STREAM].lines) == 500


@pytest.mark.parametrize("fault", ["after", "before", "late"])
async def test_an_append_without_answer_is_resolved_by_reading_the_log(
    autojump_clock, nursery, log, fault
):
    service, _ = make_service(log)
    nursery.start_soon(service.run)
    await service.append(JOBS_STREAM, make_job(0))
    log.append_faults = [fault]
    answer = await service.append(JOBS_STREAM, make_job(1))
    assert answer == Appended(1, 1)
    await trio.sleep(1)
    copies = len(log.stored(JOBS_STREAM)) - 1
    assert copies == (2 if fault == "late" else 1)


async def test_an_outage_refuses_records_promptly_and_retains_kept_ones(
    autojump_clock, nursery, log
):
    """In an outage of hours, refusals are prompt and kept records stay in order."""
    service, folds = make_service(log)
    nursery.start_soon(service.run)
    await service.append(JOBS_STREAM, make_job(0))
    log.is_out = True
    kept_outcomes = {}

    async def keep(number):
        kept_outcomes[number] = await service.append(
            JOBS_STREAM, CancelRequested(f"j{number}", "me"), keep_until_appended=True
        )

    for number in range(1, 300):
        nursery.start_soon(keep, number)
        await trio.sleep(40)
        if number == 2:
            answer = await service.append(
                JOBS_STREAM, make_job(-1), deadline_ms=now_ms(99)
            )
            assert isinstance(answer, NotRun)
            assert answer.reason is Reason.LOG_UNAVAILABLE
            assert answer.retry_after_ms > 0
    assert not service.is_log_up()
    log.is_out = False
    await wait_until(lambda: len(kept_outcomes) == 299)
    offsets = [kept_outcomes[number].first_offset for number in range(1, 300)]
    assert offsets == sorted(offsets)
    await wait_until(service.is_log_up)
    assert not any("j-1" in line for line in folds[JOBS_STREAM].lines)


async def test_a_record_that_may_still_be_appended_is_not_reported_as_not_run(
    autojump_clock, nursery, log
):
    service, _ = make_service(log)
    nursery.start_soon(service.run)
    await wait_until(service.is_caught_up)
    log.append_faults = ["late"]
    answer = await service.append(JOBS_STREAM, make_job(1), deadline_ms=now_ms(7))
    assert isinstance(answer, Unreachable)
    assert answer.may_have_applied


async def test_a_full_buffer_refuses_records_of_its_stream_only(
    autojump_clock, nursery, log
):
    service, _ = make_service(
        log, limits=CommitLimits(buffer_records=10, appends_per_s=20)
    )
    nursery.start_soon(service.run)
    outcomes = []

    async def append(number):
        outcomes.append(await service.append(USAGE_STREAM, make_usage(number)))

    async with trio.open_nursery() as appends:
        for number in range(50):
            appends.start_soon(append, number)
        await trio.testing.wait_all_tasks_blocked()
        assert isinstance(await service.append(JOBS_STREAM, make_job(1)), Appended)
    refused = [item for item in outcomes if isinstance(item, NotRun)]
    assert len(refused) == 40
    assert {item.reason for item in refused} == {Reason.QUEUE_FULL}
    assert len(log.stored(USAGE_STREAM)) == 10


POLICY = SnapshotPolicy(every_records=100, every_ms=600_000, max_jitter_ms=3_000)


async def test_a_new_instance_recovers_records_older_than_retention(
    autojump_clock, nursery
):
    log = FakeLog(retention=400)
    first, folds = make_service(log, snapshot_policy=POLICY)
    second, _ = make_service(log, "i2", snapshot_policy=POLICY)
    nursery.start_soon(first.run)
    nursery.start_soon(second.run)
    for number in range(2_000):
        await first.append(JOBS_STREAM, make_job(number))
        await trio.sleep(0.1)
    fresh, fresh_folds = make_service(log, "i3", snapshot_policy=POLICY)
    nursery.start_soon(fresh.run)
    await wait_until(fresh.is_caught_up)
    assert fresh_folds[JOBS_STREAM].lines == folds[JOBS_STREAM].lines
    assert fresh.position(JOBS_STREAM) == 2_000
    chunks = [decode_record(data) for data in log.stored(SNAPSHOTS_STREAM)]
    # Usually one of the two instances writes a due snapshot, sometimes both.
    assert 18 <= len({chunk.snapshot_id for chunk in chunks}) <= 36


async def test_an_idle_streams_snapshot_is_rewritten_before_it_expires(
    autojump_clock, nursery
):
    """The snapshots stream has a retention limit too."""
    log = FakeLog(retention=50)
    policy = SnapshotPolicy(every_records=20, every_chunks=25, max_jitter_ms=1_000)
    service, _ = make_service(log, snapshot_policy=policy)
    nursery.start_soon(service.run)
    await service.append(JOBS_STREAM, make_job(0))
    for number in range(1_500):
        await service.append(USAGE_STREAM, make_usage(number))
        await trio.sleep(0.2)
    assert len(log.stored(SNAPSHOTS_STREAM)) > 60
    log.retention = 40
    log.stored(JOBS_STREAM).extend([b"\xff"] * 100)
    fresh, fresh_folds = make_service(log, "i2", snapshot_policy=policy)
    nursery.start_soon(fresh.run)
    await wait_until(lambda: fresh.position(JOBS_STREAM) >= 1)
    assert len(fresh_folds[JOBS_STREAM].lines) == 1


async def test_a_gap_without_snapshot_is_closed_by_the_state_of_a_peer(
    autojump_clock, nursery, log
):
    complete, folds = make_service(log)
    nursery.start_soon(complete.run)
    for number in range(30):
        await complete.append(JOBS_STREAM, make_job(number))
    await complete.wait_for(JOBS_STREAM, 29)
    log.records_by_stream.pop(SNAPSHOTS_STREAM, None)
    log.retention = 10
    fresh, fresh_folds = make_service(log, "i2")
    nursery.start_soon(fresh.run)
    await trio.sleep(0.5)
    assert not fresh.is_caught_up()
    assert fresh_folds[JOBS_STREAM].lines == []
    assert fresh.adopt_from_peer(complete.state_for_peer()) == (JOBS_STREAM,)
    await wait_until(fresh.is_caught_up)
    assert fresh_folds[JOBS_STREAM].lines == folds[JOBS_STREAM].lines


async def test_peer_state_is_adopted_during_an_outage_only_if_it_is_newer(
    autojump_clock, nursery, log
):
    old, _ = make_service(log, "old")
    complete, folds = make_service(log)
    with trio.move_on_after(0):
        await old.run()
    nursery.start_soon(complete.run)
    for number in range(3):
        await complete.append(JOBS_STREAM, make_job(number))
    await complete.wait_for(JOBS_STREAM, 2)
    log.is_out = True
    fresh, fresh_folds = make_service(log, "i2")
    restored = []
    fresh.on_restored(JOBS_STREAM, restored.append)
    nursery.start_soon(fresh.run)
    await trio.sleep(1)
    assert fresh.adopt_from_peer(complete.state_for_peer()) == (JOBS_STREAM,)
    assert fresh.adopt_from_peer(old.state_for_peer()) == ()
    assert fresh.adopt_from_peer(b"\xffnonsense") == ()
    assert restored == [3]
    assert fresh_folds[JOBS_STREAM].lines == folds[JOBS_STREAM].lines


async def test_undecodable_records_are_skipped(autojump_clock, nursery, log):
    log.stored(JOBS_STREAM).extend([b"\xff\x00", b"", b"\xa0"])
    service, _ = make_service(log)
    seen = []
    service.on_record(JOBS_STREAM, lambda offset, record: seen.append(offset))
    nursery.start_soon(service.run)
    await service.append(JOBS_STREAM, make_job(1))
    assert await service.wait_for(JOBS_STREAM, 3, now_ms(5_000))
    assert seen == [3]
    assert service.status()[0].skipped == 3
    assert not await service.wait_for(JOBS_STREAM, 4, now_ms(5_000))


async def test_a_log_that_lost_its_end_does_not_rewind_the_fold(
    autojump_clock, nursery, log
):
    service, folds = make_service(log)
    nursery.start_soon(service.run)
    for number in range(5):
        await service.append(JOBS_STREAM, make_job(number))
    await service.wait_for(JOBS_STREAM, 4)
    del log.stored(JOBS_STREAM)[2:]
    await trio.sleep(10)
    assert service.position(JOBS_STREAM) == 5
    assert len(folds[JOBS_STREAM].lines) == 5


async def test_catching_up_yields_regularly_to_other_tasks(
    autojump_clock, nursery, log
):
    log.round_trip_s = 0
    log.stored(JOBS_STREAM).extend([b"\xff"] * 3_000)
    service, _ = make_service(log)
    positions = []

    async def record_positions():
        while not service.is_caught_up(JOBS_STREAM):
            positions.append(service.position(JOBS_STREAM))
            await trio.lowlevel.checkpoint()

    nursery.start_soon(service.run)
    await record_positions()
    steps = [after - before for before, after in pairwise(positions)]
    assert max(steps) <= 100


NOTE = """
note_id = "n1"
against_revision = -1
author = "ayse"
[rules.added]
retry_budget = 2
"""


async def test_a_note_appended_three_times_takes_effect_once(
    autojump_clock, nursery, log
):
    folds = [ReleaseFold(), ReleaseFold()]
    services = []
    for index, releases in enumerate(folds):
        service, _ = make_service(log, f"i{index}", {RELEASES_STREAM: releases})
        services.append(service)
        nursery.start_soon(service.run)
    note = parse_note(NOTE, "toml")
    log.append_faults = ["late"]
    verdict = await submit_release(
        services[0], folds[0], note, deadline_ms=now_ms(9_000), clock=VirtualClock()
    )
    assert verdict == Accepted(0)
    again = await submit_release(
        services[1], folds[1], note, deadline_ms=now_ms(9_000), clock=VirtualClock()
    )
    assert again == Duplicate(0)
    await trio.sleep(1)
    assert len(log.stored(RELEASES_STREAM)) == 3
    assert folds[0].state == folds[1].state
    assert folds[0].configuration.rule("retry_budget", 0) == 2
