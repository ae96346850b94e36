"""The HTTP interface for callers: statuses and bodies of the responses."""

import json

import pytest
import trio
from cluster import holders, make_instances, make_platform, running
from fakes import FakeLog
from platform_adapter.callers import CallerApi
from platform_adapter.store import StoreTopic
from test_store import Client

from ragwortshelf.net.http_messages import HttpRequest, HttpResponse
from ragwortshelf.scheduler.gateway import Gateway

JOB = {"spec": "s", "steps": [{"count": 1, "cpu": 500, "gpu": 1, "estimated_ms": 900}]}
ID = "5c0e7a21d94b36f8"


@pytest.fixture
def autojump_clock():
    from trio.testing import MockClock

    return MockClock(autojump_threshold=0)


class Caller:
    def __init__(self, api):
        self._api = api

    async def __call__(self, method, path, key="key", body=None, host="h"):
        headers = (("host", f"{host}:80"), ("authorization", f"Bearer {key}"))
        data = b"" if body is None else json.dumps(body).encode()
        response = await self._api.handle(HttpRequest(method, path, headers, data))
        return response.status, json.loads(response.body), response


async def test_a_job_is_submitted_queried_and_cancelled_over_http(autojump_clock):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    call = Caller(CallerApi(instance.gateway))
    async with trio.open_nursery() as nursery:
        status, _, response = await call("POST", f"/q/{ID}", body=JOB)
        assert status == 503
        assert int(response.header("retry-after")) >= 1
        nursery.start_soon(instance.run)
        await trio.sleep(1)
        assert (await call("GET", f"/q/{ID}"))[0] == 410
        assert (await call("POST", f"/q/{ID}", body=JOB))[0] == 200
        assert (await call("POST", f"/q/{ID}", body=JOB))[0] == 200
        await trio.sleep(0.3)
        assert (await call("GET", f"/q/{ID}"))[1] == {"state": "running"}
        assert (await call("GET", "/q/"))[1] == {"pending": 0}
        await trio.sleep(3)
        assert (await call("GET", f"/q/{ID}"))[1] == {"state": "completed"}
        assert (await call("DELETE", f"/q/{ID}"))[0] == 200
        assert (await call("GET", f"/q/{ID}"))[1] == {"state": "completed"}
        assert (await call("DELETE", f"/q/{'0' * 16}"))[0] == 410
        assert (await call("GET", f"/q/{ID}", key="no"))[0] == 401
        assert (await call("GET", "/none/"))[0] == 404
        assert (await call("GET", "/q/", host="other"))[0] == 404
        assert (await call("POST", f"/q/{ID}x", body={}))[0] == 400
        assert (await call("PUT", f"/q/{ID}"))[0] == 400
        nursery.cancel_scope.cancel()
    text = instance.metrics.text()
    assert 'calls_total{call="POST",outcome="accepted",reason=""} 2' in text
    assert 'orders_total{order="start",outcome="started"} 1' in text
    assert 'log_calls_total{call="append",log="jobs",outcome="appended"}' in text
    assert 'unit_changes_total{phase="done",reason="done"} 1' in text
    assert "first_start_wait_ms_count 1" in text


async def test_an_error_in_a_call_is_not_reported_as_a_refusal(
    monkeypatch, autojump_clock
):
    submit = Gateway.submit
    outcomes = [RuntimeError("injected")]

    async def fail_once(self, spec, deadline_ms):
        if outcomes:
            raise outcomes.pop()
        return await submit(self, spec, deadline_ms)

    monkeypatch.setattr(Gateway, "submit", fail_once)
    platform = make_platform()
    (instance,) = make_instances(platform, 1)
    api = CallerApi(instance.gateway)
    call = Caller(api)
    async with running(instance):
        await trio.sleep(1)
        assert (await call("POST", f"/q/{ID}", body=JOB))[0] == 504
        assert (await call("POST", f"/q/{ID}", body=JOB))[0] == 200


async def test_a_call_whose_caller_leaves_is_recorded(monkeypatch, autojump_clock):
    platform = make_platform()
    (instance,) = make_instances(platform, 1)
    call = Caller(CallerApi(instance.gateway))
    async with running(instance):
        await trio.sleep(1)
        monkeypatch.setattr(Gateway, "state", lambda self, job_id: trio.sleep_forever())
        with trio.move_on_after(1):
            await call("GET", f"/q/{ID}")
    assert 'outcome="abandoned"' in instance.metrics.text()


def _refuse_appends(monkeypatch, status):
    """Let the store answer all appends with a status, and reads as usual."""

    async def append(log, entries, **arguments):
        topic = StoreTopic(Client(HttpResponse(status)), "keyed.jobs")
        return await topic.append(entries, **arguments)

    monkeypatch.setattr(FakeLog, "append", append)


# Guards against refusals that count as appends without an answer: the caller would be
# told that its job may run.
@pytest.mark.parametrize("status", [429, 503, 507])
async def test_a_submission_that_the_store_refuses_is_refused(
    autojump_clock, monkeypatch, status
):
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    call = Caller(CallerApi(instance.gateway))
    async with running(instance):
        with monkeypatch.context() as patch:
            _refuse_appends(patch, status)
            await trio.sleep(3)
            assert not holders([instance])
            assert (await call("POST", f"/q/{ID}", body=JOB))[0] == 503
            assert (await call("GET", f"/q/{ID}"))[0] == 410
            assert not platform.jobs.entries
        await trio.sleep(3)
        assert holders([instance])
        assert (await call("GET", f"/q/{ID}"))[0] == 410
        assert (await call("POST", f"/q/{ID}", body=JOB))[0] == 200
        await trio.sleep(3)
        assert (await call("GET", f"/q/{ID}"))[1] == {"state": "completed"}


async def test_an_overload_is_answered_with_a_status_and_a_delay(autojump_clock):
    # Guards against callers that take the refusal for an outage and return at once.
    platform = make_platform()
    instance = make_instances(platform, 1)[0]
    call = Caller(CallerApi(instance.gateway))
    step = {"count": 24, "cpu": 1_000, "gpu": 1, "estimated_ms": 1_000}
    body = {"spec": "s", "steps": [step]}
    for endpoint in platform.endpoint_by_id.values():
        endpoint.work_ms = 20_000
    async with running(instance):
        # A scheduler is elected, and publishes its capacity 3 s later.
        await trio.sleep(6)
        answers = [
            await call("POST", f"/q/{number:016x}", body=body) for number in range(12)
        ]
        text = instance.metrics.text()
    assert answers[0][0] == 200
    status, fields, response = answers[-1]
    assert (status, fields["error"]) == (429, "overloaded")
    assert 1 <= int(response.header("retry-after")) <= 30
    assert "forecast wait" in fields["detail"]
    refused = sum(status == 429 for status, _, _ in answers)
    name = 'calls_total{call="POST",outcome="declined",reason="overloaded"}'
    assert f"{name} {refused}" in text
