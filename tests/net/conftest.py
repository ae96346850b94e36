"""Virtual time, and the helpers that the tests of several folders share."""

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parents[1]))


@pytest.fixture
def autojump_clock():
    from trio.testing import MockClock

    return MockClock(autojump_threshold=0)
