"""What stopping a unit costs, or waiting for its end; cached during one plan."""

from __future__ import annotations

from .model import UnitKey
from .share_accounts import ShareAccounts
from .unit import CHECKPOINT_LOSS_MS, Unit

__all__ = ["PREEMPTION_LOSS_SHARE", "STOP_MAX_MS", "StopCosts"]

STOP_MAX_MS = 900
"""Longest time that a stop takes in the supported deployments. A unit starts again only
after its own stop."""


PREEMPTION_LOSS_SHARE = 1.0
"""Computation of others that may be lost so that an urgent unit is on time, as a share
of the unit's own. A loss of more than its own would make as much other work late."""

ABOVE_SHARE_COST_FACTOR = 0.5
"""Factor of the cost of stopping units of organisations above their share, so that at
about equal cost these yield first, but none loses twice the work that others would."""


class StopCosts:
    """Estimates for the placed units, each computed at most once a plan."""

    def __init__(self, accounts: ShareAccounts):
        self._accounts = accounts
        self._now_ms = 0
        self._wall_ms = 0
        self._remaining_ms_by_key: dict[UnitKey, float] = {}
        self._lost_core_ms_by_key: dict[UnitKey, float] = {}
        self._stop_cost_by_key: dict[UnitKey, float] = {}

    def begin(self, now_ms: int, wall_ms: int) -> None:
        """Start a plan."""
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._remaining_ms_by_key.clear()
        self._lost_core_ms_by_key.clear()
        self._stop_cost_by_key.clear()

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

    def stop_cost(self, unit: Unit) -> float:
        """Return the cost of stopping a unit, in core-milliseconds.

        This is the computation that it loses, and the unit's whole work if the stop
        makes its job late. Otherwise the youngest run would always be the cheapest.
        Units of organisations above their share count half.
        """
        cost = self._stop_cost_by_key.get(unit.key)
        if cost is None:
            cost = self.lost_core_ms(unit)
            if self._would_become_late(unit):
                cost += unit.cores * unit.estimate_ms
            if self._accounts.is_over(unit):
                cost *= ABOVE_SHARE_COST_FACTOR
            self._stop_cost_by_key[unit.key] = cost
        return cost

    def _would_become_late(self, unit: Unit) -> bool:
        """Whether a job that can still be on time would be late after a restart."""
        step = unit.step
        if step.is_long_running:
            return False
        remaining_ms = self.remaining_ms(unit)
        left_ms = unit.latest_start_wall_ms + unit.estimate_ms - self._wall_ms
        again_ms = unit.estimate_ms
        if step.is_checkpointing:
            again_ms = min(again_ms, remaining_ms + CHECKPOINT_LOSS_MS)
        return remaining_ms <= left_ms < STOP_MAX_MS + again_ms
