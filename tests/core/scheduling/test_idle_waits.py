"""Work that waits although most of its service is idle, and why it waits."""

from harness import SMALL, Harness

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.actions import WaitCause

WHOLE = Resources(8_000, 8_000, 8)


class _Waits(Harness):
    """Lists all endpoints while time passes."""

    def wait(self, ms):
        """Let time pass, with a listing of each endpoint every half second."""
        for _ in range(ms // 500):
            self.now += 500
            for endpoint in self.running:
                self.list(endpoint)

    def reported(self):
        return {(wait.unit_key.job_id, wait.cause) for wait in self.idle_waits}


def test_a_wait_for_reserved_room_names_the_reservation():
    harness = _Waits(endpoints=4)
    harness.submit("a", queue="p1", estimate_ms=60_000)
    harness.accept_starts()
    harness.submit("b", queue="p1", count=4, request=WHOLE, is_gang=True)
    harness.submit("d", queue="p2", request=SMALL)
    harness.wait(1_000)
    unit = next(u for u in harness.scheduler.waiting.values() if u.priority == 2)
    selector = harness.scheduler._planner._selector
    assert selector.misfit_cause(unit) is WaitCause.RESERVED
    (hold,) = selector.holds_against(unit)
    assert (hold.holder.job_id, hold.is_exclusive) == ("b", False)
    assert harness.now < hold.until_ms <= harness.now + 2_000
    assert selector.idle_since_ms(unit) <= harness.now - 1_000
    # Reservations end before the wait is long enough for a report.
    harness.wait(2_000)
    assert [start.unit_key.job_id for start in harness.starts] == ["d"]


def test_a_wait_on_an_endpoint_that_does_not_answer_names_that():
    harness = _Waits(endpoints=4)
    harness.submit("a")
    (order,) = harness.accept_starts()
    harness.scheduler.endpoint_unreachable(order.endpoint_id, harness.now, harness.now)
    del harness.running[order.endpoint_id]
    harness.wait(3_000)
    assert harness.reported() == {("a", WaitCause.OUT_OF_CONTACT)}


def test_a_wait_on_a_busy_service_is_not_reported():
    harness = _Waits(endpoints=2)
    harness.submit("a", request=WHOLE, count=2, estimate_ms=60_000)
    harness.accept_starts()
    harness.submit("b", request=WHOLE)
    harness.wait(5_000)
    assert not harness.idle_waits


def test_a_step_is_reported_again_only_after_a_while():
    harness = _Waits(endpoints=4)
    harness.submit("a")
    (order,) = harness.accept_starts()
    harness.scheduler.endpoint_unreachable(order.endpoint_id, harness.now, harness.now)
    del harness.running[order.endpoint_id]
    harness.wait(8_000)
    assert [wait.waited_ms for wait in harness.idle_waits] == [2_000, 7_000]
