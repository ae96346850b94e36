"""Availability limits of long-running steps: which of their tasks may be stopped."""

from __future__ import annotations

from collections.abc import Mapping

from .model import UnitKey, UnitPhase
from .task_placement import RunStage
from .unit import Unit

__all__ = ["AVAILABLE_PERCENT", "count_unavailable", "is_available", "may_be_stopped"]

AVAILABLE_PERCENT = 100
"""Progress at which a long-running task is available; below it, the task starts up."""


def count_unavailable(unit: Unit, unit_by_key: Mapping[UnitKey, Unit]) -> int:
    """Count the other units of a long-running step that are unavailable now."""
    unavailable = 0
    for member in unit.step.members:
        key = unit.key._replace(member=member)
        if key != unit.key:
            other = unit_by_key.get(key)
            unavailable += other is None or not is_available(other)
    return unavailable


def may_be_stopped(unit: Unit, unit_by_key: Mapping[UnitKey, Unit]) -> bool:
    """Whether stopping a unit now keeps its step within ``unavailable_max``.

    Units that are not long-running, whose step states no limit, or that are unavailable
    already may always be stopped.
    """
    limit = unit.step.unavailable_max
    if limit is None or not unit.step.is_long_running or not is_available(unit):
        return True
    return count_unavailable(unit, unit_by_key) < limit


def is_available(unit: Unit) -> bool:
    """Whether all tasks of a long-running unit are available."""
    if unit.phase is not UnitPhase.PLACED or len(unit.placements) < unit.count:
        return False
    return all(
        placement.stage is RunStage.RUNNING
        and placement.progress_percent >= AVAILABLE_PERCENT
        for placement in unit.placements
    )
