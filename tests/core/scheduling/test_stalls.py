"""The load: urgent runs of 2.5 s, some of which hang on an endpoint.

A hang must be seen while a restart still helps, and nothing else be taken for one.
"""

import pytest
from harness import SMALL, Harness

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.listings import StartOutcome
from ragwortshelf.core.scheduling.model import UnitKey
from ragwortshelf.core.scheduling.stalls import (
    STALL_TIMEOUT_MS,
    ListingNeed,
    stall_timeout_ms,
)
from ragwortshelf.core.scheduling.task_placement import LISTING_GAP_MAX_MS

WORK_MS = 2_500
INTERVAL_MS = 400
LARGE = Resources(8_000, 8_000, 8)


def _urgent(harness, job_id="u", **step):
    step.setdefault("estimate_ms", WORK_MS)
    harness.submit(job_id, "p0", accepted=harness.now, **step)
    return harness


def _advance_and_list(harness, ms, percent):
    harness.advance(ms)
    for endpoint in harness.running:
        harness.list(endpoint, percent=percent)


def _confirm(harness, order):
    harness.starts.remove(order)
    harness.running[order.endpoint_id][order.task] = order.run
    harness.scheduler.start_answered(
        order.endpoint_id,
        order.task,
        order.run,
        StartOutcome.STARTED,
        False,
        harness.now,
        harness.now,
    )
    harness.collect()


@pytest.mark.parametrize(
    ("queue", "estimate_ms", "timeout_ms"),
    [
        ("p0", 1_000, 1_000),
        ("p0", 2_500, 1_250),
        ("p0", 60_000, STALL_TIMEOUT_MS),
        # Without an estimate nothing is known of how long a percent may take.
        ("p0", 0, STALL_TIMEOUT_MS),
        ("p1", 2_500, STALL_TIMEOUT_MS),
    ],
)
def test_the_timeout_follows_the_estimate_of_urgent_steps(
    queue, estimate_ms, timeout_ms
):
    harness = Harness()
    harness.submit("t", queue, estimate_ms=estimate_ms)
    unit = harness.scheduler.unit_by_key[UnitKey("t", 0, 0, 0)]
    assert stall_timeout_ms(unit) == timeout_ms


def test_a_timeout_is_not_shortened_by_other_run_times_of_the_queue():
    # Guards against a sound run that is stopped because its queue's runs are shorter:
    # with seven times the work it shows a percent in 0.46 of its caller's estimate.
    harness = Harness()
    for estimate_ms in (1_000, 3_000, 6_000) * 60:
        harness.table.calibration.run_done("p0", estimate_ms, 1_000)
    harness.submit("t", "p0", estimate_ms=6_000)
    unit = harness.scheduler.unit_by_key[UnitKey("t", 0, 0, 0)]
    assert unit.estimate_ms < 2_000
    assert stall_timeout_ms(unit) == 3_000


def test_an_urgent_run_that_hangs_is_restarted_within_its_estimate():
    # It took 3.5 s, longer than the whole work.
    harness = _urgent(Harness())
    (first,) = harness.accept_starts()
    began_ms = harness.now
    while not harness.stops:
        _advance_and_list(harness, INTERVAL_MS, {})
        assert harness.now - began_ms <= WORK_MS / 2 + INTERVAL_MS
    assert [stop.reason for stop in harness.stops] == ["no progress"]
    harness.obey_stops()
    (second,) = harness.accept_starts()
    assert second.endpoint_id != first.endpoint_id


def test_a_tail_task_of_seven_times_the_work_is_not_taken_for_a_stall():
    # On an endpoint slowed down 6.5 times it shows a percent in 1.14 s.
    harness = _urgent(Harness())
    (start,) = harness.accept_starts()
    began_ms = harness.now
    for _ in range(40):
        percent = int((harness.now + INTERVAL_MS - began_ms) / (WORK_MS * 7 * 6.5) * 99)
        _advance_and_list(harness, INTERVAL_MS, {start.task: percent})
    assert not harness.stops


def test_a_pause_does_not_stop_an_urgent_run():
    # The time of a late listing counted as time without progress up to 1.5 s, which is
    # longer than the timeout of a short step.
    harness = _urgent(Harness())
    (start,) = harness.accept_starts()
    _advance_and_list(harness, INTERVAL_MS, {start.task: 7})
    _advance_and_list(harness, INTERVAL_MS, {start.task: 7})
    _advance_and_list(harness, LISTING_GAP_MAX_MS + 1, {start.task: 7})
    assert not harness.stops
    _advance_and_list(harness, 100, {start.task: 60})
    _advance_and_list(harness, WORK_MS // 2, {start.task: 60})
    assert not harness.stops


@pytest.mark.parametrize("pause_ms", [1_251, LISTING_GAP_MAX_MS])
def test_one_late_listing_does_not_stop_an_urgent_run(pause_ms):
    # Guards against a short pause of the endpoint that counts as a stall by itself: it
    # is longer than the timeout, and shorter than the gaps that never count.
    harness = _urgent(Harness())
    (start,) = harness.accept_starts()
    _advance_and_list(harness, INTERVAL_MS, {start.task: 7})
    _advance_and_list(harness, INTERVAL_MS, {start.task: 7})
    _advance_and_list(harness, pause_ms, {start.task: 7})
    assert not harness.stops
    _advance_and_list(harness, INTERVAL_MS, {start.task: 7})
    assert [stop.reason for stop in harness.stops] == ["no progress"]


def test_a_hang_is_found_between_pauses():
    # Late listings do not count, and neither do they erase what others have shown.
    harness = _urgent(Harness())
    harness.accept_starts()
    for _ in range(3):
        _advance_and_list(harness, INTERVAL_MS, {})
        _advance_and_list(harness, LISTING_GAP_MAX_MS + 1, {})
        assert not harness.stops
    _advance_and_list(harness, INTERVAL_MS, {})
    assert [stop.reason for stop in harness.stops] == ["no progress"]


def test_a_member_waits_for_the_starts_of_its_gang_without_being_stopped():
    # A start is tried for up to 1.9 s, longer than the timeout of a short step.
    harness = _urgent(Harness(), count=2, is_gang=True, request=LARGE)
    first, second = harness.starts
    _confirm(harness, first)
    for _ in range(5):
        _advance_and_list(harness, INTERVAL_MS, {})
    assert not harness.stops
    _confirm(harness, second)
    # Listed 300 ms after the last start: only these count.
    _advance_and_list(harness, 300, {})
    for _ in range(2):
        _advance_and_list(harness, INTERVAL_MS, {})
    assert not harness.stops
    now_ms = harness.now
    assert all(e.is_usable(now_ms) for e in harness.scheduler.endpoint_by_id.values())
    percent = {"u.0.0.0": 5, "u.0.0.1": 4}
    _advance_and_list(harness, INTERVAL_MS, percent)
    _advance_and_list(harness, INTERVAL_MS, percent)
    assert not harness.stops


def test_the_pace_of_a_member_does_not_include_the_wait_for_its_gang():
    # The remaining time was overestimated by the time that the others took to start.
    harness = _urgent(Harness(), count=2, is_gang=True, request=LARGE)
    first, second = harness.starts
    _confirm(harness, first)
    for _ in range(5):
        _advance_and_list(harness, INTERVAL_MS, {})
    _confirm(harness, second)
    percent = {"u.0.0.0": 20, "u.0.0.1": 20}
    _advance_and_list(harness, WORK_MS // 5, percent)
    percent = {"u.0.0.0": 40, "u.0.0.1": 40}
    _advance_and_list(harness, WORK_MS // 5, percent)
    unit = harness.scheduler.unit_by_key[first.unit_key]
    assert unit.remaining_ms(harness.now) == pytest.approx(0.6 * WORK_MS, rel=0.02)


def test_only_the_endpoint_of_the_member_that_hangs_is_excluded():
    harness = _urgent(Harness(endpoints=4), count=2, is_gang=True, request=LARGE)
    hung, sound = harness.accept_starts()
    percent = 0
    while not harness.stops:
        percent += 16
        assert percent < 99, "the hang was not found"
        _advance_and_list(harness, INTERVAL_MS, {sound.task: percent})
    assert {stop.task for stop in harness.stops} == {hung.task, sound.task}
    endpoint_by_id = harness.scheduler.endpoint_by_id
    assert not endpoint_by_id[hung.endpoint_id].is_usable(harness.now)
    assert endpoint_by_id[sound.endpoint_id].is_usable(harness.now)
    harness.obey_stops()
    harness.plan()
    ids = {start.endpoint_id for start in harness.accept_starts()}
    assert len(ids) == 2
    assert hung.endpoint_id not in ids


def _needs(harness):
    return [
        harness.scheduler.listing_need(endpoint_id, harness.now)
        for endpoint_id in sorted(harness.running)
    ]


def test_endpoints_of_a_fresh_urgent_run_are_listed_more_often():
    harness = _urgent(Harness(), request=SMALL)
    harness.accept_starts()
    assert sorted(need.value for need in _needs(harness)) == ["fresh urgent", "usual"]
    harness.advance(WORK_MS + 1)
    assert set(_needs(harness)) == {ListingNeed.USUAL}


@pytest.mark.parametrize(
    ("queue", "step"),
    [
        ("p1", {"estimate_ms": WORK_MS}),
        ("p0", {"estimate_ms": 2 * STALL_TIMEOUT_MS}),
        ("p0", {"estimate_ms": WORK_MS, "is_long_running": True}),
    ],
)
def test_other_runs_are_listed_as_usual(queue, step):
    harness = Harness()
    harness.submit("t", queue, **step)
    harness.accept_starts()
    assert set(_needs(harness)) == {ListingNeed.USUAL}


def test_endpoints_of_a_gang_that_is_being_started_are_listed_more_often():
    harness = _urgent(Harness(), count=2, is_gang=True, request=LARGE)
    _confirm(harness, harness.starts[0])
    harness.advance(WORK_MS + 1)
    assert set(_needs(harness)) == {ListingNeed.FRESH_URGENT}
