"""Throttling of background tasks, to protect the tail latency of serving tasks.

On each listing of an endpoint, the paces of its background tasks are reduced quickly
while any serving task is near its latency target, and raised slowly while all are well
below it.
"""

from __future__ import annotations

from collections.abc import Mapping

from .actions import PaceTask
from .fleet import Endpoint, Member, MemberStage
from .model import UnitKey
from .work import Unit

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
"""A lower pace would disturb serving tasks without making progress."""

FULL_PERCENT = 100


def plan_paces(
    endpoint: Endpoint, unit_by_key: Mapping[UnitKey, Unit]
) -> list[PaceTask]:
    """Return the orders that change the paces of an endpoint's background tasks."""
    serving: list[tuple[Member, Unit]] = []
    background: list[Member] = []
    for member in endpoint.members():
        unit = unit_by_key.get(member.unit_key)
        if unit is None or member.stage is not MemberStage.RUNNING:
            continue
        if unit.step.tail_target_ms:
            serving.append((member, unit))
        elif unit.step.fills:
            background.append(member)
    if not background:
        return []
    load = max(
        (
            m.load_metric / serving_unit.step.tail_target_ms
            for m, serving_unit in serving
        ),
        default=0.0,
    )
    pace_orders = []
    for member in background:
        percent = _next_percent(member.pace_percent, load)
        if percent != member.pace_percent:
            member.pace_percent = percent
            pace_orders.append(PaceTask(endpoint.id, member.task, member.run, percent))
    return pace_orders


def _next_percent(percent: int, load: float) -> int:
    if load >= SLOW_DOWN_AT:
        slower = int(percent * SLOW_DOWN_FACTOR)
        return slower if slower >= STOP_BELOW_PERCENT else 0
    if load < SPEED_UP_BELOW:
        return min(FULL_PERCENT, percent + SPEED_UP_PERCENT)
    return percent
