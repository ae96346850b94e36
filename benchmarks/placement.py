"""Compares placement policies on the same arrivals, or measures decision times.

    python -m benchmarks.placement --deployment agency --seed 1
    python -m benchmarks.placement --scaling

The first prints one JSON line a policy, the second one a size of the pool.
"""

from __future__ import annotations

import json
import time
from collections.abc import Collection

from absl import app, flags

from .placement_driver import simulate
from .placement_policies import BackfillPolicy, FirstComePolicy, OurPolicy
from .placement_scaling import measure_scaling
from .placement_workload import DEPLOYMENTS, Deployment, Workload

__all__ = ["completion_bound_s", "main"]

_DEPLOYMENT = flags.DEFINE_enum(
    "deployment", "agency", sorted(DEPLOYMENTS), "whose pool and jobs are simulated"
)
_SEED = flags.DEFINE_integer("seed", 1, "seed of arrivals and failures")
_SCALING = flags.DEFINE_bool("scaling", False, "measure decision times instead")


def completion_bound_s(
    deployment: Deployment, workload: Workload, compared_ids: Collection[str]
) -> float:
    """Return the mean completion of the same work on a pool without fragmentation.

    The pool is one worker with all accelerators. It never fails, stops and resumes
    jobs at no cost, knows all run times, and serves the jobs with least work left
    first, which is what keeps the mean low.
    """
    configuration = deployment.configuration()
    pool = sum(dc.accelerators for dc in configuration.data_centres_by_name.values())
    arrivals = [job for job in workload.jobs if not job.fails_everywhere]
    left_ms_by_id: dict[str, int] = {}
    job_by_id = {job.spec.job_id: job for job in arrivals}
    completions_ms = []
    now_ms = 0
    position = 0
    while position < len(arrivals) or left_ms_by_id:
        order = sorted(
            left_ms_by_id,
            key=lambda i: (left_ms_by_id[i] * job_by_id[i].spec.accelerators, i),
        )
        free = pool
        running = []
        for job_id in order:
            if job_by_id[job_id].spec.accelerators <= free:
                free -= job_by_id[job_id].spec.accelerators
                running.append(job_id)
        ends = [now_ms + left_ms_by_id[job_id] for job_id in running]
        if position < len(arrivals):
            ends.append(arrivals[position].arrival_ms)
        step_ms = min(ends) - now_ms
        now_ms += step_ms
        for job_id in running:
            left_ms_by_id[job_id] -= step_ms
            if left_ms_by_id[job_id] == 0:
                del left_ms_by_id[job_id]
                if job_id in compared_ids:
                    arrival_ms = job_by_id[job_id].arrival_ms
                    completions_ms.append(now_ms - arrival_ms)
        for job_id in list(left_ms_by_id):
            cancelled_ms = job_by_id[job_id].cancelled_ms
            if cancelled_ms is not None and cancelled_ms <= now_ms:
                del left_ms_by_id[job_id]
        while position < len(arrivals) and arrivals[position].arrival_ms <= now_ms:
            job = arrivals[position]
            left_ms_by_id[job.spec.job_id] = job.run_ms
            position += 1
    return round(sum(completions_ms) / len(completions_ms) / 1_000, 3)


def main(argv: list[str]) -> None:
    """Print the lines."""
    del argv
    if _SCALING.value:
        for line in measure_scaling(time.perf_counter):
            print(json.dumps(line), flush=True)
        return
    deployment = DEPLOYMENTS[_DEPLOYMENT.value]
    workload = Workload.generate(deployment, _SEED.value)
    policies = (OurPolicy, FirstComePolicy, BackfillPolicy)
    measured_by_name = {
        policy.name: simulate(deployment.configuration(), workload, policy)
        for policy in policies
    }
    compared_ids = set.intersection(
        *(set(m.completion_ms_by_id) for m in measured_by_name.values())
    )
    bound_s = completion_bound_s(deployment, workload, compared_ids)
    for name, measured in measured_by_name.items():
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
