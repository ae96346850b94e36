"""A heavy day of a fleet in virtual time, decided by the real scheduler.

Endpoints are simulated: they differ in speed, take time to stop a run, end a gang
together and fail a share of the runs. No network, process or clock is involved, so the
same seed gives the same decisions. The figures are what callers see: jobs on time by
queue, how long they wait for their first start, and the work that was thrown away.

    python -m benchmarks.fleet_load --seed 1 --endpoints 90 --load 1.0
    python -m benchmarks.fleet_load --speeds 0.6 1.0 1.6 --estimate-error urgent=0.2

With ``--heavy-share 0.9`` one organisation sends nine tenths of the jobs. ``--without``
switches mechanisms of the scheduler off, by their names in `benchmarks.ablation`. With
``--advice 200 100 3000`` a policy service approves the endpoints of each step. It takes
200 ms, and 100 ms for each endpoint; its tickets are valid for 3 s from the question.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import math
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace

from ragwortshelf.core.advice import AdviceTerms, OpenQuestion
from ragwortshelf.core.scheduling import (
    EndpointInfo,
    JobSpec,
    JobTable,
    Resources,
    Scheduler,
    Step,
)
from ragwortshelf.core.scheduling.actions import AskAdvice, StartTask, StopTask
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
from ragwortshelf.core.scheduling.records import JobSubmitted
from ragwortshelf.core.scheduling.stalls import ListingNeed

from .ablation import MECHANISMS, switch_off

ENDPOINT = Resources(32_000, 64_000, 8)
ENDPOINTS_PER_RACK = 12
SPEEDS = (0.8, 1.0, 1.25)

ORDER_DELAY_MS = 8
"""Time from a placement to its start: one append and one call."""

PLAN_GAP_MS = 10
"""Time between an event and the plan that takes it into account."""

LISTING_INTERVAL_MS = 1_000
URGENT_LISTING_INTERVAL_MS = 400
STOP_MS = (50, 900)
GPUS_PER_TASK = (1, 2, 4, 8, 8)
ORGANISATIONS = 8
HEAVY = "o0"
CORES_PER_GPU = 8


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of job; ``rate`` is in jobs a second and a hundred endpoints.

    Durations are lognormal around ``work_ms``, sizes around ``tasks``; the estimate is
    off by up to ``estimate_error`` either way.
    """

    queue: str
    priority: int
    rate: float
    tasks: float
    tasks_max: int
    work_ms: float
    spread: float
    cores: float
    slack_factor: float
    latency_ms: int
    worth: float
    worth_late: float
    gang_share: float
    gpus: tuple[int, ...]
    failing_share: float
    estimate_error: float
    checkpointing_share: float = 0.0


KINDS = (
    Kind(
        "urgent", 0, 2.0, 5, 32, 2_500, 0.5, 4, 1.5, 250, 4, 0.8, 1.0, GPUS_PER_TASK,
        0.05, 0.5,
    ),
    Kind(
        "posting", 1, 0.8, 13, 76, 6_800, 0.3, 13, 3.0, 1_000, 3, 0.3, 0.9,
        GPUS_PER_TASK, 0.02, 0.9, 0.45,
    ),
    Kind(
        "batch", 2, 0.8, 45, 230, 6_100, 0.3, 3, 3.0, 3_000, 1, 0.1, 0.0, (1,), 0.05,
        0.9, 0.45,
    ),
)  # fmt: skip


class _Run:
    """One run of a task on a simulated endpoint."""

    def __init__(self, order: StartTask, job: Arrival, now_ms: int, speed: float):
        self.order = order
        self.job = job
        self.began_ms = now_ms
        self.length_ms = job.work_ms_by_task[order.task] / speed
        self.end_ms = now_ms + self.length_ms

    def percent(self, now_ms: int) -> int:
        return min(99, int(100 * (now_ms - self.began_ms) / self.length_ms))


class Arrival:
    """A job with its true durations, and what became of it."""

    def __init__(self, kind: Kind, spec: JobSpec, work_ms_by_task, is_failing: bool):
        self.kind = kind
        self.spec = spec
        self.work_ms_by_task = work_ms_by_task
        self.is_failing = is_failing
        self.first_start_ms: int | None = None
        self.ended_ms: int | None = None
        self.open_tasks = set(work_ms_by_task)

    @property
    def objective_ms(self) -> float:
        """How long the job may take and be on time, on an endpoint of usual speed."""
        longest = max(self.work_ms_by_task.values())
        return longest * self.kind.slack_factor + self.kind.latency_ms

    def worth(self) -> float:
        """What the job is worth to its caller, of ``kind.worth``."""
        if self.ended_ms is None:
            return 0.0
        took_ms = self.ended_ms - self.spec.accepted_wall_ms
        if took_ms <= self.objective_ms:
            return self.kind.worth
        return self.kind.worth_late if took_ms <= 3 * self.objective_ms else 0.0


def draw_arrivals(
    seed: int, endpoints: int, seconds: float, load: float, kinds=KINDS
) -> list[Arrival]:
    """Return the jobs of a day, in the order of their arrival."""
    arrivals: list[Arrival] = []
    for kind in kinds:
        draw = random.Random(f"{seed}/{kind.queue}")
        at_s = 0.0
        while True:
            at_s += draw.expovariate(kind.rate * load * endpoints / 100)
            if at_s > seconds:
                break
            arrivals.append(_draw_job(draw, kind, int(1000 * at_s), len(arrivals)))
    return sorted(arrivals, key=lambda job: (job.spec.accepted_wall_ms, job.spec.id))


def _draw_job(draw: random.Random, kind: Kind, at_ms: int, number: int) -> Arrival:
    def lognormal(mean: float, spread: float) -> float:
        return draw.lognormvariate(math.log(mean) - spread**2 / 2, spread)

    count = max(1, min(kind.tasks_max, round(lognormal(kind.tasks, 0.8))))
    usual_ms = lognormal(kind.work_ms, kind.spread)
    is_gang = count > 1 and draw.random() < kind.gang_share
    error = draw.uniform(-kind.estimate_error, kind.estimate_error)
    step = Step(
        count,
        Resources(int(1000 * kind.cores), 2_000, draw.choice(kind.gpus)),
        int(usual_ms * (1 + error)),
        is_gang=is_gang,
        is_checkpointing=draw.random() < kind.checkpointing_share,
    )
    job_id = f"{kind.priority}{number:015x}"
    spec = JobSpec(
        job_id,
        kind.queue,
        "pool",
        f"o{draw.randrange(ORGANISATIONS)}",
        "",
        (step,),
        at_ms,
    )
    work_ms_by_task = {
        f"{job_id}.0.0.{n}": usual_ms * draw.uniform(0.85, 1.15) for n in range(count)
    }
    is_failing = draw.random() < kind.failing_share
    return Arrival(kind, spec, work_ms_by_task, is_failing)


def give_to_heavy(arrivals: list[Arrival], seed: int, share: float) -> None:
    """Have one organisation send this share of the jobs, and the others the rest."""
    draw = random.Random(f"{seed}/organisations")
    for job in arrivals:
        number = draw.randrange(1, ORGANISATIONS)
        name = HEAVY if draw.random() < share else f"o{number}"
        job.spec = replace(job.spec, organisation=name)


class _SimulatedEndpoint:
    def __init__(self, name: str, speed: float):
        self.name = name
        self.speed = speed
        self.runs: dict[str, _Run] = {}
        self.finished: list[FinishedRun] = []
        self.ends = itertools.count(1)

    def end(self, task: str, end: RunEnd) -> None:
        run = self.runs.pop(task)
        self.finished.append(FinishedRun(next(self.ends), task, run.order.run, end, ""))


class SimulatedPolicy:
    """A policy service that allows each step on a share of the endpoints.

    Tickets are valid from the question on.
    """

    def __init__(self, terms: AdviceTerms, approved_share: float = 1.0):
        self.terms = terms
        self._approved_share = approved_share
        self._question_count = 0
        self._endpoint_count = 0
        self._refused_count = 0

    def tickets(self, question: OpenQuestion, asked_ms: int) -> dict[str, str]:
        """Return the tickets for a question, which hold the time of their end."""
        self._question_count += 1
        self._endpoint_count += len(question.started_wall_ms_by_id)
        ticket = str(asked_ms + question.terms.valid_ms)
        return {
            endpoint_id: ticket
            for endpoint_id in question.started_wall_ms_by_id
            if self._is_approved(question.step, endpoint_id)
        }

    def is_valid(self, ticket: str, now_ms: int) -> bool:
        """Whether an endpoint takes a ticket; counts those that are refused."""
        is_valid = bool(ticket) and now_ms < int(ticket)
        self._refused_count += not is_valid
        return is_valid

    def result(self) -> dict:
        """Return the questions, the endpoints named, and the refused starts."""
        return {
            "questions": self._question_count,
            "endpoints_asked": self._endpoint_count,
            "tickets_refused": self._refused_count,
        }

    def _is_approved(self, step: str, endpoint_id: str) -> bool:
        draw = random.Random(f"{step}/{endpoint_id}")
        return draw.random() < self._approved_share


class FleetDay:
    """Plays arrivals against a scheduler; ``result`` tells what came of them."""

    def __init__(
        self,
        arrivals: list[Arrival],
        endpoints: int,
        guaranteed_gpus: int = 104,
        make_scheduler: Callable[..., Scheduler] = Scheduler,
        heavy_guarantee: int = 1,
        speeds: Sequence[float] = SPEEDS,
        policy: SimulatedPolicy | None = None,
    ):
        self.arrivals = arrivals
        self.policy = policy
        self.speeds = speeds
        self.job_by_id = {job.spec.id: job for job in arrivals}
        self.table = JobTable()
        queues = tuple(
            Queue(
                kind.queue, "h", f"/{kind.queue}/", "pool", kind.priority, 4,
                kind.slack_factor, kind.latency_ms,
                advice=policy.terms if policy else None,
            )
            for kind in {job.kind.queue: job.kind for job in arrivals}.values()
        )  # fmt: skip
        share = guaranteed_gpus * endpoints // 270
        organisations = tuple(
            GuaranteedOrganisation(
                f"o{n}", frozenset(), share * (1 if n else heavy_guarantee)
            )
            for n in range(ORGANISATIONS)
        )
        configuration = ServiceConfiguration(
            1, queues, {"pool": EndpointService("pool")}, organisations
        )
        self.scheduler = make_scheduler(1, self.table, configuration)
        self.endpoint_by_id: dict[str, _SimulatedEndpoint] = {}
        for n in range(endpoints):
            self._add_endpoint(n)
        self.draw = random.Random(7)
        self.now_ms = 0
        self.events: list = []
        self.numbers = itertools.count()
        self.thrown_away_core_s = 0.0
        self.ends: Counter[str] = Counter()
        self.plan_s = 0.0
        self.listing_count = 0
        self.plan_count = 0
        self.is_plan_due = False
        self.actions: list = []

    def _add_endpoint(self, n: int) -> None:
        name = f"e{n:03d}"
        rack = f"r{n // ENDPOINTS_PER_RACK}"
        self.endpoint_by_id[name] = _SimulatedEndpoint(
            name, self.speeds[n % len(self.speeds)]
        )
        info = EndpointInfo(name, "pool", name, "dc", ENDPOINT, ("a", rack))
        self.scheduler.endpoint_updated(info, 0)
        self.scheduler.listing_received(EndpointListing(name, 1, 0), 0, 0)

    def at(self, at_ms: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self.events, (at_ms, next(self.numbers), action))

    def run(self, seconds: float) -> None:
        """Play the day, and ``seconds`` from its start on end it."""
        for job in self.arrivals:
            self.at(job.spec.accepted_wall_ms, lambda job=job: self._submit(job))
        for n, endpoint in enumerate(self.endpoint_by_id.values()):
            self._list_later(endpoint, LISTING_INTERVAL_MS * (n % 50) / 50)
        while self.events and self.events[0][0] <= 1000 * seconds:
            at_ms, _, action = heapq.heappop(self.events)
            self.now_ms = math.ceil(at_ms)
            action()
            if not self.is_plan_due:
                self.is_plan_due = True
                self.at(self.now_ms + PLAN_GAP_MS, self._plan)

    def _plan(self) -> None:
        self.is_plan_due = False
        began = time.process_time()
        self.scheduler.plan(self.now_ms, self.now_ms)
        self.plan_s += time.process_time() - began
        self.plan_count += 1
        self._carry_out()

    def _carry_out(self) -> None:
        for action in self.scheduler.take_actions():
            self.actions.append(action)
            if isinstance(action, StartTask):
                self.at(
                    self.now_ms + ORDER_DELAY_MS,
                    lambda order=action: self._start(order),
                )
            elif isinstance(action, StopTask):
                delay_ms = ORDER_DELAY_MS + self.draw.uniform(*STOP_MS)
                self.at(self.now_ms + delay_ms, lambda stop=action: self._stop(stop))
            elif isinstance(action, AskAdvice):
                self._ask(action.question)

    def _ask(self, question: OpenQuestion) -> None:
        asked_ms, terms = self.now_ms, question.terms
        answer_ms = terms.answer_ms(len(question.started_wall_ms_by_id))

        def answer() -> None:
            ticket_by_id = self.policy.tickets(question, asked_ms)
            self.scheduler.advice_received(
                question, ticket_by_id, terms.valid_ms, asked_ms, self.now_ms
            )

        self.at(asked_ms + answer_ms, answer)

    def _submit(self, job: Arrival) -> None:
        self.table.apply(JobSubmitted(job.spec))
        self.scheduler.job_changed(job.spec.id, self.now_ms, self.now_ms)

    def _start(self, order: StartTask) -> None:
        if not self.scheduler.is_still_ordered(order):
            return
        if self.policy and not self.policy.is_valid(order.ticket, self.now_ms):
            self.scheduler.start_answered(
                order.endpoint_id, order.task, order.run, StartOutcome.NO_TICKET,
                False, self.now_ms, self.now_ms,
            )  # fmt: skip
            self._carry_out()
            return
        job = self.job_by_id[order.unit_key.job_id]
        endpoint = self.endpoint_by_id[order.endpoint_id]
        run = endpoint.runs[order.task] = _Run(order, job, self.now_ms, endpoint.speed)
        if job.first_start_ms is None:
            job.first_start_ms = self.now_ms
        self.scheduler.start_answered(
            order.endpoint_id, order.task, order.run, StartOutcome.STARTED, False,
            self.now_ms, self.now_ms,
        )  # fmt: skip
        self._carry_out()
        if job.spec.steps[0].is_gang:
            self._end_gang_later(job, order.run)
        else:
            self.at(run.end_ms, lambda: self._end_run(endpoint, run))

    def _end_run(self, endpoint: _SimulatedEndpoint, run: _Run) -> None:
        task = run.order.task
        if endpoint.runs.get(task) is not run:
            return
        fails = run.job.is_failing and run.order.run == 1
        self._end(endpoint, task, RunEnd.FAILED if fails else RunEnd.DONE)

    def _gang(self, job: Arrival, number: int) -> list[tuple[_SimulatedEndpoint, _Run]]:
        return [
            (endpoint, run)
            for endpoint in self.endpoint_by_id.values()
            for run in endpoint.runs.values()
            if run.job is job and run.order.run == number
        ]

    def _end_gang_later(self, job: Arrival, number: int) -> None:
        members = self._gang(job, number)
        if len(members) < job.spec.steps[0].count:
            return
        end_ms = max(run.end_ms for _, run in members)
        if job.is_failing and number == 1:
            end_ms = (self.now_ms + end_ms) / 2
        self.at(end_ms, lambda: self._end_gang(job, number))

    def _end_gang(self, job: Arrival, number: int) -> None:
        members = self._gang(job, number)
        if len(members) < job.spec.steps[0].count:
            return
        fails = job.is_failing and number == 1
        for index, (endpoint, run) in enumerate(members):
            end = RunEnd.DONE
            if fails:
                end = RunEnd.BROKEN if index else RunEnd.FAILED
            self._end(endpoint, run.order.task, end)

    def _stop(self, stop: StopTask) -> None:
        endpoint = self.endpoint_by_id[stop.endpoint_id]
        run = endpoint.runs.get(stop.task)
        self.scheduler.stop_confirmed(
            stop.endpoint_id, stop.task, stop.run, self.now_ms
        )
        if run is not None and run.order.run == stop.run:
            self._end(endpoint, stop.task, RunEnd.STOPPED)

    def _end(self, endpoint: _SimulatedEndpoint, task: str, end: RunEnd) -> None:
        run = endpoint.runs[task]
        job = run.job
        self.ends[end.value] += 1
        if end is RunEnd.DONE:
            job.open_tasks.discard(task)
            if not job.open_tasks and job.ended_ms is None:
                job.ended_ms = self.now_ms
        else:
            request = job.spec.steps[0].request
            cores = request.cpu_milli / 1000 + CORES_PER_GPU * request.gpus
            lost_ms = self.now_ms - run.began_ms
            if job.spec.steps[0].is_checkpointing:
                lost_ms = min(lost_ms, 750)
            self.thrown_away_core_s += cores * lost_ms / 1000
        endpoint.end(task, end)
        self.at(self.now_ms + 4, lambda: self._list(endpoint))

    def _list_later(self, endpoint: _SimulatedEndpoint, delay_ms: float) -> None:
        def list_and_repeat() -> None:
            self._list(endpoint)
            self.listing_count += 1
            need = self.scheduler.listing_need(endpoint.name, self.now_ms)
            is_urgent = need is ListingNeed.FRESH_URGENT
            self._list_later(
                endpoint,
                URGENT_LISTING_INTERVAL_MS if is_urgent else LISTING_INTERVAL_MS,
            )

        self.at(self.now_ms + delay_ms, list_and_repeat)

    def _list(self, endpoint: _SimulatedEndpoint) -> None:
        rows = tuple(
            RunningTask(task, run.order.run, "", run.percent(self.now_ms))
            for task, run in endpoint.runs.items()
        )
        finished, endpoint.finished = tuple(endpoint.finished), []
        listing = EndpointListing(endpoint.name, 1, self.now_ms, rows, finished)
        self.scheduler.listing_received(listing, self.now_ms, self.now_ms)
        self._carry_out()

    def result(self) -> dict:
        """Return the figures of the day, by queue."""
        by_queue: dict[str, list[Arrival]] = defaultdict(list)
        for job in self.arrivals:
            by_queue[job.kind.queue].append(job)
        return {
            "worth": round(self._worth(self.arrivals), 3),
            "queues": {queue: self._figures(jobs) for queue, jobs in by_queue.items()},
            "thrown_away_core_s": round(self.thrown_away_core_s),
            "ends": dict(self.ends),
            "listings": self.listing_count,
            "heavy": self._figures(
                [job for job in self.arrivals if job.spec.organisation == HEAVY]
            ),
            "others": self._figures(
                [job for job in self.arrivals if job.spec.organisation != HEAVY]
            ),
            "plan_s": round(self.plan_s, 2),
            "plan_count": self.plan_count,
        } | (self.policy.result() if self.policy else {})

    @staticmethod
    def _worth(jobs: list[Arrival]) -> float:
        return sum(job.worth() for job in jobs) / sum(job.kind.worth for job in jobs)

    def _figures(self, jobs: list[Arrival]) -> dict:
        waits = sorted(
            (self.now_ms if job.first_start_ms is None else job.first_start_ms)
            - job.spec.accepted_wall_ms
            for job in jobs
        )
        return {
            "jobs": len(jobs),
            "worth": round(self._worth(jobs), 3),
            "on_time": round(
                sum(job.worth() == job.kind.worth for job in jobs) / len(jobs), 3
            ),
            "wait_ms": [waits[int(len(waits) * share)] for share in (0.5, 0.9, 0.99)],
        }


def kinds_with_errors(errors: Mapping[str, float]) -> tuple[Kind, ...]:
    """Return the kinds with the errors of their estimates replaced, by queue."""
    return tuple(
        replace(kind, estimate_error=errors.get(kind.queue, kind.estimate_error))
        for kind in KINDS
    )


def play(
    seed: int,
    endpoints: int,
    seconds: float,
    load: float,
    burst: float = 1.0,
    heavy_share: float | None = None,
    heavy_guarantee: int = 1,
    speeds: Sequence[float] = SPEEDS,
    kinds: Sequence[Kind] = KINDS,
    policy: SimulatedPolicy | None = None,
) -> FleetDay:
    """Play one day; in its second quarter urgent jobs come ``burst`` times as often."""
    arrivals = draw_arrivals(seed, endpoints, seconds, load, kinds)
    if burst > 1:
        more = draw_arrivals(seed + 1, endpoints, seconds, load * (burst - 1), kinds)
        begin, end = 250 * seconds, 500 * seconds
        known = {job.spec.id for job in arrivals}
        arrivals += [
            job
            for job in more
            if job.kind.priority == 0
            and begin <= job.spec.accepted_wall_ms < end
            and job.spec.id not in known
        ]
        arrivals.sort(key=lambda job: (job.spec.accepted_wall_ms, job.spec.id))
    if heavy_share is not None:
        give_to_heavy(arrivals, seed, heavy_share)
    day = FleetDay(
        arrivals,
        endpoints,
        heavy_guarantee=heavy_guarantee,
        speeds=speeds,
        policy=policy,
    )
    day.run(seconds + 30)
    return day


def _error_of_queue(text: str) -> tuple[str, float]:
    queue, _, share = text.partition("=")
    if queue not in {kind.queue for kind in KINDS}:
        raise argparse.ArgumentTypeError(f"unknown queue {queue!r}")
    return queue, float(share)


def main() -> None:
    """Print the figures of one day for each seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, nargs="+", default=[1])
    parser.add_argument("--endpoints", type=int, default=90)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--burst", type=float, default=1.0)
    parser.add_argument("--heavy-share", type=float)
    parser.add_argument(
        "--heavy-guarantee", type=int, default=1, help="times that of the others"
    )
    parser.add_argument(
        "--without",
        choices=sorted(MECHANISMS),
        nargs="+",
        default=[],
        help="mechanisms that are switched off",
    )
    parser.add_argument(
        "--speeds", type=float, nargs="+", default=SPEEDS, help="dealt in turn"
    )
    parser.add_argument(
        "--estimate-error",
        type=_error_of_queue,
        nargs="+",
        default=[],
        metavar="QUEUE=SHARE",
        help="largest relative error of a queue's estimates, below 1",
    )
    parser.add_argument(
        "--advice",
        type=int,
        nargs=3,
        metavar=("DECISION_MS", "PER_ENDPOINT_MS", "VALID_MS"),
        help="figures of a policy service",
    )
    parser.add_argument(
        "--approved-share", type=float, default=1.0, help="of the endpoints, by step"
    )
    options = parser.parse_args()
    for name in options.without:
        switch_off(name)
    kinds = kinds_with_errors(dict(options.estimate_error))
    for seed in options.seed:
        policy = None
        if options.advice:
            policy = SimulatedPolicy(
                AdviceTerms(*options.advice), options.approved_share
            )
        day = play(
            seed,
            options.endpoints,
            options.seconds,
            options.load,
            options.burst,
            heavy_share=options.heavy_share,
            heavy_guarantee=options.heavy_guarantee,
            speeds=options.speeds,
            kinds=kinds,
            policy=policy,
        )
        print(json.dumps({"seed": seed} | day.result()))


if __name__ == "__main__":
    main()
