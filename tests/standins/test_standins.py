"""The HTTP adapters against the stand-ins, over loopback sockets."""

import contextlib
import json

import pytest
import trio

from ragwortshelf.core.model import LeaseRequest, TaskState, Unreachable
from ragwortshelf.net.http_client import HttpClient
from ragwortshelf.net.instance_list import HttpInstanceList
from ragwortshelf.net.interfaces import (
    Appended,
    Applied,
    Denied,
    Page,
    Task,
    TaskCommand,
    Truncated,
)
from ragwortshelf.net.log import HttpLog
from ragwortshelf.net.workers import HttpWorker
from ragwortshelf.standins.endpoint import ServingEndpointStandIn
from ragwortshelf.standins.instance_list import InstanceListStandIn
from ragwortshelf.standins.log import LogStandIn
from ragwortshelf.standins.stand_in import serve
from ragwortshelf.standins.worker import WorkerStandIn
from ragwortshelf.standins.worker_state import WorkerLeases


@contextlib.asynccontextmanager
async def running(stand_in):
    async with trio.open_nursery() as nursery:
        yield await nursery.start(serve, stand_in, "127.0.0.1:0")
        nursery.cancel_scope.cancel()


async def post(address, path, fields):
    client = HttpClient(address)
    response = await client.call("POST", path, json.dumps(fields).encode())
    await client.aclose()
    return response


async def test_log_keeps_order_and_limits_retention():
    async with running(LogStandIn(retention_records=2)) as address:
        log = HttpLog(address)
        assert await log.append("s", (b"a", b"b")) == Appended(0, 2)
        assert await log.append("s", (b"c",)) == Appended(2, 1)
        assert await log.read("s", 1, limit=9, wait_ms=0) == Page(1, (b"b", b"c"), 3)
        assert await log.read("s", 0, limit=9, wait_ms=0) == Truncated(1, 3)
        assert await log.read("s", 3, limit=9, wait_ms=1) == Page(3, (), 3)


async def test_an_append_with_a_lost_response_is_in_the_log():
    async with running(LogStandIn()) as address:
        log = HttpLog(address)
        await post(address, "/faults", {"lost_answers": 1})
        lost = await log.append("s", (b"a",))
        assert isinstance(lost, Unreachable) and lost.may_have_applied
        assert await log.read("s", 0, limit=9, wait_ms=0) == Page(0, (b"a",), 1)


async def test_an_append_during_an_outage_has_no_effect():
    async with running(LogStandIn()) as address:
        log = HttpLog(address)
        await post(address, "/faults", {"outage": True})
        refused = await log.append("s", (b"a",))
        assert isinstance(refused, Unreachable) and not refused.may_have_applied
        await post(address, "/faults", {})
        assert await log.read("s", 0, limit=9, wait_ms=0) == Page(0, (), 0)


async def test_list_shows_changed_states():
    stand_in = InstanceListStandIn()
    row = {"name": "m1", "data_centre": "dc", "address": "127.0.0.1:1"}
    stand_in.replace({"endpoints": [{**row, "state": "live"}]})
    async with running(stand_in) as address:
        await post(address, "/members/m1/state", {"state": "leaving"})
        members = await HttpInstanceList(address).fetch()
        assert members.endpoints[0].state == "leaving"
        await post(address, "/members/m1/state", {"state": "gone"})
        assert (await HttpInstanceList(address).fetch()).endpoints == ()


async def test_an_unchanged_list_is_not_sent_again():
    stand_in = InstanceListStandIn()
    row = {"name": "m1", "data_centre": "dc", "address": "127.0.0.1:1"}
    stand_in.replace({"endpoints": [{**row, "state": "live"}]})
    async with running(stand_in) as address:
        instance_list = HttpInstanceList(address)
        first = await instance_list.fetch()
        etag = '"1"'
        answer = await HttpClient(address).call(
            "GET", "/members", headers=(("if-none-match", etag),)
        )
        assert (answer.status, answer.body) == (304, b"")
        assert await instance_list.fetch() is first
        stand_in.replace({"endpoints": []})
        assert (await instance_list.fetch()).endpoints == ()


def lease(job_id, *accelerators, attempt=1):
    return LeaseRequest(job_id, attempt, "i1", accelerators, 60_000, b"label")


async def test_worker_runs_tasks_under_a_lease():
    async with running(WorkerStandIn("w1", "dc", "r1")) as address:
        worker = HttpWorker(address)
        assert await worker.acquire(lease("j1", 0, 1)) == Applied()
        assert (await worker.acquire(lease("j2", 1))).reason == "held"
        state = await worker.describe()
        assert state.leases[0].label == b"label"
        task = Task("j1/1/i1", state.boot_id, "org", (0, 1), '{"run_ms": 0}')
        assert await worker.start(task) == Applied()
        state = await worker.describe()
        assert state.leases[0].task_state is TaskState.SUCCEEDED
        usage = await worker.usage(0, limit=10)
        assert [report.task for report in usage.reports] == [0, 1]
        stale = Task("j1/1/i1", "other", "org", (0,), "")
        assert await worker.start(stale) == Denied("wrong_boot")
        stop = await worker.command("unknown", TaskCommand.STOP)
        assert stop == Denied("unknown_lease")


async def test_a_fence_refuses_the_attempt_and_proves_whether_it_started():
    async with running(WorkerStandIn("w1", "dc", "r1")) as address:
        worker = HttpWorker(address)
        await worker.acquire(lease("j1", 0))
        proof = await worker.fence("j1", 1)
        assert not proof.has_started
        assert await worker.acquire(lease("j1", 0)) == Denied("fenced")
        assert await worker.acquire(lease("j1", 0, attempt=2)) == Applied()


def test_an_expired_lease_stops_its_tasks_and_fences_its_attempt():
    leases = WorkerLeases(2)
    fields = {"job_id": "j", "attempt": 1, "holder": "i", "accelerators": [0, 1]}
    leases.acquire({**fields, "ttl_ms": 1000, "label": ""}, 0.0)
    start = {"lease_id": "j/1/i", "boot_id": leases.boot_id, "organisation": "o"}
    command = '{"run_ms": 60000, "checkpoint_ms": 100}'
    start |= {"tasks": [0, 1, 2], "command": command, "resume_from": 0}
    assert leases.start(start, 0.0) is None
    leases.advance(5.0)
    (row,) = leases.rows(5.0)
    assert (row["task_state"], row["is_live"], row["checkpoint"]) == (
        "stopped",
        False,
        10,
    )
    assert sum(report["accelerator_ms"] for _, report in leases.reports) == 2000
    assert leases.acquire({**fields, "ttl_ms": 1000, "label": ""}, 5.0) == "fenced"


@pytest.mark.parametrize(
    ("fault", "status"),
    [({}, 200), ({"leaving": True}, 503), ({"fail_all": True}, 500)],
)
async def test_endpoint_answers_according_to_its_faults(fault, status):
    async with running(ServingEndpointStandIn("m1")) as address:
        await post(address, "/faults", fault)
        response = await HttpClient(address).call(
            "POST", "/x", headers=(("x-request-id", "r1"),)
        )
        assert response.status == status
        assert response.header("x-request-id") == "r1"
        assert response.header("x-not-run") == ("true" if status == 503 else "")


async def test_a_truncated_response_is_unreachable():
    async with running(ServingEndpointStandIn("m1")) as address:
        await post(address, "/faults", {"truncate": 1})
        assert isinstance(await HttpClient(address).call("POST", "/x"), Unreachable)


async def test_silent_open_affects_only_the_open_connections():
    async with running(ServingEndpointStandIn("m1")) as address:
        client = HttpClient(address)
        assert (await client.call("POST", "/x")).status == 200
        await post(address, "/faults", {"silent_open": True})
        silent = await client.call("POST", "/x", timeout_ms=200)
        assert isinstance(silent, Unreachable)
        assert (await HttpClient(address).call("POST", "/x")).status == 200
