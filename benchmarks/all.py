"""Runs all benchmarks in sequence and stores their output.

``python -m benchmarks.all`` writes one file of JSON lines per benchmark to
``docs/measurements/``, and plots if matplotlib is installed (the extra ``plots``).
``--only NAME`` selects benchmarks; ``--plots_only`` draws the stored measurements.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from . import plots

__all__ = ["RUNS", "Run"]

ROOT = Path(__file__).parent.parent
DIRECTORY = ROOT / "docs" / "measurements"


@dataclass(frozen=True, slots=True)
class Run:
    """One benchmark: the stem of its output file, its module and its arguments."""

    name: str
    module: str
    arguments: tuple[str, ...] = ()


RUNS = (
    Run(
        "placement-agency",
        "benchmarks.placement",
        ("--deployment", "agency", "--seed", "1"),
    ),
    Run(
        "placement-workshops",
        "benchmarks.placement",
        ("--deployment", "workshops", "--seed", "1"),
    ),
    Run("placement-scaling", "benchmarks.placement", ("--scaling",)),
    Run("requests", "benchmarks.requests", ("--deployment", "agency", "--seed", "1")),
    Run("control", "benchmarks.control", ("--seed", "1")),
    Run("recovery", "benchmarks.recovery", ("--seed", "1")),
    Run("capacity", "benchmarks.capacity"),
)


def run(benchmark: Run) -> bool:
    """Run one benchmark and store its lines; return False if it failed."""
    started_s = time.monotonic()
    command = (sys.executable, "-m", benchmark.module, *benchmark.arguments)
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    elapsed_s = time.monotonic() - started_s
    if result.returncode != 0:
        print(f"{benchmark.name}: failed\n{result.stderr[-2000:]}", file=sys.stderr)
        return False
    lines = [json.loads(line) for line in result.stdout.splitlines() if line]
    text = "".join(json.dumps(line) + "\n" for line in lines)
    (DIRECTORY / f"{benchmark.name}.jsonl").write_text(text)
    print(f"{benchmark.name}: {len(lines)} lines in {elapsed_s:.0f} s")
    return True


def main() -> int:
    """Run the selected benchmarks and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = [benchmark.name for benchmark in RUNS]
    parser.add_argument("--only", action="append", choices=names)
    parser.add_argument("--plots_only", action="store_true")
    options = parser.parse_args()
    DIRECTORY.mkdir(parents=True, exist_ok=True)
    has_failed = False
    for benchmark in RUNS:
        if not options.plots_only and benchmark.name in (options.only or names):
            has_failed |= not run(benchmark)
    plots.draw(DIRECTORY)
    return int(has_failed)


if __name__ == "__main__":
    sys.exit(main())
