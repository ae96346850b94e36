"""What stopping a unit costs, or waiting for its end; cached during one plan."""

from __future__ import annotations

from .model import UnitKey
from .unit import Unit

__all__ = ["StopCosts"]


class StopCosts:
    """Estimates for the placed units, each computed at most once a plan."""

    def __init__(self):
        self._now_ms = 0
        self._remaining_ms_by_key: dict[UnitKey, float] = {}
        self._lost_core_ms_by_key: dict[UnitKey, float] = {}

    def begin(self, now_ms: int) -> None:
        """Start a plan."""
        self._now_ms = now_ms
        self._remaining_ms_by_key.clear()
        self._lost_core_ms_by_key.clear()

    def remaining_ms(self, unit: Unit) -> float:
        """Return the estimated remaining time of a unit."""
        remaining = self._remaining_ms_by_key.get(unit.key)
        if remaining is None:
            remaining = unit.remaining_ms(self._now_ms)
            self._remaining_ms_by_key[unit.key] = remaining
        return remaining

    def lost_core_ms(self, unit: Unit) -> float:
        """Return the computation that stopping a unit loses."""
        lost = self._lost_core_ms_by_key.get(unit.key)
        if lost is None:
            lost = self._lost_core_ms_by_key[unit.key] = unit.lost_core_ms(self._now_ms)
        return lost
