"""Relative speeds of endpoints, learned from the tasks that ran on them.

Tasks of one step are alike, so a task that takes longer than its siblings speaks of its
endpoint. A gang is as slow as its slowest member, so its tasks are placed on endpoints
of like speed, and urgent units on fast ones.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .fleet import Endpoint, TaskPlacement
from .model import UnitKey
from .unit import Unit

__all__ = ["SpeedClass", "SpeedTracker", "preferred_classes", "speed_class"]

SLOW_BELOW = 0.9
FAST_FROM = 1.12
"""Relative speeds that bound the classes."""

RUNS_MIN = 3
"""Runs on an endpoint from which its speed counts as known."""

PACE_MIN_MS = 400
"""Shortest time between two listings from which a gang member's pace is taken."""

TASKS_MIN = 2
"""Tasks that a comparison needs."""


class SpeedClass(enum.IntEnum):
    """Class of an endpoint's speed; endpoints of unknown speed are USUAL."""

    SLOW = 0
    USUAL = 1
    FAST = 2


_ALL = frozenset(SpeedClass)
_URGENT_PREFERENCE = (
    frozenset({SpeedClass.FAST}),
    frozenset({SpeedClass.USUAL, SpeedClass.FAST}),
    _ALL,
)
_GANG_PREFERENCE = (
    frozenset({SpeedClass.SLOW}),
    frozenset({SpeedClass.USUAL}),
    frozenset({SpeedClass.SLOW, SpeedClass.USUAL}),
    frozenset({SpeedClass.USUAL, SpeedClass.FAST}),
    _ALL,
)


def speed_class(endpoint: Endpoint) -> SpeedClass:
    """Return the class of an endpoint's speed relative to the others."""
    if endpoint.speed_run_count < RUNS_MIN:
        return SpeedClass.USUAL
    if endpoint.speed < SLOW_BELOW:
        return SpeedClass.SLOW
    return SpeedClass.FAST if endpoint.speed >= FAST_FROM else SpeedClass.USUAL


def preferred_classes(unit: Unit) -> tuple[frozenset[SpeedClass], ...]:
    """Return the classes on which to look for room, the best choice first."""
    if unit.priority == 0:
        return _URGENT_PREFERENCE
    return _GANG_PREFERENCE if unit.count > 1 else (_ALL,)


@dataclass(frozen=True, slots=True)
class _Pace:
    """Logarithm of the pace of one task that was done on an endpoint."""

    endpoint: Endpoint
    log_pace: float


class SpeedTracker:
    """Learns from the tasks of each step how fast their endpoints are.

    The tasks of a step are compared when the last one is done, since those that are
    done first ran on faster endpoints than the others.
    """

    def __init__(self):
        self._paces_by_job: dict[str, dict[UnitKey, list[_Pace]]] = {}

    def run_done(
        self, endpoint: Endpoint, placement: TaskPlacement, now_ms: int
    ) -> None:
        """Note a task that was done by itself."""
        duration_ms = max(1, now_ms - placement.ordered_ms)
        step = placement.unit_key._replace(member=0)
        paces_by_step = self._paces_by_job.setdefault(step.job_id, {})
        paces = paces_by_step.setdefault(step, [])
        paces.append(_Pace(endpoint, -math.log(duration_ms)))

    def gang_done(self, members: Iterable[tuple[Endpoint, TaskPlacement]]) -> None:
        """Note the members of a gang, which end together but progress by themselves."""
        paces = []
        for endpoint, placement in members:
            first_percent = placement.first_percent
            listed_ms = placement.unfinished_ms - placement.first_listed_ms
            if first_percent is None or listed_ms < PACE_MIN_MS:
                continue
            percent = placement.unfinished_percent - first_percent
            if percent > 0:
                paces.append(_Pace(endpoint, math.log(percent / listed_ms)))
        _compare(paces)

    def step_done(self, step: UnitKey) -> None:
        """Compare the tasks of a step whose last one is done."""
        _compare(self._paces_by_job.get(step.job_id, {}).pop(step, ()))

    def forget_job(self, job_id: str) -> None:
        """Compare what is left of an ended job's tasks, and forget them."""
        for paces in self._paces_by_job.pop(job_id, {}).values():
            _compare(paces)


def _compare(paces: Sequence[_Pace]) -> None:
    """Record how each task's pace differs from its siblings' on usual endpoints."""
    if len(paces) < TASKS_MIN:
        return
    usual = sum(p.log_pace - math.log(p.endpoint.speed) for p in paces) / len(paces)
    for pace in paces:
        pace.endpoint.record_speed(pace.log_pace - usual)
