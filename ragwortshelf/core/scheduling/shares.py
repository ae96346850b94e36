"""Fair shares of organisations: weighted max-min fairness with floors.

Amounts are vectors of fractions of the capacity, one for each resource. The size of an
amount is its largest fraction, the dominant share.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .model import Resources

__all__ = [
    "SHARE_TOLERANCE",
    "Amount",
    "Demand",
    "add",
    "dominant_share",
    "fair_shares",
    "fraction",
    "organisation_weight",
]

Amount = tuple[float, float, float]
"""Processors, memory and accelerators, each as a fraction of the capacity."""

SHARE_TOLERANCE = 1e-9
"""Difference of fractions that is only a rounding error of their sums."""

_RESOURCES = range(3)


@dataclass(frozen=True, slots=True)
class Demand:
    """What an organisation asks for, the work that it runs included.

    ``guarantee`` is the dominant share up to which its demand comes before the others'.
    """

    asks: Amount
    guarantee: float = 0.0
    weight: float = 1.0


def organisation_weight(guarantee: float) -> float:
    """Return the weight of an organisation, the same for each.

    The floor already reflects the organisation's size; see ``docs/design/shares.md``
    for the comparison with weights by guarantee.
    """
    del guarantee
    return 1.0


def fraction(resources: Resources, times: int, capacity: Resources) -> Amount:
    """Return ``times`` times the resources as fractions of the capacity.

    A resource of which there is none is left out: nothing that requests it can start.
    """
    return (
        times * resources.cpu_milli / capacity.cpu_milli if capacity.cpu_milli else 0.0,
        times * resources.memory_mb / capacity.memory_mb if capacity.memory_mb else 0.0,
        times * resources.gpus / capacity.gpus if capacity.gpus else 0.0,
    )


def add(amount: Amount, other: Amount) -> Amount:
    """Return the sum of two amounts."""
    return (amount[0] + other[0], amount[1] + other[1], amount[2] + other[2])


def dominant_share(amount: Amount) -> float:
    """Return the largest of the fractions."""
    return max(amount)


def fair_shares(demand_by_name: Mapping[str, Demand]) -> dict[str, float]:
    """Return each organisation's fair share, as a dominant share.

    It is ``min(asks, max(guarantee, level x weight))`` with the highest level for which
    the sum fits. Once a resource is used up, the level goes on rising for those that do
    not need it. Guarantees that do not fit together shrink in proportion.

    >>> shares = fair_shares({
    ...     "large": Demand((0.0, 0.0, 2.0)),
    ...     "small": Demand((0.0, 0.0, 0.2)),
    ...     "owner": Demand((0.0, 0.0, 1.0), guarantee=0.5),
    ... })
    >>> {name: round(share, 3) for name, share in shares.items()}
    {'large': 0.3, 'small': 0.2, 'owner': 0.5}
    """
    return _LevelRise(demand_by_name).run()


class _LevelRise:
    """Raises the level until all demand is met or no resource is left to share."""

    def __init__(self, demand_by_name: Mapping[str, Demand]):
        self._demand_by_name = demand_by_name
        self._asks_by_name = {
            name: dominant_share(demand.asks) for name, demand in demand_by_name.items()
        }
        # An organisation's part of each resource, per unit of its dominant share.
        self._rates_by_name = {
            name: _scaled(demand.asks, 1 / asks) if asks else (0.0, 0.0, 0.0)
            for (name, demand), asks in zip(
                demand_by_name.items(), self._asks_by_name.values(), strict=True
            )
        }
        self._share_by_name = self._floors()
        self._load = self._total(self._share_by_name)
        # Ordered, so that sums of fractions are the same in each process.
        self._rising: dict[str, None] = {}
        self._slopes = [0.0, 0.0, 0.0]
        self._full_count = self._count_full()
        self._level = 0.0

    def run(self) -> dict[str, float]:
        """Return the shares."""
        # At the first of its two levels an organisation outgrows its floor, and at the
        # second it has all that it asks.
        events = []
        for name, demand in self._demand_by_name.items():
            events.append((self._share_by_name[name] / demand.weight, 0, name))
            events.append((self._asks_by_name[name] / demand.weight, 1, name))
        for level, is_met, name in sorted(events):
            self._rise_to(level)
            if is_met:
                if name in self._rising:
                    self._stop_rising(name, self._asks_by_name[name])
            elif not self._is_limited(name):
                self._rising[name] = None
                self._add_slope(name, 1)
        return self._share_by_name

    def _floors(self) -> dict[str, float]:
        floors = {
            name: min(self._asks_by_name[name], demand.guarantee)
            for name, demand in self._demand_by_name.items()
        }
        shrink = 1 / max(1.0, *self._total(floors))
        return {name: floor * shrink for name, floor in floors.items()}

    def _total(self, share_by_name: dict[str, float]) -> list[float]:
        total = [0.0, 0.0, 0.0]
        for name, share in share_by_name.items():
            for r in _RESOURCES:
                total[r] += share * self._rates_by_name[name][r]
        return total

    def _is_limited(self, name: str) -> bool:
        return any(
            self._load[r] >= 1 - SHARE_TOLERANCE and self._rates_by_name[name][r] > 0
            for r in _RESOURCES
        )

    def _rise_to(self, level: float) -> None:
        while self._level < level and self._rising:
            step = level - self._level
            for r in _RESOURCES:
                if self._slopes[r] > SHARE_TOLERANCE:
                    left = max(0.0, 1 - self._load[r])
                    step = min(step, left / self._slopes[r])
            self._level += step
            for r in _RESOURCES:
                self._load[r] += step * self._slopes[r]
            # Those that need a resource stop rising when it is used up, and do not
            # begin to afterwards. So they are looked through at most once for each.
            full_count = self._count_full()
            if full_count == self._full_count:
                break
            self._full_count = full_count
            limited = [name for name in self._rising if self._is_limited(name)]
            for name in limited:
                weight = self._demand_by_name[name].weight
                share = min(self._asks_by_name[name], self._level * weight)
                self._stop_rising(name, share)
        self._level = level

    def _count_full(self) -> int:
        return sum(load >= 1 - SHARE_TOLERANCE for load in self._load)

    def _stop_rising(self, name: str, share: float) -> None:
        del self._rising[name]
        self._add_slope(name, -1)
        self._share_by_name[name] = share

    def _add_slope(self, name: str, sign: int) -> None:
        weight = self._demand_by_name[name].weight
        for r in _RESOURCES:
            self._slopes[r] += sign * weight * self._rates_by_name[name][r]


def _scaled(amount: Amount, factor: float) -> Amount:
    return (amount[0] * factor, amount[1] * factor, amount[2] * factor)
