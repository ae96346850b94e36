"""How soon units start again on a service that is nearly idle."""

from harness import Harness

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
