"""Evacuations reach the scheduler, and starts wait while they may be unknown."""

from functools import partial

import pytest
import trio
from cluster import (
    CONFIGURATION,
    faults_of,
    holders,
    make_job,
    running,
    state_of,
    submit,
)
from fakes import FakeEndpoint, FakeLog, FakePlatformAdapter, Faults, Platform
from test_observability import lines  # noqa: F401

from ragwortshelf.core.scheduling import JobState, Resources, Scheduler
from ragwortshelf.core.scheduling.listings import EndpointInfo
from ragwortshelf.scheduler.clock import monotonic_ms
from ragwortshelf.scheduler.configuration_follower import ConfigurationFollower
from ragwortshelf.scheduler.instance import Instance
from ragwortshelf.scheduler.interfaces import LogPage
from ragwortshelf.scheduler.settings import SchedulingSettings
from ragwortshelf.scheduler.start_gate import StartGate
from ragwortshelf.scheduler.supervision import run_supervised

JOB = "a" * 16
X, Y = "evacuate/x", "evacuate/y"
REQUEST = b"{}"


class OperatorLog(FakeLog):
    """An operator's log with answers that take longer, and pages of few records."""

    answer_delay_s = 0.0
    page_rows = 1 << 30

    def set_fault(self, store):
        """Set a fault of this log alone."""
        self._faults = Faults()
        self._faults.store = store

    async def read(self, offset, *, wait_ms, timeout_ms, is_brief=False):
        page = await super().read(offset, wait_ms=wait_ms, timeout_ms=timeout_ms)
        await trio.sleep(self.answer_delay_s)
        if isinstance(page, LogPage):
            entries = page.entries[: self.page_rows]
            page = LogPage(entries, offset + len(entries), page.end)
        return page


class Adapter(FakePlatformAdapter):
    """Returns one operator's log, which tests change."""

    def __init__(self, platform):
        super().__init__(platform)
        self.log = OperatorLog(platform.operator, self.faults)

    def operator_log(self):
        return self.log


def _platform():
    """Return a platform with one endpoint in each of the data centres x and y."""
    infos = [
        EndpointInfo(name, "pool", name, name, Resources(8000, 8000, 8))
        for name in ("x", "y")
    ]
    return Platform(CONFIGURATION, infos)


def _instance(platform, name="i0", **settings):
    settings = {"evacuation_ms": 5_000} | settings
    return Instance(Adapter(platform), SchedulingSettings(name, **settings))


def _started_on(platform):
    return {endpoint for _, _, endpoint, _, _ in platform.runs()}


def _count_starts(endpoint):
    """Return a list that grows with each start that reaches an endpoint."""
    attempts = []
    start = endpoint.start

    def count_and_start(task, run, until_ms, token):
        attempts.append((task, run))
        return start(task, run, until_ms, token)

    endpoint.start = count_and_start
    return attempts


async def _run_in(scope, instance):
    with scope:
        await instance.run()


async def _place_on_x(platform, instance):
    """Submit a job of one task, whose start on x gets no answer while x is cut off."""
    platform.endpoint_by_id["x"].is_disconnected = True
    await submit(instance, make_job(JOB, count=1))
    while not any(key.startswith("u/") for key, _ in platform.jobs.entries):
        await trio.sleep(0.001)


async def test_a_request_is_in_force_until_its_record_is_deleted(autojump_clock):
    platform = _platform()
    instance = _instance(platform)
    async with running(instance):
        await trio.sleep(1)
        platform.operator.append([(X, b"not JSON")])
        await trio.sleep(0.1)
        for n in range(4):
            await submit(instance, make_job(f"{n}" * 16))
        await trio.sleep(3)
        assert _started_on(platform) == {"y"}
        platform.operator.append([(X, b""), (Y, REQUEST)])
        await trio.sleep(0.1)
        await submit(instance, make_job(JOB))
        await trio.sleep(1)
    assert _started_on(platform) == {"x", "y"}
    assert {e for task, _, e, _, _ in platform.runs() if task[0] == "a"} == {"x"}


# Guards against a retry that starts the run after its stop was lost or overtaken.
async def test_an_unanswered_start_is_not_repeated_after_a_request(autojump_clock):
    platform = _platform()
    x, y = platform.endpoint_by_id["x"], platform.endpoint_by_id["y"]
    instance = _instance(platform)
    async with running(instance):
        await trio.sleep(1)
        y.is_disconnected = True
        await trio.sleep(3)
        attempts = _count_starts(x)
        await _place_on_x(platform, instance)
        await trio.sleep(0.1)
        platform.operator.append([(X, REQUEST)])
        await trio.sleep(0.1)
        x.is_disconnected = y.is_disconnected = False
        await trio.sleep(6)
        assert not attempts
        assert _started_on(platform) == {"y"}
        assert await state_of(instance, JOB) is JobState.COMPLETED


# Guards against a successor that repeats a start of the earlier term, or starts
# anything before it knows the requests.
async def test_a_successor_knows_the_requests_before_its_first_start(autojump_clock):
    platform = _platform()
    x, y = platform.endpoint_by_id["x"], platform.endpoint_by_id["y"]
    first, second = _instance(platform), _instance(platform, "i1")
    async with trio.open_nursery() as nursery:
        scope = trio.CancelScope()
        nursery.start_soon(_run_in, scope, first)
        await trio.sleep(1)
        assert holders([first])
        nursery.start_soon(second.run)
        y.is_disconnected = True
        await trio.sleep(3)
        attempts = _count_starts(x)
        await _place_on_x(platform, second)
        await trio.sleep(0.1)
        scope.cancel()
        platform.operator.append([(X, REQUEST)])
        x.is_disconnected = y.is_disconnected = False
        await trio.sleep(8)
        assert holders([second])
        assert not attempts
        assert _started_on(platform) == {"y"}
        assert await state_of(second, JOB) is JobState.COMPLETED
        nursery.cancel_scope.cancel()


# Guards against starts of an instance that reaches the endpoints but not the log. The
# bound is short, so that it passes between two attempts of one start.
async def test_a_holder_that_is_cut_off_from_the_log_orders_nothing(autojump_clock):
    platform = _platform()
    x, y = platform.endpoint_by_id["x"], platform.endpoint_by_id["y"]
    instance = _instance(platform, evacuation_ms=1_500, configuration_wait_ms=100)
    async with running(instance):
        await trio.sleep(1)
        y.is_disconnected = True
        await trio.sleep(3)
        attempts = _count_starts(x)
        await _place_on_x(platform, instance)
        faults_of(instance).store = "silent"
        await trio.sleep(0.85)
        platform.operator.append([(X, REQUEST)])
        x.is_disconnected = y.is_disconnected = False
        await trio.sleep(3)
        assert holders([instance])
        assert not attempts
        faults_of(instance).store = ""
        await trio.sleep(5)
        assert not attempts
        assert _started_on(platform) == {"y"}


# Guards against starts right after a pause, before the log has been read again.
async def test_a_holder_that_was_paused_orders_nothing_before_it_has_read(
    autojump_clock,
):
    platform = _platform()
    x, y = platform.endpoint_by_id["x"], platform.endpoint_by_id["y"]
    instance = _instance(platform)
    async with running(instance):
        await trio.sleep(1)
        y.is_disconnected = True
        await trio.sleep(3)
        attempts = _count_starts(x)
        await _place_on_x(platform, instance)
        await trio.sleep(0.1)
        instance.configuration._adapter.log.answer_delay_s = 0.3
        platform.operator.append([(X, REQUEST)])
        x.is_disconnected = y.is_disconnected = False
        autojump_clock.jump(4.5)
        await trio.sleep(0.2)
        assert not instance.configuration.evacuations()
        assert holders([instance])
        assert not attempts
        await trio.sleep(8)
        assert not attempts
        assert _started_on(platform) == {"y"}


# Guards against a start that a connection delivers seconds after it was given up: at
# that time a request may have been in force for longer than the bound.
@pytest.mark.parametrize("rate", [0.98, 1.0])
async def test_an_endpoint_refuses_a_start_once_the_bound_may_have_passed(
    autojump_clock, rate
):
    platform = _platform()
    instance = _instance(platform, lease_ms=9_000)
    for endpoint in platform.endpoint_by_id.values():
        endpoint._clock_rate = rate
    deadlines_ms = []
    start = FakeEndpoint.start

    def note_and_start(endpoint, task, run, until_ms, token):
        remaining_ms = (until_ms - endpoint.clock_ms()) / rate
        deadlines_ms.append(remaining_ms + instance.configuration.read_age_ms())
        return start(endpoint, task, run, until_ms, token)

    async with running(instance):
        await trio.sleep(1)
        for endpoint in platform.endpoint_by_id.values():
            endpoint.start = partial(note_and_start, endpoint)
        for n in range(5):
            await submit(instance, make_job(f"{n}" * 16, count=1))
            await trio.sleep(0.7)
    assert len(deadlines_ms) == len(platform.runs()) == 5
    # One millisecond for the rounding of each clock.
    assert all(4_700 < deadline_ms <= 5_002 for deadline_ms in deadlines_ms)


# Guards against starts that are held for good, or dropped although nothing forbids
# them, when the log is read again.
async def test_held_starts_are_sent_when_the_log_is_read_again(
    autojump_clock,
    lines,  # noqa: F811
):
    platform = _platform()
    instance = _instance(platform)
    log = instance.configuration._adapter.log
    async with running(instance):
        await trio.sleep(1)
        log.set_fault("silent")
        await trio.sleep(4.5)
        await submit(instance, make_job(JOB, count=1))
        await trio.sleep(0.5)
        assert not platform.runs()
        log.set_fault("")
        await trio.sleep(1)
        assert len(platform.runs()) == 1
    assert [len(lines.named(f"starts_{w}")) for w in ("held", "released")] == [1, 1]


# Guards against runs that count as seconds old when they start: their endpoint would
# seem slow, and stopping them would seem to discard work.
async def test_the_age_of_a_run_does_not_include_the_time_its_start_was_held(
    autojump_clock,
):
    platform = _platform()
    instance = _instance(platform)
    log = instance.configuration._adapter.log
    async with running(instance):
        await trio.sleep(1)
        log.set_fault("silent")
        await trio.sleep(4.5)
        await submit(instance, make_job(JOB, count=1))
        await trio.sleep(5)
        log.set_fault("")
        await trio.sleep(1)
        (endpoint,) = _started_on(platform)
        scheduler = instance.election.leadership._scheduler
        (age_ms,) = scheduler.run_ages(endpoint, monotonic_ms()).values()
        assert age_ms <= 1_000


# Guards against starts that were held, and are sent although the log shows a request
# when it is read again.
async def test_held_starts_are_dropped_when_the_log_shows_a_request(autojump_clock):
    platform = _platform()
    instance = _instance(platform)
    log = instance.configuration._adapter.log
    async with running(instance):
        await trio.sleep(1)
        log.set_fault("silent")
        await trio.sleep(4.5)
        await submit(instance, make_job(JOB, count=1))
        await trio.sleep(0.2)
        (record,) = instance.follower.table.job_by_id[JOB].record_by_key.values()
        (placed_on,) = record.endpoints
        platform.operator.append([(f"evacuate/{placed_on}", REQUEST)])
        log.set_fault("")
        await trio.sleep(1)
    assert _started_on(platform) == {"x", "y"} - {placed_on}


# Guards against starts that wait for the log in deployments without the bound.
async def test_without_a_bound_starts_do_not_wait_for_the_operators_log(
    autojump_clock,
):
    platform = _platform()
    instance = _instance(platform, evacuation_ms=None)
    async with running(instance):
        await trio.sleep(1)
        instance.configuration._adapter.log.set_fault("silent")
        await trio.sleep(4.5)
        await submit(instance, make_job(JOB, count=1))
        await trio.sleep(0.5)
        assert len(platform.runs()) == 1


def test_the_gate_is_closed_before_the_first_read():
    assert not StartGate(5_000, lambda: None).is_open()
    assert StartGate(5_000, lambda: 4_000).is_open()
    assert not StartGate(5_000, lambda: 4_001).is_open()
    assert StartGate(None, lambda: None).is_open()


# Guards against a fleet of held starts that each check the gate: 2,000 of them took
# 40,000 checks a second, while the log has to be read for the gate to open.
async def test_the_checks_of_the_gate_do_not_grow_with_the_held_starts(autojump_clock):
    age_ms, checks, passed = 9_000, 0, []

    def read_age_ms():
        nonlocal checks
        checks += 1
        return age_ms

    gate = StartGate(5_000, read_age_ms)

    async def pass_gate(number):
        await gate.wait()
        passed.append(number)

    async with trio.open_nursery() as nursery:
        # The first one checks, and is cancelled before the gate opens.
        first = trio.CancelScope()

        async def pass_gate_first():
            with first:
                await pass_gate(-1)

        nursery.start_soon(pass_gate_first)
        await trio.sleep(0.01)
        for number in range(100):
            nursery.start_soon(pass_gate, number)
        await trio.sleep(1)
        assert checks < 300
        first.cancel()
        await trio.sleep(1)
        assert not passed
        age_ms = 0
        await trio.sleep(0.1)
        assert sorted(passed) == list(range(100))


async def test_a_request_for_an_unknown_data_centre_changes_nothing(autojump_clock):
    platform = _platform()
    platform.operator.append([("evacuate/nowhere", REQUEST)])
    instance = _instance(platform)
    async with running(instance):
        await trio.sleep(1)
        for n in range(5):
            await submit(instance, make_job(f"{n}" * 16))
        await trio.sleep(2)
        assert len(platform.runs()) == 10
        assert "ragwortshelf_evacuated_data_centres 1" in instance.metrics.text()


# Guards against accepted jobs that are lost, and runs that are stopped, while all data
# centres are evacuated.
async def test_accepted_jobs_wait_while_all_data_centres_are_evacuated(
    autojump_clock,
    lines,  # noqa: F811
):
    platform = _platform()
    instance = _instance(platform)
    for endpoint in platform.endpoint_by_id.values():
        endpoint.work_ms = 3_000
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job(JOB, count=1))
        await trio.sleep(0.5)
        platform.operator.append([(X, REQUEST), (Y, REQUEST)])
        await trio.sleep(0.5)
        await submit(instance, make_job("b" * 16, count=1))
        text = instance.metrics.text()
        assert "ragwortshelf_evacuated_endpoints_busy 1" in text
        await trio.sleep(5)
        assert await state_of(instance, JOB) is JobState.COMPLETED
        assert len(platform.runs()) == 1
        text = instance.metrics.text()
        assert "ragwortshelf_evacuated_endpoints_busy 0" in text
        assert "ragwortshelf_evacuation_age_ms 0" in text
        platform.operator.append([(X, b""), (Y, b"")])
        await trio.sleep(5)
        assert await state_of(instance, "b" * 16) is JobState.COMPLETED
    assert len(lines.named("evacuation_requested")) == 2
    assert len(lines.named("evacuation_emptied")) == 2
    assert len(lines.named("evacuation_withdrawn")) == 2


def _follower(platform):
    adapter = Adapter(platform)
    follower = ConfigurationFollower(adapter, adapter.log, SchedulingSettings("i0"))
    changes = []
    follower.on_evacuations_change = lambda: changes.append(
        dict(follower.evacuations())
    )
    return follower, adapter, changes


# Guards against runs that are withdrawn and placed again for nothing.
async def test_a_record_deleted_and_back_within_one_page_changes_nothing(
    autojump_clock,
):
    platform = _platform()
    follower, _, changes = _follower(platform)
    async with running(follower):
        platform.operator.append([(X, REQUEST)])
        await trio.sleep(2)
        platform.operator.append([(X, b""), (X, b'{"again": 1}')])
        await trio.sleep(2)
    assert len(changes) == 1
    assert changes[0].keys() == {"x"}


# Guards against a state between two pages that counts as complete: the gate would let
# starts pass that a record of the next page forbids.
async def test_a_record_deleted_and_back_across_pages_is_not_confirmed_between(
    autojump_clock,
):
    platform = _platform()
    follower, adapter, changes = _follower(platform)
    ages_ms = []
    async with running(follower):
        platform.operator.append([(X, REQUEST)])
        await trio.sleep(2)
        adapter.log.page_rows = 1
        follower.on_evacuations_change = lambda: (
            changes.append(dict(follower.evacuations())),
            ages_ms.append(follower.read_age_ms()),
        )
        adapter.log.answer_delay_s = 0.5
        platform.operator.append([(X, b""), (X, REQUEST)])
        await trio.sleep(5)
    assert [set(change) for change in changes] == [{"x"}, set(), {"x"}]
    assert changes[2]["x"] > changes[0]["x"]
    assert ages_ms[1] > ages_ms[0] >= 500


# Guards against a data centre that stays evacuated for good, or is not, because the
# records in between cannot be read any more.
@pytest.mark.parametrize("is_rewound", [False, True])
async def test_the_newest_records_replace_all_requests_after_a_gap(
    autojump_clock, is_rewound
):
    platform = _platform()
    follower, adapter, _ = _follower(platform)
    platform.operator.append([("config", b"1"), (X, REQUEST)])
    async with running(follower):
        await trio.sleep(2)
        assert set(follower.evacuations()) == {"x"}
        adapter.faults.store = "busy"
        await trio.sleep(1)
        if is_rewound:
            platform.operator.entries[:] = [("config", b"1"), (Y, REQUEST)]
        else:
            platform.operator.append([(X, b""), (Y, REQUEST)])
            platform.operator.compact()
        adapter.faults.store = ""
        await trio.sleep(2)
        assert set(follower.evacuations()) == {"y"}
        assert follower.read_age_ms() < 2_000


# Guards against a request that has no effect because another record is unreadable, and
# against starts that pass the gate although that record may hold more requests.
async def test_a_request_holds_although_the_configuration_cannot_be_decoded(
    autojump_clock, monkeypatch
):
    platform = _platform()
    follower, adapter, _ = _follower(platform)

    def fail(entries):
        raise RuntimeError("decoder")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_supervised, "configuration", follower.run)
        await trio.sleep(2)
        monkeypatch.setattr(adapter, "decode_configuration", fail)
        platform.operator.append([("config", b"2"), (X, REQUEST)])
        await trio.sleep(5)
        assert set(follower.evacuations()) == {"x"}
        assert follower.read_age_ms() > 4_000
        nursery.cancel_scope.cancel()


# Guards against a term, or the reading of the log, that ends by an unexpected error
# while starts are withdrawn, and against starts that are never withdrawn after it.
async def test_an_error_while_starts_are_withdrawn_costs_no_term(
    autojump_clock, monkeypatch
):
    platform = _platform()
    instance = _instance(platform)
    withdraw = Scheduler._withdraw_starts
    errors = []

    def fail_once(*arguments):
        if not errors:
            errors.append(RuntimeError("withdrawal"))
            raise errors[0]
        withdraw(*arguments)

    monkeypatch.setattr(Scheduler, "_withdraw_starts", fail_once)
    async with running(instance):
        await trio.sleep(1)
        (holder,) = holders([instance])
        platform.endpoint_by_id["y"].is_disconnected = True
        await trio.sleep(3)
        attempts = _count_starts(platform.endpoint_by_id["x"])
        await _place_on_x(platform, instance)
        await trio.sleep(0.1)
        term = holder.election.leadership.claim.term
        platform.operator.append([(X, REQUEST)])
        await trio.sleep(0.1)
        for endpoint in platform.endpoint_by_id.values():
            endpoint.is_disconnected = False
        await trio.sleep(6)
        assert errors
        assert not attempts
        assert holder.election.leadership.claim.term == term
        assert _started_on(platform) == {"y"}
