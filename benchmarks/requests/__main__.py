"""Prints one JSON line for each policy, load and fault."""

from __future__ import annotations

import argparse
import collections
import json
import random
import time

from hdrh.histogram import HdrHistogram

from ragwortshelf.core.model import Answered, NotRun
from ragwortshelf.daemon.membership import LIST_INTERVAL_MS

from .fakes import ENDPOINT_LATENCY_MS, Clock, FakeEndpoint
from .policies import NaiveInstance, PolicyInstance
from .workload import (
    DATA_CENTRES,
    DEPLOYMENTS,
    ENDPOINTS_PER_DATA_CENTRE,
    INSTANCES_PER_DATA_CENTRE,
    SLOTS,
    arrivals,
)

POLICY_BY_NAME = {"ragwortshelf": PolicyInstance, "naive": NaiveInstance}
LOADS = (0.5, 0.9, 2.0)
FAULTS = ("none", "failed_endpoint", "silent_connections", "dead_instance")
LIST_UPDATE_INTERVAL_MS = LIST_INTERVAL_MS
START_MS = 10_000
WARM_UP_MS = 3_000
FAULT_DELAY_MS = 2_000
SILENT_ENDPOINT_STRIDE = 4
SETTLE_TIMEOUT_MS = 15_000


class Trial:
    """Simulates one policy under one load and one fault."""

    def __init__(self, policy, deployment_name, load, fault, seed, measure_ms):
        self.clock = Clock()
        self.deployment = DEPLOYMENTS[deployment_name]
        self.fault = fault
        self.from_ms = START_MS + WARM_UP_MS
        self.until_ms = self.from_ms + measure_ms
        rng = random.Random(seed)
        self.endpoints = {
            name: FakeEndpoint(self.clock, name)
            for name in (
                f"{dc}-m{index}"
                for dc in DATA_CENTRES
                for index in range(ENDPOINTS_PER_DATA_CENTRE)
            )
        }
        self.instances = [
            POLICY_BY_NAME[policy](
                self.clock,
                self.deployment,
                f"{dc}i{index}",
                dc,
                self.endpoints,
                random.Random(rng.random()),
            )
            for dc in DATA_CENTRES
            for index in range(INSTANCES_PER_DATA_CENTRE)
        ]
        for instance in self.instances:
            instance.peers = {p.name: p for p in self.instances if p is not instance}
        self.arrivals = arrivals(self.deployment, load, START_MS, self.until_ms, seed)
        self.histogram_by_key = collections.defaultdict(
            lambda: HdrHistogram(1, 120_000, 3)
        )
        self.counts = collections.Counter()
        self.useful_ms = 0

    def run(self) -> None:
        """Run the trial, and go on for `SETTLE_TIMEOUT_MS` to receive late outcomes."""
        self._update_instance_lists()
        for instance in self.instances:
            instance.start()
        for arrival in self.arrivals:
            self.clock.at(arrival.at_ms, self._submit, arrival)
        self.clock.at(START_MS + FAULT_DELAY_MS, self._inject_fault)
        self.clock.run(self.until_ms + SETTLE_TIMEOUT_MS)

    def _update_instance_lists(self) -> None:
        for instance in self.instances:
            names = {
                peer.name
                for peer in self.instances
                if peer.data_centre == instance.data_centre and peer.is_alive
            }
            if instance.is_alive:
                instance.apply_instance_list(names)
        self.clock.at(
            self.clock.now_ms + LIST_UPDATE_INTERVAL_MS, self._update_instance_lists
        )

    def _submit(self, arrival) -> None:
        live_instances = [instance for instance in self.instances if instance.is_alive]
        instance = live_instances[int(arrival.instance * len(live_instances))]
        instance.submit(arrival, self._report)

    def _inject_fault(self) -> None:
        if self.fault == "failed_endpoint":
            self.endpoints["d1-m0"].is_failing = True
        elif self.fault == "silent_connections":
            for endpoint in list(self.endpoints.values())[::SILENT_ENDPOINT_STRIDE]:
                endpoint.silent_opened_before_ms = self.clock.now_ms
        elif self.fault == "dead_instance":
            self.instances[0].is_alive = False

    def _report(self, arrival, outcome) -> None:
        now_ms = self.clock.now_ms
        is_answered = isinstance(outcome, Answered) and outcome.status == 200
        if is_answered and now_ms <= arrival.deadline_ms:
            self.useful_ms += self._run_in_window_ms(
                now_ms - ENDPOINT_LATENCY_MS, arrival
            )
        if not self.from_ms <= now_ms <= self.until_ms:
            return
        if is_answered:
            if now_ms <= arrival.deadline_ms:
                self.counts["in_time"] += 1
            else:
                self.counts["late"] += 1
            key = f"{arrival.organisation}/{arrival.request_class}"
            elapsed_ms = max(1, now_ms - arrival.at_ms)
            self.histogram_by_key[key].record_value(elapsed_ms)
        elif isinstance(outcome, NotRun):
            self.counts[f"not_run:{outcome.reason}"] += 1
        else:
            self.counts["unknown_or_failed"] += 1

    def _run_in_window_ms(self, ended_ms, arrival) -> int:
        """Return how much of a run, ended at ``ended_ms``, is in the measured time."""
        started_ms = max(self.from_ms, ended_ms - arrival.run_ms)
        return max(0, min(self.until_ms, ended_ms) - started_ms)

    def result(self) -> dict:
        """Return the measurements as columns of the output line."""
        failed_endpoints = self.fault == "failed_endpoint"
        slots = (len(self.endpoints) - failed_endpoints) * SLOTS
        span_ms = self.until_ms - self.from_ms
        offered_ms = sum(a.run_ms for a in self.arrivals if a.at_ms >= self.from_ms)
        return {
            "goodput_of_capacity": round(self.useful_ms / (slots * span_ms), 4),
            "offered_of_capacity": round(offered_ms / (slots * span_ms), 4),
            "slots_in_use_max": max(m.running_max for m in self.endpoints.values()),
            "counts": dict(sorted(self.counts.items())),
            "completion_ms": {
                key: {
                    "count": histogram.get_total_count(),
                    "p50": histogram.get_value_at_percentile(50),
                    "p99": histogram.get_value_at_percentile(99),
                    "max": histogram.get_max_value(),
                }
                for key, histogram in sorted(self.histogram_by_key.items())
            },
        }


def _print_overhead(deployment_name: str) -> None:
    from .overhead import measure_overhead  # starts processes, so only on request

    for result in measure_overhead(deployment_name):
        line = {"benchmark": "requests_overhead", "deployment": deployment_name}
        print(json.dumps({**line, **result}), flush=True)


def main() -> None:
    """Run the trials selected by the options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="agency")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policy", choices=POLICY_BY_NAME, action="append")
    parser.add_argument("--load", type=float, action="append")
    parser.add_argument("--fault", choices=FAULTS, action="append")
    parser.add_argument("--measure_ms", type=int, default=8_000)
    parser.add_argument(
        "--overhead",
        action="store_true",
        help="measure a call through ragwortshelfd against a direct one instead",
    )
    options = parser.parse_args()
    if options.overhead:
        _print_overhead(options.deployment)
        return
    for fault in options.fault or FAULTS:
        for load in options.load or LOADS:
            for policy in options.policy or POLICY_BY_NAME:
                started = time.perf_counter()
                trial = Trial(
                    policy,
                    options.deployment,
                    load,
                    fault,
                    options.seed,
                    options.measure_ms,
                )
                trial.run()
                line = {
                    "benchmark": "requests",
                    "deployment": options.deployment,
                    "seed": options.seed,
                    "policy": policy,
                    "load": load,
                    "fault": fault,
                    **trial.result(),
                    "wall_s": round(time.perf_counter() - started, 1),
                }
                print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
