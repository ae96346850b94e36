"""Tasks that stand still are told from tasks that wait for their gang."""

from harness import SMALL, Harness

from ragwortshelf.core.scheduling.scheduler import STALL_TIMEOUT_MS


def _gang_of_two():
    harness = Harness()
    harness.submit("g", count=2, is_gang=True, request=SMALL)
    harness.accept_starts()
    return harness


def test_a_member_that_finished_its_part_is_left_to_wait():
    # Pattern: a gang of uneven tasks; the first to finish rests at its end.
    harness = _gang_of_two()
    slow = 10
    for _ in range(10):
        slow += 5
        harness.advance(STALL_TIMEOUT_MS // 3)
        for endpoint in harness.running:
            harness.list(endpoint, percent={"g.0.0.0": 100, "g.0.0.1": slow})
    assert not harness.stops


def test_a_run_without_progress_is_started_elsewhere():
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
