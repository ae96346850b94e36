"""The follower's table is complete, also when loading it is interrupted."""

import random

import cbor2
import pytest
import trio
from cluster import make_job, running
from fakes import LOG_CALL_S, FakeLog, Faults, LossyLog

from ragwortshelf.core.scheduling.record_codec import decode_record, encode_record
from ragwortshelf.core.scheduling.records import JobForgotten, JobSubmitted
from ragwortshelf.scheduler import log_follower
from ragwortshelf.scheduler.interfaces import LogRefused
from ragwortshelf.scheduler.log_follower import LogFollower
from ragwortshelf.scheduler.settings import SchedulingSettings
from ragwortshelf.scheduler.supervision import run_supervised
from ragwortshelf.standins.keyed_topic import KeyedTopic

JOB_IDS = [letter * 16 for letter in "abcd"]
SETTINGS = SchedulingSettings("i0")
FAILED_CALL_S_BY_LOSS = {
    "refused": LOG_CALL_S,
    "unanswered": SETTINGS.log_call_timeout_ms / 1000,
}
RETRY_S = SETTINGS.log_retry_ms / 1000


def submit_to(topic, job_id):
    topic.append([encode_record(JobSubmitted(make_job(job_id)))])


def forget_in(topic, job_id):
    topic.append([encode_record(JobForgotten(job_id))])


def make_topic(job_ids):
    topic = KeyedTopic()
    for job_id in job_ids:
        submit_to(topic, job_id)
    return topic


def make_follower(page_rows):
    log = FakeLog(make_topic(JOB_IDS), Faults())
    log.newest_page_rows = page_rows
    return LogFollower(log, SETTINGS)


def make_follower_of(topic):
    return LogFollower(FakeLog(topic, Faults()), SETTINGS)


async def test_all_pages_of_the_newest_records_are_read(autojump_clock):
    follower = make_follower(page_rows=1)
    async with running(follower):
        await trio.sleep(1)
    assert sorted(follower.table.job_by_id) == JOB_IDS


async def test_a_restart_between_two_pages_loses_no_job(autojump_clock):
    # Guards against missing jobs when a term is lost while the follower reloads all
    # jobs after a gap in the log.
    follower = make_follower(page_rows=1)
    async with running(follower):
        while not follower.table.job_by_id:
            await trio.sleep(0.001)
        follower.restart()
        await trio.sleep(1)
    assert sorted(follower.table.job_by_id) == JOB_IDS


# Guards against loads that begin again at the first page after each failed one, and so
# never end on a lossy log.
@pytest.mark.parametrize("loss", FAILED_CALL_S_BY_LOSS)
async def test_each_failed_page_is_read_once_more(autojump_clock, loss):
    job_ids = [f"{number:016x}" for number in range(40)]
    log = LossyLog(make_topic(job_ids), loss, failing_period=3)
    follower = LogFollower(log, SETTINGS)
    # Two of three calls return a page, and the third is repeated after a pause.
    failures_max = len(job_ids) // 2
    failure_s = FAILED_CALL_S_BY_LOSS[loss] + RETRY_S
    async with running(follower):
        await trio.sleep(len(job_ids) * LOG_CALL_S + failures_max * failure_s)
    assert follower.next_offset == len(job_ids)
    assert sorted(follower.table.job_by_id) == job_ids
    assert len(log.after_keys) <= len(job_ids) + failures_max


# Guards against a job that remains forever since its deletion, between a failed page
# and the next try, is before the offset from which that try continues.
@pytest.mark.parametrize("loss", FAILED_CALL_S_BY_LOSS)
async def test_a_job_deleted_while_a_load_is_interrupted_is_gone(autojump_clock, loss):
    topic = make_topic(JOB_IDS)
    log = LossyLog(topic, loss, failing_calls=(3,))
    log.on_failure = lambda: forget_in(topic, JOB_IDS[0])
    follower = LogFollower(log, SETTINGS)
    async with running(follower):
        await trio.sleep(2)
    assert sorted(follower.table.job_by_id) == JOB_IDS[1:]


# Guards against a load that continues with a later page although its table is gone.
@pytest.mark.parametrize("loss", FAILED_CALL_S_BY_LOSS)
async def test_a_restart_after_a_failed_page_loses_no_job(autojump_clock, loss):
    log = LossyLog(make_topic(JOB_IDS), loss, failing_calls=(3,))
    follower = LogFollower(log, SETTINGS)
    async with running(follower):
        while len(log.after_keys) < 3:
            await trio.sleep(0.001)
        # In the middle of the pause after the failed call.
        await trio.sleep(FAILED_CALL_S_BY_LOSS[loss] + RETRY_S / 2)
        assert len(log.after_keys) == 3
        follower.restart()
        await trio.sleep(2)
    assert sorted(follower.table.job_by_id) == JOB_IDS


# Guards against the loss of records that expired while a load was interrupted, and
# against loads that follow each other without end since each begins at that offset.
@pytest.mark.parametrize("loss", FAILED_CALL_S_BY_LOSS)
async def test_a_load_begins_again_if_later_records_have_expired(autojump_clock, loss):
    topic = make_topic(JOB_IDS[1:])
    log = LossyLog(topic, loss, failing_calls=(2,))

    def submit_and_expire():
        submit_to(topic, JOB_IDS[0])
        topic.compact()

    log.on_failure = submit_and_expire
    follower = LogFollower(log, SETTINGS)
    async with running(follower):
        await trio.sleep(2)
    assert sorted(follower.table.job_by_id) == JOB_IDS
    assert follower.next_offset == len(topic.entries)
    a, b, c, _ = (key for key, _ in topic.newest())
    assert log.after_keys == [None, b, b, c, None, a, b, c]


# Guards against differences from the log when jobs come and go while a load is
# interrupted.
@pytest.mark.parametrize("loss", FAILED_CALL_S_BY_LOSS)
@pytest.mark.parametrize("seed", range(5))
async def test_a_continued_load_ends_with_the_state_of_the_log(
    autojump_clock, seed, loss
):
    generator = random.Random(seed)
    topic = make_topic([f"{number:016x}" for number in range(0, 40, 2)])
    log = LossyLog(topic, loss, failing_period=3)

    def change_jobs():
        for _ in range(generator.randrange(4)):
            change = generator.choice((submit_to, forget_in))
            change(topic, f"{generator.randrange(40):016x}")

    log.on_failure = change_jobs
    follower = LogFollower(log, SETTINGS)
    async with running(follower):
        await trio.sleep(60)
    expected = make_follower_of(topic)
    async with running(expected):
        await trio.sleep(1)
    assert follower.table.job_by_id.keys() == expected.table.job_by_id.keys()


# Guards against a job that is shown for ever, because its deletion is among records
# that could not be read.
async def test_a_job_deleted_in_a_gap_is_gone(autojump_clock):
    topic, faults = make_topic(JOB_IDS), Faults()
    follower = LogFollower(FakeLog(topic, faults), SETTINGS)
    async with running(follower):
        await trio.sleep(1)
        faults.store = "busy"
        await trio.sleep(1)
        forget_in(topic, JOB_IDS[0])
        topic.compact()
        faults.store = ""
        await trio.sleep(2)
    assert sorted(follower.table.job_by_id) == JOB_IDS[1:]


# Guards against a deleted job that a page requested before a restart puts into the new
# table.
async def test_a_page_of_a_superseded_load_is_ignored(autojump_clock):
    topic = make_topic(JOB_IDS)
    log = LossyLog(topic, "unanswered")
    log.newest_page_rows = 2
    follower = LogFollower(log, SETTINGS)
    log.answer_delay_s_by_call = {2: 0.2}
    async with running(follower):
        await trio.sleep(0.1)
        assert len(log.after_keys) == 2
        follower.restart()
        forget_in(topic, JOB_IDS[3])
        await trio.sleep(3)
    assert sorted(follower.table.job_by_id) == JOB_IDS[:3]


# Guards against callers that wait for the scheduler's own read after the one that they
# share was refused.
async def test_a_refused_shared_read_is_repeated(autojump_clock):
    log = FakeLog(make_topic(JOB_IDS), Faults())
    follower = LogFollower(log, SETTINGS)
    refused = []
    read = log.read

    async def refuse_once(offset, *, wait_ms, timeout_ms):
        if not wait_ms and not refused:
            refused.append(offset)
            await trio.sleep(LOG_CALL_S)
            return LogRefused("busy")
        return await read(offset, wait_ms=wait_ms, timeout_ms=timeout_ms)

    async with running(follower):
        await trio.sleep(1)
        follower.is_waiting_for_records = True
        follower.wake()
        await trio.sleep(1)
        log.read = refuse_once
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.refresh, 20, 600)
            await trio.sleep(0.01)
            assert await follower.refresh(20, 600)
        took_s = trio.current_time() - began
    assert refused
    assert took_s <= RETRY_S + 5 * LOG_CALL_S


# Guards against loads of the whole topic, whose calls would exceed the store's budget
# further, whenever it refuses a read.
async def test_a_follower_continues_where_a_read_was_refused(autojump_clock):
    topic = make_topic(JOB_IDS[:2])
    log = LossyLog(topic, "refused")
    follower = LogFollower(log, SETTINGS)
    async with running(follower):
        await trio.sleep(1)
        page_count = len(log.after_keys)
        log._faults.store = "busy"
        for job_id in JOB_IDS[2:]:
            submit_to(topic, job_id)
            await trio.sleep(1)
            assert not follower.is_log_answering
            assert follower.next_offset == 2
        log._faults.store = ""
        await trio.sleep(1)
        assert sorted(follower.table.job_by_id) == JOB_IDS
    assert len(log.after_keys) == page_count


INFINITY = cbor2.dumps(float("inf"))
ODD_RECORDS = {
    f"c/{JOB_IDS[0]}": INFINITY,
    "w/1": cbor2.dumps({}),
    "w/2": cbor2.dumps({5: 1}),
    "f/pool": cbor2.dumps([float("inf")] * 5),
    "s/1": cbor2.dumps([1, [["e0", float("inf"), 1, 2]]]),
    f"k/{JOB_IDS[0]}/0/0/0": cbor2.dumps([[[float("inf"), 1, 1]], 1, []]),
    "e/e0": b"\x81" * 5_000 + b"\x01",
    "term": cbor2.dumps(7),
}


# Guards against a follower that reads one page again and again, because the decoding of
# a record raises.
@pytest.mark.parametrize("is_loaded", [False, True])
@pytest.mark.parametrize("key", ODD_RECORDS)
async def test_a_record_that_cannot_be_decoded_costs_no_other(
    autojump_clock, key, is_loaded
):
    topic = make_topic(JOB_IDS[:1])
    follower = make_follower_of(topic)
    async with trio.open_nursery() as nursery:
        if is_loaded:
            nursery.start_soon(run_supervised, "job log", follower.run)
            await trio.sleep(1)
        topic.append([(key, ODD_RECORDS[key])])
        submit_to(topic, JOB_IDS[3])
        if not is_loaded:
            nursery.start_soon(run_supervised, "job log", follower.run)
        await trio.sleep(3)
        assert sorted(follower.table.job_by_id) == [JOB_IDS[0], JOB_IDS[3]]
        assert follower.age_ms() < 1_000
        nursery.cancel_scope.cancel()


async def test_an_error_in_decoding_a_record_costs_no_other(
    autojump_clock, monkeypatch
):
    def decode(key, value):
        if key.endswith(JOB_IDS[1]):
            raise RuntimeError("decoder")
        return decode_record(key, value)

    monkeypatch.setattr(log_follower, "decode_record", decode)
    follower = make_follower(page_rows=2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_supervised, "job log", follower.run)
        await trio.sleep(3)
        assert sorted(follower.table.job_by_id) == [JOB_IDS[0], *JOB_IDS[2:]]
        nursery.cancel_scope.cancel()
