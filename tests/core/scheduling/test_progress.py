"""Stalled tasks are distinguished from tasks that wait for their gang."""

from harness import SMALL, Harness

from ragwortshelf.core.scheduling.stalls import STALL_TIMEOUT_MS


def _gang_of_two():
    harness = Harness()
    harness.submit("g", count=2, is_gang=True, request=SMALL)
    harness.accept_starts()
    return harness


def test_a_finished_member_of_a_gang_is_not_stalled():
    # The tasks of a gang differ in length; the first to finish waits for the other.
    harness = _gang_of_two()
    slow = 10
    for _ in range(10):
        slow += 5
        harness.advance(STALL_TIMEOUT_MS // 3)
        for endpoint in harness.running:
            harness.list(endpoint, percent={"g.0.0.0": 100, "g.0.0.1": slow})
    assert not harness.stops


def _list_without_progress(harness, endpoint, listings, percent):
    for _ in range(listings):
        harness.advance(1_000)
        harness.list(endpoint, percent=percent)


def test_a_stalled_task_is_started_on_another_endpoint():
    harness = Harness()
    harness.submit("t")
    (first,) = harness.accept_starts()
    _list_without_progress(harness, first.endpoint_id, 3, {})
    assert not harness.stops
    harness.advance(STALL_TIMEOUT_MS - 3_000 + 1)
    harness.list(first.endpoint_id)
    assert [stop.reason for stop in harness.stops] == ["no progress"]
    harness.obey_stops()
    harness.plan()
    (second,) = harness.accept_starts()
    assert second.run == first.run + 1
    assert second.endpoint_id != first.endpoint_id


def test_a_pause_of_this_process_does_not_stop_what_runs():
    # After a pause of five seconds a plan may come before the first listing, and that
    # listing may have been received before the pause.
    harness = Harness()
    harness.submit("t")
    (start,) = harness.accept_starts()
    _list_without_progress(harness, start.endpoint_id, 2, {start.task: 7})
    harness.advance(5_000)
    assert not harness.stops
    harness.list(start.endpoint_id, percent={start.task: 7})
    assert not harness.stops
    harness.advance(100)
    harness.list(start.endpoint_id, percent={start.task: 60})
    _list_without_progress(harness, start.endpoint_id, 3, {start.task: 60})
    assert not harness.stops


def test_an_endpoint_that_stood_still_with_its_tasks_is_not_given_up():
    # The endpoint itself was paused for six seconds, shorter than its lease.
    harness = Harness()
    harness.submit("t")
    (start,) = harness.accept_starts()
    _list_without_progress(harness, start.endpoint_id, 1, {start.task: 40})
    harness.scheduler.endpoint_unreachable(start.endpoint_id, harness.now, harness.now)
    harness.advance(6_000)
    harness.list(start.endpoint_id, percent={start.task: 40})
    harness.advance(1_000)
    harness.list(start.endpoint_id, percent={start.task: 55})
    harness.advance(1_000)
    assert not harness.stops


def test_a_task_that_was_paused_on_order_is_not_stalled_when_it_continues():
    harness = Harness()
    harness.submit("t")
    (start,) = harness.accept_starts()
    _list_without_progress(harness, start.endpoint_id, 1, {start.task: 40})
    endpoint = harness.scheduler.endpoint_by_id[start.endpoint_id]
    placement = endpoint.placement_by_task[start.task]
    placement.pace_percent = 0
    _list_without_progress(harness, start.endpoint_id, 5, {start.task: 40})
    placement.pace_percent = 100
    _list_without_progress(harness, start.endpoint_id, 2, {start.task: 40})
    assert not harness.stops
