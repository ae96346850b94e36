"""Group commit, snapshots, stream positions, searches and version compatibility."""

import dataclasses
import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortshelf.core.streams import (
    AppendSearch,
    Batch,
    BufferFull,
    CommitLimits,
    Delivery,
    GroupCommitter,
    LogHealth,
    ReleaseSubmitted,
    SearchResult,
    Skipped,
    SnapshotPolicy,
    SnapshotReader,
    SnapshotSchedule,
    StreamFollower,
    decode,
    encode,
    encode_record,
    split_snapshot,
)

LIMITS = CommitLimits(appends_per_s=100, batch_records=4, buffer_records=40)


def drain(committer, now_ms, count):
    """Complete ``count`` batches one after the other.

    Returns the stream of each batch and the time after the last one.
    """
    streams = []
    while len(streams) < count:
        batch = committer.next_batch(now_ms)
        if isinstance(batch, Batch):
            streams.append(batch.stream)
            committer.on_done(batch.stream)
        else:
            now_ms = batch
    return streams, now_ms


def test_release_notes_go_first_and_other_streams_share_by_weight():
    committer = GroupCommitter(dataclasses.replace(LIMITS, buffer_records=400))
    for _ in range(400):
        committer.offer("jobs", b"j")
        committer.offer("usage", b"u")
        committer.offer("snapshots", b"s")
    for _ in range(8):
        committer.offer("releases", b"r")
    streams, _ = drain(committer, 0, 46)
    assert streams[:2] == ["releases", "releases"]
    assert {s: streams.count(s) for s in ("jobs", "snapshots", "usage")} == {
        "jobs": 32,
        "snapshots": 8,
        "usage": 4,
    }


@pytest.mark.parametrize("instances", [1, 6, 60])
def test_all_instances_together_stay_within_the_budget(instances):
    committer = GroupCommitter(LIMITS)
    committer.set_instances(instances)
    sent = []
    now_ms = 0
    while now_ms < 60_000:
        while not isinstance(committer.offer("jobs", b"x"), BufferFull):
            pass
        (_,), now_ms = drain(committer, now_ms, 1)
        sent.append(now_ms)
    burst = 1 + LIMITS.appends_per_s / instances / 4
    assert len(sent) <= 60 * LIMITS.appends_per_s / instances + burst
    assert len(sent) >= 0.8 * 60 * LIMITS.appends_per_s / instances


def test_records_that_may_be_in_the_log_are_never_reported_unsent():
    committer = GroupCommitter(LIMITS)
    sent = committer.offer("jobs", b"a").ticket
    kept = committer.offer("jobs", b"b", keep_until_appended=True).ticket
    assert committer.next_batch(0).tickets == (sent, kept)
    unsent = committer.offer("jobs", b"c").ticket
    assert not committer.withdraw(sent)
    assert committer.withdraw_unsent() == (unsent,)
    committer.on_not_in_log("jobs", may_have_applied=True)
    again = committer.next_batch(1_000)
    assert again.tickets == (kept,)
    committer.on_not_in_log("jobs", may_have_applied=False)
    late = committer.offer("jobs", b"d").ticket
    assert committer.withdraw(late)
    assert committer.waiting("jobs") == 1


def test_records_of_a_rejected_append_can_be_withdrawn_and_free_the_buffer():
    committer = GroupCommitter(LIMITS)
    tickets = [committer.offer("jobs", b"x").ticket for _ in range(40)]
    full = committer.offer("jobs", b"x")
    assert isinstance(full, BufferFull)
    assert full.retry_after_ms >= 100
    committer.next_batch(0)
    committer.on_not_in_log("jobs", may_have_applied=False)
    assert all(committer.withdraw(ticket) for ticket in tickets)
    assert committer.next_batch(1_000) is None
    assert not isinstance(committer.offer("jobs", b"x"), BufferFull)


def chunks_of(covers, data, writer="i1", stream="jobs"):
    return split_snapshot(stream, covers, writer, data, 0)


def read_all(chunks):
    reader = SnapshotReader()
    for offset, chunk in enumerate(chunks):
        reader.on_chunk(offset, chunk)
    return reader.newest_by_stream.get("jobs")


DATA = bytes(range(256)) * 600


def test_the_newest_complete_snapshot_wins_over_newer_incomplete_ones():
    old, new = chunks_of(5, DATA), chunks_of(9, DATA[::-1], "i2")
    assert len(new) == 4
    assert read_all([*old, *new[:3]]).covers_offset == 5
    interleaved = [chunk for pair in zip(new, old, strict=True) for chunk in pair]
    assert read_all(interleaved).data == DATA[::-1]
    assert read_all([*new, *old]).covers_offset == 9
    broken = dataclasses.replace(new[1], data=b"?")
    assert read_all([*old, new[0], broken, *new[2:]]).data == DATA
    outside = dataclasses.replace(new[1], index=7)
    assert read_all([*old, new[0], outside, *new[2:]]).data == DATA


@given(st.lists(st.integers(0, 7), max_size=30), st.randoms(use_true_random=False))
def test_snapshots_of_two_simultaneous_writers_are_read(picks, rng):
    """Any order of all chunks, some repeated, gives one of the complete snapshots."""
    both = [*chunks_of(9, DATA, "i1"), *chunks_of(9, DATA, "i2")]
    order = [*both, *(both[pick] for pick in picks)]
    rng.shuffle(order)
    complete = read_all(order)
    assert (complete.covers_offset, complete.data) == (9, DATA)


def test_few_of_many_instances_write_and_a_lost_snapshot_is_rewritten():
    policy = SnapshotPolicy(every_records=10, every_ms=10**9, max_jitter_ms=10_000)
    schedules = [SnapshotSchedule(policy, random.Random(n)) for n in range(12)]
    reader = SnapshotReader()
    writes = []
    pending = []
    for now_ms in range(0, 200_000, 1_000):
        for complete in pending:
            for schedule in schedules:
                schedule.on_complete_snapshot(complete, now_ms)
        pending = []
        for index, schedule in enumerate(schedules):
            if schedule.should_write(now_ms // 1_000, 0, now_ms, now_ms):
                writes.append(now_ms)
                # The first snapshot is lost.
                if len(writes) > 1:
                    (chunk,) = chunks_of(now_ms // 1_000, b"x", str(index))
                    pending.append(reader.on_chunk(now_ms, chunk))
    assert 12 <= len(writes) <= 40
    assert max(b - a for a, b in itertools.pairwise(writes)) <= 30_000


def test_a_new_snapshot_is_due_by_the_age_and_log_position_of_the_last():
    policy = SnapshotPolicy(every_ms=1_000, every_chunks=50, max_jitter_ms=0)
    schedule = SnapshotSchedule(policy, random.Random(1))
    complete = SnapshotReader().on_chunk(0, chunks_of(5, b"x")[0])
    assert not schedule.should_write(0, 0, 0, 0)
    assert schedule.should_write(1, 0, 0, 0)
    schedule.on_complete_snapshot(complete, 0)
    assert not schedule.should_write(5, 49, 999, 999)
    assert schedule.should_write(5, 50, 999, 999)
    schedule.on_complete_snapshot(complete, 1_000)
    # A writer's clock far ahead does not postpone the next one.
    assert schedule.should_write(5, 0, 2_000, -(10**9))


RECORD = ReleaseSubmitted("n", "a", "{}", 0)


def test_overlapping_and_late_pages_deliver_each_offset_once():
    follower = StreamFollower("releases")
    data = encode_record(RECORD)
    assert list(follower.deliver(0, (data, b"\xff"), 5)) == [
        Delivery(0, RECORD),
        Skipped(1, "not CBOR: break code encountered where a data item was expected"),
    ]
    assert [item.offset for item in follower.deliver(0, (data,) * 4, 5)] == [2, 3]
    assert not follower.is_caught_up
    assert not list(follower.deliver(7, (data,), 8))
    assert follower.is_missing_records
    assert not follower.advance_to(3)
    assert follower.advance_to(8)
    assert follower.is_caught_up


def test_search_continues_over_pages_and_returns_the_first_copy():
    search = AppendSearch((b"a", b"b"), 3)
    assert search.on_page(3, (b"x", b"a"), 9) is SearchResult.READ_ON
    search.on_truncated(6)
    assert search.on_page(6, (b"a", b"b"), 9) is SearchResult.FOUND
    assert search.offsets == (4, 7)
    assert AppendSearch((b"a",), 3).on_page(3, (), 3) is SearchResult.MISSING


def test_a_failing_log_is_probed_periodically():
    health = LogHealth(random.Random(1))
    assert health.may_try(0)
    assert not health.is_up(0)
    health.on_answer()
    health.on_failure(0)
    assert health.is_up(0)
    health.on_failure(0)
    assert not health.may_try(1_000)
    assert health.may_try(10_000)
    assert all(health.retry_delay_ms() <= 5_000 for _ in range(100))


@dataclasses.dataclass(frozen=True)
class NewerNote:
    """``ReleaseSubmitted`` as a later version might define it."""

    VERSION = 2
    note_id: str
    author: str
    note_json: str
    submitted_wall_ms: int
    approved_by: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class OlderChunk:
    """``SnapshotChunk`` as the previous version defines it."""

    stream: str
    covers_offset: int
    snapshot_id: str
    index: int
    total: int
    data: bytes


def test_adjacent_versions_read_each_others_records():
    newer = NewerNote("n", "a", "{}", 0, ("jon",))
    assert decode(encode(newer), {"NewerNote": ReleaseSubmitted}) == RECORD
    unapproved = dataclasses.replace(newer, approved_by=())
    assert decode(encode(RECORD), {"ReleaseSubmitted": NewerNote}) == unapproved
    (chunk,) = chunks_of(5, b"state")
    old = decode(encode(chunk), {"SnapshotChunk": OlderChunk})
    assert (old.covers_offset, old.data) == (5, b"state")
    again = decode(encode(old), {"OlderChunk": type(chunk)})
    assert SnapshotReader().on_chunk(0, again).data == b"state"
