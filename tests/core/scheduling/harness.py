"""A scheduler with a job table and simulated endpoints, driven step by step."""

from unittest import mock

from ragwortshelf.core.scheduling import (
    EndpointInfo,
    JobSpec,
    JobTable,
    Resources,
    Scheduler,
    Step,
)
from ragwortshelf.core.scheduling.actions import (
    AskAdvice,
    PersistUnit,
    ReportIdleWait,
    ReportOverdueRun,
    StartTask,
    StopTask,
)
from ragwortshelf.core.scheduling.configuration import (
    EndpointService,
    GuaranteedOrganisation,
    Queue,
    ServiceConfiguration,
)
from ragwortshelf.core.scheduling.listings import (
    EndpointListing,
    FinishedRun,
    RunEnd,
    RunningTask,
    StartOutcome,
)
from ragwortshelf.core.scheduling.records import JobCancelled, JobSubmitted

SMALL = Resources(1_000, 1_000, 1)


def configuration(guaranteed=16, attempts=3, version=1):
    """Return three queues of priorities 0, 1 and 2, and two organisations."""
    queues = tuple(
        Queue(f"p{p}", "h", f"/p{p}/", "pool", p, attempts, 2.0, 500) for p in range(3)
    )
    return ServiceConfiguration(
        version,
        queues,
        {"pool": EndpointService("pool")},
        tuple(
            GuaranteedOrganisation(name, frozenset({name}), guaranteed)
            for name in ("a", "b")
        ),
    )


class Harness:
    """Keeps a clock in milliseconds, numbers ended runs, and records all orders."""

    def __init__(self, endpoints=2, racks=1, gpus=8, **config):
        self.now = 1_000
        self.table = JobTable()
        self.scheduler = Scheduler(1, self.table, configuration(**config))
        self.running = {}
        self.finished_count = {}
        self.starts = []
        self.stops = []
        self.records = []
        self.idle_waits = []
        self.overdue_runs = []
        # When each question to the policy service was put, and the question.
        self.questions = []
        for n in range(endpoints):
            self.add_endpoint(f"e{n}", f"r{n % racks}", gpus)

    def add_endpoint(self, name, rack="r0", gpus=8, data_centre="dc", **fields):
        info = EndpointInfo(
            name,
            "pool",
            name,
            data_centre,
            Resources(32_000, 64_000, gpus),
            ("a", rack),
            **fields,
        )
        self.scheduler.endpoint_updated(info, self.now)
        self.running.setdefault(name, {})
        self.finished_count.setdefault(name, 0)
        self.list(name)

    def submit(self, job_id, queue="p1", organisation="a", accepted=0, **step):
        step.setdefault("count", 1)
        step.setdefault("request", SMALL)
        step.setdefault("estimate_ms", 2_000)
        spec = JobSpec(
            job_id, queue, "pool", organisation, "", (Step(**step),), accepted
        )
        self.submit_spec(spec)

    def submit_spec(self, spec):
        self.table.apply(JobSubmitted(spec))
        self.scheduler.job_changed(spec.id, self.now, self.now)
        self.plan()

    def cancel(self, job_id):
        self.table.apply(JobCancelled(job_id, self.now))
        self.scheduler.job_changed(job_id, self.now, self.now)
        self.plan()

    def evacuate(self, *data_centres):
        """Replace the evacuated data centres."""
        since_ms = dict.fromkeys(data_centres, self.now)
        self.scheduler.evacuate(since_ms, self.now, self.now)
        self.plan()

    def plan(self):
        self.scheduler.plan(self.now, self.now)
        self.collect()

    def collect(self):
        for action in self.scheduler.take_actions():
            if isinstance(action, StartTask):
                self.starts.append(action)
            elif isinstance(action, StopTask):
                self.stops.append(action)
            elif isinstance(action, PersistUnit):
                self.records.append(action.record)
            elif isinstance(action, ReportIdleWait):
                self.idle_waits.append(action)
            elif isinstance(action, ReportOverdueRun):
                self.overdue_runs.append(action)
            elif isinstance(action, AskAdvice):
                self.questions.append((self.now, action.question))

    def accept_starts(self):
        """Confirm all ordered starts."""
        for order in self.starts:
            self.running[order.endpoint_id][order.task] = order.run
            self.scheduler.start_answered(
                order.endpoint_id,
                order.task,
                order.run,
                StartOutcome.STARTED,
                False,
                self.now,
                self.now,
            )
        started, self.starts = self.starts, []
        self.collect()
        return started

    def refuse_start(self, outcome, was_unanswered=False):
        order = self.starts.pop(0)
        self.scheduler.start_answered(
            order.endpoint_id,
            order.task,
            order.run,
            outcome,
            was_unanswered,
            self.now,
            self.now,
        )
        self.collect()
        return order

    def obey_stops(self):
        """Carry out all ordered stops, and list their ends."""
        for order in self.stops:
            if self.running[order.endpoint_id].get(order.task) == order.run:
                self.end(order.endpoint_id, order.task, RunEnd.STOPPED)
        stopped, self.stops = self.stops, []
        return stopped

    def end(self, endpoint, task, run_end=RunEnd.DONE, checkpoint=""):
        run = self.running[endpoint].pop(task)
        self.finished_count[endpoint] += 1
        row = FinishedRun(self.finished_count[endpoint], task, run, run_end, checkpoint)
        self.list(endpoint, finished=(row,))

    def list(self, endpoint, finished=(), percent=None, sent=None, started_wall_ms=1):
        rows = tuple(
            RunningTask(task, run, "", (percent or {}).get(task, 0))
            for task, run in self.running[endpoint].items()
        )
        listing = EndpointListing(
            endpoint,
            started_wall_ms,
            self.now if sent is None else sent,
            rows,
            finished,
        )
        self.scheduler.listing_received(listing, self.now, self.now)
        self.plan()

    def advance(self, ms):
        self.now += ms
        self.plan()


class Fleet(Harness):
    """Lists all endpoints and carries out stops while time passes."""

    def wait(self, ms, interval_ms=250):
        for _ in range(ms // interval_ms):
            self.now += interval_ms
            self.list_progress()
            self.obey_stops()

    def list_progress(self):
        """List all endpoints, with runs that make progress."""
        for endpoint_id, endpoint in self.scheduler.endpoint_by_id.items():
            percent = {
                task: (self.now - placement.ordered_ms) / 600
                for task, placement in endpoint.placement_by_task.items()
            }
            self.list(endpoint_id, percent=percent)

    def end_runs_of(self, length_ms):
        """End the runs that have taken this long."""
        for endpoint_id, endpoint in self.scheduler.endpoint_by_id.items():
            for task, placement in list(endpoint.placement_by_task.items()):
                is_over = self.now - placement.ordered_ms >= length_ms
                if is_over and task in self.running[endpoint_id]:
                    self.end(endpoint_id, task)

    def change_scheduler(self):
        """Let a successor without guarantees take over at once."""
        self.starts.clear()
        infos = [e.info for e in self.scheduler.endpoint_by_id.values()]
        term = self.scheduler.term + 1
        self.scheduler = Scheduler(term, self.table, configuration(guaranteed=0))
        self.scheduler.adopt(self.now, self.now)
        for info in infos:
            self.scheduler.endpoint_updated(info, self.now)
        with mock.patch.object(self, "plan"):
            for info in infos:
                self.list(info.id)
        self.plan()

    def started_jobs(self):
        return {order.unit_key.job_id for order in self.starts}
