"""Makes the adapter's package and shared test helpers importable."""

import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent

sys.path.insert(0, str(HERE))
sys.path.insert(0, str(HERE.parent))
sys.path.insert(0, str(HERE.parent / "scheduler"))
sys.path.insert(0, str(HERE.parents[1] / "platform"))


@pytest.fixture
def autojump_clock():
    from trio.testing import MockClock

    return MockClock(autojump_threshold=0)
