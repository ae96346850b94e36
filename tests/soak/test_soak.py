"""Short runs of the soak against real daemon processes, with seeds that once failed."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]

# Seeds and durations in seconds. Each seed that ever failed stays here with its cause.
RUNS = [
    (1, 6),
    # The stand-in noticed the expiry of a lease only at the next request, so the run
    # appeared to overlap with the next one.
    (306, 12),
    # The check did not allow a completed run to be repeated if its lease expired before
    # its end was acknowledged.
    (308, 12),
    (320, 12),
    # Two healthy jobs that had been beside a crash waited behind the trials of deadly
    # ones until the end.
    (5, 12),
    # The stand-in did not void the ends that a crash lost before anybody saw them.
    (2006, 12),
    (2008, 12),
    (2012, 12),
    # Changes and faults of the policy service; this one has not failed.
    (8001, 8),
]


@pytest.mark.parametrize(("seed", "seconds"), RUNS)
def test_the_soak_finds_no_violations(seed, seconds):
    result = subprocess.run(
        [sys.executable, "-m", "soak", f"--seed={seed}", f"--seconds={seconds}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=150,
    )
    assert result.returncode == 0, result.stdout + result.stderr
