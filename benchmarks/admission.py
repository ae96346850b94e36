"""Processor time of an admission decision, and the size of the capacity's record.

Run ``python -m benchmarks.admission``. It prints microseconds of processor time on this
machine; an instance with 0.4 of a core takes 2.5 times as long.
"""

from __future__ import annotations

import argparse
import time

from ragwortshelf.core.scheduling import JobSpec, JobTable, Resources, Step
from ragwortshelf.core.scheduling.admission import AdmissionControl
from ragwortshelf.core.scheduling.configuration import (
    GuaranteedOrganisation,
    Queue,
    ServiceConfiguration,
)
from ragwortshelf.core.scheduling.model import UnitKey, UnitPhase
from ragwortshelf.core.scheduling.record_codec import encode_record
from ragwortshelf.core.scheduling.records import (
    JobSubmitted,
    ServiceCapacity,
    TermHeld,
    UnitRecord,
)

GPUS = 1_408
WALL_MS = 1_700_000_000_000


def main() -> None:
    """Measure with the given number of organisations and open units."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--organisations", type=int, default=10)
    parser.add_argument("--units", type=int, default=2_000)
    parser.add_argument("--repeats", type=int, default=300)
    arguments = parser.parse_args()
    table = _make_table(arguments.organisations, arguments.units)
    configuration = _make_configuration(arguments.organisations)
    specs = [_make_job(f"{n:016x}", n, arguments.organisations) for n in range(64)]
    key, value = encode_record(table.capacity_by_service["pool"])
    print(f"record: {len(key) + len(value)} bytes")
    control = AdmissionControl()
    for name, step_ms in (("new forecast", 250), ("same forecast", 0)):
        took_us = []
        outcomes = 0
        for repeat in range(arguments.repeats):
            now_ms = (repeat + 1) * step_ms
            spec = specs[repeat % len(specs)]
            began = time.process_time_ns()
            refusal = control.decide(spec, table, configuration, now_ms, WALL_MS)
            took_us.append((time.process_time_ns() - began) / 1_000)
            outcomes += refusal is not None
        took_us.sort()
        print(
            f"{name}: median {took_us[len(took_us) // 2]:.0f} us, "
            f"p99 {took_us[len(took_us) * 99 // 100]:.0f} us, {outcomes} refused"
        )
    print(f"folding a unit record: {_fold_us(table):.1f} us")


def _make_job(job_id: str, number: int, organisations: int, count: int = 8) -> JobSpec:
    step = Step(count, Resources(1_000, 1_000, 1), 6_000)
    name = f"o{number % organisations}"
    return JobSpec(job_id, f"p{number % 3}", "pool", name, "", (step,))


def _make_configuration(organisations: int) -> ServiceConfiguration:
    return ServiceConfiguration(
        1,
        tuple(Queue(f"p{p}", "h", f"/p{p}/", "pool", p, 3, 3.0, 250) for p in range(3)),
        {},
        tuple(GuaranteedOrganisation(f"o{n}") for n in range(organisations)),
    )


def _make_table(organisations: int, units: int) -> JobTable:
    """Return a table with placed tasks on all accelerators, and 100 s of waiting."""
    table = JobTable()
    table.apply(TermHeld(1, "i", WALL_MS))
    capacity = Resources(GPUS * 8_000, GPUS * 8_000, GPUS)
    table.apply(ServiceCapacity("pool", 1, WALL_MS, capacity))
    for number in range(units // 8):
        job_id = f"open-{number}"
        table.apply(JobSubmitted(_make_job(job_id, number, organisations)))
        if number < GPUS // 8:
            for member in range(8):
                key = UnitKey(job_id, 0, 0, member)
                table.apply(UnitRecord(key, 1, UnitPhase.PLACED, 1))
    for number in range(organisations):
        spec = _make_job(
            f"long-{number}", number, organisations, 23_000 // organisations
        )
        table.apply(JobSubmitted(spec))
    return table


def _fold_us(table: JobTable) -> float:
    """Return the time to apply a unit's record, sums included."""
    records = [
        UnitRecord(UnitKey(f"open-{number}", 0, 0, member), 1, phase, 1)
        for phase in (UnitPhase.ENDING, UnitPhase.PLACED)
        for number in range(100)
        for member in range(8)
    ]
    began = time.process_time_ns()
    for record in records:
        table.apply(record)
    return (time.process_time_ns() - began) / 1_000 / len(records)


if __name__ == "__main__":
    main()
