"""A reader of the newest records continues with the page that failed."""

import pytest
from fakes import LossyLog

from ragwortshelf.scheduler.interfaces import LogRefused, LogUnanswered
from ragwortshelf.scheduler.newest_records import NewestReader, NewestRecords
from ragwortshelf.standins.keyed_topic import KeyedTopic

KEYS = ["a", "b", "c"]
TIMEOUT_MS = 700
OUTCOME_TYPE_BY_LOSS = {"refused": LogRefused, "unanswered": LogUnanswered}


def make_log(loss, failing_calls):
    topic = KeyedTopic()
    topic.append([(key, b"1") for key in KEYS])
    return LossyLog(topic, loss, failing_calls=failing_calls)


# Guards against a retry that repeats the pages which were read before the failed one.
@pytest.mark.parametrize(("loss", "outcome_type"), OUTCOME_TYPE_BY_LOSS.items())
async def test_a_reader_continues_with_the_failed_page(
    autojump_clock, loss, outcome_type
):
    log = make_log(loss, failing_calls=(1, 3, 4))
    reader = NewestReader(log)
    entries = []
    for _ in log.failing_calls:
        assert isinstance(await reader.read(entries.extend, TIMEOUT_MS), outcome_type)
    assert await reader.read(entries.extend, TIMEOUT_MS) == NewestRecords(3)
    assert entries == [(key, b"1") for key in KEYS]
    assert log.after_keys == [None, None, "a", "a", "a", "b"]


# Guards against records that are on no page, as they were appended between two tries
# for a key that an earlier page passed.
async def test_records_appended_between_two_tries_are_read_afterwards(autojump_clock):
    log = make_log("refused", failing_calls=(2,))
    reader = NewestReader(log)
    entries = []
    await reader.read(entries.extend, TIMEOUT_MS)
    await log.append([("a", b""), ("0", b"2"), ("c", b"2")], timeout_ms=TIMEOUT_MS)
    outcome = await reader.read(entries.extend, TIMEOUT_MS)
    assert entries == [("a", b"1"), ("b", b"1"), ("c", b"2")]
    rest = await log.read(outcome.next_offset, wait_ms=0, timeout_ms=TIMEOUT_MS)
    assert rest.entries == (("a", b""), ("0", b"2"), ("c", b"2"))


# Guards against a page that is passed over because processing it raised an error.
async def test_a_page_that_was_not_processed_is_read_again(autojump_clock):
    log = make_log("refused", failing_calls=())
    reader = NewestReader(log)

    def fail(entries):
        raise RuntimeError("injected")

    with pytest.raises(RuntimeError, match="injected"):
        await reader.read(fail, TIMEOUT_MS)
    entries = []
    assert await reader.read(entries.extend, TIMEOUT_MS) == NewestRecords(3)
    assert [key for key, _ in entries] == KEYS


async def test_a_new_reader_begins_with_the_first_page(autojump_clock):
    log = make_log("refused", failing_calls=(2,))
    outcome = await NewestReader(log).read(lambda entries: None, TIMEOUT_MS)
    assert outcome == LogRefused("busy")
    outcome = await NewestReader(log).read(lambda entries: None, TIMEOUT_MS)
    assert outcome == NewestRecords(3)
    assert log.after_keys == [None, "a", None, "a", "b"]
