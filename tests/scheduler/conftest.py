"""Fixtures for tests of instances on a fake platform in virtual time."""

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))


@pytest.fixture
def autojump_clock():
    from trio.testing import MockClock

    return MockClock(autojump_threshold=0)
