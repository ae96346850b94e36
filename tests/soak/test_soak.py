"""A short run of the soak, and seeds that once failed, against the real program."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]

# Seeds and lengths in seconds. Each that ever failed stays, with a line on its cause.
RUNS = [
    (1, 6),
    # The stand-in noticed a lease that had run out only when it was asked again, so the
    # run seemed to overlap with the next one.
    (306, 12),
    # The check did not know that a done run may be repeated if the lease ran out before
    # its end was acknowledged.
    (308, 12),
    (320, 12),
]


@pytest.mark.parametrize(("seed", "seconds"), RUNS)
def test_the_soak_keeps_every_promise(seed, seconds):
    result = subprocess.run(
        [sys.executable, "-m", "soak", f"--seed={seed}", f"--seconds={seconds}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=150,
    )
    assert result.returncode == 0, result.stdout + result.stderr
