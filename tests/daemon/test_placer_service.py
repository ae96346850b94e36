"""PlacerService against in-memory workers and an in-memory log."""

import json
from base64 import b64decode, b64encode
from dataclasses import asdict

import pytest
import trio

from ragwortshelf.core.charging import ChargeLedger
from ragwortshelf.core.model import (
    Completed,
    Configuration,
    DataCentre,
    JobSpec,
    Lease,
    NotRun,
    Organisation,
    Rack,
    Reason,
    TaskState,
    Unknown,
    Unreachable,
    UsageReport,
    WorkerInfo,
    WorkerState,
)
from ragwortshelf.core.placement import DataCentreScheduler
from ragwortshelf.core.streams import JobAccepted, UsageRecorded
from ragwortshelf.daemon.placer import PlacerService
from ragwortshelf.net.interfaces import (
    Appended,
    Applied,
    Denied,
    FenceProof,
    RenewalAnswer,
    UsagePage,
    Worker,
)
from ragwortshelf.standins.worker_state import WorkerLeases

NAMES = ("w1", "w2")
CONFIGURATION = Configuration(
    0,
    {"org": Organisation("org")},
    {"dc": DataCentre("dc", "r", (Rack("rack", NAMES, 4),))},
)


class InMemoryWorker(Worker):
    def __init__(self, name):
        self.name = name
        self.state = WorkerLeases(4, usage_repeat=1)

    def _now_s(self):
        self.state.advance(trio.current_time())
        return trio.current_time()

    async def describe(self):
        rows = self.state.rows(self._now_s())
        for row in rows:
            row["accelerators"] = tuple(row["accelerators"])
            row["label"] = b64decode(row["label"])
            row["task_state"] = TaskState(row["task_state"])
        leases = tuple(Lease(**row) for row in rows)
        boot_id = self.state.boot_id
        version = self.state.version()
        return WorkerState(self.name, boot_id, "dc", "rack", 4, 32, 1, leases, version)

    async def wait_for_change(self, version, *, wait_ms):
        with trio.move_on_after(wait_ms / 1000):
            while self.state.version() == version:
                await trio.sleep(0.02)
                self._now_s()
        return self.state.version() != version

    async def acquire(self, request):
        fields = asdict(request)
        fields["label"] = b64encode(request.label).decode()
        return self._result(self.state.acquire(fields, self._now_s()))

    async def renew(self, lease_ids, ttl_ms):
        answer = self.state.renew(list(lease_ids), ttl_ms, self._now_s())
        return RenewalAnswer(
            tuple(answer["renewed"]), tuple(answer["lost"]), answer["boot_id"]
        )

    async def release(self, lease_id):
        self.state.release(lease_id, self._now_s())
        return Applied()

    async def fence(self, job_id, attempt):
        answer = self.state.fence(job_id, attempt, self._now_s())
        answer["task_state"] = TaskState(answer["task_state"])
        return FenceProof(**answer)

    async def start(self, task):
        return self._result(self.state.start(asdict(task), self._now_s()))

    async def command(self, lease_id, command):
        answer = self.state.command(lease_id, command.value, self._now_s())
        return self._result(answer)

    async def usage(self, cursor, *, limit):
        rows = [row for _, row in self.state.reports[cursor : cursor + limit]]
        reports = tuple(UsageReport(**row) for row in rows)
        return UsagePage(reports, cursor + len(reports))

    def _result(self, reason):
        return Applied() if reason is None else Denied(reason)


class PlacerHarness:
    """A service with its workers, and a log that delivers appended records back."""

    def __init__(self):
        self.worker_by_name = {name: InMemoryWorker(name) for name in NAMES}
        self.log = []
        self.fault = None
        self.decisions = []
        self.charges = ChargeLedger()
        self.service = PlacerService(
            "dc",
            "e1.1",
            lambda info: self.worker_by_name[info.name],
            self.append,
            DataCentreScheduler("dc"),
            self.decisions.append,
            charges=self.charges,
            record_usage=self.record_usage,
        )
        self.service.set_configuration(CONFIGURATION)
        self.service.set_workers([WorkerInfo(n, "dc", "rack", n, 4) for n in NAMES])
        self.service.set_log_reachable(True)
        self.service.set_role(True)

    async def append(self, record):
        await trio.sleep(0.001)
        if self.fault is not None:
            return self.fault
        self.log.append(record)
        self.service.deliver(len(self.log) - 1, record)
        return Appended(len(self.log) - 1, 1)

    async def record_usage(self, reports):
        self.charges.apply(UsageRecorded(reports))
        return True


def make_spec(job_id, run_ms):
    command = json.dumps({"run_ms": run_ms})
    return JobSpec(job_id, "org", "dc", 8, tasks=2, command=command)


@pytest.fixture
async def harness(nursery):
    harness = PlacerHarness()
    nursery.start_soon(harness.service.run)
    return harness


async def test_submitted_job_completes_and_is_charged_once(harness, autojump_clock):
    assert await harness.service.submit(make_spec("e1.1.0", 5_000)) is None
    await trio.sleep(12)
    assert harness.service.ledger.get("e1.1.0").outcome == Completed(
        Reason.TASK_SUCCEEDED
    )
    statement = harness.charges.statement("org")
    assert (statement.ran_ms, statement.wasted_ms) == (8 * 5_000, 0)
    assert any(decision.kind == "place_job" for decision in harness.decisions)
    assert all(not w.state.lease_by_id for w in harness.worker_by_name.values())


@pytest.mark.parametrize(
    ("may_have_applied", "outcome"), [(False, NotRun), (True, Unknown)]
)
async def test_submission_without_log_answer_is_refused_or_unknown(
    harness, autojump_clock, may_have_applied, outcome
):
    harness.fault = Unreachable("down", may_have_applied)
    answer = await harness.service.submit(make_spec("e1.1.0", 100))
    assert isinstance(answer, outcome)
    assert answer.reason is Reason.LOG_UNAVAILABLE


async def test_placeable_job_is_accepted_while_the_log_is_down(harness, autojump_clock):
    await trio.sleep(1)
    harness.fault = Unreachable("down")
    harness.service.set_log_reachable(False)
    assert await harness.service.submit(make_spec("e1.1.0", 2_000)) is None
    refused = await harness.service.submit(make_spec("e1.1.1", 2_000))
    assert isinstance(refused, NotRun)
    await trio.sleep(30)
    harness.fault = None
    harness.service.set_log_reachable(True)
    await trio.sleep(5)
    assert harness.service.ledger.get("e1.1.0").outcome == Completed(
        Reason.TASK_SUCCEEDED
    )
    accepted = [record for record in harness.log if isinstance(record, JobAccepted)]
    assert [record.spec.job_id for record in accepted] == ["e1.1.0"]
