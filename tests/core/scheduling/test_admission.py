"""Admission control: what is refused for the load, for how long, and what never is."""

from dataclasses import replace

import pytest

from ragwortshelf.core.scheduling import JobSpec, JobTable, Resources, Step
from ragwortshelf.core.scheduling.admission import (
    CAPACITY_AGE_MAX_MS,
    RETRY_AFTER_MAX_MS,
    RETRY_AFTER_MIN_MS,
    AdmissionControl,
)
from ragwortshelf.core.scheduling.configuration import (
    EndpointService,
    GuaranteedOrganisation,
    Queue,
    ServiceConfiguration,
)
from ragwortshelf.core.scheduling.model import UnitKey, UnitPhase
from ragwortshelf.core.scheduling.records import (
    InstanceAnnounced,
    JobCancelled,
    JobSubmitted,
    ServiceCapacity,
    TermHeld,
    UnitRecord,
)

GPUS = 100
CAPACITY = Resources(GPUS * 8_000, GPUS * 8_000, GPUS)
TASK = Resources(1_000, 1_000, 1)
ESTIMATE_MS = 2_000
# An objective of 2 x 2 s + 0.5 s; answers are of use for 13.5 s.
CONFIGURATION = ServiceConfiguration(
    1,
    tuple(Queue(f"p{p}", "h", f"/p{p}/", "pool", p, 3, 2.0, 500) for p in range(3)),
    {"pool": EndpointService("pool")},
    tuple(GuaranteedOrganisation(name, frozenset({name}), 8) for name in "abc"),
)
ANSWER_OF_USE_MS = 3 * 4_500
WALL_MS = 1_000_000


def job(job_id, queue="p1", organisation="c", count=1, **fields):
    fields = {"request": TASK, "estimate_ms": ESTIMATE_MS} | fields
    step = Step(count, **fields)
    return JobSpec(job_id, queue, "pool", organisation, "", (step,))


class Deployment:
    """Instances whose job tables receive the same records when they read the log.

    Accepted jobs are in the log at once, and in the tables from ``read`` on.
    """

    def __init__(self, instances=1):
        self.tables = [JobTable() for _ in range(instances)]
        self.controls = [AdmissionControl() for _ in range(instances)]
        self.now = 0
        self.clock_error = 0
        self.log = []
        self.read_count = [0] * instances
        self.publish()

    def publish(self, capacity=CAPACITY, term=1):
        self.append(TermHeld(term, "i0", self.wall))
        self.append(ServiceCapacity("pool", term, self.wall, capacity))

    @property
    def wall(self):
        return WALL_MS + self.now + self.clock_error

    def append(self, *records):
        self.log += records
        self.read()

    def read(self, instance=None):
        chosen = range(len(self.tables)) if instance is None else [instance]
        for n in chosen:
            for record in self.log[self.read_count[n] :]:
                self.tables[n].apply(record)
            self.read_count[n] = len(self.log)

    def submit(self, spec, instance=0):
        """Return the refusal, or None after accepting the job into the log."""
        control = self.controls[instance]
        refusal = control.decide(
            spec, self.tables[instance], CONFIGURATION, self.now, self.wall
        )
        if refusal is None:
            control.accepted(spec, self.now)
            self.log.append(JobSubmitted(spec))
        return refusal

    def place(self, spec, phase=UnitPhase.PLACED):
        records = [
            UnitRecord(UnitKey(spec.id, 0, number, member), 1, phase, 1)
            for number, step in enumerate(spec.steps)
            for member in step.members
        ]
        self.append(*records)

    def fill(self, organisation="c", waiting_s=0.0, queue="p1", name="full"):
        """Place one task on each accelerator, and queue that much more work."""
        placed = job(f"{name}-placed", queue, organisation, GPUS)
        self.append(JobSubmitted(placed))
        self.place(placed)
        count = int(waiting_s * 1000 * GPUS / ESTIMATE_MS)
        if count:
            self.append(
                JobSubmitted(job(f"{name}-waiting", queue, organisation, count))
            )


# Guards against callers that wait for answers which come when they are of no use.
def test_a_flood_is_refused_from_the_point_where_answers_are_of_no_use():
    deployment = Deployment()
    deployment.fill()
    outcomes = []
    for number in range(2_000):
        deployment.now += 5
        deployment.read()
        outcomes.append(deployment.submit(job(f"{number}", count=2)))
        if number % 50 == 0:
            deployment.publish()
    accepted_count = outcomes.index(next(o for o in outcomes if o is not None))
    # 1 s of placed work, and 2 x 2 accelerator-seconds a job on 100 accelerators. Two
    # thirds of the wait and the job's own 2 s reach 13.5 s at a wait of 17.25 s.
    assert accepted_count == pytest.approx((17_250 - 1_000) / 40, rel=0.02)
    refusal = outcomes[-1]
    assert refusal.wait_ms * 2 / 3 + ESTIMATE_MS > refusal.useful_ms == ANSWER_OF_USE_MS


# Guards against refusals by a forecast when the deployment is not overloaded.
@pytest.mark.parametrize("placed", [0, 30, 70, 90])
def test_an_idle_or_moderately_loaded_service_refuses_nothing(placed):
    deployment = Deployment()
    for number in range(400):
        deployment.now += 300
        spec = job(f"{number}", f"p{number % 3}", "abc"[number % 3], max(1, placed))
        if number % 10 == 0:
            deployment.publish()
        assert deployment.submit(spec) is None
        deployment.read()
        if placed:
            deployment.place(spec)
            deployment.now += ESTIMATE_MS
            deployment.place(spec, UnitPhase.DONE)
        deployment.append(ServiceCapacity("pool", 1, deployment.wall, CAPACITY))


# Guards against refusals while the room that a job needs is free, whatever else waits.
def test_nothing_is_refused_while_room_is_idle_for_the_job():
    deployment = Deployment()
    placed = job("placed", count=80)
    deployment.append(JobSubmitted(placed))
    deployment.place(placed)
    # Work for an hour that needs a label which no idle endpoint has.
    waiting = job("waiting", count=10_000, estimate_ms=36_000, required_label="x")
    deployment.append(JobSubmitted(waiting))
    assert deployment.submit(job("small", estimate_ms=500)) is None
    gang = job("gang", count=64, is_gang=True, estimate_ms=500)
    assert deployment.submit(gang) is not None


# Guards against a burst that is accepted without bound because nothing is placed yet
# in the 250 ms for which the forecast is not computed anew.
def test_a_burst_on_an_idle_service_is_bounded_between_two_forecasts():
    deployment = Deployment()
    outcomes = [deployment.submit(job(f"{n}", count=50)) for n in range(100)]
    accepted_count = outcomes.index(next(o for o in outcomes if o is not None))
    # 1 s a job, up to the wait of 17.25 s from which answers are of no use.
    assert accepted_count == 18


# Guards against a job without accelerators that is refused because they are in demand.
def test_a_job_without_accelerators_waits_for_processors_only():
    deployment = Deployment()
    deployment.fill(waiting_s=300)
    spec = job("cpu", request=Resources(1_000, 100, 0))
    assert deployment.submit(spec) is None
    assert deployment.submit(job("gpu")) is not None


# Guards against forecasts from a capacity that no longer exists.
@pytest.mark.parametrize("age_ms", [CAPACITY_AGE_MAX_MS, -CAPACITY_AGE_MAX_MS - 251])
def test_nothing_is_refused_when_the_record_of_the_capacity_is_old(age_ms):
    deployment = Deployment()
    deployment.fill(waiting_s=300)
    assert deployment.submit(job("a")) is not None
    # A clock that jumped back makes the record one of the future.
    deployment.clock_error = age_ms
    deployment.now += 250
    assert deployment.submit(job("b")) is None
    deployment.publish()
    deployment.now += 250
    assert deployment.submit(job("c")) is not None


# Guards against the capacity of a scheduler that has not listed its endpoints yet.
def test_nothing_is_refused_in_a_new_term_before_its_scheduler_published():
    deployment = Deployment()
    deployment.fill(waiting_s=300)
    assert deployment.submit(job("a")) is not None
    deployment.append(TermHeld(2, "i1", deployment.wall))
    deployment.now += 250
    assert deployment.submit(job("b")) is None
    deployment.append(ServiceCapacity("pool", 2, deployment.wall, CAPACITY))
    deployment.now += 250
    assert deployment.submit(job("c")) is not None
    # A late record of the earlier term does not replace the newer one.
    deployment.append(ServiceCapacity("pool", 1, deployment.wall, Resources()))
    deployment.now += 250
    assert deployment.submit(job("d")) is not None
    deployment.append(TermHeld(2, "i1", deployment.wall, is_resigned=True))
    deployment.now += 250
    assert deployment.submit(job("e")) is None


# Guards against two instances that promise the same room without bound: each counts its
# own acceptances at once, and the other's when it reads them.
def test_two_instances_exceed_one_by_what_is_submitted_between_two_reads():
    def accepted_count(instances):
        deployment = Deployment(instances)
        deployment.fill()
        count = 0
        for number in range(2_000):
            deployment.now += 10
            if number % 25 == 0:
                deployment.read()
                deployment.publish()
            refusal = deployment.submit(job(f"{number}", count=4), number % instances)
            count += refusal is None
        return count

    alone = accepted_count(1)
    assert 0 < alone < 500
    # 25 submissions of 4 tasks in 250 ms, of which the other instance took half.
    assert alone <= accepted_count(2) <= alone + 13


# Guards against own acceptances that count twice, in the table and beside it.
def test_an_acceptance_that_was_read_back_counts_once():
    deployment = Deployment()
    deployment.fill()
    control, table = deployment.controls[0], deployment.tables[0]
    assert deployment.submit(job("a", count=500)) is None
    waits = []
    for _ in range(3):
        waits.append(
            control.waits_ms(table, CONFIGURATION, deployment.now, deployment.wall)[1]
        )
        deployment.now += 250
        deployment.read()
    assert waits == [11_000, 11_000, 11_000]


# Guards against a guarantee that does not hold because of a forecast.
def test_guaranteed_work_is_never_refused():
    deployment = Deployment()
    deployment.fill(queue="p0", waiting_s=300)
    # The organisation of the flood is beyond its guarantee, and another is not.
    assert deployment.submit(job("beyond", "p0", "c", 8)) is not None
    assert deployment.submit(job("within", "p0", "a", 8, is_gang=True)) is None
    deployment.append(JobCancelled("full-waiting", WALL_MS))
    deployment.append(JobCancelled("full-placed", WALL_MS))
    deployment.fill("b", queue="p0", waiting_s=300, name="second")
    deployment.now += 250
    assert deployment.submit(job("again", "p0", "c", 8, is_gang=True)) is None
    assert deployment.submit(job("too-much", "p0", "b", 8)) is not None


# Guards against a guarantee that is taken up by tasks that are done and by occurrences
# that are not due, so that work is refused that could reclaim its room at once.
def test_done_tasks_and_later_occurrences_take_nothing_of_the_guarantee():
    deployment = Deployment()
    timed = replace(
        job("timed", "p0", "a", 8), occurrences=2, first_run_wall_ms=1 << 50
    )
    spec = job("partly-done", "p0", "a", 8)
    deployment.append(JobSubmitted(timed), JobSubmitted(spec))
    deployment.place(spec)
    deployment.fill(queue="p0", waiting_s=300)
    gang = job("gang", "p0", "a", 7, is_gang=True)
    # Its share of the capacity does not matter here, only its guarantee.
    spent = job("spent", "p1", "a", 200)
    deployment.append(JobSubmitted(spent))
    deployment.place(spent)
    assert deployment.submit(gang) is not None
    for member in range(7):
        key = UnitKey("partly-done", 0, 0, member)
        deployment.append(UnitRecord(key, 1, UnitPhase.DONE, 1))
    deployment.now += 250
    assert deployment.submit(gang) is None


# Guards against an organisation that is refused because of another one's flood.
def test_an_organisation_within_its_share_is_not_refused_for_the_load_of_others():
    deployment = Deployment()
    deployment.fill("c", waiting_s=300)
    assert deployment.submit(job("a", organisation="a", count=20)) is None
    assert deployment.submit(job("c", organisation="c", count=20)) is not None


# Guards against a share that is that of an organisation's first small job, by which its
# further jobs would wait long.
def test_small_jobs_of_an_organisation_within_its_share_are_all_accepted():
    deployment = Deployment()
    deployment.fill("c", waiting_s=300)
    for number in range(30):
        assert deployment.submit(job(f"{number}", organisation="a")) is None


def test_less_urgent_work_that_waits_does_not_count():
    deployment = Deployment()
    deployment.fill(queue="p2", waiting_s=300)
    assert deployment.submit(job("urgent", "p1", "c", 20)) is None
    assert deployment.submit(job("batch", "p2", "c", 20)) is not None


# Guards against refusals of what would have been in time when estimates are wrong.
def test_a_job_is_accepted_if_the_wait_was_forecast_too_long_by_half():
    true_wait_ms = ANSWER_OF_USE_MS - ESTIMATE_MS
    deployment = Deployment()
    deployment.fill(waiting_s=1.49 * true_wait_ms / 1000 - 1)
    assert deployment.submit(job("in-time", organisation="c")) is None
    deployment = Deployment()
    deployment.fill(waiting_s=1.6 * true_wait_ms / 1000 - 1)
    assert deployment.submit(job("late", organisation="c")) is not None


# Guards against an error without bound: what is accepted too much is late by the error
# of the forecast, and no more is accepted meanwhile.
def test_a_forecast_too_short_by_half_bounds_what_is_accepted():
    deployment = Deployment()
    deployment.fill()
    accepted = []
    for number in range(5_000):
        spec = job(f"{number}", organisation="c", count=2)
        if deployment.submit(spec) is not None:
            break
        accepted.append(spec)
    true_wait_ms = 2 * (len(accepted) * 2 * ESTIMATE_MS / GPUS)
    assert true_wait_ms <= 2 * 1.5 * (ANSWER_OF_USE_MS - ESTIMATE_MS)


def test_timed_long_running_and_hopeless_jobs_are_not_judged():
    deployment = Deployment()
    deployment.fill(waiting_s=300)
    timed = replace(job("timed"), occurrences=2, first_run_wall_ms=WALL_MS + 60_000)
    assert deployment.submit(timed) is None
    assert deployment.submit(job("lasting", is_long_running=True)) is None
    assert deployment.submit(replace(job("withdrawn"), queue="gone")) is None
    assert deployment.submit(job("judged")) is not None


# Guards against a service whose long-running tasks fill it: the rest of the capacity
# says nothing of what priority work may reclaim.
def test_a_service_full_of_long_running_tasks_refuses_nothing():
    deployment = Deployment()
    lasting = job("lasting", count=GPUS, is_long_running=True)
    deployment.append(JobSubmitted(lasting))
    deployment.place(lasting)
    assert deployment.submit(job("a")) is None


# Guards against callers that return all at once after an outage, and against one that
# is sent away for longer than the bound.
def test_returning_callers_are_spread_and_all_admitted_within_the_bound():
    deployment = Deployment()
    deployment.fill()
    deployment.append(InstanceAnnounced("i0", "dc", "x", WALL_MS))
    running = [("full-placed", 1_000)]
    jobs = {f"{n}": job(f"{n}", count=50) for n in range(120)}
    due_ms = dict.fromkeys(jobs, 0)
    admitted_ms, first_delays, waiting = {}, [], []
    while len(admitted_ms) < len(jobs):
        assert deployment.now < 150_000
        deployment.now += 250
        deployment.publish()
        # The scheduler: two jobs at a time, each on half of the accelerators.
        for name, end_ms in list(running):
            if end_ms <= deployment.now:
                running.remove((name, end_ms))
                spec = jobs.get(name) or job(name, "p1", "c", GPUS)
                deployment.place(spec, UnitPhase.DONE)
        slots = 0 if any(name == "full-placed" for name, _ in running) else 2
        while len(running) < slots and waiting:
            name = waiting.pop(0)
            deployment.place(jobs[name])
            running.append((name, deployment.now + ESTIMATE_MS))
        for name in [n for n, due in due_ms.items() if due <= deployment.now]:
            refusal = deployment.submit(jobs[name])
            if refusal is None:
                admitted_ms[name] = deployment.now
                waiting.append(name)
                del due_ms[name]
                continue
            delay_ms = refusal.retry_after_ms
            assert RETRY_AFTER_MIN_MS <= delay_ms <= RETRY_AFTER_MAX_MS
            due_ms[name] = deployment.now + delay_ms
            if deployment.now == 250:
                first_delays.append(delay_ms)
    assert len(first_delays) > 90
    assert max(first_delays) - min(first_delays) > 10_000
    by_second = [delay // 1_000 for delay in first_delays]
    assert max(by_second.count(second) for second in by_second) < 25
    # 120 jobs of 100 accelerator-seconds need 120 s.
    assert max(admitted_ms.values()) <= 120_000 + RETRY_AFTER_MAX_MS


def test_the_delay_grows_with_the_wait_and_its_spread_is_that_of_the_job():
    delays = []
    for waiting_s in (18, 22, 30, 200):
        deployment = Deployment()
        deployment.fill(waiting_s=waiting_s)
        delays.append(deployment.submit(job("x", organisation="c")).retry_after_ms)
    assert delays == sorted(delays)
    assert delays[0] < 4_000 and delays[-1] <= RETRY_AFTER_MAX_MS


def test_a_refusal_changes_nothing():
    deployment = Deployment()
    deployment.fill(waiting_s=300)
    wait_ms = deployment.submit(job("a")).wait_ms
    for number in range(100):
        deployment.submit(job(f"{number}", count=100))
    assert deployment.submit(job("a")).wait_ms == wait_ms
    assert not deployment.tables[0].job_by_id.keys() & {"a", "0"}
