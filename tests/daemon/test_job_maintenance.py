"""Maintenance for lost data centres, withdrawn organisations and remote holdings."""

from dataclasses import replace

import pytest

from ragwortshelf.core.jobs import JobLedger, admit
from ragwortshelf.core.membership import Member, MemberStatus, View
from ragwortshelf.core.model import (
    Adjacency,
    Configuration,
    DataCentre,
    Grant,
    InstanceInfo,
    JobPhase,
    JobSpec,
    Organisation,
    Priority,
    Rack,
    Reason,
    Withdrawal,
)
from ragwortshelf.core.placement import DataCentreScheduler, Place
from ragwortshelf.core.streams import AttemptClaimed, JobAccepted, JobEnded, JobMoved
from ragwortshelf.daemon.job_maintenance import (
    Capacity,
    JobMaintenance,
    withdrawal_cancellations,
)

DATA_CENTRES = {
    name: DataCentre(name, "land", (Rack(f"{name}-r", (f"{name}-w",), 8),))
    for name in ("north", "south")
}
CONFIGURATION = Configuration(
    revision=0,
    organisations_by_name={
        "org": Organisation("org", quota_accelerators=8, home_region="land")
    },
    data_centres_by_name=DATA_CENTRES,
)


def make_spec(job_id, home, accelerators=4):
    return JobSpec(job_id, "org", home, accelerators, Adjacency.WORKER)


def make_claim(job_id, home, accelerators=4):
    grants = (Grant(f"{home}-w", tuple(range(accelerators))),)
    return AttemptClaimed(job_id, 1, "i.1", home, grants, ("b",), 0)


def make_ledger(*records):
    ledger = JobLedger()
    for record in records:
        ledger.apply(record)
    return ledger


def make_view(status):
    remote = InstanceInfo("s", "south", "127.0.0.1:1", "127.0.0.1:2")
    local = InstanceInfo("n", "north", "127.0.0.1:3", "127.0.0.1:4")
    return View(
        "n",
        {
            "n": Member(local, 1, MemberStatus.ALIVE, True, False),
            "s": Member(remote, 1, status, True, False),
        },
    )


def test_jobs_move_once_their_data_centre_was_lost_for_a_minute():
    ledger = make_ledger(JobAccepted(make_spec("i.1.1", "south"), "i"))
    maintenance = JobMaintenance("north", DataCentreScheduler("north"), ledger)
    dead, alive = make_view(MemberStatus.DEAD), make_view(MemberStatus.ALIVE)
    assert maintenance.due_records(CONFIGURATION, dead, 0) == []
    assert maintenance.due_records(CONFIGURATION, dead, 59_999) == []
    # A live instance restarts the wait.
    assert maintenance.due_records(CONFIGURATION, alive, 60_000) == []
    assert maintenance.due_records(CONFIGURATION, dead, 70_000) == []
    (moved,) = maintenance.due_records(CONFIGURATION, dead, 130_000)
    assert isinstance(moved, JobMoved) and moved.to_data_centre == "north"
    ledger.apply(moved)
    assert maintenance.due_records(CONFIGURATION, dead, 140_000) == []


@pytest.mark.parametrize(
    ("waiting", "running", "ended"),
    [
        ("refuse", "finish", ["i.1.1"]),
        ("finish", "stop", ["i.1.2"]),
        ("refuse", "stop", ["i.1.1", "i.1.2"]),
        ("finish", "finish", []),
    ],
)
def test_withdrawal_cancels_jobs_as_the_release_note_says(waiting, running, ended):
    ledger = make_ledger(
        JobAccepted(make_spec("i.1.1", "north"), "i"),
        JobAccepted(make_spec("i.1.2", "north"), "i"),
        make_claim("i.1.2", "north"),
        JobAccepted(make_spec("i.1.3", "south"), "i"),
    )
    withdrawal = Withdrawal("org", waiting, running)
    configuration = Configuration(withdrawn_organisations_by_name={"org": withdrawal})
    records = withdrawal_cancellations(ledger.active(), configuration, "north")
    assert [record.job_id for record in records] == ended


def test_quota_includes_accelerators_held_in_other_data_centres():
    ledger = make_ledger(
        JobAccepted(make_spec("i.1.1", "south", 8), "i"),
        make_claim("i.1.1", "south", 8),
    )
    scheduler = DataCentreScheduler("north")
    scheduler.set_configuration(CONFIGURATION, 0)
    scheduler.set_worker("north-w", "north-r", 8, 0)
    scheduler.set_worker_usable("north-w", True, "", 0)
    scheduler.add_waiting(make_spec("i.1.2", "north"), 0)
    maintenance = JobMaintenance("north", scheduler, ledger)
    maintenance.record_remote_capacity([Capacity("south", 0, ())])
    assert not any(isinstance(action, Place) for action in scheduler.decide(0))
    ended = JobEnded("i.1.1", 1, JobPhase.COMPLETED, Reason.TASK_SUCCEEDED, "", 0)
    ledger.apply(ended)
    maintenance.record_remote_capacity([Capacity("south", 8, ())])
    assert any(isinstance(action, Place) for action in scheduler.decide(1_000))


@pytest.mark.parametrize(
    ("home", "expected"),
    [("", "north"), ("south", "south"), ("nowhere", Reason.NEVER_FITS)],
)
def test_admission_sets_the_home_data_centre(home, expected):
    admitted = admit(make_spec("i.1.1", home), CONFIGURATION, JobLedger(), True, 0)
    actual = getattr(admitted, "reason", None) or admitted.home_data_centre
    assert actual == expected


def test_the_oldest_waiting_job_of_each_shape_is_a_relocation_candidate():
    urgent = replace(make_spec("i.1.4", "north", 2), priority=Priority.URGENT)
    waiting = [make_spec("i.1.1", "north"), make_spec("i.1.2", "north"), urgent]
    away = make_spec("i.1.3", "south")
    ledger = make_ledger(*(JobAccepted(job_spec, "i") for job_spec in (*waiting, away)))
    scheduler = DataCentreScheduler("north")
    scheduler.set_configuration(CONFIGURATION, 0)
    for job_spec in waiting:
        scheduler.add_waiting(job_spec, 0)
    candidates = JobMaintenance("north", scheduler, ledger).relocation_candidates()
    assert [entry.spec.job_id for entry in candidates] == ["i.1.4", "i.1.1"]
