"""Where units start by what is known of endpoint speeds.

The load: urgent gangs with half an estimate of slack on endpoints of 0.6, 1.0 and 1.6
times the usual speed, which are idle or hold less urgent work.
"""

import math

from harness import Harness

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.speed_belief import SpeedClass
from ragwortshelf.core.scheduling.speed_needs import speed_class

LARGE = Resources(8_000, 8_000, 8)
HALF = Resources(4_000, 4_000, 4)


def _learn(harness, speed_by_id, precision=100):
    for name, speed in speed_by_id.items():
        belief = harness.scheduler.endpoint_by_id[name].speed_belief
        belief.settle(precision, math.log(speed), harness.now)
        belief.refresh(harness.now)


def _full_beside_a_slow_endpoint(**step):
    """Return a harness with a batch on e0, and e1 free and known to be slow."""
    harness = Harness(endpoints=2, guaranteed=64)
    harness.submit("b", "p1", request=LARGE, **step)
    (batch,) = harness.accept_starts()
    assert batch.endpoint_id == "e0"
    _learn(harness, {"e1": 0.4})
    return harness


def _hosts(harness, job_id):
    return {o.endpoint_id for o in harness.starts if o.unit_key.job_id == job_id}


def _submit_urgent(harness, name="u", **fields):
    # The deadline is twice the estimate and 0.5 s after the acceptance.
    fields.setdefault("accepted", harness.now)
    fields.setdefault("estimate_ms", 4_000)
    harness.submit(name, "p0", request=LARGE, **fields)


def test_an_urgent_unit_avoids_endpoints_on_which_it_would_be_late():
    # Guards against waiting for the class, which takes more runs than this decision.
    harness = Harness(endpoints=2, guaranteed=64)
    _learn(harness, {"e0": 0.4}, precision=4)
    assert speed_class(harness.scheduler.endpoint_by_id["e0"]) is SpeedClass.USUAL
    _submit_urgent(harness, accepted=harness.now - 2_500)
    assert _hosts(harness, "u") == {"e1"}


def test_an_urgent_unit_has_room_made_where_it_is_on_time():
    harness = _full_beside_a_slow_endpoint()
    harness.advance(200)
    _submit_urgent(harness)
    assert [stop.reason for stop in harness.stops] == ["preempted for speed"]
    harness.obey_stops()
    harness.plan()
    assert _hosts(harness, "u") == {"e0"}


def test_an_urgent_unit_starts_on_a_slow_endpoint_if_room_costs_more_than_its_work():
    harness = _full_beside_a_slow_endpoint(estimate_ms=60_000)
    for _ in range(30):
        harness.advance(1_000)
        harness.list("e0", percent={"b.0.0.0": harness.now // 1_000})
    _submit_urgent(harness)
    assert not harness.stops
    assert _hosts(harness, "u") == {"e1"}


def test_an_urgent_unit_does_not_wait_long_for_fast_room():
    # Guards against a stop that is never confirmed while slow endpoints are free.
    harness = _full_beside_a_slow_endpoint()
    _submit_urgent(harness)
    assert harness.stops
    assert not harness.starts
    for _ in range(14):
        harness.advance(100)
    assert _hosts(harness, "u") == {"e1"}


def test_a_single_task_that_tolerates_it_takes_a_slow_endpoint():
    harness = Harness(endpoints=3, guaranteed=64)
    _learn(harness, {"e0": 1.6, "e2": 0.6})
    harness.submit("b", "p2", request=HALF, estimate_ms=1_000, accepted=harness.now)
    assert _hosts(harness, "b") == {"e2"}


def test_a_single_task_that_would_be_late_does_not_prefer_slow_endpoints():
    harness = Harness(endpoints=3, guaranteed=64)
    _learn(harness, {"e0": 1.6, "e2": 0.6})
    harness.submit("b", "p2", request=HALF, estimate_ms=1_000, accepted=-5_000)
    harness.submit("c", "p2", request=LARGE, estimate_ms=1_000, accepted=-5_000)
    harness.submit("d", "p2", request=LARGE, estimate_ms=1_000, accepted=-5_000)
    assert {o.endpoint_id for o in harness.starts} == {"e0", "e1", "e2"}


def test_equal_speeds_give_the_decisions_of_no_known_speed():
    # Guards against errors of measurement that steer where all endpoints are alike.
    def decide(learns):
        harness = Harness(endpoints=6, guaranteed=64)
        placed = []
        for n in range(12):
            if learns:
                spread = {f"e{k}": 1 + 0.04 * (k % 3 - 1) for k in range(6)}
                _learn(harness, spread, precision=50)
            queue = f"p{n % 3}"
            harness.submit(
                f"j{n}", queue, count=1 + n % 2, request=HALF, is_gang=n % 2 == 1,
                accepted=harness.now - 400 * n,
            )  # fmt: skip
            placed += [(o.task, o.endpoint_id) for o in harness.accept_starts()]
            harness.advance(100)
        return placed

    assert decide(True) == decide(False)
