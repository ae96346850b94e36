"""A world of fake workers, a fake log and placers, moved by virtual time."""

import json
from base64 import b64decode, b64encode
from types import SimpleNamespace

import pytest

from ragwortshelf.core import jobs
from ragwortshelf.core.jobs.label import decode_label
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
from ragwortshelf.core.placement import Scheduler
from ragwortshelf.core.streams import AttemptClaimed, JobAccepted
from ragwortshelf.standins.worker_state import WorkerLeases

WORKERS = ("w1", "w2", "w3")
CONFIGURATION = Configuration(
    0,
    {"org": Organisation("org")},
    {"dc": DataCentre("dc", "r", (Rack("rack", WORKERS, 4),))},
)
Verdict = jobs.Verdict


def spec_of(job_id, accelerators=8, run_ms=3_000, **fields):
    command = {"run_ms": run_ms, "checkpoint_ms": 500}
    command["exit_status"] = fields.pop("exit_status", 0)
    return JobSpec(
        job_id, "org", "dc", accelerators, command=json.dumps(command), **fields
    )


class Placer:
    """One process: its machine, how far it has read, and what it has sent."""

    def __init__(self, world, name):
        self.world = world
        self.machine = jobs.PlacerMachine("dc", name, Scheduler("dc"))
        self.offset = 0
        self.sent = []
        self.handle(jobs.ConfigurationChanged(world.configuration))
        infos = tuple(WorkerInfo(w, "dc", "rack", "", 4) for w in WORKERS)
        self.handle(jobs.WorkersListed(infos))
        self.set_role(True)

    def set_role(self, is_placer):
        self.handle(jobs.RoleChanged(is_placer))

    def handle(self, event):
        for action in self.machine.handle(event, self.world.now_ms):
            if isinstance(action, jobs.AnswerSubmission):
                assert action.job_id not in self.world.submissions
                self.world.submissions[action.job_id] = action.refusal
            elif not isinstance(action, jobs.LogDecision):
                self.sent.append(action)

    def tick(self):
        self.handle(jobs.Tick(self.world.now_ms))

    def read(self, count=10_000):
        """Read on in the log, and learn whether it is up."""
        is_up = self.world.is_log_up
        if is_up:
            for record in self.world.log[self.offset : self.offset + count]:
                self.offset += 1
                self.handle(jobs.RecordRead(self.offset - 1, record))
        self.handle(jobs.LogReachable(is_up, self.offset == len(self.world.log)))

    def observe(self, worker):
        if worker in self.world.cut:
            self.handle(jobs.WorkerUnreachable(worker))
        else:
            asked_ms = self.world.now_ms
            self.handle(jobs.WorkerObserved(self.world.describe(worker), asked_ms))

    def carry_out(self, index=0, fate="answered"):
        """Let one sent message go: answered, answer lost, or message lost."""
        action = self.sent.pop(index)
        answer = None
        if fate != "message_lost":
            answer = self.world.carry_out(action)
        if fate == "duplicated":
            self.world.carry_out(action)
        if fate == "answer_lost":
            answer = None
        event = _event(action, answer, self.world.now_ms)
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
    verdict, reason = answer or (Verdict.NO_ANSWER, "")
    if isinstance(action, jobs.AcquireLease):
        return jobs.LeaseAnswered(action, verdict, reason)
    if isinstance(action, jobs.StartTask):
        return jobs.StartAnswered(action, verdict, reason)
    if isinstance(action, jobs.CommandTask):
        return jobs.CommandAnswered(action, verdict)
    if isinstance(action, jobs.AppendRecord):
        return jobs.AppendAnswered(action, verdict)
    return None


class World:
    """Workers, log and placers. ``starts`` lists every task that really started."""

    def __init__(self, placers=1, configuration=CONFIGURATION):
        self.now_ms = 1_000
        self.configuration = configuration
        self.log = []
        self.is_log_up = True
        self.cut = set()
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
        """Replace a placer; what it had sent may still arrive, unheard."""
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

    def carry_out(self, action):
        """Apply an action; None if nobody is there to answer."""
        if isinstance(action, jobs.AppendRecord):
            if not self.is_log_up:
                return None
            self.log.append(action.record)
            return Verdict.APPLIED, ""
        if action.worker in self.cut:
            return None
        worker = self.worker_by_name[action.worker]
        return _CALLS[type(action)](self, worker, action, self.now_ms / 1000)

    def _acquire(self, worker, action, now_s):
        request = action.request
        fields = {name: getattr(request, name) for name in request.__slots__}
        fields["label"] = b64encode(request.label).decode()
        answer = _verdict(worker.acquire(fields, now_s))
        if answer[0] is Verdict.APPLIED:
            self.granted.add((action.worker, worker.boot_id, request.lease_id))
        return answer

    def _start(self, worker, action, now_s):
        entry = worker.lease_by_id.get(action.lease_id)
        had_started = entry is not None and entry.has_started
        fields = {name: getattr(action, name) for name in action.__slots__}
        answer = _verdict(worker.start(fields, now_s))
        if answer[0] is Verdict.APPLIED and not had_started:
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
        """Let everything go well for a while: read, answer, observe, tick."""
        self.advance(step_ms)
        for placer in self.placers:
            placer.read()
            for name in WORKERS:
                placer.observe(name)
            placer.tick()
            while placer.sent:
                placer.carry_out()
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


def _verdict(reason):
    return (Verdict.APPLIED, "") if reason is None else (Verdict.DENIED, reason)


_CALLS = {
    jobs.ObserveWorker: lambda world, worker, action, now_s: world.describe(
        action.worker
    ),
    jobs.AcquireLease: World._acquire,
    jobs.StartTask: World._start,
    jobs.ReleaseLease: lambda world, worker, action, now_s: worker.release(
        action.lease_id, now_s
    ),
    jobs.RenewLeases: lambda world, worker, action, now_s: worker.renew(
        list(action.lease_ids), action.ttl_ms, now_s
    ),
    jobs.FenceJob: lambda world, worker, action, now_s: worker.fence(
        action.job_id, action.attempt, now_s
    ),
    jobs.CommandTask: lambda world, worker, action, now_s: _verdict(
        worker.command(action.lease_id, action.command.value, now_s)
    ),
}


@pytest.fixture
def world_type():
    return World


@pytest.fixture
def make_spec():
    return spec_of


def claim_of(start):
    """The claim that a lease's label stands for."""
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
