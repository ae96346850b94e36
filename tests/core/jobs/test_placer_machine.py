"""The placer's path and its failures, one at a time, in virtual time."""

from dataclasses import replace

import pytest

from ragwortshelf.core import jobs
from ragwortshelf.core.model import (
    Completed,
    Configuration,
    DataCentre,
    Interrupted,
    NotRun,
    Organisation,
    Rack,
    Reason,
    Rule,
    UsageReport,
)
from ragwortshelf.core.streams import (
    AttemptClaimed,
    AttemptEnded,
    CancelRequested,
    JobAccepted,
    JobMoved,
)


def step_until(world, action_type):
    """Work until the first placer has such an action to send, and leave it there."""
    placer = world.placers[0]
    for _ in range(200):
        world.advance(50)
        placer.read()
        for name in world.worker_by_name:
            placer.observe(name)
        placer.tick()
        while placer.sent:
            if isinstance(placer.sent[0], action_type):
                return placer.sent[0]
            placer.carry_out()
            placer.read()
    raise AssertionError(f"no {action_type.__name__} came")


def records(world, record_type):
    return [record for record in world.log if isinstance(record, record_type)]


def test_job_runs_once_to_its_outcome_and_leaves_nothing(world_type, make_spec):
    world = world_type()
    world.accept(make_spec("j", tasks=5))
    world.run(6_000)
    assert world.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    assert sorted(start.worker for start in world.starts) == ["w1", "w2"]
    assert world.live_leases() == []
    assert not world.placers[0].machine.gang_by_id


def test_refused_member_rolls_the_whole_group_back(world_type, make_spec):
    world = world_type()
    blocker = {"job_id": "x", "attempt": 1, "holder": "h", "accelerators": [0]}
    blocker.update(ttl_ms=3_000, label="")
    world.accept(make_spec("j", accelerators=12))
    step_until(world, jobs.AcquireLease)
    world.worker_by_name["w3"].acquire(blocker, world.now_ms / 1000)
    world.run(1_000)
    assert world.starts == []
    assert {lease for _, lease, _ in world.live_leases()} == {"x/1/h"}
    world.run(12_000)
    assert world.outcome("j") == Completed(Reason.TASK_SUCCEEDED)


def test_holder_paused_past_its_leases_starts_nothing(world_type, make_spec):
    world = world_type()
    world.accept(make_spec("j"))
    step_until(world, jobs.StartTask)
    world.advance(16_000)
    world.placers[0].carry_out(0)
    assert world.starts == []
    world.run(30_000)
    assert world.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    ended = records(world, AttemptEnded)
    assert [record.has_started for record in ended] == [False]


def test_lost_start_answer_is_asked_again_and_runs_once(world_type, make_spec):
    world = world_type()
    world.accept(make_spec("j"))
    step_until(world, jobs.StartTask)
    world.placers[0].carry_out(0, "answer_lost")
    world.run(8_000)
    assert world.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    assert len(world.starts) == 2


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_lost_member_stops_the_rest(world_type, make_spec, is_idempotent):
    world = world_type()
    spec = make_spec("j", run_ms=8_000, is_idempotent=is_idempotent)
    world.accept(spec)
    world.run(2_000)
    world.worker_by_name[world.starts[0].worker].reboot()
    world.run(500)
    assert not [state for *_, state in world.live_leases() if state == "running"] or (
        is_idempotent
    )
    world.run(15_000)
    if is_idempotent:
        assert world.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    else:
        assert isinstance(world.outcome("j"), Interrupted)
        assert len(world.starts) == 2


def test_reboot_leaves_no_proof_that_nothing_ran(world_type, make_spec):
    """The new boot says that nothing started, and knows nothing of the old one."""
    world = world_type()
    world.accept(make_spec("j", accelerators=4, run_ms=8_000))
    world.run(2_000)
    world.worker_by_name[world.starts[0].worker].reboot()
    world.run(15_000)
    assert isinstance(world.outcome("j"), Interrupted)
    assert len(world.starts) == 1


def test_new_placer_adopts_a_running_gang_untouched(world_type, make_spec):
    world = world_type()
    world.accept(make_spec("j", run_ms=30_000))
    world.run(2_000)
    world.crash(0)
    world.run(40_000)
    assert world.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    assert len(world.starts) == 2


def test_new_placer_rebuilds_from_workers_alone(world_type, make_spec):
    world = world_type()
    world.accept(make_spec("j", run_ms=30_000))
    world.run(2_000)
    world.is_log_up = False
    world.crash(0)
    world.run(25_000)
    assert [state for *_, state in world.live_leases()] == ["running"] * 2
    world.is_log_up = True
    world.run(15_000)
    assert world.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    assert len(world.starts) == 2


@pytest.mark.parametrize("sent", [0, 1])
def test_half_made_placement_is_fenced_by_the_next_placer(world_type, make_spec, sent):
    """Without a start the job goes on; after one it is interrupted, never rerun."""
    world = world_type()
    world.accept(make_spec("j"))
    step_until(world, jobs.StartTask)
    for _ in range(sent):
        world.placers[0].carry_out(0)
    late = world.crash(0)
    world.run(40_000)
    for action in late:
        world.carry_out(action)
    if sent:
        assert isinstance(world.outcome("j"), Interrupted)
        assert len(world.starts) == 1
    else:
        assert world.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
        assert {start.attempt for start in world.starts} == {2}


@pytest.mark.parametrize(
    ("stage", "outcome"),
    [
        (None, NotRun(Reason.CANCELLED)),
        (jobs.AcquireLease, NotRun(Reason.CANCELLED)),
        (jobs.AppendRecord, NotRun(Reason.CANCELLED)),
        (jobs.StartTask, NotRun(Reason.CANCELLED)),
        (jobs.CommandTask, Interrupted(Reason.CANCELLED)),
    ],
)
def test_cancellation_at_each_stage(world_type, make_spec, stage, outcome):
    world = world_type()
    world.accept(make_spec("j", run_ms=30_000))
    if stage is jobs.CommandTask:
        world.run(2_000)
    elif stage is not None:
        step_until(world, stage)
    world.log.append(CancelRequested("j", "me"))
    world.placers[0].read()
    if stage is jobs.StartTask:
        for _ in range(2):
            world.placers[0].carry_out(0, "message_lost")
    world.run(12_000)
    assert world.outcome("j") == outcome
    assert bool(world.starts) == isinstance(outcome, Interrupted)
    assert world.live_leases() == []


def test_reclaim_checkpoints_first_and_the_job_goes_on_from_there(
    world_type, make_spec
):
    world = world_type()
    fields = {"is_idempotent": True, "is_checkpointable": True}
    world.accept(make_spec("j", run_ms=6_000, **fields))
    world.run(3_000)
    machine = world.placers[0].machine
    gang = machine.gang_by_id["j"]
    deadline_ms = world.now_ms + 5_000
    actions = gang.checkpoint(deadline_ms, Reason.RECLAIMED, "for k", world.now_ms)
    world.placers[0].sent += machine._follow(gang, actions, world.now_ms)
    world.run(10_000)
    assert world.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    (ended,) = records(world, AttemptEnded)
    assert ended.reason is Reason.RECLAIMED
    assert ended.checkpoint >= 4
    assert ended.lost_ms < 1_000
    assert {start.resume_from for start in world.starts} == {0, ended.checkpoint}


def test_job_that_fails_everywhere_ends_and_says_so(world_type, make_spec):
    world = world_type()
    world.accept(make_spec("j", run_ms=100, exit_status=1, is_idempotent=True))
    world.accept(make_spec("k", run_ms=100, exit_status=1))
    world.run(60_000)
    assert world.outcome("j").reason is Reason.FAILS_EVERYWHERE
    assert world.outcome("k").reason is Reason.TASK_FAILED
    assert isinstance(world.outcome("j"), Completed)


@pytest.mark.parametrize("rule", ["time_stop_factor", "memory_stop_factor"])
def test_job_over_what_it_declared_is_stopped_by_rule(world_type, make_spec, rule):
    configuration = replace(world_type().configuration, rules_by_name={})
    rules = {rule: Rule(rule, 2.0)}
    world = world_type(configuration=replace(configuration, rules_by_name=rules))
    declared = {"declared_run_ms": 1_000, "declared_memory_bytes": 100}
    world.accept(make_spec("j", run_ms=20_000, **declared))
    world.run(1_000)
    placer = world.placers[0]
    report = jobs.UsageObserved((_report("j", 150),))
    placer.handle(report)
    world.run(1_000)
    assert world.outcome("j") is None
    placer.handle(jobs.UsageObserved((_report("j", 250),)))
    world.run(3_000)
    assert world.outcome("j").reason is Reason.OVER_DECLARED


def _report(job_id, peak_memory_bytes):
    return UsageReport("org", job_id, 1, 0, 1, 0, peak_memory_bytes)


def test_waiting_job_past_its_deadline_is_not_run(world_type, make_spec):
    world = world_type()
    world.accept(make_spec("a", accelerators=12, run_ms=20_000))
    world.accept(make_spec("b", deadline_wall_ms=5_000))
    world.run(8_000)
    assert world.outcome("b") == NotRun(Reason.DEADLINE_PASSED)


def test_withdrawn_capacity_ends_the_job_or_moves_it(world_type, make_spec):
    rack = Rack("far", ("v1", "v2"), 4)
    far = {"far": DataCentre("far", "r", (rack,))}
    for places, outcome in ((far, None), ({}, NotRun)):
        world = world_type()
        world.accept(make_spec("a", accelerators=12, run_ms=20_000))
        world.accept(make_spec("j"))
        world.run(1_000)
        organisations = {"org": Organisation("org")}
        small = DataCentre("dc", "r", (Rack("rack", ("w1",), 4),))
        configuration = Configuration(1, organisations, {"dc": small, **places})
        world.placers[0].handle(jobs.ConfigurationChanged(configuration))
        world.run(2_000)
        if outcome is None:
            (moved,) = records(world, JobMoved)
            assert (moved.job_id, moved.to_data_centre) == ("j", "far")
            assert world.outcome("j") is None
        else:
            assert world.outcome("j").reason is Reason.NEVER_FITS
            assert isinstance(world.outcome("j"), outcome)


def test_claim_from_a_former_home_loses(world_type, make_spec):
    world = world_type()
    world.accept(make_spec("j"))
    step_until(world, jobs.AppendRecord)
    world.log.append(JobMoved("j", 1, "far", Reason.OWNER_UNREACHABLE))
    world.run(15_000)
    assert records(world, AttemptClaimed)
    assert world.starts == []
    assert world.live_leases() == []
    assert world.outcome("j") is None


def test_log_outage_accepts_only_what_is_placed_at_once(world_type, make_spec):
    world = world_type()
    world.accept(make_spec("e.1.0", accelerators=8, run_ms=20_000))
    world.run(1_000)
    world.is_log_up = False
    world.run(200)
    placer = world.placers[0]
    world.submit_off_log(placer, make_spec("e.1.1", accelerators=4, run_ms=4_000))
    world.submit_off_log(placer, make_spec("e.1.2", accelerators=4))
    world.run(1_000)
    assert world.submissions["e.1.1"] is None
    assert world.submissions["e.1.2"].reason is Reason.LOG_UNAVAILABLE
    world.crash(0)
    world.run(5_000)
    world.is_log_up = True
    world.run(25_000)
    assert world.outcome("e.1.1") == Completed(Reason.TASK_SUCCEEDED)
    assert world.outcome("e.1.2") is None
    assert len([s for s in world.starts if s.job_id == "e.1.1"]) == 1
    accepted = records(world, JobAccepted)
    assert accepted[-1].claim.holder == accepted[-1].accepted_by == "p1"


@pytest.mark.parametrize("reboots", [False, True])
def test_refused_submission_is_never_revived_from_its_leases(
    world_type, make_spec, reboots
):
    """A placer once found the lease of a refused job and ran it."""
    world = world_type(placers=2)
    world.run(200)
    world.is_log_up = False
    world.run(200)
    placer = world.placers[0]
    spec = make_spec("e.1.0", accelerators=2, is_idempotent=True)
    world.submit_off_log(placer, spec)
    placer.set_role(False)
    placer.carry_out(0)
    placer.sent.clear()
    world.is_log_up = True
    if reboots:
        world.placers[1].observe("w1")
        assert "e.1.0" in world.placers[1].machine.gang_by_id
        world.worker_by_name["w1"].reboot()
    world.run(40_000)
    assert isinstance(world.submissions["e.1.0"], NotRun)
    assert world.starts == []
    assert world.log == []


def test_jobs_of_a_cut_off_home_move_and_never_start_in_both(world_type, make_spec):
    """The old home still runs what it had claimed; its late records count nothing."""
    world = world_type()
    world.accept(make_spec("run", accelerators=4, run_ms=9_000, is_idempotent=True))
    world.accept(make_spec("once", accelerators=4, run_ms=9_000))
    world.run(1_000)
    old = world.placers[0]
    old.read()
    ledger = jobs.JobLedger.from_snapshot(old.machine.ledger.to_snapshot())
    world.accept(make_spec("wait", accelerators=4))
    ledger.apply(world.log[-1])
    rack = Rack("far", ("v1", "v2"), 4)
    data_centres = {"dc": DataCentre("dc", "r"), "far": DataCentre("far", "r", (rack,))}
    organisations = {"org": Organisation("org")}
    configuration = Configuration(1, organisations, data_centres)
    moved = jobs.rehome(ledger, "dc", configuration, 0)
    assert [(type(record), record.job_id) for record in moved] == [
        (AttemptEnded, "run"),
        (JobMoved, "run"),
        (JobMoved, "wait"),
    ]
    world.log += moved
    world.log.append(AttemptClaimed("run", 2, "f", "far", (), (), 0))
    world.run(15_000)
    ledger = old.machine.ledger
    assert {s.job_id for s in world.starts} == {"run", "once"}
    assert ledger.get("run").claim.holder == "f"
    assert ledger.get("wait").home_data_centre == "far"
    assert ledger.get("wait").outcome is None
    assert world.outcome("once") == Completed(Reason.TASK_SUCCEEDED)
    assert ledger.get("run").lost_by_attempt == {1: None}
    assert world.live_leases() == []


def test_of_two_placers_only_the_one_with_the_first_claim_starts(world_type, make_spec):
    """Both lease for the same attempt, on different workers."""
    world = world_type(placers=2)
    world.accept(make_spec("j", accelerators=4))
    for placer, worker in zip(world.placers, ("w1", "w2"), strict=True):
        placer.read()
        placer.observe(worker)
        placer.tick()
        while not isinstance(placer.sent[0], jobs.AppendRecord):
            placer.carry_out()
    for placer in reversed(world.placers):
        placer.carry_out()
    assert [record.attempt for record in records(world, AttemptClaimed)] == [1, 1]
    world.run(8_000)
    assert [start.holder for start in world.starts] == ["p2"]
    assert world.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    assert world.live_leases() == []


def test_claim_read_back_after_the_leases_lapsed_starts_nothing(world_type, make_spec):
    world = world_type()
    world.accept(make_spec("j"))
    step_until(world, jobs.AppendRecord)
    placer = world.placers[0]
    placer.carry_out()
    world.now_ms += 16_000
    placer.read()
    assert not [a for a in placer.sent if isinstance(a, jobs.StartTask)]
    assert [a for a in placer.sent if isinstance(a, jobs.FenceJob)]


def test_lost_release_of_an_ended_job_is_sent_again(world_type, make_spec):
    world = world_type()
    world.accept(make_spec("j", run_ms=500))
    step_until(world, jobs.ReleaseLease)
    world.placers[0].sent.clear()
    assert any(worker.lease_by_id for worker in world.worker_by_name.values())
    world.run(1_000)
    assert not any(worker.lease_by_id for worker in world.worker_by_name.values())


def test_off_log_job_that_started_in_part_is_interrupted(world_type, make_spec):
    """It may not be refused as not run, for one of its tasks ran."""
    world = world_type()
    world.run(200)
    world.is_log_up = False
    world.run(200)
    placer = world.placers[0]
    world.submit_off_log(placer, make_spec("e.1.0"))
    while not isinstance(placer.sent[0], jobs.StartTask):
        placer.carry_out()
    placer.carry_out()
    world.worker_by_name["w2"].reboot()
    world.run(2_000)
    assert world.submissions == {"e.1.0": None}
    world.is_log_up = True
    world.run(2_000)
    assert isinstance(world.outcome("e.1.0"), Interrupted)
    assert len(world.starts) == 1
