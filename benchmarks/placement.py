"""Compares placement policies on the same workload, or measures decision times.

    python -m benchmarks.placement --deployment agency --seed 1
    python -m benchmarks.placement --scaling

The first prints one JSON line per policy, the second one per size of the pool.
"""

from __future__ import annotations

import json
import time
from collections.abc import Collection

from absl import app, flags

from .placement_driver import simulate
from .placement_policies import BackfillPolicy, FirstComePolicy, SchedulerPolicy
from .placement_scaling import measure_scaling
from .placement_workload import DEPLOYMENTS, Deployment, Workload

__all__ = ["completion_bound_s", "main"]

_DEPLOYMENT = flags.DEFINE_enum(
    "deployment",
    "agency",
    sorted(DEPLOYMENTS),
    "deployment whose pool and jobs are simulated",
)
_SEED = flags.DEFINE_integer("seed", 1, "seed of arrivals and failures")
_SCALING = flags.DEFINE_bool("scaling", False, "measure decision times instead")


def completion_bound_s(
    deployment: Deployment, workload: Workload, compared_ids: Collection[str]
) -> float:
    """Return the mean completion time of the same jobs on an ideal pool, in seconds.

    The pool is a single worker with all accelerators, so it has no fragmentation. It
    never fails, preempts and resumes jobs at no cost, and knows all run times. The jobs
    with the least remaining work run first, which keeps the mean low.
    """
    configuration = deployment.configuration()
    pool = sum(dc.accelerators for dc in configuration.data_centres_by_name.values())
    arrivals = [job for job in workload.jobs if not job.fails_everywhere]
    remaining_ms_by_id: dict[str, int] = {}
    job_by_id = {job.spec.job_id: job for job in arrivals}
    completions_ms = []
    now_ms = 0
    next_arrival = 0
    while next_arrival < len(arrivals) or remaining_ms_by_id:
        job_ids = sorted(
            remaining_ms_by_id,
            key=lambda i: (remaining_ms_by_id[i] * job_by_id[i].spec.accelerators, i),
        )
        free = pool
        running = []
        for job_id in job_ids:
            if job_by_id[job_id].spec.accelerators <= free:
                free -= job_by_id[job_id].spec.accelerators
                running.append(job_id)
        ends = [now_ms + remaining_ms_by_id[job_id] for job_id in running]
        if next_arrival < len(arrivals):
            ends.append(arrivals[next_arrival].arrival_ms)
        step_ms = min(ends) - now_ms
        now_ms += step_ms
        for job_id in running:
            remaining_ms_by_id[job_id] -= step_ms
            if remaining_ms_by_id[job_id] == 0:
                del remaining_ms_by_id[job_id]
                if job_id in compared_ids:
                    arrival_ms = job_by_id[job_id].arrival_ms
                    completions_ms.append(now_ms - arrival_ms)
        for job_id in list(remaining_ms_by_id):
            cancelled_ms = job_by_id[job_id].cancelled_ms
            if cancelled_ms is not None and cancelled_ms <= now_ms:
                del remaining_ms_by_id[job_id]
        while (
            next_arrival < len(arrivals) and arrivals[next_arrival].arrival_ms <= now_ms
        ):
            job = arrivals[next_arrival]
            remaining_ms_by_id[job.spec.job_id] = job.run_ms
            next_arrival += 1
    return round(sum(completions_ms) / len(completions_ms) / 1_000, 3)


def main(argv: list[str]) -> None:
    """Run the selected benchmark and print its lines."""
    del argv
    if _SCALING.value:
        for line in measure_scaling(time.perf_counter):
            print(json.dumps(line), flush=True)
        return
    deployment = DEPLOYMENTS[_DEPLOYMENT.value]
    workload = Workload.generate(deployment, _SEED.value)
    policies = (SchedulerPolicy, FirstComePolicy, BackfillPolicy)
    measurements_by_policy = {
        policy.name: simulate(deployment.configuration(), workload, policy)
        for policy in policies
    }
    compared_ids = set.intersection(
        *(set(m.completion_ms_by_id) for m in measurements_by_policy.values())
    )
    bound_s = completion_bound_s(deployment, workload, compared_ids)
    for name, measured in measurements_by_policy.items():
        line = {
            "deployment": deployment.name,
            "seed": _SEED.value,
            "policy": name,
            **measured.columns(compared_ids),
            "completion_bound_s": bound_s,
        }
        print(json.dumps(line), flush=True)


if __name__ == "__main__":
    app.run(main)
