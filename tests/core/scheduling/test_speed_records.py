"""A successor goes on with the speeds that the scheduler before it had learned.

The load: endpoints of 0.6 and 1.6 times the usual speed, and a change of scheduler.
"""

import math

from harness import Harness

from ragwortshelf.core.scheduling import Scheduler
from ragwortshelf.core.scheduling.actions import PersistEvidence
from ragwortshelf.core.scheduling.listings import EndpointListing
from ragwortshelf.core.scheduling.record_codec import decode_record, encode_record
from ragwortshelf.core.scheduling.records import EndpointSpeed, EndpointSpeeds
from ragwortshelf.core.scheduling.speed_belief import SpeedClass
from ragwortshelf.core.scheduling.speed_needs import speed_class
from ragwortshelf.core.scheduling.speed_records import (
    ID_BYTES_MAX,
    RECORD_INTERVAL_MS,
    SPEEDS_MAX,
)


def _learn(harness, speed_by_id):
    for name, speed in speed_by_id.items():
        belief = harness.scheduler.endpoint_by_id[name].speed_belief
        belief.settle(200, math.log(speed), harness.now)
        belief.refresh(harness.now)


def _records(harness, ms=RECORD_INTERVAL_MS, step_ms=250):
    """Return the records of speeds that are written within a time."""
    records = []
    for _ in range(0, ms, step_ms):
        harness.now += step_ms
        harness.scheduler.plan(harness.now, harness.now)
        records += [
            action.record
            for action in harness.scheduler.take_actions()
            if isinstance(action, PersistEvidence)
            and isinstance(action.record, EndpointSpeeds)
        ]
    return records


def _successor(harness, after_ms=0, started_wall_ms=1):
    now = harness.now + after_ms
    scheduler = Scheduler(2, harness.table, harness.scheduler.configuration)
    scheduler.adopt(now, now)
    for endpoint in harness.scheduler.endpoint_by_id.values():
        scheduler.endpoint_updated(endpoint.info, now)
        listing = EndpointListing(endpoint.id, started_wall_ms, now)
        scheduler.listing_received(listing, now, now)
    return scheduler


def _harness_with_records():
    harness = Harness(endpoints=4)
    _learn(harness, {"e0": 0.6, "e1": 1.6})
    for record in _records(harness):
        harness.table.apply(decode_record(*encode_record(record)))
    return harness


def test_a_successor_knows_the_speeds_at_its_first_listing():
    scheduler = _successor(_harness_with_records())
    classes = [speed_class(scheduler.endpoint_by_id[f"e{n}"]) for n in range(3)]
    assert classes == [SpeedClass.SLOW, SpeedClass.FAST, SpeedClass.USUAL]


def test_recorded_speeds_are_aged():
    harness = _harness_with_records()
    soon = _successor(harness).endpoint_by_id["e0"]
    late = _successor(harness, after_ms=300_000).endpoint_by_id["e0"]
    assert late.speed_error > 2 * soon.speed_error


def test_another_incarnation_is_not_given_the_recorded_speed():
    scheduler = _successor(_harness_with_records(), started_wall_ms=2)
    assert scheduler.endpoint_by_id["e0"].speed == 1.0


def test_a_restart_in_the_term_is_not_given_the_recorded_speed():
    harness = _harness_with_records()
    harness.list("e0", started_wall_ms=2)
    assert harness.scheduler.endpoint_by_id["e0"].speed == 1.0


def test_unreadable_speeds_leave_the_prior():
    harness = Harness(endpoints=1)
    for value in (b"", b"\xff", b"\x82\x01\x81\x81\x61a", b"\x01"):
        for part in range(4):
            assert not isinstance(decode_record(f"s/{part}", value), EndpointSpeeds)
    absurd = EndpointSpeed("e0", 1, 10_000, 10**9)
    for part in range(4):
        harness.table.apply(EndpointSpeeds(part, 0, (absurd,)))
    assert _successor(harness).endpoint_by_id["e0"].speed == 1.0


def test_records_are_written_at_most_every_five_seconds_and_when_changed():
    harness = Harness(endpoints=4)
    _learn(harness, {f"e{n}": 0.6 for n in range(4)})
    parts = [record.part for record in _records(harness)]
    assert parts and len(parts) == len(set(parts))
    assert not _records(harness)
    _learn(harness, {"e0": 1.6})
    assert len(_records(harness)) == 1


def test_a_record_has_at_most_64_kb():
    # Ids are of the greatest length that is recorded.
    speed = EndpointSpeed("x" * ID_BYTES_MAX, 2**41, -300, 1_000)
    record = EndpointSpeeds(3, 2**41, (speed,) * SPEEDS_MAX)
    assert len(encode_record(record)[1]) <= 64 * 1024
