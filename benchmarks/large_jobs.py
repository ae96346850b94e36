"""How long one step of the scheduler takes with the largest jobs that are accepted.

``python -m benchmarks.large_jobs`` prints one JSON line per job and step: the processor
time in milliseconds, the lowest of several tries, on 4 endpoints in virtual time. All
work in one step delays the renewal of the term, for which ``term_timeout_ms`` is 1,200;
50 ms is wanted for each step.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator
from dataclasses import replace

from ragwortshelf.core.scheduling import JobSpec, JobTable, Resources, Scheduler, Step
from ragwortshelf.core.scheduling.configuration import (
    EndpointService,
    GuaranteedOrganisation,
    Queue,
    ServiceConfiguration,
)
from ragwortshelf.core.scheduling.listings import (
    EndpointInfo,
    EndpointListing,
    FinishedRun,
    RunEnd,
)
from ragwortshelf.core.scheduling.records import JobCancelled, JobSubmitted

__all__ = ["SPEC_BY_NAME", "STEPS", "measure_ms"]

TRIES = 5
NOW_MS = 1_000_000
JOB_ID = "a" * 16
OTHER_JOB_ID = "b" * 16

CONFIGURATION = ServiceConfiguration(
    1,
    (Queue("q", "h", "/q/", "pool", 1, 3, 2.0, 500),),
    {"pool": EndpointService("pool")},
    (GuaranteedOrganisation("org", frozenset({"key"}), 8),),
)
ENDPOINTS = tuple(
    EndpointInfo(f"e{n}", "pool", f"e{n}", "dc", Resources(32_000, 64_000, 8))
    for n in range(4)
)


def _spec(*steps: Step, occurrences: int = 0, first_run_ms: int = 0) -> JobSpec:
    return JobSpec(
        JOB_ID,
        "q",
        "pool",
        "org",
        "",
        steps,
        NOW_MS,
        occurrences=occurrences,
        first_run_wall_ms=first_run_ms,
    )


def _step(count: int, depends_on: tuple[int, ...] = ()) -> Step:
    return Step(count, Resources(1_000, 1_000, 1), 2_000, depends_on)


SPEC_BY_NAME = {
    "100,000 occurrences of 100 tasks, none due": _spec(
        _step(100), occurrences=100_000, first_run_ms=2 * NOW_MS
    ),
    "100,000 occurrences of 10,000 tasks, all due": _spec(
        _step(10_000), occurrences=100_000
    ),
    "1 step of 10,000 tasks": _spec(_step(10_000)),
    "1 gang of 10,000 tasks": _spec(replace(_step(10_000), is_gang=True)),
    "10,000 lasting tasks": _spec(
        replace(_step(10_000), is_long_running=True, unavailable_max=1)
    ),
    "255 steps of 39 tasks and one that depends on all": _spec(
        *(_step(39) for _ in range(255)), _step(1, tuple(range(255)))
    ),
    "256 steps, each of which depends on all before": _spec(
        *(_step(39, tuple(range(n))) for n in range(256))
    ),
    "100,000 occurrences of 256 steps, all due": _spec(
        *(_step(39, tuple(range(n))) for n in range(256)), occurrences=100_000
    ),
}


def _scheduler(table: JobTable, term: int = 1) -> Scheduler:
    scheduler = Scheduler(term, table, CONFIGURATION)
    for info in ENDPOINTS:
        scheduler.endpoint_updated(info, NOW_MS)
        scheduler.listing_received(EndpointListing(info.id, 1, NOW_MS), NOW_MS, NOW_MS)
    return scheduler


def _submit(scheduler: Scheduler, spec: JobSpec) -> None:
    scheduler.table.apply(JobSubmitted(spec))
    scheduler.job_changed(spec.id, NOW_MS, NOW_MS)


def _accepted(spec: JobSpec) -> Scheduler:
    scheduler = _scheduler(JobTable())
    _submit(scheduler, spec)
    return scheduler


def _planned(spec: JobSpec) -> Scheduler:
    scheduler = _accepted(spec)
    scheduler.plan(NOW_MS, NOW_MS)
    return scheduler


def _accept(spec: JobSpec) -> Callable[[], None]:
    scheduler = _scheduler(JobTable())
    return lambda: _submit(scheduler, spec)


def _plan(spec: JobSpec) -> Callable[[], None]:
    scheduler = _accepted(spec)
    return lambda: scheduler.plan(NOW_MS, NOW_MS)


def _plan_again(spec: JobSpec) -> Callable[[], None]:
    scheduler = _planned(spec)
    return lambda: scheduler.plan(NOW_MS, NOW_MS)


def _accept_other(spec: JobSpec) -> Callable[[], None]:
    scheduler = _planned(spec)
    other = replace(_spec(_step(2)), id=OTHER_JOB_ID)
    return lambda: _submit(scheduler, other)


def _end_run(spec: JobSpec) -> Callable[[], None]:
    """End all runs on one endpoint."""
    scheduler = _planned(spec)
    endpoint = scheduler.endpoint_by_id["e0"]
    rows = tuple(
        FinishedRun(number, placement.task, placement.run, RunEnd.DONE, "")
        for number, placement in enumerate(endpoint.placements(), 1)
    )
    listing = EndpointListing("e0", 1, NOW_MS, (), rows)
    return lambda: scheduler.listing_received(listing, NOW_MS, NOW_MS)


def _cancel(spec: JobSpec) -> Callable[[], None]:
    scheduler = _planned(spec)

    def cancel() -> None:
        scheduler.table.apply(JobCancelled(JOB_ID, NOW_MS))
        scheduler.job_changed(JOB_ID, NOW_MS, NOW_MS)

    return cancel


def _adopt(spec: JobSpec) -> Callable[[], None]:
    table = _planned(spec).table
    successor = Scheduler(2, table, CONFIGURATION)
    return lambda: successor.adopt(NOW_MS, NOW_MS)


def _adopt_cancelled(spec: JobSpec) -> Callable[[], None]:
    scheduler = _planned(spec)
    scheduler.table.apply(JobCancelled(JOB_ID, NOW_MS))
    successor = Scheduler(2, scheduler.table, CONFIGURATION)
    return lambda: successor.adopt(NOW_MS, NOW_MS)


def _configure(spec: JobSpec) -> Callable[[], None]:
    scheduler = _planned(spec)
    newer = replace(CONFIGURATION, version=2)
    return lambda: scheduler.configure(newer)


STEPS: dict[str, Callable[[JobSpec], Callable[[], None]]] = {
    "accept": _accept,
    "plan": _plan,
    "plan again": _plan_again,
    "accept another job": _accept_other,
    "end runs": _end_run,
    "cancel": _cancel,
    "adopt": _adopt,
    "adopt cancelled": _adopt_cancelled,
    "configure": _configure,
}
"""For each step, a function that prepares it for a job and returns it."""


def measure_ms(name: str, spec: JobSpec) -> float:
    """Return the processor time of a step in milliseconds, the lowest of some tries."""
    times_ms = []
    for _ in range(TRIES):
        step = STEPS[name](spec)
        began_s = time.process_time()
        step()
        times_ms.append(1000 * (time.process_time() - began_s))
    return min(times_ms)


def _lines() -> Iterator[str]:
    for job, spec in SPEC_BY_NAME.items():
        for step in STEPS:
            line = {"job": job, "step": step, "ms": round(measure_ms(step, spec), 1)}
            yield json.dumps(line)


if __name__ == "__main__":
    for line in _lines():
        print(line, flush=True)
