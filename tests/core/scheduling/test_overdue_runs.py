"""Runs that take far longer than expected, and what is reported of them."""

from harness import Harness

from ragwortshelf.core.scheduling.listings import RunEnd
from ragwortshelf.core.scheduling.task_placement import RunStage


class _Listed(Harness):
    """Lists its endpoints while time passes, with a progress that grows."""

    def __init__(self, **config):
        super().__init__(**config)
        self.percent = 0

    def list_for(self, ms, percent_per_s=5, silent=()):
        """Let time pass, with a listing of each endpoint every half second."""
        for _ in range(ms // 500):
            self.now += 500
            self.percent += percent_per_s / 2
            for endpoint, runs in self.running.items():
                if endpoint not in silent:
                    self.list(endpoint, percent=dict.fromkeys(runs, self.percent))
            self.plan()

    def start(self, job_id="a", **step):
        self.submit(job_id, **step)
        return self.accept_starts()


# Guards against waits that cannot be explained: no line told what the listings show of
# a run that a step waits for.
def test_a_run_that_is_listed_far_beyond_its_estimate_is_reported_with_its_progress():
    harness = _Listed(endpoints=1)
    (order,) = harness.start(estimate_ms=2_000)
    harness.list_for(5_500)
    assert not harness.overdue_runs
    harness.list_for(500)
    (report,) = harness.overdue_runs
    assert (report.task, report.run) == (order.task, order.run)
    assert (report.stage, report.endpoint_id) == (RunStage.RUNNING, "e0")
    assert (report.age_ms, report.estimate_ms) == (6_000, 2_000)
    assert report.is_reachable
    assert report.is_listed
    assert report.listing_age_ms == 0
    assert report.progress_percent == 30
    assert report.without_progress_ms == 0
    assert not report.is_resumed
    # 70 percent at 5 percent a second, but for the rounding of percents.
    assert abs(report.remaining_ms - 14_000) < 500


def test_an_endpoint_out_of_contact_is_reported_with_the_age_of_its_listing():
    harness = _Listed(endpoints=1)
    harness.start(estimate_ms=2_000)
    harness.list_for(3_000)
    harness.scheduler.endpoint_unreachable("e0", harness.now, harness.now)
    harness.list_for(3_000, silent=("e0",))
    (report,) = harness.overdue_runs
    assert not report.is_reachable
    assert report.is_listed
    assert report.listing_age_ms == 3_000
    assert report.progress_percent == 15


def test_a_start_that_no_listing_shows_is_reported_as_such():
    harness = _Listed(endpoints=1)
    harness.submit("a", estimate_ms=1_000)
    harness.list_for(3_000)
    (report,) = harness.overdue_runs
    assert report.stage is RunStage.ORDERED
    assert not report.is_listed
    assert report.listing_age_ms == 0


def test_a_run_without_progress_is_reported_with_the_time_since():
    harness = _Listed(endpoints=1)
    harness.start(estimate_ms=1_000)
    harness.list_for(1_000)
    harness.list_for(2_000, percent_per_s=0)
    (report,) = harness.overdue_runs
    assert report.without_progress_ms == 2_000


def test_a_run_that_resumed_from_a_checkpoint_is_reported_as_such():
    harness = _Listed(endpoints=2)
    (order,) = harness.start(estimate_ms=1_000, is_checkpointing=True)
    harness.scheduler.evict(order.endpoint_id, "drained", harness.now)
    harness.scheduler.cordon(order.endpoint_id)
    harness.plan()
    harness.stops.clear()
    harness.end(order.endpoint_id, order.task, RunEnd.STOPPED, checkpoint="c")
    harness.accept_starts()
    harness.list_for(3_000)
    (report,) = harness.overdue_runs
    assert (report.run, report.is_resumed) == (2, True)


def test_an_overdue_run_is_reported_again_once_its_age_has_doubled():
    harness = _Listed(endpoints=1)
    harness.start(estimate_ms=1_000)
    harness.list_for(30_000, percent_per_s=1)
    ages_ms = [report.age_ms for report in harness.overdue_runs]
    assert ages_ms == [3_000, 6_000, 12_000, 24_000]


def test_many_overdue_runs_are_reported_a_few_at_a_time():
    harness = _Listed(endpoints=3)
    harness.start(count=20, estimate_ms=1_000)
    harness.list_for(3_000)
    assert len(harness.overdue_runs) == 8
    assert harness.scheduler.overdue_run_count == 20
    harness.list_for(1_000)
    assert len({report.task for report in harness.overdue_runs}) == 20


def test_a_run_that_has_ended_is_overdue_no_more():
    harness = _Listed(endpoints=1)
    (order,) = harness.start(estimate_ms=1_000)
    harness.list_for(3_000)
    assert harness.scheduler.overdue_run_count == 1
    harness.end("e0", order.task)
    harness.advance(500)
    assert harness.scheduler.overdue_run_count == 0


def test_long_running_tasks_and_those_without_an_estimate_are_never_overdue():
    harness = _Listed(endpoints=1)
    harness.start("a", estimate_ms=1_000, is_long_running=True)
    harness.start("b", estimate_ms=0)
    harness.list_for(10_000)
    assert not harness.overdue_runs
