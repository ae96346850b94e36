"""Compares placement policies on the same arrivals, or measures decision times.

    python -m benchmarks.placement --deployment agency --seed 1
    python -m benchmarks.placement --scaling

The first prints one JSON line a policy, the second one a size of the pool.
"""

from __future__ import annotations

import json
import time
from dataclasses import replace

from absl import app, flags

from ragwortshelf.core.model import (
    Adjacency,
    Configuration,
    DataCentre,
    Organisation,
    Rack,
)

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


def completion_bound_s(deployment: Deployment, workload: Workload) -> float:
    """Return the mean completion of the same work on a pool without fragmentation.

    The pool is one worker that holds all accelerators and never fails, so any free
    accelerators will do. The least mean over all three policies is taken.
    """
    configuration = deployment.configuration()
    accelerators = sum(
        data_centre.accelerators
        for data_centre in configuration.data_centres_by_name.values()
    )
    rack = Rack("rack", ("all",), accelerators)
    merged = Configuration(
        1,
        {name: Organisation(name) for name in configuration.organisations_by_name},
        {"dc": DataCentre("dc", "", (rack,))},
        configuration.rules_by_name,
    )
    jobs = tuple(
        replace(job, spec=replace(job.spec, adjacency=Adjacency.WORKER))
        for job in workload.jobs
        if not job.fails_everywhere
    )
    whole = Workload(jobs, (), ())
    return min(
        simulate(merged, whole, policy).columns()["completion_mean_s"]
        for policy in (FirstComePolicy, BackfillPolicy, OurPolicy)
    )


def main(argv: list[str]) -> None:
    """Print the lines."""
    del argv
    if _SCALING.value:
        for line in measure_scaling(time.perf_counter):
            print(json.dumps(line), flush=True)
        return
    deployment = DEPLOYMENTS[_DEPLOYMENT.value]
    workload = Workload.generate(deployment, _SEED.value)
    bound_s = completion_bound_s(deployment, workload)
    for policy in (OurPolicy, FirstComePolicy, BackfillPolicy):
        measured = simulate(deployment.configuration(), workload, policy)
        line = {
            "deployment": deployment.name,
            "seed": _SEED.value,
            "policy": policy.name,
            **measured.columns(),
            "completion_bound_s": bound_s,
        }
        print(json.dumps(line), flush=True)


if __name__ == "__main__":
    app.run(main)
