"""Estimates are corrected by the run times of their queue, as far as these justify it.

Load: callers of one queue whose estimates are off by a factor of up to ten.
"""

import math
import random
from dataclasses import replace

from harness import SMALL, Harness
from hypothesis import given
from hypothesis import strategies as st

from ragwortshelf.core.scheduling import JobSpec, JobTable, Step
from ragwortshelf.core.scheduling.backlog import Backlog
from ragwortshelf.core.scheduling.calibration import (
    CORRECTION_MAX,
    EstimateCalibration,
)
from ragwortshelf.core.scheduling.job_table import Job
from ragwortshelf.core.scheduling.model import UnitKey, UnitPhase
from ragwortshelf.core.scheduling.records import JobSubmitted, UnitRecord


def test_right_estimates_are_not_corrected():
    # Guards against a correction by chance where callers estimate well.
    calibration = EstimateCalibration()
    draw = random.Random(1)
    for _ in range(300):
        run_time_ms = round(draw.lognormvariate(math.log(2_500), 0.5))
        calibration.run_done("q", run_time_ms, run_time_ms)
    for estimate_ms in (500, 2_500, 8_000):
        assert abs(calibration.expected_ms("q", estimate_ms) / estimate_ms - 1) < 0.02


def test_estimates_that_say_nothing_give_way_to_the_usual_run_time():
    # Guards against deadlines that are wrong by the factor of ten of the estimate.
    calibration = EstimateCalibration()
    draw = random.Random(2)
    for _ in range(300):
        run_time_ms = round(draw.lognormvariate(math.log(2_500), 0.3))
        estimate_ms = round(run_time_ms * math.exp(draw.uniform(-2.3, 2.3)))
        calibration.run_done("q", max(1, estimate_ms), run_time_ms)
    for estimate_ms in (500, 2_500, 12_000):
        assert 1_500 < calibration.expected_ms("q", estimate_ms) < 4_000


def test_estimates_that_are_all_too_low_are_raised():
    calibration = EstimateCalibration()
    for run_time_ms in (1_000, 2_000, 4_000) * 40:
        calibration.run_done("q", run_time_ms // 2, run_time_ms)
    assert 1_850 < calibration.expected_ms("q", 1_000) < 2_050


def test_few_runs_and_other_queues_change_little():
    # Guards against one odd run that changes the deadlines of a whole queue.
    calibration = EstimateCalibration()
    calibration.run_done("q", 1_000, 8_000)
    assert calibration.expected_ms("q", 1_000) < 1_500
    assert calibration.expected_ms("other", 1_000) == 1_000


def test_the_tasks_of_a_wide_step_count_as_one_run():
    # Guards against one wide step that outweighs all other jobs of its queue.
    wide, single = EstimateCalibration(), EstimateCalibration()
    for _ in range(200):
        wide.run_done("q", 1_000, 8_000, weight=1 / 200)
    single.run_done("q", 1_000, 8_000)
    difference_ms = wide.expected_ms("q", 1_000) - single.expected_ms("q", 1_000)
    assert abs(difference_ms) <= 1


def test_runs_of_long_ago_fade():
    calibration = EstimateCalibration()
    for run_time_ms in (500, 1_000, 2_000) * 200:
        calibration.run_done("q", run_time_ms, 4 * run_time_ms)
    for run_time_ms in (500, 1_000, 2_000) * 400:
        calibration.run_done("q", run_time_ms, run_time_ms)
    assert abs(calibration.expected_ms("q", 1_000) / 1_000 - 1) < 0.05


@given(
    st.lists(st.tuples(st.integers(0, 10**7), st.integers(0, 10**7)), max_size=30),
    st.integers(0, 10**7),
)
def test_a_correction_is_bounded(runs, estimate_ms):
    # Guards against run times of zero, and against overflow.
    calibration = EstimateCalibration()
    for run in runs:
        calibration.run_done("q", *run)
    expected_ms = calibration.expected_ms("q", estimate_ms)
    assert estimate_ms / CORRECTION_MAX - 1 <= expected_ms
    assert expected_ms <= estimate_ms * CORRECTION_MAX + 1


def _run(harness, number, run_time_ms, **step):
    job_id = f"{number:016x}"
    harness.submit(job_id, accepted=harness.now, **step)
    placed = harness.accept_starts()
    harness.advance(run_time_ms)
    for order in placed:
        harness.end(order.endpoint_id, order.task)
    harness.collect()


def test_deadlines_follow_the_run_times_of_the_queue():
    # Guards against units that count as late, or as having time, by wrong estimates.
    harness = Harness()
    for number in range(60):
        _run(harness, number, 4_000, estimate_ms=1_000)
    harness.submit("f" * 16, accepted=harness.now, estimate_ms=1_000)
    unit = harness.scheduler.unit_by_key[UnitKey("f" * 16, 0, 0, 0)]
    assert 3_500 < unit.estimate_ms <= 4_000
    # Queues of the harness allow twice the run time and 500 ms.
    assert unit.latest_start_wall_ms == harness.now + unit.estimate_ms + 500


def test_right_estimates_leave_deadlines_as_they_are():
    # Guards against changed decisions where callers estimate well.
    harness = Harness()
    for number in range(60):
        run_time_ms = (500, 2_000, 6_000)[number % 3]
        _run(harness, number, run_time_ms, estimate_ms=run_time_ms)
    harness.submit("f" * 16, accepted=harness.now, estimate_ms=2_000)
    unit = harness.scheduler.unit_by_key[UnitKey("f" * 16, 0, 0, 0)]
    assert abs(unit.estimate_ms - 2_000) <= 20


def test_a_successor_and_other_instances_correct_estimates_alike():
    # Guards against a change of scheduler that forgets the run times.
    harness = Harness()
    table = JobTable()
    for number in range(20):
        _run(harness, number, 4_000, estimate_ms=1_000)
        table.apply(JobSubmitted(harness.table.job_by_id[f"{number:016x}"].spec))
    for record in harness.records:
        table.apply(record)
    mine, other = harness.table.calibration, table.calibration
    assert other.expected_ms("p1", 1_000) == mine.expected_ms("p1", 1_000) > 2_000


def test_runs_that_a_successor_saw_end_say_nothing():
    # Guards against runs that seem longer by the time without a scheduler, in which all
    # that ended was not seen, or by the difference of two wall clocks.
    calibration = EstimateCalibration()
    spec = JobSpec("a" * 16, "q", "pool", "a", "", (Step(1, SMALL, 1_000),))
    job = Job(spec, Backlog(), calibration)
    key = UnitKey(spec.id, 0, 0, 0)
    record = UnitRecord(key, 1, UnitPhase.PLACED, 1)
    job.put_record(record)
    done = replace(record, term=2, phase=UnitPhase.DONE, changed_wall_ms=9_000)
    job.put_record(done)
    assert calibration.expected_ms("q", 1_000) == 1_000


def test_resumed_and_long_running_runs_say_nothing():
    calibration = EstimateCalibration()
    step = Step(1, SMALL, 1_000)
    lasting = Step(1, SMALL, 1_000, is_long_running=True)
    spec = JobSpec("a" * 16, "q", "pool", "a", "", (step, lasting))
    job = Job(spec, Backlog(), calibration)
    for number, checkpoint in ((0, "saved"), (1, "")):
        key = UnitKey(spec.id, 0, number, 0)
        record = UnitRecord(key, 1, UnitPhase.PLACED, 1, checkpoint=checkpoint)
        job.put_record(record)
        done = replace(record, phase=UnitPhase.DONE, changed_wall_ms=9_000)
        job.put_record(done)
    assert calibration.expected_ms("q", 1_000) == 1_000
