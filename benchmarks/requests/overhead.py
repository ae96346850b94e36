"""Overhead of a call through ``ragwortshelfd`` against a direct call to an endpoint.

Starts the stand-ins and the instances of one data centre as processes. Then makes the
same call alternately through an instance and directly, one at a time, so that both run
under the same conditions. Prints the ratios of the percentiles.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import trio
from hdrh.histogram import HdrHistogram

from ragwortshelf.net.http_client import HttpClient
from ragwortshelf.standins.deployment import Deployment
from ragwortshelf.standins.launcher import Launcher, call

__all__ = ["measure_overhead"]

DEPLOYMENTS = Path(__file__).parents[2] / "deployments"
OPERATOR_TOKEN = "benchmark-operator-token"
CALLER_TOKEN = "benchmark-caller-token"
CALLS = 300
WARM_UP_CALLS = 50
RUN_MS = (0, 20)
PERCENTILES = (50, 99)


def measure_overhead(deployment_name: str) -> list[dict]:
    """Return one result for each run time of the call."""
    folder = DEPLOYMENTS / deployment_name
    deployment = Deployment.load(folder / "deployment.toml")
    with (
        tempfile.TemporaryDirectory() as directory,
        Launcher(deployment, Path(directory)) as launcher,
    ):
        organisation, address = _start(launcher, folder / "release.toml")
        endpoint = next(iter(deployment.address_by_endpoint.values()))
        return [
            trio.run(_compare, address, endpoint, organisation, run_ms)
            for run_ms in RUN_MS
        ]


def _start(launcher: Launcher, note: Path) -> tuple[str, str]:
    """Start one data centre; return an organisation and the address of an instance."""
    release = tomllib.loads(note.read_text())
    organisation = next(iter(release["organisations"]["added"]))
    deployment = launcher.deployment
    names = list(deployment.api_address_by_instance)
    centre = next(
        row["data_centre"]
        for row in deployment.members()["instances"]
        if row["name"] == names[0]
    )
    launcher.start_platform()
    for name in deployment.instances_of(centre):
        launcher.start_instance(
            name,
            operator_tokens=OPERATOR_TOKEN,
            organisation_tokens=f"{organisation}={CALLER_TOKEN}",
        )
    for name in deployment.instances_of(centre):
        launcher.wait_live(name)
    address = deployment.api_address_by_instance[names[0]]
    command = [sys.executable, "-m", "ragwortshelf.cli.main", "release", "apply"]
    subprocess.run(
        [*command, str(note), f"--servers={address}", f"--token={OPERATOR_TOKEN}"],
        check=True,
        capture_output=True,
    )
    fields = {"organisation": organisation, "idempotent": True}
    launcher.wait_until(
        lambda: (
            call(address, "POST", "/v1/requests", fields, token=CALLER_TOKEN)[0] == 200
        ),
        "the first answer",
    )
    return organisation, address


async def _compare(address, endpoint, organisation, run_ms) -> dict:
    through, direct = HttpClient(address), HttpClient(endpoint)
    headers = {"x-run-ms": str(run_ms)}
    fields = {
        "organisation": organisation,
        "idempotent": True,
        "path": "/balance",
        "headers": headers,
    }
    histogram_by_way = {
        "through": HdrHistogram(1, 60_000_000, 3),
        "direct": HdrHistogram(1, 60_000_000, 3),
    }
    for number in range(WARM_UP_CALLS + CALLS):
        duration_us_by_way = {
            "through": await _call_duration_us(
                through,
                "/v1/requests",
                json.dumps(fields).encode(),
                (("authorization", f"Bearer {CALLER_TOKEN}"),),
            ),
            "direct": await _call_duration_us(
                direct,
                "/balance",
                b"",
                (("x-request-id", f"direct.1.{number}"), *headers.items()),
            ),
        }
        if number >= WARM_UP_CALLS:
            for way, duration_us in duration_us_by_way.items():
                histogram_by_way[way].record_value(duration_us)
    return _result(run_ms, histogram_by_way)


async def _call_duration_us(client: HttpClient, path, body, headers) -> int:
    started_ns = time.perf_counter_ns()
    response = await client.call("POST", path, body, headers)
    if getattr(response, "status", 0) != 200:
        raise RuntimeError(f"{path}: {response}")
    return (time.perf_counter_ns() - started_ns) // 1_000


def _result(run_ms: int, histogram_by_way: dict[str, HdrHistogram]) -> dict:
    result: dict = {"run_ms": run_ms, "calls": CALLS}
    for percentile in PERCENTILES:
        values_us = {
            way: histogram.get_value_at_percentile(percentile)
            for way, histogram in histogram_by_way.items()
        }
        for way, value_us in values_us.items():
            result[f"{way}_p{percentile}_us"] = value_us
        ratio = values_us["through"] / values_us["direct"]
        result[f"ratio_p{percentile}"] = round(ratio, 2)
    return result
