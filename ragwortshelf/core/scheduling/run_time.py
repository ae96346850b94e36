"""Remaining run times, estimated from progress or, without any, from the estimate."""

from __future__ import annotations

from .task_placement import TaskPlacement

__all__ = ["measured_duration_ms", "remaining_ms"]

PERCENT_ROUNDING = 0.5
"""Added to a listed progress, which is rounded down to a whole percent."""

ESTIMATE_SHARE_LEFT_MIN = 0.1
"""Least remaining time of a run within its estimate, as a share of that estimate."""

OUTRUN_SHARE_LEFT = 0.5
"""Remaining time of a run that has outrun its estimate, as a share of what it has run.
Run times have a heavy tail, so a run is expected to take longer the longer it ran."""

MEASURED_PERCENT_MIN = 8
"""Progress between two listings from which a run's whole duration is measured. Percents
are rounded, so the measurement is off by at most an eighth."""


def remaining_ms(placement: TaskPlacement, estimate_ms: int, now_ms: int) -> float:
    """Estimate the remaining time of a run from the progress that listings showed.

    A run that resumed from a checkpoint did not make all of its progress since its
    start, so the pace is taken from two listings where there are two.
    """
    percent = placement.progress_percent + PERCENT_ROUNDING
    since_ms, since_percent = placement.ordered_ms, 0.0
    first_percent = placement.first_percent
    if first_percent is not None and placement.progress_percent > first_percent:
        since_ms = placement.first_listed_ms
        since_percent = first_percent + PERCENT_ROUNDING
    if placement.progress_percent <= 0 or placement.listed_ms <= since_ms:
        return _remaining_by_estimate_ms(placement, estimate_ms, now_ms)
    ms_per_percent = (placement.listed_ms - since_ms) / (percent - since_percent)
    left_ms = (100 - percent) * ms_per_percent
    return max(0.0, left_ms - (now_ms - placement.listed_ms))


def measured_duration_ms(placement: TaskPlacement) -> float | None:
    """Return how long a whole run takes at the pace between its listings.

    None if the listings show too little progress to tell.
    """
    first_percent = placement.first_percent
    if first_percent is None:
        return None
    percent = placement.unfinished_percent - first_percent
    listed_ms = placement.unfinished_ms - placement.first_listed_ms
    if percent < MEASURED_PERCENT_MIN or listed_ms <= 0:
        return None
    return 100 * listed_ms / percent


def _remaining_by_estimate_ms(
    placement: TaskPlacement, estimate_ms: int, now_ms: int
) -> float:
    elapsed_ms = max(1, now_ms - placement.ordered_ms)
    if elapsed_ms >= estimate_ms:
        return OUTRUN_SHARE_LEFT * elapsed_ms
    return max(estimate_ms - elapsed_ms, ESTIMATE_SHARE_LEFT_MIN * estimate_ms)
