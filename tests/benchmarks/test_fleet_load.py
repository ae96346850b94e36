"""A simulated heavy day: the same arrivals lead to the same decisions."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
SCRIPT = ROOT / "tests" / "benchmarks" / "print_actions.py"


def _actions(hash_seed, objects):
    """Return the number of actions of a day and their digest, from a new process."""
    result = subprocess.run(
        [sys.executable, str(SCRIPT), str(objects)],
        env=os.environ | {"PYTHONHASHSEED": str(hash_seed), "PYTHONPATH": str(ROOT)},
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    count, digest = result.stdout.split()
    return int(count), digest


@pytest.fixture(scope="module")
def expected_actions():
    return _actions(hash_seed=0, objects=0)


# Guards against decisions that depend on the order of sets or on memory addresses, so
# that two plays of one day differ.
@pytest.mark.parametrize(
    ("hash_seed", "objects"), [(1, 0), (2, 37), (3, 1_000), (0, 37)]
)
def test_actions_do_not_depend_on_hash_seed_or_addresses(
    expected_actions, hash_seed, objects
):
    assert expected_actions[0] > 1_000
    assert _actions(hash_seed, objects) == expected_actions
