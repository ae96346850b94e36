"""Decision time by the number of workers, organisations and waiting jobs."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from ragwortshelf.core.model import (
    Adjacency,
    Configuration,
    DataCentre,
    JobSpec,
    Organisation,
    Rack,
    Shape,
)
from ragwortshelf.core.placement import DataCentreScheduler, Place

__all__ = ["measure_scaling"]

WORKERS = (24, 140, 830)
ORGANISATIONS = (4, 390)
WORKERS_PER_RACK = 8
ACCELERATORS_PER_WORKER = 2
ROUNDS = 60
BURST_JOBS = 10_000


def measure_scaling(clock: Callable[[], float]) -> Iterator[dict]:
    """Yield a line per size, and slopes of the time over the number of workers."""
    for organisations in ORGANISATIONS:
        points = []
        for workers in WORKERS:
            line = _measure(workers, organisations, clock)
            points.append((workers, line["decision_mean_ms"]))
            yield line
        (low, low_ms), (high, high_ms) = points[0], points[-1]
        yield {
            "organisations": organisations,
            "slope_log_log": round(
                math.log(high_ms / low_ms) / math.log(high / low), 3
            ),
            "slope_us_per_worker": round(1_000 * (high_ms - low_ms) / (high - low), 3),
        }
    for jobs in (BURST_JOBS // 10, BURST_JOBS):
        yield _burst(jobs, clock)


def _configuration(workers: int, organisations: int) -> Configuration:
    racks = tuple(
        Rack(
            f"r{start}",
            tuple(f"w{i}" for i in range(start, min(start + 8, workers))),
            ACCELERATORS_PER_WORKER,
        )
        for start in range(0, workers, WORKERS_PER_RACK)
    )
    # Half of the pool is guaranteed, in groups of 2 that are divided equally. If there
    # are more organisations than groups, only the first ones get one group each.
    guaranteed = workers * ACCELERATORS_PER_WORKER // 2
    shapes_per_organisation = max(1, guaranteed // 2 // organisations)
    guaranteed_organisations = min(organisations, guaranteed // 2)
    by_name = {}
    for number in range(organisations):
        shape = Shape("dc", 2, Adjacency.WORKER, shapes_per_organisation)
        shapes = (shape,) if number < guaranteed_organisations else ()
        by_name[f"o{number}"] = Organisation(f"o{number}", guarantees=shapes)
    data_centre = DataCentre("dc", "", racks)
    return Configuration(1, by_name, {"dc": data_centre})


def _scheduler(workers: int, organisations: int) -> DataCentreScheduler:
    configuration = _configuration(workers, organisations)
    scheduler = DataCentreScheduler("dc")
    scheduler.set_configuration(configuration, 0)
    for rack in configuration.data_centres_by_name["dc"].racks:
        for worker in rack.workers:
            scheduler.set_worker(worker, rack.name, ACCELERATORS_PER_WORKER, 0)
    return scheduler


def _spec(number: int, organisations: int) -> JobSpec:
    is_reclaimable = number % 4 != 0
    return JobSpec(
        f"j{number}",
        f"o{number % organisations}",
        "dc",
        (1, 2, 1, 8)[number % 4] if is_reclaimable else 2,
        (Adjacency.WORKER, Adjacency.WORKER, Adjacency.RACK, Adjacency.RACK)[
            number % 4
        ],
        is_idempotent=is_reclaimable,
        is_checkpointable=is_reclaimable,
        declared_run_ms=60_000,
    )


def _measure(workers: int, organisations: int, clock: Callable[[], float]) -> dict:
    """Measure decisions after the end of a job, on a full pool with a queue."""
    scheduler = _scheduler(workers, organisations)
    number = 0
    running: list[str] = []
    for number in range(2 * workers * ACCELERATORS_PER_WORKER):
        scheduler.add_waiting(_spec(number, organisations), 0)
    _decide(scheduler, 0, running)
    times_ms = []
    for round_number in range(ROUNDS):
        now_ms = 1_000 * (round_number + 1)
        ended = running.pop(0)
        number += 1
        start = clock()
        scheduler.remove(ended, now_ms)
        scheduler.add_waiting(_spec(number, organisations), now_ms)
        actions = scheduler.decide(now_ms)
        times_ms.append(1_000 * (clock() - start))
        _apply_placements(scheduler, actions, now_ms, running)
    return {
        "workers": workers,
        "organisations": organisations,
        "decision_mean_ms": round(sum(times_ms) / len(times_ms), 4),
        "decision_max_ms": round(max(times_ms), 4),
    }


def _decide(scheduler: DataCentreScheduler, now_ms: int, running: list[str]) -> None:
    _apply_placements(scheduler, scheduler.decide(now_ms), now_ms, running)


def _apply_placements(
    scheduler: DataCentreScheduler, actions: tuple, now_ms: int, running: list[str]
) -> None:
    for action in actions:
        if isinstance(action, Place):
            scheduler.set_running(action.spec, action.grants, now_ms)
            running.append(action.spec.job_id)


def _burst(jobs: int, clock: Callable[[], float]) -> dict:
    """Measure a burst of jobs, half of them cancelled and the rest run to the end."""
    organisations = 4
    scheduler = _scheduler(140, organisations)
    running: list[str] = []
    start = clock()
    for number in range(jobs):
        scheduler.add_waiting(_spec(number, organisations), 0)
    _decide(scheduler, 0, running)
    for number in range(0, jobs, 2):
        if f"j{number}" not in running:
            scheduler.remove(f"j{number}", 1)
    now_ms = 1
    while running:
        now_ms += 1_000
        ended = list(running)
        running.clear()
        for job_id in ended:
            scheduler.remove(job_id, now_ms)
        _decide(scheduler, now_ms, running)
    total_s = clock() - start
    return {
        "burst_jobs": jobs,
        "total_s": round(total_s, 3),
        "per_job_us": round(1e6 * total_s / jobs, 1),
    }
