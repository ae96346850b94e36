"""Settings for all tests, and the handling of known failures.

Hypothesis runs the same examples each time, except in the ``nightly`` profile.
"""

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=50,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "nightly",
    deadline=None,
    max_examples=2000,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile(os.environ.get("RAGWORTSHELF_HYPOTHESIS_PROFILE", "ci"))

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


def _known_failures():
    """Return the reasons in KNOWN-RED.txt by test id."""
    reason_by_test = {}
    if KNOWN_RED_FILE.exists():
        for line in KNOWN_RED_FILE.read_text().splitlines():
            if line and not line.startswith("#"):
                test, _, rest = line.partition(" | ")
                reason_by_test[test] = rest
    return reason_by_test


def pytest_collection_modifyitems(items):
    """Mark exactly the tests listed in KNOWN-RED.txt as expected failures."""
    reason_by_test = _known_failures()
    for item in items:
        if item.nodeid in reason_by_test:
            item.add_marker(pytest.mark.xfail(reason=reason_by_test[item.nodeid]))


def pytest_terminal_summary(terminalreporter):
    """Print the listed failures at the end of each run."""
    for test, reason in _known_failures().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {reason}")
