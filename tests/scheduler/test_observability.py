"""Outcomes and state changes are logged, and metrics change with them."""

import logging as standard_logging
import re
from dataclasses import replace

import fakes
import pytest
import trio
from absl import logging
from cluster import (
    faults_of,
    make_instances,
    make_job,
    make_lasting_job,
    make_platform,
    running,
    submit,
)
from fakes import FakeLog

from ragwortshelf.core.scheduling.listings import RunEnd
from ragwortshelf.scheduler.clock import monotonic_ms
from ragwortshelf.scheduler.gateway import SLOW_QUERY_MS, Declined, Reason
from ragwortshelf.scheduler.interfaces import LogUnanswered


class _LogLines(standard_logging.Handler):
    def __init__(self):
        super().__init__()
        self.rows = []

    def emit(self, record):
        self.rows.append((record.getMessage(), record.fields))

    def named(self, message):
        return [fields for name, fields in self.rows if name == message]


@pytest.fixture
def lines():
    handler = _LogLines()
    logger = logging.get_absl_logger()
    before = logging.get_verbosity()
    logging.set_verbosity(logging.INFO)
    logger.addHandler(handler)
    yield handler
    logger.removeHandler(handler)
    logging.set_verbosity(before)


async def _call(instance, path="/q/", key="key", method="POST", job_id="a" * 16):
    """Make and record a call as the HTTP server for callers does."""
    began_ms = monotonic_ms()
    gateway = instance.gateway
    access = outcome = gateway.authorise("h", path, key)
    if isinstance(access, Declined):
        gateway.record_call(method, path, access, None, began_ms)
        return
    if method == "POST":
        outcome = await gateway.submit(make_job(job_id), began_ms + 2_700)
    elif method == "DELETE":
        outcome = await gateway.cancel(job_id, began_ms + 2_700)
    elif method == "GET":
        outcome = await gateway.state(job_id)
    gateway.record_call(method, job_id, outcome, access, began_ms)


async def test_each_call_outcome_is_logged_with_its_reason(autojump_clock, lines):
    instance = make_instances(make_platform(), 1)[0]
    await _call(instance)
    async with running(instance):
        await trio.sleep(1)
        await _call(instance)
        await _call(instance, method="DELETE")
        await _call(instance, method="DELETE", job_id="f" * 16)
        await _call(instance, path="/none/")
        await _call(instance, key="other")
        faults_of(instance).store = "silent"
        await _call(instance, job_id="b" * 16)
        await trio.sleep(1.5)
        await _call(instance, job_id="c" * 16)
    rows = lines.named("call")
    assert [(row["outcome"], row["reason"]) for row in rows] == [
        ("declined", Reason.NOT_READY),
        ("accepted", None),
        ("accepted", None),
        ("declined", Reason.NO_JOB),
        ("declined", Reason.NO_QUEUE),
        ("declined", Reason.UNKNOWN_KEY),
        ("uncertain", None),
        ("declined", Reason.LOG_UNAVAILABLE),
    ]
    for row in rows[1:]:
        assert row["configuration"] == 1
        assert row["configuration_age_ms"] >= 0


# Guards against queries that cannot be told apart afterwards: quick ones, and those
# that waited for the log.
async def test_only_slow_queries_are_logged(autojump_clock, lines, monkeypatch):
    instance = make_instances(make_platform(), 1)[0]
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_lasting_job("a" * 16))
        await _call(instance, method="GET")
        # Longer than a query waits, whatever read is under way when it comes.
        monkeypatch.setattr(fakes, "LOG_CALL_S", 0.6)
        await trio.sleep(2)
        await _call(instance, method="GET")
    rows = [row for row in lines.named("call") if row["call"] == "GET"]
    assert [row["outcome"] for row in rows] == ["shown"]
    assert rows[0]["took_ms"] >= SLOW_QUERY_MS


async def test_each_state_change_is_logged(autojump_clock, lines):
    platform = make_platform(2)
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        platform.endpoint_by_id["e1"].is_disconnected = True
        await trio.sleep(10)
        platform.endpoint_by_id["e1"].is_disconnected = False
        await trio.sleep(2)
        faults_of(instance).store = "silent"
        await trio.sleep(3)
        faults_of(instance).store = ""
        await trio.sleep(2)
        platform.reports.append([("e1", b"")])
        await trio.sleep(1)
        await instance.drain()
    logged_messages = {message for message, _ in lines.rows}
    assert logged_messages >= {
        "configuration_in_force",
        "endpoint_lapsed",
        "endpoint_lost",
        "endpoint_regained",
        "endpoint_unlisted",
        "job_log_loaded",
        "job_log_lost",
        "job_log_regained",
        "operator_log_lost",
        "operator_log_regained",
        "term_claimed",
        "term_ended",
        "term_started",
    }


async def test_a_log_that_stays_lost_is_reported_again(autojump_clock, lines):
    instance = make_instances(make_platform(), 1)[0]
    async with running(instance):
        await trio.sleep(1)
        faults_of(instance).store = "silent"
        await trio.sleep(14)
        faults_of(instance).store = ""
        await trio.sleep(2)
        faults_of(instance).store = "silent"
        await trio.sleep(3)
    for message in ("job_log_lost", "operator_log_lost"):
        rows = lines.named(message)
        failed_calls = [row["failed_calls"] for row in rows]
        assert len(rows) == 4, message
        assert failed_calls[0] == failed_calls[3] == 1
        assert 5 < failed_calls[1] < failed_calls[2]
        assert rows[1]["age_ms"] >= rows[0]["age_ms"] + 5_000


async def test_bytes_of_incomplete_answers_are_counted(autojump_clock, monkeypatch):
    instance = make_instances(make_platform(), 1)[0]

    async def cut(self, offset, *, wait_ms, timeout_ms, is_brief=False):
        await trio.sleep(timeout_ms / 1000)
        return LogUnanswered("timeout", received_bytes=400_000)

    monkeypatch.setattr(FakeLog, "read", cut)
    async with running(instance):
        await trio.sleep(2)
    text = instance.metrics.text()
    labels = 'call="read",log="operator",outcome="logunanswered"'
    cut_calls = int(re.search(f"log_calls_total{{{labels}}} (\\d+)", text)[1])
    discarded_bytes = 400_000 * cut_calls
    assert cut_calls > 0
    assert (
        f'log_bytes_total{{log="operator",way="discarded"}} {discarded_bytes}' in text
    )


async def test_each_step_of_a_job_is_logged(autojump_clock, lines):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job("a" * 16, count=1))
        await trio.sleep(0.2)
        for endpoint in platform.endpoint_by_id.values():
            for task in list(endpoint.running):
                endpoint.end(task, RunEnd.FAILED)
        await trio.sleep(3)
    phases = [(r["phase"], r["run"], r["reason"]) for r in lines.named("unit")]
    assert phases == [
        ("placed", 1, "placed"),
        ("ending", 1, "failed"),
        ("placed", 2, "placed"),
        ("done", 2, "done"),
    ]
    assert [r["outcome"] for r in lines.named("start")] == ["started", "started"]


async def test_each_documented_metric_changes(autojump_clock):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        before = instance.metrics.text()
        await _call(instance)
        await trio.sleep(0.2)
        await _call(instance, method="DELETE")
        await trio.sleep(2)
        after = instance.metrics.text()
    for name in (
        "call_ms",
        "calls_total",
        "first_start_wait_ms",
        "jobs",
        "log_append_ms",
        "log_bytes_total",
        "log_calls_total",
        "orders_total",
        "plan_ms",
        "unit_changes_total",
    ):
        values = [_samples(text, name) for text in (before, after)]
        assert values[1], name
        assert values[0] != values[1], name
    assert _samples(after, "is_scheduler") == ["ragwortshelf_is_scheduler 1"]
    assert _samples(after, "term_claims_total")


def _samples(text, name):
    prefix = f"ragwortshelf_{name}"
    return [line for line in text.splitlines() if line.startswith(prefix)]


async def test_a_crash_shows_which_runs_were_there_and_who_took_the_address(
    autojump_clock, lines
):
    platform = make_platform(1)
    platform.make_tasks_crash([f"{'e' * 16}.0.0.0"], is_replaced=True)
    instance = make_instances(platform, 1)[0]
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job("e" * 16, count=1))
        await trio.sleep(9)
    lost = lines.named("runs_out_of_contact")[0]
    assert lost["endpoint"] == "e0" and lost["runs"] == 1
    assert lost["youngest"][f"{'e' * 16}.0.0.0/1"] < 100
    assert "e0" in [row["ended_on"] for row in lines.named("unit")]
    regained = [(r["endpoint"], r["address"]) for r in lines.named("endpoint_regained")]
    assert regained[:2] == [("e0", "e0"), ("e0+", "e0")]


# Load: one organisation has all accelerators when another asks for half of them.
# Promise: the gauge counts who is above its share, and the unit lines of placements
# tell use and share from then on; while everything fits, nothing is reported.
async def test_shares_are_reported_while_not_everything_fits(autojump_clock, lines):
    platform = make_platform(1)
    instance = make_instances(platform, 1)[0]
    gauge = "organisations_above_share"
    async with running(instance):
        await trio.sleep(1)
        other = replace(make_job("a" * 16, count=4), organisation="other")
        await submit(instance, other)
        await trio.sleep(0.2)
        assert _samples(instance.metrics.text(), gauge) == [f"ragwortshelf_{gauge} 0"]
        await submit(instance, make_job("b" * 16, count=2))
        await trio.sleep(0.2)
        assert _samples(instance.metrics.text(), gauge) == [f"ragwortshelf_{gauge} 1"]
        endpoint = platform.endpoint_by_id["e0"]
        endpoint.end(min(endpoint.running), RunEnd.DONE)
        await trio.sleep(0.2)
    placed = [r for r in lines.named("unit") if r["phase"] == "placed"]
    shares = [(r["share"], r["fair_share"]) for r in placed]
    assert shares == [(None, None)] * 4 + [(0.25, 0.5)]


# Guards against waits that cannot be explained: no line told which runs stay on an
# endpoint when its lease has expired, nor how long leases may last there.
async def test_the_runs_that_stay_on_a_lapsed_endpoint_are_reported_with_their_wait(
    autojump_clock, lines
):
    platform = make_platform(3)
    instance = make_instances(platform, 1)[0]
    for endpoint in platform.endpoint_by_id.values():
        endpoint.lose_start_answers = 3
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job("a" * 16, count=1))
        while not any(e.running for e in platform.endpoint_by_id.values()):
            await trio.sleep(0.001)
        (lost,) = [e for e in platform.endpoint_by_id.values() if e.running]
        # The list that is on its way does not show the run.
        lost.rows = tuple
        lost.is_disconnected = True
        await trio.sleep(15)
    (row,) = lines.named("endpoint_lost")
    assert 0 < row["lease_ms"] < row["any_lease_ms"] < 11_000
    first, last = lines.named("endpoint_lapsed")
    assert not first["is_any_incarnation"]
    assert (first["released"], first["kept"]) == (0, ["a" * 16 + ".0.0.0/1"])
    assert (last["released"], last["kept"]) == (1, [])
    wait = lines.named("unit_waits")[0]
    assert wait["cause"] == "out_of_contact"
    assert list(wait["leases_ms_by_endpoint"]) == [lost.info.id]
    assert wait["idle_ms"] >= wait["waited_ms"]
    assert (wait["reserved_ms_by_unit"], wait["exclusive_to"]) == ({}, [])


async def test_an_overdue_run_is_reported_and_counted(autojump_clock, lines):
    platform = make_platform(1)
    (instance,) = make_instances(platform, 1)
    platform.endpoint_by_id["e0"].work_ms = 60_000
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job("a" * 16, count=1))
        await trio.sleep(4)
        gauge = "ragwortshelf_overdue_runs"
        assert _samples(instance.metrics.text(), "overdue_runs") == [f"{gauge} 1"]
    row = lines.named("run_overdue")[0]
    assert (row["task"], row["run"]) == ("a" * 16 + ".0.0.0", 1)
    assert row["age_ms"] >= 3 * row["estimate_ms"] > 0
    assert row["stage"] == "running"
    assert row["is_reachable"]
    assert row["is_listed"]


async def test_the_wait_for_leases_of_earlier_terms_is_reported(autojump_clock, lines):
    platform = make_platform(2)
    instances = make_instances(platform, 1)
    async with running(*instances):
        await trio.sleep(1)
        await submit(instances[0], make_job("a" * 16, count=1))
        await trio.sleep(0.5)
    gone = [e for e in platform.endpoint_by_id.values() if e.history]
    platform.reports.append([(e.info.id, b"") for e in gone])
    async with running(*make_instances(platform, 1)):
        await trio.sleep(5)
    first, second = lines.named("term_started")
    assert first["earlier_leases_ms"] == 0 < second["earlier_leases_ms"]
    (row,) = lines.named("endpoints_unlisted")
    assert row["endpoints"] == [e.info.id for e in gone]
    assert 0 < row["leases_ms"] <= second["earlier_leases_ms"]
