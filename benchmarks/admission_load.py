"""Days of ``fleet_load`` with and without admission control, and what was refused.

Every refused job is looked up in the day without admission control: one that was of use
there was refused wrongly, unless the room came from other refusals.

    python -m benchmarks.admission_load --load 0.6 1.0 2.0 4.0
"""

from __future__ import annotations

import argparse
import json

from ragwortshelf.core.scheduling.admission import AdmissionControl
from ragwortshelf.core.scheduling.forecast import CapacityReporter
from ragwortshelf.core.scheduling.records import TermHeld

from .fleet_load import Arrival, FleetDay, draw_arrivals


class AdmittedDay(FleetDay):
    """A day whose jobs are submitted to one instance, and are not submitted again."""

    def __init__(self, arrivals: list[Arrival], endpoints: int):
        super().__init__(arrivals, endpoints)
        self.control = AdmissionControl()
        self.reporter = CapacityReporter(1, 0)
        self.refused: list[str] = []
        self.table.apply(TermHeld(1, "i", 0))

    def _plan(self) -> None:
        super()._plan()
        endpoints = self.scheduler.endpoint_by_id.values()
        for record in self.reporter.due_records(endpoints, self.now_ms, self.now_ms):
            self.table.apply(record)

    def _submit(self, job: Arrival) -> None:
        refusal = self.control.decide(
            job.spec,
            self.table,
            self.scheduler.configuration,
            self.now_ms,
            self.now_ms,
        )
        if refusal is not None:
            self.refused.append(job.spec.id)
            return
        self.control.accepted(job.spec, self.now_ms)
        super()._submit(job)


def main() -> None:
    """Print the figures of one day for each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--endpoints", type=int, default=60)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--load", type=float, nargs="+", default=[0.6, 1.0, 2.0, 4.0])
    options = parser.parse_args()
    for load in options.load:
        days = []
        for make_day in (FleetDay, AdmittedDay):
            arrivals = draw_arrivals(
                options.seed, options.endpoints, options.seconds, load
            )
            day = make_day(arrivals, options.endpoints)
            day.run(options.seconds + 30)
            days.append(day)
        before, after = days
        wrongly = [
            job_id for job_id in after.refused if before.job_by_id[job_id].worth() > 0
        ]
        row = {
            "load": load,
            "jobs": len(after.arrivals),
            "refused": len(after.refused),
            "refused_of_use_before": len(wrongly),
            "worth": [day.result()["worth"] for day in days],
            "of_no_use": [sum(job.worth() == 0 for job in d.arrivals) for d in days],
        }
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
