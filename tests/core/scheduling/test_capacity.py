"""Endpoints whose capacity shrinks and grows while they run.

They start whatever they are told, so that nothing but the scheduler keeps to it.
"""

from dataclasses import replace

import pytest
from harness import Harness, configuration

from ragwortshelf.core.scheduling import EndpointInfo, Resources, Scheduler
from ragwortshelf.core.scheduling.configuration import EndpointService
from ragwortshelf.core.scheduling.listings import StartOutcome

WHOLE = Resources(32_000, 64_000, 8)
HALF = Resources(16_000, 32_000, 4)
CPU = Resources(1_000, 1_000, 0)


class _Shrinking(Harness):
    def __init__(self, endpoints=1):
        super().__init__(endpoints)
        service = EndpointService("pool", has_admission_control=False)
        self.configuration = replace(configuration(), service_by_name={"pool": service})
        self.scheduler.configure(self.configuration)

    def resize(self, name, capacity):
        info = EndpointInfo(name, "pool", name, "dc", capacity, ("a", "r0"))
        self.scheduler.endpoint_updated(info, self.now)
        self.plan()


# The failure: a task that asks nothing of the resource that is short was started on an
# endpoint whose runs exceed its capacity.
@pytest.mark.parametrize(
    "shrunk",
    [
        Resources(32_000, 64_000, 4),
        Resources(16_000, 64_000, 8),
        Resources(32_000, 32_000, 8),
    ],
)
def test_nothing_starts_on_an_endpoint_over_its_shrunk_capacity(shrunk):
    harness = _Shrinking()
    harness.submit("a", request=Resources(24_000, 48_000, 6))
    harness.accept_starts()
    harness.resize("e0", shrunk)
    harness.submit("gpus", request=Resources(0, 0, 1))
    harness.submit("cpu", request=Resources(1_000, 0, 0))
    harness.submit("memory", request=Resources(0, 1_000, 0))
    assert not harness.starts
    harness.end("e0", "a.0.0.0")
    assert len(harness.starts) == 3


def test_room_that_grows_again_is_used():
    harness = _Shrinking()
    harness.resize("e0", Resources())
    harness.submit("a", request=WHOLE)
    assert not harness.starts
    harness.resize("e0", WHOLE)
    assert len(harness.starts) == 1


# The failure: room for an urgent unit was made by stopping too little.
def test_enough_is_stopped_for_an_urgent_unit_on_a_shrunk_endpoint():
    harness = _Shrinking()
    for number in range(3):
        harness.submit(f"b{number}", "p2", "b", request=Resources(8_000, 1_000, 2))
    harness.accept_starts()
    harness.resize("e0", Resources(24_000, 64_000, 2))
    harness.submit("u", "p0", "a", request=CPU)
    assert len(harness.stops) == 2
    for _ in range(2):
        assert not harness.starts
        stop = harness.stops.pop()
        harness.end("e0", stop.task)
    assert [start.unit_key.job_id for start in harness.starts][:1] == ["u"]


def test_a_successor_counts_runs_beyond_the_shrunk_capacity():
    harness = _Shrinking()
    harness.submit("a", request=HALF)
    harness.accept_starts()
    harness.scheduler = Scheduler(2, harness.table, harness.configuration)
    harness.scheduler.adopt(harness.now, harness.now)
    harness.resize("e0", Resources(8_000, 64_000, 8))
    harness.list("e0")
    harness.submit("b", request=Resources(0, 0, 1))
    assert not harness.starts


# The failure: a start that waited for its record was sent though the room had shrunk.
def test_an_order_is_withdrawn_if_the_room_shrinks_before_it_is_sent():
    harness = _Shrinking()
    harness.submit("a", request=HALF)
    (order,) = harness.starts
    assert harness.scheduler.may_send(order)
    harness.resize("e0", Resources(8_000, 64_000, 8))
    assert harness.scheduler.is_still_ordered(order)
    assert not harness.scheduler.may_send(order)
    harness.refuse_start(StartOutcome.NO_ROOM)
    harness.resize("e0", WHOLE)
    harness.advance(500)
    assert [start.run for start in harness.starts] == [2]
