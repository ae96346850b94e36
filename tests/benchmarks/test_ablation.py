"""Switches of the ablation, each in the same process after all others.

Guards against a mechanism that was renamed or removed: its switch would then do
nothing, and the ablation would show that it is worth nothing.
"""

import subprocess
import sys

SCRIPT = """
from benchmarks.ablation import MECHANISMS, switch_off
from benchmarks.fleet_load import play

for name in MECHANISMS:
    switch_off(name)
day = play(1, endpoints=6, seconds=10, load=1.0)
assert day.ends["done"] > 0, day.ends
"""


def test_all_mechanisms_can_be_switched_off_and_jobs_still_end():
    result = subprocess.run(
        [sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=False
    )
    assert result.returncode == 0, result.stderr
