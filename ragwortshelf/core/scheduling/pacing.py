"""Throttling of background tasks, to protect the tail latency of serving tasks.

On each listing of an endpoint, the paces of its background tasks are reduced quickly
while any serving task is near its latency target, and raised slowly while all are well
below it.
"""

from __future__ import annotations

from collections.abc import Mapping

from .actions import PaceTask
from .endpoint import Endpoint
from .model import UnitKey
from .task_placement import RunStage, TaskPlacement
from .unit import Unit

__all__ = ["FULL_PERCENT", "plan_paces"]

SLOW_DOWN_AT = 0.85
"""Share of the latency target from which background tasks are slowed down. It leaves a
margin: the reported latency is rough and 0.5 s old, and a breach must end within 4 s.
"""

SPEED_UP_BELOW = 0.6
"""Share of the latency target below which background tasks are sped up again."""

SLOW_DOWN_FACTOR = 0.4
"""Factor applied to a pace at each step down: from 100 % to 0 in four listings."""

SPEED_UP_PERCENT = 8
"""Percentage points added at each step up; small, as load changes within seconds."""

STOP_BELOW_PERCENT = 6
"""Pace below which a background task is paused: it would still disturb serving tasks,
but make no progress."""

FULL_PERCENT = 100


def plan_paces(
    endpoint: Endpoint, unit_by_key: Mapping[UnitKey, Unit]
) -> list[PaceTask]:
    """Return the orders that change the paces of an endpoint's background tasks."""
    serving: list[tuple[TaskPlacement, Unit]] = []
    background: list[TaskPlacement] = []
    for placement in endpoint.placements():
        unit = unit_by_key.get(placement.unit_key)
        if unit is None or placement.stage is not RunStage.RUNNING:
            continue
        if unit.step.tail_target_ms:
            serving.append((placement, unit))
        elif unit.step.fills:
            background.append(placement)
    if not background:
        return []
    latency_ratio = max(
        (
            placement.load_metric / serving_unit.step.tail_target_ms
            for placement, serving_unit in serving
        ),
        default=0.0,
    )
    pace_orders = []
    for placement in background:
        percent = _next_percent(placement.pace_percent, latency_ratio)
        if percent != placement.pace_percent:
            placement.pace_percent = percent
            pace_orders.append(
                PaceTask(endpoint.id, placement.task, placement.run, percent)
            )
    return pace_orders


def _next_percent(percent: int, latency_ratio: float) -> int:
    if latency_ratio >= SLOW_DOWN_AT:
        slower = int(percent * SLOW_DOWN_FACTOR)
        return slower if slower >= STOP_BELOW_PERCENT else 0
    if latency_ratio < SPEED_UP_BELOW:
        return min(FULL_PERCENT, percent + SPEED_UP_PERCENT)
    return percent
