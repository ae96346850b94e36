"""The load: endpoints differ in speed by a quarter either way, and gangs span several.

A gang is as slow as its slowest member, and urgent jobs have little slack.
"""

from harness import Harness

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.speed_belief import SpeedClass
from ragwortshelf.core.scheduling.speed_needs import speed_class

ENDPOINTS = 12
SPEEDS = (0.8, 1.0, 1.25)
WORK_MS = 4_000
HALF = Resources(4_000, 4_000, 4)
LARGE = Resources(8_000, 8_000, 8)


def _speed(endpoint_id):
    return SPEEDS[int(endpoint_id[1:]) % len(SPEEDS)]


def _run_to_the_end(harness, listing_ms=500):
    """Let all started tasks progress at the speed of their endpoints, to their end."""
    began_ms = harness.now
    starts = harness.accept_starts()
    waiting = {order.task: order for order in starts}
    while waiting:
        harness.advance(listing_ms)
        share_by_task = {
            task: (harness.now - began_ms) * _speed(order.endpoint_id) / WORK_MS
            for task, order in waiting.items()
        }
        gangs = {
            order.unit_key for order in waiting.values() if order.unit_key.member < 0
        }
        slowest = {
            key: min(
                share_by_task[task]
                for task, order in waiting.items()
                if order.unit_key == key
            )
            for key in gangs
        }
        for endpoint_id in harness.running:
            percent = {t: min(99, int(100 * s)) for t, s in share_by_task.items()}
            harness.list(endpoint_id, percent=percent)
        for task, order in list(waiting.items()):
            share = slowest.get(order.unit_key, share_by_task[task])
            if share >= 1:
                del waiting[task]
                harness.end(order.endpoint_id, task)
    return starts


def _harness_that_knows_the_speeds(racks=1, **step):
    harness = Harness(endpoints=ENDPOINTS, racks=racks)
    for number in range(8):
        harness.submit(f"w{number}", "p2", estimate_ms=WORK_MS, **step)
        _run_to_the_end(harness, listing_ms=100)
    return harness


def test_speeds_are_learned_from_tasks_of_one_step():
    harness = _harness_that_knows_the_speeds(count=2 * ENDPOINTS, request=HALF)
    for endpoint in harness.scheduler.endpoint_by_id.values():
        expected = SpeedClass(SPEEDS.index(_speed(endpoint.id)))
        assert speed_class(endpoint) is expected


def test_speeds_are_learned_from_members_of_gangs_that_end_together():
    harness = _harness_that_knows_the_speeds(
        count=ENDPOINTS, request=LARGE, is_gang=True
    )
    classes = {
        speed: {
            speed_class(endpoint)
            for endpoint in harness.scheduler.endpoint_by_id.values()
            if _speed(endpoint.id) == speed
        }
        for speed in SPEEDS
    }
    assert classes[0.8] == {SpeedClass.SLOW}
    assert classes[1.25] == {SpeedClass.FAST}


def test_an_urgent_gang_takes_fast_endpoints():
    harness = _harness_that_knows_the_speeds(count=2 * ENDPOINTS, request=HALF)
    harness.submit("u", "p0", count=4, request=LARGE, is_gang=True)
    assert {_speed(order.endpoint_id) for order in harness.starts} == {1.25}


def test_other_gangs_take_endpoints_of_like_speed_and_leave_fast_ones():
    harness = _harness_that_knows_the_speeds(count=2 * ENDPOINTS, request=HALF)
    for name in ("g", "h"):
        harness.submit(name, "p1", count=4, request=LARGE, is_gang=True)
        speeds = {
            _speed(order.endpoint_id)
            for order in harness.starts
            if order.unit_key.job_id == name
        }
        assert len(speeds) == 1 and 1.25 not in speeds


def test_a_gang_that_fits_on_no_class_alone_is_placed_on_several():
    harness = _harness_that_knows_the_speeds(count=2 * ENDPOINTS, request=HALF)
    harness.submit("g", "p1", count=ENDPOINTS, request=LARGE, is_gang=True)
    assert len({order.endpoint_id for order in harness.starts}) == ENDPOINTS


def test_a_rack_sensitive_gang_stays_on_one_rack_with_endpoints_of_several_speeds():
    # Away from one rack it takes three times as long, on slow endpoints a quarter more.
    harness = _harness_that_knows_the_speeds(racks=2, count=2 * ENDPOINTS, request=HALF)
    harness.submit(
        "g", "p1", count=5, request=LARGE, is_gang=True, is_rack_sensitive=True
    )
    _check_rack(harness, "g")
    harness.submit(
        "u", "p0", count=5, request=LARGE, is_gang=True, is_rack_sensitive=True
    )
    _check_rack(harness, "u")


def test_a_gang_stays_on_the_rack_of_its_data_with_endpoints_of_several_speeds():
    harness = _harness_that_knows_the_speeds(racks=2, count=2 * ENDPOINTS, request=HALF)
    harness.submit("g", "p1", count=5, request=LARGE, is_gang=True, preferred_rack="r1")
    assert _check_rack(harness, "g") == "r1"


def _check_rack(harness, job_id):
    """Check that a job's tasks are on one rack, and return that rack."""
    orders = [o for o in harness.starts if o.unit_key.job_id == job_id]
    endpoints = harness.scheduler.endpoint_by_id
    (rack,) = {endpoints[order.endpoint_id].rack for order in orders}
    return rack


def test_another_incarnation_of_an_endpoint_has_no_known_speed():
    harness = _harness_that_knows_the_speeds(count=2 * ENDPOINTS, request=HALF)
    endpoint = harness.scheduler.endpoint_by_id["e0"]
    assert speed_class(endpoint) is SpeedClass.SLOW
    harness.list("e0", started_wall_ms=2)
    assert speed_class(endpoint) is SpeedClass.USUAL
