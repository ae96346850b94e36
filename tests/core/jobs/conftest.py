"""Simulated cluster of workers, a log and placers, run in virtual time."""

import json
from base64 import b64decode, b64encode
from types import SimpleNamespace

import pytest

from ragwortshelf.core import jobs
from ragwortshelf.core.jobs.lease_label import decode_label
from ragwortshelf.core.model import (
    Configuration,
    DataCentre,
    JobSpec,
    Lease,
    Organisation,
    Rack,
    TaskState,
    WorkerInfo,
    WorkerState,
)
from ragwortshelf.core.placement import DataCentreScheduler
from ragwortshelf.core.streams import AttemptClaimed, JobAccepted
from ragwortshelf.standins.worker_state import WorkerLeases

WORKERS = ("w1", "w2", "w3")
CONFIGURATION = Configuration(
    0,
    {"org": Organisation("org")},
    {"dc": DataCentre("dc", "r", (Rack("rack", WORKERS, 4),))},
)
ActionResult = jobs.ActionResult


def spec_of(job_id, accelerators=8, run_ms=3_000, **fields):
    command = {"run_ms": run_ms, "checkpoint_ms": 500}
    command["exit_status"] = fields.pop("exit_status", 0)
    return JobSpec(
        job_id, "org", "dc", accelerators, command=json.dumps(command), **fields
    )


class Placer:
    """One placer process: its machine, offset in the log, and actions to deliver."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.machine = jobs.PlacerMachine("dc", name, DataCentreScheduler("dc"))
        self.offset = 0
        self.sent = []
        self.handle(jobs.ConfigurationChanged(cluster.configuration))
        infos = tuple(WorkerInfo(w, "dc", "rack", "", 4) for w in WORKERS)
        self.handle(jobs.WorkersListed(infos))
        self.set_role(True)

    def set_role(self, is_placer):
        self.handle(jobs.RoleChanged(is_placer))

    def handle(self, event):
        for action in self.machine.handle(event, self.cluster.now_ms):
            if isinstance(action, jobs.AnswerSubmission):
                assert action.job_id not in self.cluster.submissions
                self.cluster.submissions[action.job_id] = action.refusal
            elif not isinstance(action, jobs.LogDecision):
                self.sent.append(action)

    def tick(self):
        self.handle(jobs.Tick(self.cluster.now_ms))

    def read(self, count=10_000):
        """Read up to ``count`` records of the log, and report whether it is up."""
        is_up = self.cluster.is_log_up
        if is_up:
            for record in self.cluster.log[self.offset : self.offset + count]:
                self.offset += 1
                self.handle(jobs.RecordRead(self.offset - 1, record))
        self.handle(jobs.LogReachable(is_up, self.offset == len(self.cluster.log)))

    def observe(self, worker):
        if worker in self.cluster.unreachable:
            self.handle(jobs.WorkerUnreachable(worker))
        else:
            requested_ms = self.cluster.now_ms
            self.handle(
                jobs.WorkerObserved(self.cluster.describe(worker), requested_ms)
            )

    def deliver(self, index=0, delivery="answered"):
        """Deliver one sent action, and handle its answer unless it is lost.

        ``delivery`` is answered, duplicated, answer_lost or message_lost.
        """
        action = self.sent.pop(index)
        answer = None
        if delivery != "message_lost":
            answer = self.cluster.execute(action)
        if delivery == "duplicated":
            self.cluster.execute(action)
        if delivery == "answer_lost":
            answer = None
        event = _event(action, answer, self.cluster.now_ms)
        if event is not None:
            self.handle(event)


def _event(action, answer, now_ms):
    if isinstance(action, jobs.ObserveWorker):
        if answer is None:
            return jobs.WorkerUnreachable(action.worker)
        return jobs.WorkerObserved(answer, now_ms)
    if isinstance(action, jobs.FenceJob):
        if answer is None:
            return jobs.FenceAnswered(action, None)
        answer["task_state"] = TaskState(answer["task_state"])
        return jobs.FenceAnswered(action, jobs.Proof(**answer))
    if isinstance(action, jobs.RenewLeases):
        if answer is None:
            return jobs.RenewAnswered(action, False)
        lost = tuple(answer["lost"])
        return jobs.RenewAnswered(action, True, lost, answer["boot_id"])
    result, reason = answer or (ActionResult.NO_ANSWER, "")
    if isinstance(action, jobs.AcquireLease):
        return jobs.LeaseAnswered(action, result, reason)
    if isinstance(action, jobs.StartTask):
        return jobs.StartAnswered(action, result, reason)
    if isinstance(action, jobs.CommandTask):
        return jobs.CommandAnswered(action, result)
    if isinstance(action, jobs.AppendRecord):
        return jobs.AppendAnswered(action, result)
    return None


class SimulatedCluster:
    """Workers, log and placers.

    ``starts`` lists all starts that workers carried out, and ``granted`` all leases
    that they granted. Workers in ``unreachable`` get no messages.
    """

    def __init__(self, placers=1, configuration=CONFIGURATION):
        self.now_ms = 1_000
        self.configuration = configuration
        self.log = []
        self.is_log_up = True
        self.unreachable = set()
        self.worker_by_name = {name: WorkerLeases(4) for name in WORKERS}
        self.starts = []
        self.granted = set()
        self.submissions = {}
        self.placers = []
        self.incarnations = 0
        for _ in range(placers):
            self.add_placer()

    def add_placer(self):
        self.incarnations += 1
        self.placers.append(Placer(self, f"p{self.incarnations}"))
        return self.placers[-1]

    def crash(self, index):
        """Replace a placer by a new one; return its actions, which may arrive late."""
        old = self.placers.pop(index)
        self.add_placer()
        return old.sent

    def accept(self, spec):
        self.log.append(JobAccepted(spec, "p0"))

    def submit_off_log(self, placer, spec):
        placer.handle(jobs.JobSubmittedOffLog(spec))

    def advance(self, step_ms):
        self.now_ms += step_ms
        for worker in self.worker_by_name.values():
            worker.advance(self.now_ms / 1000)

    def describe(self, name):
        worker = self.worker_by_name[name]
        rows = worker.rows(self.now_ms / 1000)
        for row in rows:
            row["accelerators"] = tuple(row["accelerators"])
            row["label"] = b64decode(row["label"])
            row["task_state"] = TaskState(row["task_state"])
        leases = tuple(Lease(**row) for row in rows)
        return WorkerState(name, worker.boot_id, "dc", "rack", 4, 32, 1 << 36, leases)

    def execute(self, action):
        """Execute an action, and return its answer or None if there is none."""
        if isinstance(action, jobs.AppendRecord):
            if not self.is_log_up:
                return None
            self.log.append(action.record)
            return ActionResult.APPLIED, ""
        if action.worker in self.unreachable:
            return None
        worker = self.worker_by_name[action.worker]
        return _CALLS[type(action)](self, worker, action, self.now_ms / 1000)

    def _acquire(self, worker, action, now_s):
        request = action.request
        fields = {name: getattr(request, name) for name in request.__slots__}
        fields["label"] = b64encode(request.label).decode()
        answer = _to_result(worker.acquire(fields, now_s))
        if answer[0] is ActionResult.APPLIED:
            self.granted.add((action.worker, worker.boot_id, request.lease_id))
        return answer

    def _start(self, worker, action, now_s):
        entry = worker.lease_by_id.get(action.lease_id)
        had_started = entry is not None and entry.has_started
        fields = {name: getattr(action, name) for name in action.__slots__}
        answer = _to_result(worker.start(fields, now_s))
        if answer[0] is ActionResult.APPLIED and not had_started:
            self.starts.append(
                SimpleNamespace(
                    job_id=action.job_id,
                    attempt=action.attempt,
                    lease_id=action.lease_id,
                    holder=entry.holder,
                    worker=action.worker,
                    resume_from=action.resume_from,
                    label=entry.label,
                    granted=frozenset(self.granted),
                    log=tuple(self.log),
                )
            )
        return answer

    def step(self, step_ms=100):
        """Run all placers without faults: read, observe, tick and deliver messages."""
        self.advance(step_ms)
        for placer in self.placers:
            placer.read()
            for name in WORKERS:
                placer.observe(name)
            placer.tick()
            while placer.sent:
                placer.deliver()
                placer.read()

    def run(self, duration_ms, step_ms=100):
        for _ in range(duration_ms // step_ms):
            self.step(step_ms)

    def outcome(self, job_id):
        self.placers[0].read()
        entry = self.placers[0].machine.ledger.get(job_id)
        return None if entry is None else entry.outcome

    def live_leases(self):
        return [
            (name, lease.lease_id, lease.task_state)
            for name, worker in self.worker_by_name.items()
            for lease in worker.lease_by_id.values()
            if lease.is_live
        ]


def _to_result(reason):
    return (
        (ActionResult.APPLIED, "") if reason is None else (ActionResult.DENIED, reason)
    )


_CALLS = {
    jobs.ObserveWorker: lambda cluster, worker, action, now_s: cluster.describe(
        action.worker
    ),
    jobs.AcquireLease: SimulatedCluster._acquire,
    jobs.StartTask: SimulatedCluster._start,
    jobs.ReleaseLease: lambda cluster, worker, action, now_s: worker.release(
        action.lease_id, now_s
    ),
    jobs.RenewLeases: lambda cluster, worker, action, now_s: worker.renew(
        list(action.lease_ids), action.ttl_ms, now_s
    ),
    jobs.FenceJob: lambda cluster, worker, action, now_s: worker.fence(
        action.job_id, action.attempt, now_s
    ),
    jobs.CommandTask: lambda cluster, worker, action, now_s: _to_result(
        worker.command(action.lease_id, action.command.value, now_s)
    ),
}


@pytest.fixture
def cluster_type():
    return SimulatedCluster


@pytest.fixture
def make_spec():
    return spec_of


def claim_of(start):
    """Return the claim that the label of a started lease describes."""
    decoded = decode_label(b64decode(start.label))
    return AttemptClaimed(
        start.job_id,
        start.attempt,
        decoded.accepted_by,
        "dc",
        decoded.grants,
        decoded.boot_ids,
        0,
    )
