"""The published capacity, the fair shares and the sums of the backlog."""

from dataclasses import replace

import cbor2
import pytest
from harness import Harness
from hypothesis import given
from hypothesis import strategies as st

from ragwortshelf.core.scheduling import JobSpec, JobTable, Resources, Step
from ragwortshelf.core.scheduling.backlog import Load
from ragwortshelf.core.scheduling.forecast import (
    CAPACITY_INTERVAL_MS,
    CAPACITY_SETTLES_MS,
    CapacityReporter,
    ServiceForecast,
    ShareLevels,
)
from ragwortshelf.core.scheduling.model import GANG, UnitKey, UnitPhase
from ragwortshelf.core.scheduling.record_codec import decode_record, encode_record
from ragwortshelf.core.scheduling.records import (
    JobCancelled,
    JobForgotten,
    JobSubmitted,
    ServiceCapacity,
    UnitRecord,
)
from ragwortshelf.core.scheduling.shares import Demand, fair_shares

SERVICES = frozenset({"pool", "unused"})
RECORD = ServiceCapacity("pool", 7, 1_700_000_000_000, Resources(64_000, 128_000, 16))


def test_a_record_of_the_capacity_is_decoded_as_written():
    assert decode_record(*encode_record(RECORD)) == RECORD


# Guards against readers that fail at a field which a later version adds.
def test_further_fields_of_the_record_are_ignored():
    key, value = encode_record(RECORD)
    longer = cbor2.dumps([*cbor2.loads(value), 5])
    assert decode_record(key, longer) == RECORD


# Guards against a program that stops at records of a kind which it does not know, as
# versions before this one read the capacity. `z/` has no meaning in any version.
@pytest.mark.parametrize("value", [encode_record(RECORD)[1], b""])
def test_a_record_of_an_unknown_kind_is_ignored(value):
    assert decode_record("z/pool", value) is None


@pytest.mark.parametrize("value", [b"", b"\xff", cbor2.dumps([1]), cbor2.dumps("x")])
def test_an_unreadable_record_of_the_capacity_is_ignored(value):
    assert decode_record("f/pool", value) is None


def test_the_capacity_is_published_after_the_endpoints_were_listed():
    harness = Harness(endpoints=3)
    reporter = CapacityReporter(1, 0)

    def due(now_ms):
        endpoints = harness.scheduler.endpoint_by_id.values()
        return reporter.due_records(endpoints, SERVICES, now_ms, now_ms)

    # Guards against a new scheduler that publishes before it has listed its endpoints.
    assert due(CAPACITY_SETTLES_MS - 1) == []
    now = CAPACITY_SETTLES_MS
    capacity = Resources(96_000, 192_000, 24)
    assert due(now) == [ServiceCapacity("pool", 1, now, capacity)]
    assert due(now + CAPACITY_INTERVAL_MS - 1) == []
    now += 2 * CAPACITY_INTERVAL_MS
    assert [record.capacity for record in due(now)] == [capacity]


# Guards against a capacity that flickers with short exclusions of full endpoints, and
# against one that stays when endpoints are lost.
def test_a_changed_capacity_is_published_before_it_is_due():
    harness = Harness(endpoints=40)
    reporter = CapacityReporter(1, 0)
    endpoints = harness.scheduler.endpoint_by_id
    now = 10_000
    assert reporter.due_records(endpoints.values(), SERVICES, now, now)
    for endpoint in endpoints.values():
        endpoint.excluded_until_ms = now + 5_000
    now += 1_000
    assert reporter.due_records(endpoints.values(), SERVICES, now, now) == []
    endpoints["e0"].is_reachable = endpoints["e1"].is_reachable = False
    now += 1_000
    assert reporter.due_records(endpoints.values(), SERVICES, now, now) == []
    harness.scheduler.cordon("e2")
    now += 1_000
    (record,) = reporter.due_records(endpoints.values(), SERVICES, now, now)
    assert record.capacity.gpus == 37 * 8
    # Nothing is left of the service, which its last record must say.
    now += 1_000
    (record,) = reporter.due_records([], SERVICES, now, now)
    assert record.capacity == Resources()


# Guards against records that name what another writer put into an endpoint's report.
def test_the_capacity_of_a_service_that_is_not_configured_is_not_published():
    harness = Harness(endpoints=1)
    info = harness.scheduler.endpoint_by_id["e0"].info
    for number, service in enumerate(("odd", "x" * 400, "")):
        odd = replace(info, id=f"odd{number}", service=service)
        harness.scheduler.endpoint_updated(odd, 0)
        harness.scheduler.endpoint_by_id[odd.id].is_reachable = True
    reporter = CapacityReporter(1, 0)
    endpoints = harness.scheduler.endpoint_by_id.values()
    now = CAPACITY_SETTLES_MS
    (record,) = reporter.due_records(endpoints, SERVICES, now, now)
    assert record == ServiceCapacity("pool", 1, now, info.capacity)
    # Nor is it once the service has left the configuration.
    now += CAPACITY_INTERVAL_MS
    assert reporter.due_records(endpoints, frozenset(), now, now) == []


AMOUNTS = st.floats(0, 2).map(lambda value: round(value, 4))


# Guards against two rules: what the forecast promises is what the planner would give.
@given(
    st.dictionaries(st.sampled_from("abcdefgh"), st.tuples(AMOUNTS, AMOUNTS)),
    st.sampled_from("abcdefghi"),
)
def test_the_share_is_that_of_the_planner_for_one_that_asks_for_all(amounts, name):
    floor_total = sum(floor for _, floor in amounts.values()) or 1.0
    asks = {other: ask for other, (ask, _) in amounts.items()}
    floors = {
        other: floor / max(1.0, floor_total) for other, (_, floor) in amounts.items()
    }
    share = ShareLevels(asks, floors).share(name)
    asks[name] = max(1.0, asks.get(name, 0.0))
    demands = {
        other: Demand((0.0, 0.0, ask), floors.get(other, 0.0))
        for other, ask in asks.items()
    }
    assert share == pytest.approx(fair_shares(demands)[name], abs=1e-6)


def test_guarantees_above_the_capacity_leave_no_level():
    levels = ShareLevels({"a": 1.0, "b": 1.0, "c": 1.0}, {"a": 0.7, "b": 0.7})
    assert [levels.share(name) for name in "abcd"] == [0.7, 0.7, 0.0, 0.0]


STEPS = (
    Step(3, Resources(1_000, 100, 1), 700),
    Step(4, Resources(500, 50, 2), 300, (0,), is_gang=True),
    Step(2, Resources(2_000, 200, 0), 900, is_long_running=True),
)
UNITS = [(0, 0), (0, 1), (0, 2), (1, GANG), (2, 0), (2, 1), (9, 0)]


def _expected(table):
    """Return the sums by a walk over all units."""
    loads = {}
    for job in table.job_by_id.values():
        spec = job.spec
        if not job.is_active:
            continue
        load = loads.setdefault((spec.service, spec.queue, spec.organisation), Load())
        widest = 0
        for number, step in enumerate(spec.steps):
            open_gpus = 0
            for occurrence in range(spec.occurrence_count):
                for member in step.members:
                    key = UnitKey(spec.id, occurrence, number, member)
                    record = job.record_by_key.get(key)
                    phase = UnitPhase.WAITING if record is None else record.phase
                    is_placed = phase is UnitPhase.PLACED
                    if phase is UnitPhase.DONE or (spec.occurrences and not is_placed):
                        continue
                    load.add_units(step, is_placed, 1)
                    tasks = step.count if step.is_gang else 1
                    open_gpus += step.request.gpus * tasks
            widest = max(widest, open_gpus)
        load.job_gpus += widest
    return {key: load for key, load in loads.items() if load != Load()}


# Guards against sums that drift from the job table, which a walk would not show in
# operation: every record of the log is one addition, in any order, of any term, and
# repeated. Job "t" runs at two times.
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["submit", "cancel", "forget", "unit", "unit", "unit"]),
            st.sampled_from("abt"),
            st.sampled_from(UNITS),
            st.sampled_from(UnitPhase),
            st.integers(1, 3),
            st.integers(0, 1),
        ),
        max_size=60,
    )
)
def test_the_sums_of_the_backlog_are_those_of_a_walk(events):
    table = JobTable()
    for kind, job_id, (step, member), phase, term, occurrence in events:
        match kind:
            case "submit":
                times = (0, 2, 100, 1_000) if job_id == "t" else ()
                organisation = "p" if job_id == "b" else "o"
                spec = JobSpec(job_id, "q", "pool", organisation, "", STEPS, *times)
                table.apply(JobSubmitted(spec))
            case "cancel":
                table.apply(JobCancelled(job_id, 1))
            case "forget":
                table.apply(JobForgotten(job_id))
            case "unit" if step < len(STEPS) or phase is not UnitPhase.DONE:
                occurrence *= job_id == "t"
                key = UnitKey(job_id, occurrence, step, member)
                table.apply(UnitRecord(key, term, phase, 1))
    loads = table.backlog.load_by_key
    assert {k: load for k, load in loads.items() if load != Load()} == _expected(table)


# Guards against a timed job whose later occurrences count as work that is due.
def test_occurrences_count_only_while_they_are_placed():
    table = JobTable()
    spec = JobSpec("t", "q", "pool", "o", "", STEPS[:1], 0, 100, 5_000, 1_000)
    table.apply(JobSubmitted(spec))
    assert table.backlog.load_by_key["pool", "q", "o"].waiting_gpu_ms == 0
    key = UnitKey("t", 3, 0, 0)
    table.apply(UnitRecord(key, 1, UnitPhase.PLACED, 1))
    assert table.backlog.load_by_key["pool", "q", "o"].placed_gpus == 1
    table.apply(UnitRecord(key, 1, UnitPhase.DONE, 1))
    assert table.backlog.load_by_key["pool", "q", "o"].placed_gpus == 0


# Guards against an instance that stops following the log: a timed job that is not due
# has no sums, and those of its queue were removed when the last other job ended.
@pytest.mark.parametrize("gpus", [0, 1])
def test_a_timed_job_outlives_the_sums_of_its_queue(gpus):
    table = JobTable()
    step = Step(1, Resources(1_000, 100, gpus), 700)
    timed = JobSpec("t", "q", "pool", "o", "", (step,), 0, 2, 100, 1_000)
    table.apply(JobSubmitted(timed))
    table.apply(JobSubmitted(JobSpec("a", "q", "pool", "o", "", (step,))))
    table.apply(JobCancelled("a", 1))
    key = UnitKey("t", 0, 0, 0)
    table.apply(UnitRecord(key, 1, UnitPhase.PLACED, 1))
    assert table.backlog.load_by_key["pool", "q", "o"].placed_cpu_milli == 1_000
    table.apply(UnitRecord(key, 1, UnitPhase.DONE, 1))
    table.apply(JobCancelled("t", 2))
    assert not table.backlog.load_by_key


def test_the_forecast_wait_is_the_work_ahead_by_the_capacity():
    forecast = ServiceForecast(Resources(16_000, 16_000, 10), {})
    load = Load(waiting_gpu_ms=20_000, placed_gpu_ms=10_000, lasting_gpus=5)
    forecast.add(1, "a", load)
    # Half of the placed work is left, and long-running units hold half of the room.
    assert forecast.wait_ms(1, uses_gpus=True) == (20_000 + 5_000) / 5
    assert forecast.wait_ms(0, uses_gpus=True) == 5_000 / 5
    assert forecast.wait_ms(1, uses_gpus=False) == 0
