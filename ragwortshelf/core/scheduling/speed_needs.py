"""Which speed a unit needs to be on time, and on which endpoints it looks for room."""

from __future__ import annotations

import math

from .endpoint import Endpoint
from .speed_belief import SLOW_BELOW, SpeedClass
from .unit import Unit

__all__ = ["is_too_slow", "preferred_classes", "speed_class", "speed_needed"]

TOLERATED_SPEED = 0.5
"""Speed at which the job of a tolerant task is still on time: that of the slowest sound
endpoints, 0.6, with an allowance."""

LATENESS_ERRORS = 1.2
"""Standard errors by which an endpoint may be slower than believed. Of 224 urgent jobs
on a half-loaded fleet 204 were on time with 0, 205 with 0.7, and 207 with 1.2."""

_ALL = frozenset(SpeedClass)
_URGENT_PREFERENCE = (
    frozenset({SpeedClass.FAST}),
    frozenset({SpeedClass.USUAL, SpeedClass.FAST}),
    _ALL,
)
_TOLERANT_PREFERENCE = (
    frozenset({SpeedClass.SLOW}),
    frozenset({SpeedClass.SLOW, SpeedClass.USUAL}),
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
    return endpoint.speed_belief.speed_class


def preferred_classes(unit: Unit, wall_ms: int) -> tuple[frozenset[SpeedClass], ...]:
    """Return the classes on which to look for room, the best choice first.

    Single tasks take slow endpoints, which are of little use to others, unless the job
    would be late there.
    """
    if unit.priority == 0:
        return _URGENT_PREFERENCE
    if unit.count > 1:
        return _GANG_PREFERENCE
    is_tolerant = 0 < speed_needed(unit, wall_ms) <= TOLERATED_SPEED
    return _TOLERANT_PREFERENCE if is_tolerant else (_ALL,)


def speed_needed(unit: Unit, wall_ms: int) -> float:
    """Return the speed from which a unit that starts now is on time, or 0.

    It is 0 if the unit would be late at usual speed as well.
    """
    slack_ms = unit.latest_start_wall_ms - wall_ms
    estimate_ms = unit.estimate_ms
    if slack_ms < 0 or estimate_ms <= 0 or unit.step.is_long_running:
        return 0.0
    return estimate_ms / (estimate_ms + slack_ms)


def is_too_slow(endpoint: Endpoint, needed: float) -> bool:
    """Whether a unit that needs this speed may well be late on an endpoint.

    Endpoints that are not known to be slower than usual are never too slow.
    """
    belief = endpoint.speed_belief
    if belief.speed >= SLOW_BELOW:
        return False
    return belief.speed * math.exp(-LATENESS_ERRORS * belief.error) < needed
