"""Two placers under pauses, crashes, lost answers, reboots and outages, together."""

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
    spec = importlib.util.spec_from_file_location("jobs_world", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def naive_fold(records):
    """Winning claims, first outcomes and accepted specs, told the slow plain way."""
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


FATES = ("answered",) * 6 + ("answer_lost", "message_lost", "duplicated")


class PlacerFaults(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = _support().World(placers=2)
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
        if self.world.is_log_up:
            self.world.accept(spec)
        else:
            self.world.submit_off_log(self.world.placers[placer], spec)

    @rule(step_ms=st.sampled_from((50, 300, 1_000, 5_000, 20_000)))
    def advance(self, step_ms):
        self.world.advance(step_ms)

    @rule(placer=st.integers(0, 1))
    def tick(self, placer):
        self.world.placers[placer].tick()

    @rule(placer=st.integers(0, 1), worker=st.sampled_from(("w1", "w2", "w3")))
    def observe(self, placer, worker):
        self.world.placers[placer].observe(worker)

    @rule(placer=st.integers(0, 1), count=st.integers(1, 4))
    def read(self, placer, count):
        self.world.placers[placer].read(count)

    @rule(placer=st.integers(0, 1), count=st.integers(1, 6))
    def go_well(self, placer, count):
        """A placer works undisturbed for a few rounds."""
        one = self.world.placers[placer]
        for _ in range(count):
            one.read()
            for worker in ("w1", "w2", "w3"):
                one.observe(worker)
            one.tick()
            for _ in range(len(one.sent)):
                one.carry_out()
            self.world.advance(100)

    @rule(
        placer=st.integers(0, 1),
        index=st.integers(0, 20),
        fate=st.sampled_from(FATES),
    )
    def carry_out(self, placer, index, fate):
        one = self.world.placers[placer]
        if one.sent:
            one.carry_out(index % len(one.sent), fate)

    @rule(index=st.integers(0, 20))
    @precondition(lambda self: self.in_flight)
    def late_message(self, index):
        action = self.in_flight.pop(index % len(self.in_flight))
        self.world.carry_out(action)

    @rule(placer=st.integers(0, 1))
    def crash(self, placer):
        self.in_flight += self.world.crash(placer)

    @rule(placer=st.integers(0, 1), is_placer=st.booleans())
    def role(self, placer, is_placer):
        self.world.placers[placer].set_role(is_placer)

    @rule(worker=st.sampled_from(("w1", "w2", "w3")))
    def reboot(self, worker):
        self.world.worker_by_name[worker].reboot()
        self.has_rebooted = True

    @rule(worker=st.sampled_from(("w1", "w2", "w3")))
    def cut_or_join(self, worker):
        self.world.cut ^= {worker}

    @rule()
    def log_outage_begins_or_ends(self):
        self.world.is_log_up = not self.world.is_log_up

    @rule(index=st.integers(0, 20))
    @precondition(lambda self: self.spec_by_id and self.world.is_log_up)
    def cancel(self, index):
        job_id = list(self.spec_by_id)[index % len(self.spec_by_id)]
        self.world.log.append(CancelRequested(job_id, "me"))

    @invariant()
    def every_start_is_of_a_whole_claimed_group(self):
        for start in self.world.starts[self.checked_starts :]:
            _, claims, _ = naive_fold(start.log)
            claim = claims.get((start.job_id, start.attempt))
            if claim is None:
                claim = self._off_log_claim(start)
            assert claim.holder == start.holder
            granted = {item[::2] for item in start.granted}
            for grant in claim.grants:
                assert (grant.worker, start.lease_id) in granted
            assert start.worker in {grant.worker for grant in claim.grants}
        self.checked_starts = len(self.world.starts)

    def _off_log_claim(self, start):
        """Only the instance that accepted the job may start it before the log."""
        accepted = {r.spec.job_id for r in start.log if isinstance(r, JobAccepted)}
        assert start.job_id not in accepted
        assert start.attempt == 1
        return _support().claim_of(start)

    @invariant()
    def no_accelerator_has_two_holders(self):
        for worker in self.world.worker_by_name.values():
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
        for start in self.world.starts:
            key = (start.worker, start.lease_id)
            attempts_by_id.setdefault(start.job_id, []).append(key)
        for job_id, keys in attempts_by_id.items():
            if not self.spec_by_id[job_id].is_idempotent:
                assert len(keys) == len(set(keys))
                assert len({lease_id for _, lease_id in keys}) == 1

    @invariant()
    def not_run_did_not_run(self):
        _, _, ended = naive_fold(self.world.log)
        started = {start.job_id for start in self.world.starts}
        for job_id, record in ended.items():
            if record.phase is JobPhase.NOT_RUN:
                assert job_id not in started
        for job_id, refusal in self.world.submissions.items():
            if isinstance(refusal, NotRun):
                assert job_id not in started

    @invariant()
    def books_equal_the_naive_fold(self):
        for placer in self.world.placers:
            specs, _, ended = naive_fold(self.world.log[: placer.offset])
            ledger = placer.machine.ledger
            assert {e.spec.job_id for e in ledger.active()} == specs.keys() - ended
            for job_id, record in ended.items():
                assert ledger.get(job_id).ended == record

    def teardown(self):
        """Once faults stop, each accepted job comes to exactly one outcome."""
        self.world.cut = set()
        self.world.is_log_up = True
        for placer in self.world.placers:
            placer.set_role(placer is self.world.placers[0])
        # The second part leaves time for workers that failing jobs made quarantined.
        for duration_ms, step_ms in [(10_000, 200)] * 40 + [(120_000, 2_000)] * 60:
            self.world.run(duration_ms, step_ms)
            specs, _, ended = naive_fold(self.world.log)
            is_quiet = not self.world.live_leases() and not any(
                placer.machine.gang_by_id for placer in self.world.placers
            )
            if specs.keys() == ended.keys() and is_quiet:
                break
        self.every_start_is_of_a_whole_claimed_group()
        self.non_idempotent_work_starts_at_most_once()
        self.not_run_did_not_run()
        self.books_equal_the_naive_fold()
        assert specs.keys() - ended.keys() == set()
        assert self.world.live_leases() == []
        for placer in self.world.placers:
            gangs = placer.machine.gang_by_id.values()
            assert [(gang.stage, placer.machine.is_placer) for gang in gangs] == []
            assert placer.machine.outbox.is_empty
        if not self.has_rebooted:
            answers = self.world.submissions.items()
            assert {job_id for job_id, no in answers if no is None} <= specs.keys()


TestPlacerFaults = PlacerFaults.TestCase
TestPlacerFaults.settings = settings(stateful_step_count=60)
