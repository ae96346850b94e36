"""Seeded arrivals, failures and cancellations for the placement benchmark."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ragwortshelf.core.model import (
    Adjacency,
    Configuration,
    DataCentre,
    JobSpec,
    Organisation,
    Priority,
    Rack,
    Rule,
    Shape,
)

__all__ = ["DEPLOYMENTS", "Deployment", "JobClass", "SimulatedJob", "Workload"]

WORKERS_PER_RACK = 8
ACCELERATORS_PER_WORKER = 8
LOAD = 0.7  # submitted work, as a share of the pool's capacity


@dataclass(frozen=True, slots=True)
class JobClass:
    """A class of jobs, with its share of the work; ``run_s`` is a range in seconds."""

    name: str
    work_share: float
    sizes: tuple[int, ...]
    adjacency: Adjacency
    run_s: tuple[float, float]
    reclaimable_share: float
    priority: Priority = Priority.NORMAL


@dataclass(frozen=True, slots=True)
class SimulatedJob:
    """A job, with the run time, cancellation and failure that policies don't know."""

    spec: JobSpec
    job_class: str
    arrival_ms: int
    run_ms: int
    cancelled_ms: int | None = None
    fails_everywhere: bool = False


@dataclass(frozen=True, slots=True)
class Deployment:
    """A simulated deployment: classes of jobs, guarantees and placement weights."""

    name: str
    horizon_s: int
    classes: tuple[JobClass, ...]
    shapes_by_organisation: dict[str, tuple[Shape, ...]]
    fragmentation_weight: float
    completion_weight: float

    def configuration(self) -> Configuration:
        """Return the configuration with three data centres of one rack each."""
        data_centres = {}
        for number in range(1, 4):
            workers = tuple(f"w{number}{i}" for i in range(1, WORKERS_PER_RACK + 1))
            rack = Rack(f"rack{number}", workers, ACCELERATORS_PER_WORKER)
            name = f"dc{number}"
            data_centres[name] = DataCentre(name, "region", (rack,))
        organisations = {
            name: Organisation(name, 1, shapes, home_region="region")
            for name, shapes in self.shapes_by_organisation.items()
        }
        weights = {
            "fragmentation_weight": self.fragmentation_weight,
            "completion_weight": self.completion_weight,
        }
        rules = {name: Rule(name, value) for name, value in weights.items()}
        return Configuration(1, organisations, data_centres, rules)


_WORKER = Adjacency.WORKER
_RACK = Adjacency.RACK

AGENCY = Deployment(
    "agency",
    7_200,
    (
        JobClass("quick", 0.08, (1,), _WORKER, (10, 40), 0.3),
        JobClass("ordinary", 0.40, (1, 2, 4, 8), _WORKER, (60, 400), 0.8),
        JobClass("large", 0.50, (16, 16, 32), _RACK, (300, 900), 0.8),
        JobClass("urgent", 0.02, (4, 8), _WORKER, (20, 60), 0.5, Priority.URGENT),
    ),
    {
        "accounts": (Shape("dc1", 32, _RACK), Shape("dc2", 8, _WORKER)),
        "contributions": (Shape("dc2", 32, _RACK), Shape("dc3", 8, _WORKER)),
        "branches": (Shape("dc3", 16, _RACK), Shape("dc1", 8, _WORKER)),
        "partners": (Shape("dc3", 16, _RACK), Shape("dc2", 8, _WORKER)),
    },
    fragmentation_weight=4.0,
    completion_weight=1.0,
)

WORKSHOPS = Deployment(
    "workshops",
    5_400,
    (
        JobClass("quick", 0.06, (1,), _WORKER, (4, 12), 0.0),
        JobClass("ordinary", 0.44, (1, 2, 4), _WORKER, (60, 240), 0.8),
        JobClass("large", 0.48, (8, 16, 32), _RACK, (400, 1_200), 1.0),
        JobClass("urgent", 0.02, (2, 4), _WORKER, (10, 40), 0.5, Priority.URGENT),
    ),
    {
        "pumps": (Shape("dc1", 16, _RACK), Shape("dc2", 8, _WORKER, 2)),
        "trams": (Shape("dc2", 16, _RACK), Shape("dc3", 8, _WORKER, 2)),
        "water": (Shape("dc3", 16, _RACK), Shape("dc1", 8, _WORKER)),
        "planning": (Shape("dc1", 8, _WORKER), Shape("dc2", 8, _WORKER)),
    },
    fragmentation_weight=1.0,
    completion_weight=4.0,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (AGENCY, WORKSHOPS)}


@dataclass(frozen=True, slots=True)
class Workload:
    """All external events, the same for every policy.

    Both kinds of periods are (worker, from, until) in milliseconds. In ``outages`` the
    worker is lost. In ``faulty_periods`` it is up, but every job started on it fails.
    """

    jobs: tuple[SimulatedJob, ...]
    outages: tuple[tuple[str, int, int], ...]
    faulty_periods: tuple[tuple[str, int, int], ...]

    @classmethod
    def generate(cls, deployment: Deployment, seed: int) -> Workload:
        """Return the workload of one seed."""
        rng = random.Random(f"{deployment.name}/{seed}")
        jobs: list[SimulatedJob] = []
        for job_class in deployment.classes:
            jobs += _class_jobs(rng, deployment, job_class)
        jobs.sort(key=lambda job: (job.arrival_ms, job.spec.job_id))
        return cls(
            tuple(_cancel_in_waves(rng, deployment, jobs)),
            _random_periods(rng, deployment, 4, 120_000, 600_000),
            _random_periods(rng, deployment, 1, 600_000, 900_000),
        )


def _class_jobs(
    rng: random.Random, deployment: Deployment, job_class: JobClass
) -> list[SimulatedJob]:
    pool = 3 * WORKERS_PER_RACK * ACCELERATORS_PER_WORKER
    horizon_ms = deployment.horizon_s * 1_000
    remaining = LOAD * job_class.work_share * pool * horizon_ms
    jobs = []
    names = sorted(deployment.shapes_by_organisation)
    while remaining > 0:
        # One arrival in 10 is a burst of 4 jobs of one organisation; in the class of
        # single-accelerator jobs, one in 40 is a burst of 40.
        is_burst = rng.random() < 0.1
        mean_ms = 500 * sum(job_class.run_s)
        burst = 40 if job_class.sizes == (1,) else 4
        arrival_ms = rng.randrange(horizon_ms)
        organisation = rng.choices(names, (4, 3, 2, 1))[0]
        for _ in range(burst if is_burst and rng.random() < 10 / burst else 1):
            number = len(jobs)
            size = rng.choice(job_class.sizes)
            low_s, high_s = job_class.run_s
            run_ms = int(1_000 * rng.uniform(low_s, high_s))
            is_reclaimable = rng.random() < job_class.reclaimable_share
            spec = JobSpec(
                f"{job_class.name}{number}",
                organisation,
                "",
                size,
                job_class.adjacency,
                kind=job_class.name,
                priority=job_class.priority,
                is_idempotent=is_reclaimable or rng.random() < 0.5,
                is_checkpointable=is_reclaimable,
                declared_run_ms=int(run_ms * rng.choice((0.1, 0.5, 1, 3, 10))),
                submitted_wall_ms=arrival_ms,
            )
            fails = rng.random() < 0.003 and job_class.name != "urgent"
            jobs.append(
                SimulatedJob(
                    spec, job_class.name, arrival_ms, run_ms, fails_everywhere=fails
                )
            )
            remaining -= size * min(run_ms, 2 * mean_ms)
    return jobs


def _cancel_in_waves(
    rng: random.Random, deployment: Deployment, jobs: list[SimulatedJob]
) -> list[SimulatedJob]:
    """Add three waves of cancellations.

    Each cancels a third of the jobs that one organisation submitted in the ten minutes
    before.
    """
    names = sorted(deployment.shapes_by_organisation)
    waves = [
        (rng.randrange(deployment.horizon_s * 1_000), rng.choice(names))
        for _ in range(3)
    ]
    result = []
    for job in jobs:
        cancelled_ms = None
        for at_ms, name in waves:
            is_recent = 0 <= at_ms - job.arrival_ms < 600_000
            if job.spec.organisation == name and is_recent and rng.random() < 0.33:
                cancelled_ms = at_ms
        result.append(
            SimulatedJob(
                job.spec,
                job.job_class,
                job.arrival_ms,
                job.run_ms,
                cancelled_ms,
                job.fails_everywhere,
            )
        )
    return result


def _random_periods(
    rng: random.Random, deployment: Deployment, count: int, low_ms: int, high_ms: int
) -> tuple[tuple[str, int, int], ...]:
    periods = []
    for _ in range(count):
        worker = f"w{rng.randint(1, 3)}{rng.randint(1, WORKERS_PER_RACK)}"
        start_ms = rng.randrange(deployment.horizon_s * 1_000)
        periods.append((worker, start_ms, start_ms + rng.randint(low_ms, high_ms)))
    return tuple(periods)
