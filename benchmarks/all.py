"""Runs the benchmarks one after the other and keeps what they print.

``python -m benchmarks.all`` writes one file of JSON lines a benchmark under
``docs/measurements/``, and plots beside them if matplotlib is installed (the extra
``plots``). ``--only NAME`` runs some of them; ``--plots_only`` draws what is there.
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
    """One benchmark: the name of its file, its module and its arguments."""

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


def run(each: Run) -> bool:
    """Run one benchmark and keep its lines; False if it failed."""
    begun_s = time.monotonic()
    command = (sys.executable, "-m", each.module, *each.arguments)
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    elapsed_s = time.monotonic() - begun_s
    if result.returncode != 0:
        print(f"{each.name}: failed\n{result.stderr[-2000:]}", file=sys.stderr)
        return False
    lines = [json.loads(line) for line in result.stdout.splitlines() if line]
    text = "".join(json.dumps(line) + "\n" for line in lines)
    (DIRECTORY / f"{each.name}.jsonl").write_text(text)
    print(f"{each.name}: {len(lines)} lines in {elapsed_s:.0f} s")
    return True


def main() -> int:
    """Run what was asked for; returns the exit status."""
    options = argparse.ArgumentParser(description=__doc__)
    names = [each.name for each in RUNS]
    options.add_argument("--only", action="append", choices=names)
    options.add_argument("--plots_only", action="store_true")
    arguments = options.parse_args()
    DIRECTORY.mkdir(parents=True, exist_ok=True)
    has_failed = False
    for each in RUNS:
        if not arguments.plots_only and each.name in (arguments.only or names):
            has_failed |= not run(each)
    plots.draw(DIRECTORY)
    return int(has_failed)


if __name__ == "__main__":
    sys.exit(main())
