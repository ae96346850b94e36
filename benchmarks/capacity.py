"""Memory per item of state, and memory and processor time of idle instances.

``python -m benchmarks.capacity`` prints JSON lines: the bytes per item of each kind of
state (the slope between two sizes, by ``tracemalloc``), their sum at the two-year size,
and the usage of each instance of the agency deployment, as idle real processes.
"""

from __future__ import annotations

import json
import os
import tempfile
import time
import tracemalloc
from pathlib import Path

from ragwortshelf.core.charging import ChargeLedger
from ragwortshelf.core.jobs import JobLedger
from ragwortshelf.core.model import (
    Adjacency,
    Configuration,
    DataCentre,
    Grant,
    JobPhase,
    JobSpec,
    Organisation,
    Rack,
    Reason,
    UsageReport,
)
from ragwortshelf.core.placement import DataCentreScheduler
from ragwortshelf.core.streams import (
    AttemptClaimed,
    JobAccepted,
    JobEnded,
    UsageRecorded,
)
from ragwortshelf.standins.deployment import Deployment
from ragwortshelf.standins.launcher import Launcher, call, free_ports

DEPLOYMENT = Path(__file__).parent.parent / "deployments" / "agency"
SETTLE_S = 5.0
MEASURE_S = 20.0

# Size expected in two years; the jobs are 1,700 in progress and the ended ones that the
# ledgers keep.
TWO_YEARS = {"jobs": 21_700, "charges": 11_700, "workers": 139, "organisations": 390}


def _job_ledger(count: int) -> JobLedger:
    ledger = JobLedger()
    for number in range(count):
        job_id = f"instance-1.1800000000000.{number}"
        spec = JobSpec(job_id, f"org-{number % 390}", "dc", 8, Adjacency.WORKER)
        grants = (Grant(f"dc-w{number % 139}", tuple(range(8))),)
        boots = ("b" * 12,)
        ledger.apply(JobAccepted(spec, "instance-1"))
        ledger.apply(AttemptClaimed(job_id, 1, "instance-1", "dc", grants, boots, 1))
        reason = Reason.TASK_SUCCEEDED
        ledger.apply(JobEnded(job_id, 1, JobPhase.COMPLETED, reason, "", number))
    return ledger


def _charge_ledger(count: int) -> ChargeLedger:
    ledger = ChargeLedger()
    for number in range(count):
        job_id = f"instance-1.1800000000000.{number}"
        organisation = f"org-{number % 390}"
        reports = tuple(
            UsageReport(organisation, job_id, 1, task, sequence, 1_000)
            for task in range(6)
            for sequence in range(1, 4)
        )
        ledger.apply(UsageRecorded(reports))
    return ledger


def _scheduler_with_organisations(count: int) -> DataCentreScheduler:
    organisations = {f"org-{n}": Organisation(f"org-{n}") for n in range(count)}
    scheduler = DataCentreScheduler("dc")
    scheduler.set_configuration(Configuration(0, organisations), 0)
    return scheduler


def _scheduler_with_workers(count: int) -> DataCentreScheduler:
    names = tuple(f"dc-w{n}" for n in range(count))
    centre = DataCentre("dc", "land", (Rack("dc-r1", names, 2),))
    scheduler = DataCentreScheduler("dc")
    scheduler.set_configuration(Configuration(0, {}, {"dc": centre}), 0)
    for name in names:
        scheduler.set_worker(name, "dc-r1", 2, 0)
        scheduler.set_worker_usable(name, True, "", 0)
    scheduler.decide(0)
    return scheduler


# For each kind of state, its builder and the two sizes that give the slope.
_STATES = {
    "jobs": (_job_ledger, 2_000, 6_000),
    "charges": (_charge_ledger, 1_000, 3_000),
    "workers": (_scheduler_with_workers, 50, 150),
    "organisations": (_scheduler_with_organisations, 100, 300),
}


def _bytes_of(build, count: int) -> int:
    tracemalloc.start()
    state = build(count)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del state
    return size


def measure_states() -> None:
    """Print the bytes per item of each kind of state, and the sum at two-year size."""
    total = 0
    for name, (build, small, large) in _STATES.items():
        slope = (_bytes_of(build, large) - _bytes_of(build, small)) / (large - small)
        bytes_at_size = slope * TWO_YEARS[name]
        total += bytes_at_size
        _print_line(
            "state",
            kind=name,
            bytes_each=round(slope),
            bytes_at_size=round(bytes_at_size),
        )
    _print_line("state_sum", bytes_at_size=round(total))


def measure_instances() -> None:
    """Print memory and processor time of the agency's instances while idle."""
    ports = free_ports(100)
    deployment = Deployment.load(DEPLOYMENT / "deployment.toml", ports=ports)
    note = (DEPLOYMENT / "release.toml").read_text()
    with (
        tempfile.TemporaryDirectory() as directory,
        Launcher(deployment, Path(directory)) as launcher,
    ):
        launcher.start_platform()
        names = list(deployment.api_address_by_instance)
        for name in names:
            launcher.start_instance(name)
        for name in names:
            launcher.wait_live(name)
        address = deployment.api_address_by_instance[names[0]]
        call(address, "POST", "/v1/releases", {"note": note})
        time.sleep(SETTLE_S)
        before = {name: _cpu_s(launcher, name) for name in names}
        time.sleep(MEASURE_S)
        for name in names:
            cpu_s = _cpu_s(launcher, name) - before[name]
            _print_line(
                "instance_at_rest",
                instance=name,
                cpu_percent=round(100 * cpu_s / MEASURE_S, 2),
                resident_bytes=_resident_bytes(launcher, name),
            )


def _cpu_s(launcher: Launcher, name: str) -> float:
    pid = launcher.process_by_name[name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_bytes(launcher: Launcher, name: str) -> int:
    pid = launcher.process_by_name[name].pid
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def _print_line(measure: str, **fields) -> None:
    print(json.dumps({"measure": measure, **fields}), flush=True)


if __name__ == "__main__":
    measure_states()
    measure_instances()
