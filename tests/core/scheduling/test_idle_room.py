"""How soon units start again on a service that is nearly idle."""

from harness import SMALL, Fleet, Harness

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.listings import RunEnd

WHOLE = Resources(8_000, 8_000, 8)
WAIT_MAX_MS = 2_500


def _wait_for_start(harness):
    """Let time pass until something is ordered; returns how long it took."""
    begin_ms = harness.now
    while not harness.starts and harness.now - begin_ms < 60_000:
        harness.now += 100
        for endpoint in harness.running:
            harness.list(endpoint)
    return harness.now - begin_ms


# The failure: the last attempt waited 4 s for endpoints at which another start had just
# survived. There were none, as nothing else was to be started.
def test_the_last_attempt_does_not_wait_long_on_an_idle_service():
    harness = Harness(endpoints=12, attempts=3)
    harness.submit("a", request=WHOLE)
    for _ in range(2):
        (order,) = harness.accept_starts()
        harness.advance(50)
        harness.end(order.endpoint_id, order.task, RunEnd.FAILED)
        assert _wait_for_start(harness) <= WAIT_MAX_MS


def _wait_for_start_of(fleet, job_id):
    """Let time pass until a job is ordered."""
    end_ms = fleet.now + 20_000
    while job_id not in fleet.started_jobs() and fleet.now < end_ms:
        fleet.wait(50, interval_ms=50)


RULE_WAIT_MAX_MS = 3_000
"""Longest wait on an idle service that the platform allows."""


# Guards against accepted work that is LOST behind two waits in a row: a gang that no
# longer waits for its rack waits again, for the room reserved by another gang.
def test_a_wait_for_reserved_room_does_not_begin_after_the_wait_for_a_rack():
    fleet = Fleet(endpoints=9, racks=3, guaranteed=0)
    for rack in range(3):
        label = f"r{rack}"
        fleet.submit(f"last{rack}", "p0", required_label=label, estimate_ms=60_000)
    fleet.accept_starts()
    fleet.wait(3_000)
    gang = {"request": WHOLE, "is_gang": True}
    fleet.submit("wide", "p1", "b", count=8, **gang)
    fleet.wait(500)
    begin_ms = fleet.now
    fleet.submit("rack", "p2", "c", count=3, is_rack_sensitive=True, **gang)
    _wait_for_start_of(fleet, "rack")
    assert fleet.now - begin_ms <= RULE_WAIT_MAX_MS


# Guards against accepted work that is LOST because its wait for room begins anew
# each time half of the service is in use for a moment.
def test_a_wait_goes_on_after_a_moment_in_which_the_service_is_not_idle():
    fleet = Fleet(endpoints=4, guaranteed=0)
    fleet.submit("last", "p0", estimate_ms=60_000)
    fleet.accept_starts()
    fleet.submit("gang", "p1", "b", count=4, request=WHOLE, is_gang=True)
    fleet.submit("small", "p2", "c", fleet.now, request=SMALL)
    begin_ms = fleet.now
    fleet.wait(1_750)
    seven = Resources(7_000, 7_000, 7)
    fleet.submit("burst", "p0", "c", count=3, request=seven, estimate_ms=200)
    burst = fleet.accept_starts()
    assert len(burst) == 3
    fleet.wait(300)
    for order in burst:
        fleet.end(order.endpoint_id, order.task)
    _wait_for_start_of(fleet, "small")
    assert fleet.now - begin_ms <= RULE_WAIT_MAX_MS
