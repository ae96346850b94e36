"""Two placers under combined pauses, crashes, lost messages, reboots and outages."""

import functools
import importlib.util
from pathlib import Path

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ragwortshelf.core.model import JobPhase, NotRun, Priority
from ragwortshelf.core.streams import (
    AttemptClaimed,
    AttemptEnded,
    CancelRequested,
    JobAccepted,
    JobEnded,
)


@functools.cache
def _support():
    path = Path(__file__).with_name("conftest.py")
    spec = importlib.util.spec_from_file_location("jobs_conftest", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def reference_fold(records):
    """Return accepted specs, winning claims and first outcomes by a simple fold."""
    spec_by_id, ended_by_id, claims, open_by_id = {}, {}, {}, {}
    for record in records:
        if isinstance(record, JobAccepted):
            if record.spec.job_id in spec_by_id:
                continue
            spec_by_id[record.spec.job_id] = record.spec
            record = record.claim
        job_id = getattr(record, "job_id", None)
        if job_id not in spec_by_id or job_id in ended_by_id:
            continue
        newest = max((a for j, a in claims if j == job_id), default=0)
        if isinstance(record, AttemptClaimed):
            if job_id not in open_by_id and record.attempt > newest:
                claims[job_id, record.attempt] = record
                open_by_id[job_id] = record.attempt
        elif isinstance(record, AttemptEnded):
            if open_by_id.get(job_id) == record.attempt:
                del open_by_id[job_id]
        elif isinstance(record, JobEnded) and record.attempt == newest:
            ended_by_id[job_id] = record
    return spec_by_id, claims, ended_by_id


DELIVERIES = ("answered",) * 6 + ("answer_lost", "message_lost", "duplicated")


class PlacerFaults(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.cluster = _support().SimulatedCluster(placers=2)
        self.spec_by_id = {}
        self.in_flight = []
        self.checked_starts = 0
        self.has_rebooted = False

    @rule(
        accelerators=st.sampled_from((2, 4, 8, 12)),
        run_ms=st.sampled_from((100, 2_000, 20_000)),
        is_idempotent=st.booleans(),
        is_checkpointable=st.booleans(),
        exit_status=st.sampled_from((0, 0, 0, 1)),
        is_urgent=st.booleans(),
        placer=st.integers(0, 1),
    )
    def submit(self, placer, is_urgent, **fields):
        job_id = f"e.1.{len(self.spec_by_id)}"
        priority = Priority.URGENT if is_urgent else Priority.NORMAL
        spec = _support().spec_of(job_id, priority=priority, **fields)
        self.spec_by_id[job_id] = spec
        if self.cluster.is_log_up:
            self.cluster.accept(spec)
        else:
            self.cluster.submit_off_log(self.cluster.placers[placer], spec)

    @rule(step_ms=st.sampled_from((50, 300, 1_000, 5_000, 20_000)))
    def advance(self, step_ms):
        self.cluster.advance(step_ms)

    @rule(placer=st.integers(0, 1))
    def tick(self, placer):
        self.cluster.placers[placer].tick()

    @rule(placer=st.integers(0, 1), worker=st.sampled_from(("w1", "w2", "w3")))
    def observe(self, placer, worker):
        self.cluster.placers[placer].observe(worker)

    @rule(placer=st.integers(0, 1), count=st.integers(1, 4))
    def read(self, placer, count):
        self.cluster.placers[placer].read(count)

    @rule(placer=st.integers(0, 1), count=st.integers(1, 6))
    def run_without_faults(self, placer, count):
        """Run one placer without faults for a few rounds."""
        selected = self.cluster.placers[placer]
        for _ in range(count):
            selected.read()
            for worker in ("w1", "w2", "w3"):
                selected.observe(worker)
            selected.tick()
            for _ in range(len(selected.sent)):
                selected.deliver()
            self.cluster.advance(100)

    @rule(
        placer=st.integers(0, 1),
        index=st.integers(0, 20),
        delivery=st.sampled_from(DELIVERIES),
    )
    def deliver_message(self, placer, index, delivery):
        selected = self.cluster.placers[placer]
        if selected.sent:
            selected.deliver(index % len(selected.sent), delivery)

    @rule(index=st.integers(0, 20))
    @precondition(lambda self: self.in_flight)
    def deliver_late_message(self, index):
        action = self.in_flight.pop(index % len(self.in_flight))
        self.cluster.execute(action)

    @rule(placer=st.integers(0, 1))
    def crash(self, placer):
        self.in_flight += self.cluster.crash(placer)

    @rule(placer=st.integers(0, 1), is_placer=st.booleans())
    def set_role(self, placer, is_placer):
        self.cluster.placers[placer].set_role(is_placer)

    @rule(worker=st.sampled_from(("w1", "w2", "w3")))
    def reboot(self, worker):
        self.cluster.worker_by_name[worker].reboot()
        self.has_rebooted = True

    @rule(worker=st.sampled_from(("w1", "w2", "w3")))
    def cut_or_restore_worker(self, worker):
        self.cluster.unreachable ^= {worker}

    @rule()
    def log_outage_begins_or_ends(self):
        self.cluster.is_log_up = not self.cluster.is_log_up

    @rule(index=st.integers(0, 20))
    @precondition(lambda self: self.spec_by_id and self.cluster.is_log_up)
    def cancel(self, index):
        job_id = list(self.spec_by_id)[index % len(self.spec_by_id)]
        self.cluster.log.append(CancelRequested(job_id, "me"))

    @invariant()
    def every_start_is_of_a_whole_claimed_group(self):
        for start in self.cluster.starts[self.checked_starts :]:
            _, claims, _ = reference_fold(start.log)
            claim = claims.get((start.job_id, start.attempt))
            if claim is None:
                claim = self._off_log_claim(start)
            assert claim.holder == start.holder
            granted = {item[::2] for item in start.granted}
            for grant in claim.grants:
                assert (grant.worker, start.lease_id) in granted
            assert start.worker in {grant.worker for grant in claim.grants}
        self.checked_starts = len(self.cluster.starts)

    def _off_log_claim(self, start):
        """Return the claim of a job that its accepting instance started off log."""
        accepted = {r.spec.job_id for r in start.log if isinstance(r, JobAccepted)}
        assert start.job_id not in accepted
        assert start.attempt == 1
        return _support().claim_of(start)

    @invariant()
    def no_accelerator_has_two_holders(self):
        for worker in self.cluster.worker_by_name.values():
            held = [
                index
                for lease in worker.lease_by_id.values()
                if lease.is_live
                for index in lease.accelerators
            ]
            assert len(held) == len(set(held))

    @invariant()
    def non_idempotent_work_starts_at_most_once(self):
        attempts_by_id = {}
        for start in self.cluster.starts:
            key = (start.worker, start.lease_id)
            attempts_by_id.setdefault(start.job_id, []).append(key)
        for job_id, keys in attempts_by_id.items():
            if not self.spec_by_id[job_id].is_idempotent:
                assert len(keys) == len(set(keys))
                assert len({lease_id for _, lease_id in keys}) == 1

    @invariant()
    def not_run_did_not_run(self):
        _, _, ended = reference_fold(self.cluster.log)
        started = {start.job_id for start in self.cluster.starts}
        for job_id, record in ended.items():
            if record.phase is JobPhase.NOT_RUN:
                assert job_id not in started
        for job_id, refusal in self.cluster.submissions.items():
            if isinstance(refusal, NotRun):
                assert job_id not in started

    @invariant()
    def ledgers_equal_the_reference_fold(self):
        for placer in self.cluster.placers:
            specs, _, ended = reference_fold(self.cluster.log[: placer.offset])
            ledger = placer.machine.ledger
            assert {e.spec.job_id for e in ledger.active()} == specs.keys() - ended
            for job_id, record in ended.items():
                assert ledger.get(job_id).ended == record

    def teardown(self):
        """Check that each accepted job gets exactly one outcome once faults stop."""
        self.cluster.unreachable = set()
        self.cluster.is_log_up = True
        for placer in self.cluster.placers:
            placer.set_role(placer is self.cluster.placers[0])
        # The second part allows for workers that were quarantined after task failures.
        for duration_ms, step_ms in [(10_000, 200)] * 40 + [(120_000, 2_000)] * 60:
            self.cluster.run(duration_ms, step_ms)
            specs, _, ended = reference_fold(self.cluster.log)
            is_quiet = not self.cluster.live_leases() and not any(
                placer.machine.gang_by_id for placer in self.cluster.placers
            )
            if specs.keys() == ended.keys() and is_quiet:
                break
        self.every_start_is_of_a_whole_claimed_group()
        self.non_idempotent_work_starts_at_most_once()
        self.not_run_did_not_run()
        self.ledgers_equal_the_reference_fold()
        assert specs.keys() - ended.keys() == set()
        assert self.cluster.live_leases() == []
        for placer in self.cluster.placers:
            gangs = placer.machine.gang_by_id.values()
            assert [(gang.stage, placer.machine.is_placer) for gang in gangs] == []
            assert placer.machine.outbox.is_empty
        if not self.has_rebooted:
            answers = self.cluster.submissions.items()
            assert {
                job_id for job_id, refusal in answers if refusal is None
            } <= specs.keys()


TestPlacerFaults = PlacerFaults.TestCase
TestPlacerFaults.settings = settings(stateful_step_count=60)
