"""A short run of the soak, and seeds that once failed, against the real program."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]

# Each seed that ever failed stays here with a line on its cause.
SEEDS = [1]


@pytest.mark.parametrize("seed", SEEDS)
def test_the_soak_keeps_every_promise(seed):
    result = subprocess.run(
        [sys.executable, "-m", "soak", f"--seed={seed}", "--seconds=6"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=150,
    )
    assert result.returncode == 0, result.stdout + result.stderr
