"""Settings for all tests: hypothesis runs the same examples every time."""

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


def _known_red():
    """Return the reason by test id of every entry of KNOWN-RED.txt."""
    reason_by_test = {}
    if KNOWN_RED_FILE.exists():
        for line in KNOWN_RED_FILE.read_text().splitlines():
            if line and not line.startswith("#"):
                test, _, rest = line.partition(" | ")
                reason_by_test[test] = rest
    return reason_by_test


def pytest_collection_modifyitems(items):
    """Pass over the failures that are listed, and over no others."""
    reason_by_test = _known_red()
    for item in items:
        if item.nodeid in reason_by_test:
            item.add_marker(pytest.mark.xfail(reason=reason_by_test[item.nodeid]))


def pytest_terminal_summary(terminalreporter):
    """Print every listed failure with each run."""
    for test, reason in _known_red().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {reason}")
