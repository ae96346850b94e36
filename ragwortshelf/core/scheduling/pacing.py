"""Slows down tasks that fill, so that tasks that serve keep their tail latency.

On each listing of an endpoint the shares of its filling tasks fall quickly while any
serving task is near its target, and rise slowly while all are well below it.
"""

from __future__ import annotations

from collections.abc import Mapping

from .actions import PaceTask
from .fleet import Endpoint, Member, MemberStage
from .model import UnitKey
from .work import Unit

__all__ = ["FULL_PERCENT", "plan_paces"]

SLOW_DOWN_AT = 0.85
"""Share of the target tail from which filling tasks are slowed down. The figure is
rough and half a second old, and a breach must end within 4 s."""

SPEED_UP_BELOW = 0.6
"""Share of the target tail below which filling tasks are sped up again."""

SLOW_DOWN_FACTOR = 0.4
"""What is kept of a share at each step down: from 100 to a stop in four listings."""

SPEED_UP_PERCENT = 8
"""Points added at each step up; small, since the load changes within seconds."""

STOP_BELOW_PERCENT = 6
"""A share that small disturbs without getting anything done."""

FULL_PERCENT = 100


def plan_paces(
    endpoint: Endpoint, unit_by_key: Mapping[UnitKey, Unit]
) -> list[PaceTask]:
    """Return the orders that change the shares of filling tasks on an endpoint."""
    serving: list[tuple[Member, Unit]] = []
    filling: list[Member] = []
    for member in endpoint.members():
        unit = unit_by_key.get(member.unit_key)
        if unit is None or member.stage is not MemberStage.RUNNING:
            continue
        if unit.step.tail_target_ms:
            serving.append((member, unit))
        elif unit.step.fills:
            filling.append(member)
    if not filling:
        return []
    load = max(
        (m.tail_latency_ms / w.step.tail_target_ms for m, w in serving), default=0.0
    )
    orders = []
    for member in filling:
        percent = _next_percent(member.pace_percent, load)
        if percent != member.pace_percent:
            member.pace_percent = percent
            orders.append(PaceTask(endpoint.id, member.task, member.run, percent))
    return orders


def _next_percent(percent: int, load: float) -> int:
    if load >= SLOW_DOWN_AT:
        slower = int(percent * SLOW_DOWN_FACTOR)
        return slower if slower >= STOP_BELOW_PERCENT else 0
    if load < SPEED_UP_BELOW:
        return min(FULL_PERCENT, percent + SPEED_UP_PERCENT)
    return percent
