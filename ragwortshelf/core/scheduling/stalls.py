"""Stalled runs: how long a run may show no progress, and how soon that is seen."""

from __future__ import annotations

import enum

from .model import UnitPhase
from .task_placement import FINISHED_PERCENT, LISTING_GAP_MAX_MS, TaskPlacement
from .unit import Unit

__all__ = [
    "STALL_TIMEOUT_MS",
    "ListingNeed",
    "counted_gap_max_ms",
    "is_fresh_urgent",
    "is_stalled",
    "stall_timeout_ms",
]

STALL_TIMEOUT_MS = 3_500
"""Longest listed time without progress after which a run counts as stalled.

Endpoints report whole percents, and the slowest specified task takes 3 s for one
percent on an endpoint that is slowed down 6.5 times.
"""

STALL_TIMEOUT_MIN_MS = 1_000
"""Shortest listed time without progress after which an urgent run counts as stalled,
which is that of steps estimated at 2 s or less."""

STALL_ESTIMATE_SHARE = 0.5
"""Time without progress after which an urgent run counts as stalled, as a share of its
step's estimate. With seven times the work on an endpoint slowed down 6.5 times, a run
takes 0.46 of its estimate for one percent."""

FULL_PACE_PERCENT = 100


class ListingNeed(enum.Enum):
    """How often the runs of an endpoint have to be listed."""

    USUAL = "usual"
    FRESH_URGENT = "fresh urgent"
    SHARED = "shared"


def stall_timeout_ms(unit: Unit) -> int:
    """Return the listed time without progress after which a run of a unit is stalled.

    Only urgent units have a shorter timeout. For others an early detection gains
    little, and a wrong one discards a run that would have gone on. An estimate that
    the run times of the queue have shortened does not shorten the timeout, as the
    caller may know that this run takes longer than others.
    """
    if unit.priority != 0 or not unit.estimate_ms:
        return STALL_TIMEOUT_MS
    estimate_ms = max(unit.estimate_ms, unit.step.estimate_ms)
    share_ms = int(STALL_ESTIMATE_SHARE * estimate_ms)
    return min(STALL_TIMEOUT_MS, max(STALL_TIMEOUT_MIN_MS, share_ms))


def counted_gap_max_ms(unit: Unit) -> int:
    """Return how much of the time between two listings may count as no progress.

    It is half of the stall timeout and a little more, so that two listings show a stall
    and one never does. A pause of an endpoint may be longer than the timeout.
    """
    return min(LISTING_GAP_MAX_MS, stall_timeout_ms(unit) // 2 + 1)


def is_stalled(placement: TaskPlacement, unit: Unit) -> bool:
    """Whether listings have shown no progress of a unit's run for too long."""
    # A finished task of a gang waits for the others, and a throttled one is slow.
    if (
        placement.progress_percent >= FINISHED_PERCENT
        or placement.pace_percent < FULL_PACE_PERCENT
    ):
        return False
    return placement.without_progress_ms > stall_timeout_ms(unit)


def is_fresh_urgent(unit: Unit, now_ms: int) -> bool:
    """Whether listings a second apart would show a stall of an urgent unit too late.

    This holds for short steps until twice the stall timeout after the unit's start. So
    a hang at the start is seen before that, and one halfway through the estimate too.
    """
    if unit.priority != 0 or unit.phase is not UnitPhase.PLACED:
        return False
    timeout_ms = stall_timeout_ms(unit)
    if unit.step.is_long_running or timeout_ms >= STALL_TIMEOUT_MS:
        return False
    working_since_ms = unit.working_since_ms
    return working_since_ms is None or now_ms - working_since_ms <= 2 * timeout_ms
