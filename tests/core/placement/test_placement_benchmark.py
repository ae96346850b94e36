"""The placement benchmark agrees with examples calculated by hand."""

from benchmarks.placement import completion_bound_s
from benchmarks.placement_driver import fragmentation, simulate
from benchmarks.placement_policies import FirstComePolicy, SchedulerPolicy
from benchmarks.placement_workload import AGENCY, SimulatedJob, Workload
from ragwortshelf.core.model import Adjacency, JobSpec


def test_fragmentation_of_the_documented_example():
    free = {"rack1": {"a": 8, "b": 4}, "rack2": {"c": 4, "d": 4}}
    # Of 20 free accelerators, 1 of 2 groups of 8 and 0 of 1 group of 16 can be placed;
    # groups of 32 exceed the total and do not count.
    assert fragmentation(free) == (0.5 + 1.0) / 2
    assert fragmentation({"rack1": {"a": 8, "b": 8}}) == 0.0
    assert fragmentation({"rack1": {"a": 4, "b": 3}}) is None


def simulated_job(job_id, accelerators, arrival_ms, run_ms):
    spec = JobSpec(
        job_id, "accounts", "", accelerators, Adjacency.RACK, is_idempotent=True
    )
    return SimulatedJob(spec, "ordinary", arrival_ms, run_ms)


def test_completion_bound_runs_the_shortest_job_first_with_preemption():
    jobs = (
        simulated_job("long", 192, 0, 10_000),
        simulated_job("short", 192, 1_000, 1_000),
    )
    workload = Workload(jobs, (), ())
    # The short job runs for 1 s from its arrival at 1 s; the long one ends at 11 s.
    assert completion_bound_s(AGENCY, workload, {"long", "short"}) == (11 + 1) / 2


def test_policies_complete_the_same_small_workload():
    jobs = tuple(simulated_job(f"j{n}", 16, 100 * n, 5_000) for n in range(30))
    workload = Workload(jobs, (("w11", 1_000, 2_000),), (("w21", 0, 3_000),))
    ids = {job.spec.job_id for job in jobs}
    for policy in (SchedulerPolicy, FirstComePolicy):
        measured = simulate(AGENCY.configuration(), workload, policy)
        assert set(measured.completion_ms_by_id) == ids
        assert min(measured.completion_ms_by_id.values()) >= 5_000
