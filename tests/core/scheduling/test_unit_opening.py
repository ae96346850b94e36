"""Jobs of many units, of which a limited number waits at a time."""

import pytest
from harness import SMALL, Harness, configuration

from ragwortshelf.core.scheduling import JobSpec, JobState, Scheduler, Step
from ragwortshelf.core.scheduling.job_table import Job, JobTable
from ragwortshelf.core.scheduling.lifecycle import WAITING_UNITS_MAX
from ragwortshelf.core.scheduling.model import UnitKey, UnitPhase
from ragwortshelf.core.scheduling.records import JobSubmitted, UnitRecord
from ragwortshelf.core.scheduling.unit_opening import UnitOpening

WINDOW = 3


def make_spec(*steps, occurrences=0, first_run_ms=0, interval_ms=0, job_id="job"):
    return JobSpec(
        job_id,
        "p1",
        "pool",
        "a",
        "",
        steps,
        0,
        occurrences=occurrences,
        first_run_wall_ms=first_run_ms,
        interval_ms=interval_ms,
    )


def make_step(count=1, depends_on=(), **fields):
    return Step(count, SMALL, 2_000, depends_on, **fields)


def make_job(spec):
    table = JobTable()
    table.apply(JobSubmitted(spec))
    return table.job_by_id[spec.id]


def end_units(job: Job, occurrence, step=0):
    for member in job.spec.steps[step].members:
        key = UnitKey(job.spec.id, occurrence, step, member)
        job.put_record(UnitRecord(key, 1, UnitPhase.DONE, run=1))


def run_to_completion(harness):
    """Run the job to its end; returns its tasks in the order of their starts."""
    started = []
    job = harness.table.job_by_id["job"]
    for _ in range(1_000):
        if job.state is JobState.COMPLETED:
            return started
        harness.advance(100)
        starts = harness.accept_starts()
        started += [order.task for order in starts]
        for order in starts:
            harness.end(order.endpoint_id, order.task)
    raise AssertionError("the job does not end")


@pytest.fixture
def small_window(monkeypatch):
    module = "ragwortshelf.core.scheduling.lifecycle"
    monkeypatch.setattr(f"{module}.WAITING_UNITS_MAX", WINDOW)
    monkeypatch.setattr(f"{module}.OPENED_UNITS_MAX", 2)


# Guards against work that is lost or repeated as units are opened one part at a time.
@pytest.mark.parametrize(
    "spec",
    [
        make_spec(make_step(20)),
        make_spec(make_step(2), occurrences=9),
        make_spec(make_step(4), make_step(5), make_step(7, (0, 1)), make_step(2, (2,))),
        make_spec(make_step(2), make_step(3, (0,)), occurrences=4, interval_ms=700),
        make_spec(make_step(4, is_gang=True), make_step(3, (0,)), occurrences=5),
    ],
    ids=["tasks", "occurrences", "steps", "timed", "gangs"],
)
def test_each_unit_runs_once(small_window, spec):
    harness = Harness()
    harness.submit_spec(spec)
    tasks = run_to_completion(harness)
    expected = {
        f"job.{occurrence}.{number}.{index}"
        for occurrence in range(spec.occurrence_count)
        for number, step in enumerate(spec.steps)
        for index in range(step.count)
    }
    assert sorted(tasks) == sorted(expected)


# Guards against units that a successor forgets: it begins at the first occurrence that
# is not done, whatever is done of later ones.
def test_a_successor_opens_what_is_not_done(small_window):
    harness = Harness()
    spec = make_spec(make_step(2), make_step(1, (0,)), occurrences=8)
    harness.submit_spec(spec)
    started = harness.accept_starts()
    for order in started:
        harness.end(order.endpoint_id, order.task)
    more = harness.accept_starts()
    harness.scheduler = Scheduler(2, harness.table, configuration())
    harness.scheduler.adopt(harness.now, harness.now)
    for name in list(harness.running):
        harness.add_endpoint(name)
    for order in more:
        harness.end(order.endpoint_id, order.task)
    tasks = [order.task for order in (*started, *more)] + run_to_completion(harness)
    assert len(tasks) == len(set(tasks)) == 8 * 3


# Guards against a scheduler that is deposed before it has done anything (LOST): one
# step of the loop passed over all units that a job declares.
@pytest.mark.parametrize(
    "spec",
    [
        make_spec(make_step(10_000), occurrences=100_000),
        make_spec(make_step(10_000), occurrences=100_000, first_run_ms=10**9),
        make_spec(*(make_step(39) for _ in range(255)), occurrences=100_000),
    ],
    ids=["due", "not due", "steps"],
)
def test_a_job_costs_by_what_waits_and_not_by_what_it_declares(spec):
    harness = Harness()
    harness.submit_spec(spec)
    harness.submit("other")
    assert len(harness.scheduler.unit_by_key) <= WAITING_UNITS_MAX + 16 + 1
    successor = Scheduler(2, harness.table, configuration())
    successor.adopt(harness.now, harness.now)
    assert len(successor.unit_by_key) <= WAITING_UNITS_MAX + 16 + 1
    harness.cancel("job")
    placed = sum(map(len, harness.running.values())) + len(harness.stops)
    assert len(harness.scheduler.unit_by_key) <= placed + 1
    after_cancel = Scheduler(3, harness.table, configuration())
    after_cancel.adopt(harness.now, harness.now)
    assert len(after_cancel.unit_by_key) <= placed + 1


# Guards against other jobs that wait behind a large one (LOST).
def test_other_jobs_start_beside_a_job_that_does_not_end():
    harness = Harness(endpoints=1)
    harness.submit_spec(make_spec(make_step(10_000), occurrences=100_000))
    harness.submit("urgent", queue="p0")
    tasks = []
    for _ in range(30):
        harness.advance(100)
        harness.obey_stops()
        for order in harness.accept_starts():
            tasks.append(order.task)
            harness.end(order.endpoint_id, order.task)
    assert "urgent.0.0.0" in tasks


def test_occurrences_are_opened_when_they_are_due():
    spec = make_spec(make_step(2), occurrences=3, first_run_ms=500, interval_ms=100)
    opening = UnitOpening(make_job(spec))
    assert opening.take(10, 499) == []
    assert opening.next_due_wall_ms == 500
    assert [key.occurrence for key in opening.take(10, 650)] == [0, 0, 1, 1]
    assert opening.next_due_wall_ms == 700
    assert [key.occurrence for key in opening.take(10, 700)] == [2, 2]
    assert opening.next_due_wall_ms is None
    assert opening.is_complete


def test_a_step_is_continued_where_the_last_call_ended():
    opening = UnitOpening(make_job(make_spec(make_step(5))))
    members = [opening.take(2, 0), opening.take(2, 0), opening.take(2, 0)]
    assert [[key.member for key in keys] for keys in members] == [[0, 1], [2, 3], [4]]


def test_a_step_is_opened_once_all_before_it_are_done():
    spec = make_spec(make_step(1), make_step(1), make_step(1, (0, 1)))
    job = make_job(spec)
    opening = UnitOpening(job)
    assert [key.step for key in opening.take(10, 0)] == [0, 1]
    end_units(job, 0, 0)
    opening.step_done(0, 0)
    assert opening.take(10, 0) == []
    end_units(job, 0, 1)
    opening.step_done(0, 1)
    assert [key.step for key in opening.take(10, 0)] == [2]


def test_occurrences_that_are_done_are_passed_over_within_the_limit():
    job = make_job(make_spec(make_step(1), occurrences=10_000))
    for occurrence in range(1, 9_999):
        end_units(job, occurrence)
    opening = UnitOpening(job)
    calls = [opening.take(50, 0) for _ in range(12)]
    assert [key.occurrence for keys in calls for key in keys] == [0, 9_999]
    assert [key.occurrence for key in calls[0]] == [0]
    assert calls[5] == []


def test_the_search_begins_at_the_first_occurrence_that_is_not_done():
    job = make_job(make_spec(make_step(1), occurrences=10_000))
    for occurrence in range(9_999):
        end_units(job, occurrence)
    (key,) = UnitOpening(job).take(50, 0)
    assert key.occurrence == 9_999


def test_the_first_open_occurrence_follows_those_that_are_done():
    job = make_job(make_spec(make_step(2), make_step(1, (0,)), occurrences=4))
    for occurrence in (1, 0):
        end_units(job, occurrence, 0)
        end_units(job, occurrence, 1)
    end_units(job, 2, 0)
    assert job.first_open_occurrence == 2
    assert job.is_step_done(1, 1)
    assert job.is_step_done(2, 0)
    assert not job.is_step_done(2, 1)
    assert not job.is_occurrence_done(3)
