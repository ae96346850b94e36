"""Remaining times of runs that keep to their estimate, or take far longer."""

import pytest

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.model import UnitKey
from ragwortshelf.core.scheduling.run_time import measured_duration_ms, remaining_ms
from ragwortshelf.core.scheduling.task_placement import TaskPlacement

ESTIMATE_MS = 2_000
START_MS = 10_000


def _placement():
    key = UnitKey("j", 0, 0, 0)
    return TaskPlacement(key, 0, "j.0.0.0", 1, "e0", Resources(), START_MS)


def _listed(*rows):
    placement = _placement()
    for after_ms, percent in rows:
        placement.record_progress(percent, START_MS + after_ms, START_MS)
    return placement


@pytest.mark.parametrize(
    ("elapsed_ms", "expected_ms"),
    [(500, 1_500), (1_900, 200), (1_999, 200), (2_000, 1_000), (20_000, 10_000)],
)
def test_without_progress_the_estimate_counts_while_it_lasts(elapsed_ms, expected_ms):
    # A tenth of the estimate was left however long a run had outrun it, so room was
    # reserved that did not become free, and a task that would not end in time went on
    # at an endpoint that was leaving.
    left_ms = remaining_ms(_placement(), ESTIMATE_MS, START_MS + elapsed_ms)
    assert left_ms == pytest.approx(expected_ms)


def test_with_progress_the_estimate_does_not_count():
    placement = _listed((1_000, 4), (11_000, 44))
    left_ms = remaining_ms(placement, ESTIMATE_MS, START_MS + 11_000)
    assert left_ms == pytest.approx(13_875)


def test_the_duration_is_measured_between_two_listings():
    # The first one may follow a checkpoint, or the wait for the others of a gang.
    assert measured_duration_ms(_listed((1_000, 40), (2_000, 60))) == pytest.approx(
        5_000
    )


def test_the_last_listing_of_a_finished_run_is_not_part_of_its_duration():
    # A finished member of a gang shows 100 percent until the others are done.
    placement = _listed((1_000, 40), (2_000, 60), (9_000, 100))
    assert measured_duration_ms(placement) == pytest.approx(5_000)


def test_too_little_progress_is_no_measurement():
    assert measured_duration_ms(_placement()) is None
    assert measured_duration_ms(_listed((400, 3))) is None
    assert measured_duration_ms(_listed((400, 3), (800, 10))) is None
