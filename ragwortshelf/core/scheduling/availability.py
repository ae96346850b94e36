"""Which lasting tasks may be stopped while others of their step are away."""

from __future__ import annotations

from collections.abc import Mapping

from .fleet import MemberStage
from .model import UnitKey, UnitPhase
from .work import Work

__all__ = ["AT_WORK_PERCENT", "may_be_stopped", "units_away"]

AT_WORK_PERCENT = 100
"""Percent from which a lasting task is at work; below it still starts up."""


def units_away(work: Work, work_by_key: Mapping[UnitKey, Work]) -> int:
    """Count the other units of a lasting step that are not at work now."""
    away = 0
    for member in work.step.members:
        key = work.key._replace(member=member)
        if key != work.key:
            other = work_by_key.get(key)
            away += other is None or not _is_at_work(other)
    return away


def may_be_stopped(work: Work, work_by_key: Mapping[UnitKey, Work]) -> bool:
    """Whether a stop now keeps to what the step allows to be unavailable.

    A unit that is not at work takes nothing away. One whose step states no limit may
    be stopped like any other.
    """
    limit = work.step.unavailable_max
    if limit is None or not work.step.is_long_running or not _is_at_work(work):
        return True
    return units_away(work, work_by_key) < limit


def _is_at_work(work: Work) -> bool:
    if work.phase is not UnitPhase.PLACED or len(work.members) < work.count:
        return False
    return all(
        member.stage is MemberStage.RUNNING and member.percent >= AT_WORK_PERCENT
        for member in work.members
    )
