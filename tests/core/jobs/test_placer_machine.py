"""A placement without faults, and with one fault at a time, in virtual time."""

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


def run_until_action(cluster, action_type):
    """Run until the first placer is about to send an action of the type; return it."""
    placer = cluster.placers[0]
    for _ in range(200):
        cluster.advance(50)
        placer.read()
        for name in cluster.worker_by_name:
            placer.observe(name)
        placer.tick()
        while placer.sent:
            if isinstance(placer.sent[0], action_type):
                return placer.sent[0]
            placer.deliver()
            placer.read()
    raise AssertionError(f"no {action_type.__name__} was sent")


def records(cluster, record_type):
    return [record for record in cluster.log if isinstance(record, record_type)]


def test_job_runs_once_and_releases_all_leases(cluster_type, make_spec):
    cluster = cluster_type()
    cluster.accept(make_spec("j", tasks=5))
    cluster.run(6_000)
    assert cluster.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    assert sorted(start.worker for start in cluster.starts) == ["w1", "w2"]
    assert cluster.live_leases() == []
    assert not cluster.placers[0].machine.gang_by_id


def test_denied_lease_releases_the_whole_group(cluster_type, make_spec):
    cluster = cluster_type()
    blocker = {"job_id": "x", "attempt": 1, "holder": "h", "accelerators": [0]}
    blocker.update(ttl_ms=3_000, label="")
    cluster.accept(make_spec("j", accelerators=12))
    run_until_action(cluster, jobs.AcquireLease)
    cluster.worker_by_name["w3"].acquire(blocker, cluster.now_ms / 1000)
    cluster.run(1_000)
    assert cluster.starts == []
    assert {lease for _, lease, _ in cluster.live_leases()} == {"x/1/h"}
    cluster.run(12_000)
    assert cluster.outcome("j") == Completed(Reason.TASK_SUCCEEDED)


def test_placer_paused_past_its_lease_deadlines_starts_nothing(cluster_type, make_spec):
    cluster = cluster_type()
    cluster.accept(make_spec("j"))
    run_until_action(cluster, jobs.StartTask)
    cluster.advance(16_000)
    cluster.placers[0].deliver(0)
    assert cluster.starts == []
    cluster.run(30_000)
    assert cluster.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    ended = records(cluster, AttemptEnded)
    assert [record.has_started for record in ended] == [False]


def test_start_with_lost_answer_is_repeated_and_runs_once(cluster_type, make_spec):
    cluster = cluster_type()
    cluster.accept(make_spec("j"))
    run_until_action(cluster, jobs.StartTask)
    cluster.placers[0].deliver(0, "answer_lost")
    cluster.run(8_000)
    assert cluster.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    assert len(cluster.starts) == 2


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_loss_of_a_member_stops_the_others(cluster_type, make_spec, is_idempotent):
    cluster = cluster_type()
    spec = make_spec("j", run_ms=8_000, is_idempotent=is_idempotent)
    cluster.accept(spec)
    cluster.run(2_000)
    cluster.worker_by_name[cluster.starts[0].worker].reboot()
    cluster.run(500)
    assert not [state for *_, state in cluster.live_leases() if state == "running"] or (
        is_idempotent
    )
    cluster.run(15_000)
    if is_idempotent:
        assert cluster.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    else:
        assert isinstance(cluster.outcome("j"), Interrupted)
        assert len(cluster.starts) == 2


def test_reboot_removes_the_proof_that_nothing_ran(cluster_type, make_spec):
    """A rebooted worker reports no start, but knows nothing of its previous boot."""
    cluster = cluster_type()
    cluster.accept(make_spec("j", accelerators=4, run_ms=8_000))
    cluster.run(2_000)
    cluster.worker_by_name[cluster.starts[0].worker].reboot()
    cluster.run(15_000)
    assert isinstance(cluster.outcome("j"), Interrupted)
    assert len(cluster.starts) == 1


def test_new_placer_adopts_a_running_gang_without_restarting_it(
    cluster_type, make_spec
):
    cluster = cluster_type()
    cluster.accept(make_spec("j", run_ms=30_000))
    cluster.run(2_000)
    cluster.crash(0)
    cluster.run(40_000)
    assert cluster.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    assert len(cluster.starts) == 2


def test_new_placer_rebuilds_gangs_from_lease_labels_alone(cluster_type, make_spec):
    cluster = cluster_type()
    cluster.accept(make_spec("j", run_ms=30_000))
    cluster.run(2_000)
    cluster.is_log_up = False
    cluster.crash(0)
    cluster.run(25_000)
    assert [state for *_, state in cluster.live_leases()] == ["running"] * 2
    cluster.is_log_up = True
    cluster.run(15_000)
    assert cluster.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    assert len(cluster.starts) == 2


@pytest.mark.parametrize("sent", [0, 1])
def test_incomplete_placement_is_fenced_by_the_next_placer(
    cluster_type, make_spec, sent
):
    """The job is placed again if nothing started, and is interrupted otherwise."""
    cluster = cluster_type()
    cluster.accept(make_spec("j"))
    run_until_action(cluster, jobs.StartTask)
    for _ in range(sent):
        cluster.placers[0].deliver(0)
    late = cluster.crash(0)
    cluster.run(40_000)
    for action in late:
        cluster.execute(action)
    if sent:
        assert isinstance(cluster.outcome("j"), Interrupted)
        assert len(cluster.starts) == 1
    else:
        assert cluster.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
        assert {start.attempt for start in cluster.starts} == {2}


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
def test_cancellation_at_each_stage(cluster_type, make_spec, stage, outcome):
    cluster = cluster_type()
    cluster.accept(make_spec("j", run_ms=30_000))
    if stage is jobs.CommandTask:
        cluster.run(2_000)
    elif stage is not None:
        run_until_action(cluster, stage)
    cluster.log.append(CancelRequested("j", "me"))
    cluster.placers[0].read()
    if stage is jobs.StartTask:
        for _ in range(2):
            cluster.placers[0].deliver(0, "message_lost")
    cluster.run(12_000)
    assert cluster.outcome("j") == outcome
    assert bool(cluster.starts) == isinstance(outcome, Interrupted)
    assert cluster.live_leases() == []


def test_reclaimed_job_checkpoints_first_and_resumes_from_there(
    cluster_type, make_spec
):
    cluster = cluster_type()
    fields = {"is_idempotent": True, "is_checkpointable": True}
    cluster.accept(make_spec("j", run_ms=6_000, **fields))
    cluster.run(3_000)
    machine = cluster.placers[0].machine
    gang = machine.gang_by_id["j"]
    deadline_ms = cluster.now_ms + 5_000
    actions = gang.begin_checkpoint(
        deadline_ms, Reason.RECLAIMED, "for k", cluster.now_ms
    )
    cluster.placers[0].sent += machine._handle_stage_change(
        gang, actions, cluster.now_ms
    )
    cluster.run(10_000)
    assert cluster.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    (ended,) = records(cluster, AttemptEnded)
    assert ended.reason is Reason.RECLAIMED
    assert ended.checkpoint >= 4
    assert ended.lost_ms < 1_000
    assert {start.resume_from for start in cluster.starts} == {0, ended.checkpoint}


def test_job_that_fails_on_several_workers_ends_with_that_reason(
    cluster_type, make_spec
):
    cluster = cluster_type()
    cluster.accept(make_spec("j", run_ms=100, exit_status=1, is_idempotent=True))
    cluster.accept(make_spec("k", run_ms=100, exit_status=1))
    cluster.run(60_000)
    assert cluster.outcome("j").reason is Reason.FAILS_EVERYWHERE
    assert cluster.outcome("k").reason is Reason.TASK_FAILED
    assert isinstance(cluster.outcome("j"), Completed)


@pytest.mark.parametrize("rule", ["time_stop_factor", "memory_stop_factor"])
def test_job_over_its_declared_limit_is_stopped_by_rule(cluster_type, make_spec, rule):
    configuration = replace(cluster_type().configuration, rules_by_name={})
    rules = {rule: Rule(rule, 2.0)}
    cluster = cluster_type(configuration=replace(configuration, rules_by_name=rules))
    declared = {"declared_run_ms": 1_000, "declared_memory_bytes": 100}
    cluster.accept(make_spec("j", run_ms=20_000, **declared))
    cluster.run(1_000)
    placer = cluster.placers[0]
    report = jobs.UsageObserved((_report("j", 150),))
    placer.handle(report)
    cluster.run(1_000)
    assert cluster.outcome("j") is None
    placer.handle(jobs.UsageObserved((_report("j", 250),)))
    cluster.run(3_000)
    assert cluster.outcome("j").reason is Reason.OVER_DECLARED


def _report(job_id, peak_memory_bytes):
    return UsageReport("org", job_id, 1, 0, 1, 0, peak_memory_bytes)


def test_waiting_job_past_its_deadline_is_not_run(cluster_type, make_spec):
    cluster = cluster_type()
    cluster.accept(make_spec("a", accelerators=12, run_ms=20_000))
    cluster.accept(make_spec("b", deadline_wall_ms=5_000))
    cluster.run(8_000)
    assert cluster.outcome("b") == NotRun(Reason.DEADLINE_PASSED)


def test_withdrawn_capacity_ends_the_job_or_moves_it(cluster_type, make_spec):
    rack = Rack("far", ("v1", "v2"), 4)
    far = {"far": DataCentre("far", "r", (rack,))}
    for other_data_centres, outcome in ((far, None), ({}, NotRun)):
        cluster = cluster_type()
        cluster.accept(make_spec("a", accelerators=12, run_ms=20_000))
        cluster.accept(make_spec("j"))
        cluster.run(1_000)
        organisations = {"org": Organisation("org")}
        small = DataCentre("dc", "r", (Rack("rack", ("w1",), 4),))
        configuration = Configuration(
            1, organisations, {"dc": small, **other_data_centres}
        )
        cluster.placers[0].handle(jobs.ConfigurationChanged(configuration))
        cluster.run(2_000)
        if outcome is None:
            (moved,) = records(cluster, JobMoved)
            assert (moved.job_id, moved.to_data_centre) == ("j", "far")
            assert cluster.outcome("j") is None
        else:
            assert cluster.outcome("j").reason is Reason.NEVER_FITS
            assert isinstance(cluster.outcome("j"), outcome)


def test_claim_from_a_former_home_data_centre_has_no_effect(cluster_type, make_spec):
    cluster = cluster_type()
    cluster.accept(make_spec("j"))
    run_until_action(cluster, jobs.AppendRecord)
    cluster.log.append(JobMoved("j", 1, "far", Reason.OWNER_UNREACHABLE))
    cluster.run(15_000)
    assert records(cluster, AttemptClaimed)
    assert cluster.starts == []
    assert cluster.live_leases() == []
    assert cluster.outcome("j") is None


def test_log_outage_accepts_only_jobs_that_are_placed_at_once(cluster_type, make_spec):
    cluster = cluster_type()
    cluster.accept(make_spec("e.1.0", accelerators=8, run_ms=20_000))
    cluster.run(1_000)
    cluster.is_log_up = False
    cluster.run(200)
    placer = cluster.placers[0]
    cluster.submit_off_log(placer, make_spec("e.1.1", accelerators=4, run_ms=4_000))
    cluster.submit_off_log(placer, make_spec("e.1.2", accelerators=4))
    cluster.run(1_000)
    assert cluster.submissions["e.1.1"] is None
    assert cluster.submissions["e.1.2"].reason is Reason.LOG_UNAVAILABLE
    cluster.crash(0)
    cluster.run(5_000)
    cluster.is_log_up = True
    cluster.run(25_000)
    assert cluster.outcome("e.1.1") == Completed(Reason.TASK_SUCCEEDED)
    assert cluster.outcome("e.1.2") is None
    assert len([s for s in cluster.starts if s.job_id == "e.1.1"]) == 1
    accepted = records(cluster, JobAccepted)
    assert accepted[-1].claim.holder == accepted[-1].accepted_by == "p1"


@pytest.mark.parametrize("reboots", [False, True])
def test_refused_submission_is_never_started_from_its_leases(
    cluster_type, make_spec, reboots
):
    """A placer that finds the lease of a refused job must not adopt and run it."""
    cluster = cluster_type(placers=2)
    cluster.run(200)
    cluster.is_log_up = False
    cluster.run(200)
    placer = cluster.placers[0]
    spec = make_spec("e.1.0", accelerators=2, is_idempotent=True)
    cluster.submit_off_log(placer, spec)
    placer.set_role(False)
    placer.deliver(0)
    placer.sent.clear()
    cluster.is_log_up = True
    if reboots:
        cluster.placers[1].observe("w1")
        assert "e.1.0" in cluster.placers[1].machine.gang_by_id
        cluster.worker_by_name["w1"].reboot()
    cluster.run(40_000)
    assert isinstance(cluster.submissions["e.1.0"], NotRun)
    assert cluster.starts == []
    assert cluster.log == []


def test_jobs_of_an_unreachable_home_move_and_never_start_in_both(
    cluster_type, make_spec
):
    """The old home still runs what it had claimed, but its late records are ignored."""
    cluster = cluster_type()
    cluster.accept(make_spec("run", accelerators=4, run_ms=9_000, is_idempotent=True))
    cluster.accept(make_spec("once", accelerators=4, run_ms=9_000))
    cluster.run(1_000)
    old = cluster.placers[0]
    old.read()
    ledger = jobs.JobLedger.from_snapshot(old.machine.ledger.to_snapshot())
    cluster.accept(make_spec("wait", accelerators=4))
    ledger.apply(cluster.log[-1])
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
    cluster.log += moved
    cluster.log.append(AttemptClaimed("run", 2, "f", "far", (), (), 0))
    cluster.run(15_000)
    ledger = old.machine.ledger
    assert {s.job_id for s in cluster.starts} == {"run", "once"}
    assert ledger.get("run").claim.holder == "f"
    assert ledger.get("wait").home_data_centre == "far"
    assert ledger.get("wait").outcome is None
    assert cluster.outcome("once") == Completed(Reason.TASK_SUCCEEDED)
    assert ledger.get("run").lost_by_attempt == {1: None}
    assert cluster.live_leases() == []


def test_of_two_placers_only_the_one_with_the_first_claim_starts(
    cluster_type, make_spec
):
    """Both acquire leases for the same attempt, on different workers."""
    cluster = cluster_type(placers=2)
    cluster.accept(make_spec("j", accelerators=4))
    for placer, worker in zip(cluster.placers, ("w1", "w2"), strict=True):
        placer.read()
        placer.observe(worker)
        placer.tick()
        while not isinstance(placer.sent[0], jobs.AppendRecord):
            placer.deliver()
    for placer in reversed(cluster.placers):
        placer.deliver()
    assert [record.attempt for record in records(cluster, AttemptClaimed)] == [1, 1]
    cluster.run(8_000)
    assert [start.holder for start in cluster.starts] == ["p2"]
    assert cluster.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    assert cluster.live_leases() == []


def test_claim_read_back_after_the_leases_lapsed_starts_nothing(
    cluster_type, make_spec
):
    cluster = cluster_type()
    cluster.accept(make_spec("j"))
    run_until_action(cluster, jobs.AppendRecord)
    placer = cluster.placers[0]
    placer.deliver()
    cluster.now_ms += 16_000
    placer.read()
    assert not [a for a in placer.sent if isinstance(a, jobs.StartTask)]
    assert [a for a in placer.sent if isinstance(a, jobs.FenceJob)]


def test_lost_release_of_an_ended_job_is_sent_again(cluster_type, make_spec):
    cluster = cluster_type()
    cluster.accept(make_spec("j", run_ms=500))
    run_until_action(cluster, jobs.ReleaseLease)
    cluster.placers[0].sent.clear()
    assert any(worker.lease_by_id for worker in cluster.worker_by_name.values())
    cluster.run(1_000)
    assert not any(worker.lease_by_id for worker in cluster.worker_by_name.values())


def test_partly_started_off_log_job_is_interrupted(cluster_type, make_spec):
    """It must not be refused as not run, because one of its tasks started."""
    cluster = cluster_type()
    cluster.run(200)
    cluster.is_log_up = False
    cluster.run(200)
    placer = cluster.placers[0]
    cluster.submit_off_log(placer, make_spec("e.1.0"))
    while not isinstance(placer.sent[0], jobs.StartTask):
        placer.deliver()
    placer.deliver()
    cluster.worker_by_name["w2"].reboot()
    cluster.run(2_000)
    assert cluster.submissions == {"e.1.0": None}
    cluster.is_log_up = True
    cluster.run(2_000)
    assert isinstance(cluster.outcome("e.1.0"), Interrupted)
    assert len(cluster.starts) == 1
