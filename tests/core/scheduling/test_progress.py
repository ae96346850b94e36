"""Stalled tasks are distinguished from tasks that wait for their gang."""

from harness import SMALL, Harness

from ragwortshelf.core.scheduling.scheduler import STALL_TIMEOUT_MS


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


def test_a_stalled_task_is_started_on_another_endpoint():
    harness = Harness()
    harness.submit("t")
    (first,) = harness.accept_starts()
    harness.advance(STALL_TIMEOUT_MS + 1)
    assert [stop.reason for stop in harness.stops] == ["no progress"]
    harness.obey_stops()
    harness.plan()
    (second,) = harness.accept_starts()
    assert second.run == first.run + 1
    assert second.endpoint_id != first.endpoint_id
