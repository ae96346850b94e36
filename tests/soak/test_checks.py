"""The checks of the soak accept correct histories and report each violation."""

import json

import pytest
import trio

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.listings import EndpointInfo, RunEnd
from ragwortshelf.net.http_messages import HttpRequest
from ragwortshelf.standins.platform_endpoint import EndpointState, StartedRun
from soak.callers import JobRecord
from soak.checks import find_forbidden_starts, find_violations
from soak.platform_server import CAPACITY_NOTICE_S, EndpointServer

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"


def _endpoint(*runs):
    info = EndpointInfo("e", "pool", "", "a", Resources())
    endpoint = EndpointState(info)
    endpoint.history = {(run.task, run.run): run for run in runs}
    return endpoint


def _run(number, started_ms, ended_ms, end):
    return StartedRun(TASK, number, started_ms, 1, ended_ms, end)


DONE = _run(1, 0, 100, RunEnd.DONE)


def _check(job, *endpoints, state="completed"):
    return find_violations({job.id: job}, endpoints, {job.id: state})


def test_a_job_that_ran_once_has_no_violations():
    assert _check(JobRecord(JOB, 1, is_accepted=True), _endpoint(DONE)) == []


@pytest.mark.parametrize(
    ("job", "runs", "state", "expected"),
    [
        (
            JobRecord(JOB, 1, is_accepted=True),
            (DONE, _run(2, 50, 200, RunEnd.DONE)),
            "completed",
            "overlap",
        ),
        (
            JobRecord(JOB, 1, is_accepted=True),
            (DONE, _run(2, 150, 200, RunEnd.DONE)),
            "completed",
            "was done",
        ),
        (JobRecord(JOB, 1, refusals=3), (DONE,), "", "refused"),
        (JobRecord(JOB, 1, is_accepted=True), (), "410", "shown as 410"),
        (JobRecord(JOB, 1, is_accepted=True), (), "completed", "no task done"),
        (JobRecord(JOB, 1, is_accepted=True), (DONE,), "failed", "shown as failed"),
        (
            JobRecord(JOB, 1, is_accepted=True, cancelled_ms=0),
            (_run(1, 4_000, 5_000, RunEnd.DONE),),
            "cancelled",
            "after its cancellation",
        ),
    ],
)
def test_each_violation_is_reported(job, runs, state, expected):
    (violation,) = _check(job, _endpoint(*runs), state=state)
    assert expected in violation


@pytest.mark.parametrize(("voided_ms", "count"), [(120, 0), (160, 1)])
def test_a_done_run_may_be_repeated_only_after_its_lease_expired(voided_ms, count):
    first = StartedRun(TASK, 1, 0, 1, 100, RunEnd.DONE, voided_ms)
    again = _run(2, 150, 250, RunEnd.DONE)
    job = JobRecord(JOB, 1, is_accepted=True)
    assert len(_check(job, _endpoint(first, again))) == count


@pytest.mark.parametrize(
    ("started_ms", "data_centre", "count"),
    [(4_900, "a", 0), (5_100, "a", 1), (5_100, "b", 0), (9_000, "a", 0)],
)
def test_a_start_in_an_evacuated_data_centre_is_reported(
    started_ms, data_centre, count
):
    endpoint = _endpoint(_run(1, started_ms, 9_500, RunEnd.DONE))
    evacuations = [(data_centre, 0.0, 8_000.0)]
    assert len(find_forbidden_starts([endpoint], evacuations)) == count


def test_an_uncertain_submission_may_run_or_not():
    job = JobRecord(JOB, 1, is_uncertain=True)
    assert _check(job, _endpoint(DONE)) == []
    assert _check(job, _endpoint()) == []


@pytest.mark.parametrize(("crashes", "count"), [(1, 1), (2, 0), (5, 0)])
def test_a_job_may_fail_after_two_crashes_under_a_task(crashes, count):
    endpoint = _endpoint(DONE)
    endpoint.crashed_runs = [(TASK, run) for run in range(crashes)]
    job = JobRecord(JOB, 1, is_accepted=True)
    assert len(_check(job, endpoint, state="failed")) == count


def test_a_task_that_is_started_too_often_after_crashes_is_reported():
    endpoint = _endpoint()
    endpoint.crashed_runs = [(f"d{JOB[1:]}.0.0.0", run) for run in range(6)]
    (violation,) = find_violations({}, [endpoint], {})
    assert "crashed 6 endpoints" in violation


async def test_a_start_beyond_a_capacity_that_shrank_long_ago_is_reported(
    autojump_clock,
):
    info = EndpointInfo("e", "pool", "", "a", Resources(0, 0, 2))
    server = EndpointServer(EndpointState(info))
    server.resize(0)
    for number in range(3):
        fields = {"task": f"a.0.0.{number}", "run": 1, "fencing_token": 1}
        fields["until_ms"] = 10**9
        body = json.dumps(fields).encode()
        await server.handle(HttpRequest("POST", "/api/run-start", (), body))
        assert len(server.overfilled) == (1 if number == 2 else 0)
        await trio.sleep(0.1)
    await trio.sleep(CAPACITY_NOTICE_S)
    server.state.running.clear()
    fields["task"] = "b.0.0.0"
    body = json.dumps(fields).encode()
    await server.handle(HttpRequest("POST", "/api/run-start", (), body))
    assert len(server.overfilled) == 2
