"""Use and fair share of each organisation during one plan."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from . import shares
from .configuration import ServiceConfiguration
from .endpoint import Endpoint
from .model import Resources, UnitPhase
from .shares import SHARE_TOLERANCE, Amount, Demand
from .unit import Unit

__all__ = ["ShareAccounts"]

_NOTHING: Amount = (0.0, 0.0, 0.0)


class ShareAccounts:
    """Tells which units would bring their organisation above its fair share.

    Nothing is computed before ``compute``, and until then nobody is above its share.
    ``begin`` starts a plan and forgets what the one before it computed. Organisations
    are told apart by service, as each has endpoints of its own. ``is_contended`` is set
    if one of them asks for more than its fair share.
    """

    def __init__(self) -> None:
        self.is_computed = False
        self.is_contended = False
        self._configuration: ServiceConfiguration | None = None
        self._capacity_by_service: dict[str, Resources] = {}
        self._use_by_owner: dict[tuple[str, str], Amount] = {}
        self._fair_share_by_owner: dict[tuple[str, str], float] = {}
        self._over: frozenset[tuple[str, str]] = frozenset()
        # Units of a step are alike. Steps are alive while their units are.
        self._is_above_by_step: dict[int, bool] = {}

    @property
    def above_count(self) -> int:
        """Organisations whose placed units take more than their fair share."""
        return len({organisation for _, organisation in self._over})

    def begin(self) -> None:
        """Start a plan."""
        self.is_computed = False
        self.is_contended = False
        self._over = frozenset()
        self._is_above_by_step.clear()

    def compute(
        self,
        units: Iterable[Unit],
        usable: Iterable[Endpoint],
        configuration: ServiceConfiguration,
    ) -> None:
        """Compute all shares from the units and the endpoints that are usable now."""
        self.is_computed = True
        self._configuration = configuration
        self._capacity_by_service = _capacities(usable)
        # Tasks of one step occupy the same, so they are counted before they are added.
        counts_by_step: dict[int, list] = {}
        waiting, placed, ending = UnitPhase.WAITING, UnitPhase.PLACED, UnitPhase.ENDING
        for unit in units:
            phase = unit.phase
            if phase is ending:
                if not unit.job.is_active:
                    # Stopped because its job was cancelled; it asks for nothing more.
                    continue
            elif phase is not waiting and phase is not placed:
                continue
            step_id = id(unit.step)
            counts = counts_by_step.get(step_id)
            if counts is None:
                counts = counts_by_step[step_id] = [unit, 0, 0]
            counts[1] += 1
            if phase is placed:
                counts[2] += 1
        # Summed as whole numbers, since a flood has a step for each unit.
        sums_by_owner: dict[tuple[str, str], tuple[list, list]] = {}
        for unit, asked_units, placed_units in counts_by_step.values():
            owner = self._owner(unit)
            sums = sums_by_owner.get(owner)
            if sums is None:
                sums = sums_by_owner[owner] = [0, 0, 0], [0, 0, 0]
            occupied = unit.step.occupied
            _add_times(sums[0], occupied, asked_units * unit.count)
            if placed_units:
                _add_times(sums[1], occupied, placed_units * unit.count)
        asks: dict[tuple[str, str], Amount] = {}
        use: dict[tuple[str, str], Amount] = {}
        for owner, (asked, placed) in sums_by_owner.items():
            capacity = self._capacity_by_service.get(owner[0], Resources())
            asks[owner] = shares.fraction(Resources(*asked), 1, capacity)
            if any(placed):
                use[owner] = shares.fraction(Resources(*placed), 1, capacity)
        self._use_by_owner = use
        self._fair_share_by_owner = {}
        for service in {owner[0]: None for owner in asks}:
            demand_by_name = {
                name: self._demand(service, name, amount)
                for (of_service, name), amount in asks.items()
                if of_service == service
            }
            for name, share in shares.fair_shares(demand_by_name).items():
                self._fair_share_by_owner[service, name] = share
        self.is_contended = any(
            shares.dominant_share(amount)
            > self._fair_share_by_owner[owner] + SHARE_TOLERANCE
            for owner, amount in asks.items()
        )
        self._over = frozenset(
            owner
            for owner, amount in use.items()
            if shares.dominant_share(amount)
            > self._fair_share_by_owner[owner] + SHARE_TOLERANCE
        )

    def is_above(self, unit: Unit) -> bool:
        """Whether starting the unit brings its organisation above its share.

        The only unit of an organisation does not, as it cannot be divided. Otherwise
        gangs larger than a share would start after all others.
        """
        if not self.is_contended:
            return False
        is_above = self._is_above_by_step.get(id(unit.step))
        if is_above is None:
            is_above = self._is_above_by_step[id(unit.step)] = self._would_exceed(unit)
        return is_above

    def _would_exceed(self, unit: Unit) -> bool:
        owner = self._owner(unit)
        use = self._use(owner)
        if use == _NOTHING:
            return False
        after = shares.add(use, self._amount(unit, owner))
        fair_share = self._fair_share_by_owner.get(owner, 0.0)
        return shares.dominant_share(after) > fair_share + SHARE_TOLERANCE

    def is_over(self, unit: Unit) -> bool:
        """Whether the organisation's placed units took more than its share."""
        return bool(self._over) and self._owner(unit) in self._over

    def may_preempt(self, claimant: Unit, victim: Unit) -> bool:
        """Whether shares let the claimant have the victim stopped.

        An organisation above its share stops units of its own, and of others above
        theirs.
        """
        if not self.is_above(claimant) or self.is_over(victim):
            return True
        return claimant.job.spec.organisation == victim.job.spec.organisation

    def charge(self, unit: Unit) -> None:
        """Count a unit that was placed, or for which room was reserved."""
        if self.is_computed:
            owner = self._owner(unit)
            amount = self._amount(unit, owner)
            self._use_by_owner[owner] = shares.add(self._use(owner), amount)
            self._is_above_by_step.clear()

    def standing(self, unit: Unit) -> tuple[float, float] | None:
        """Return the use and the fair share of a unit's organisation, if computed."""
        if not self.is_computed:
            return None
        owner = self._owner(unit)
        use = shares.dominant_share(self._use(owner))
        return use, self._fair_share_by_owner.get(owner, 0.0)

    def _use(self, owner: tuple[str, str]) -> Amount:
        return self._use_by_owner.get(owner, _NOTHING)

    def _amount(self, unit: Unit, owner: tuple[str, str]) -> Amount:
        capacity = self._capacity_by_service.get(owner[0], Resources())
        return shares.fraction(unit.step.occupied, unit.count, capacity)

    def _owner(self, unit: Unit) -> tuple[str, str]:
        spec = unit.job.spec
        queue = self._configuration.queue_by_name.get(spec.queue)
        return (queue.service if queue else spec.service), spec.organisation

    def _demand(self, service: str, name: str, asks: Amount) -> Demand:
        organisation = self._configuration.organisation_by_name.get(name)
        capacity = self._capacity_by_service.get(service)
        gpus = organisation.guaranteed_gpus if organisation else 0
        guarantee = gpus / capacity.gpus if capacity and capacity.gpus else 0.0
        return Demand(asks, guarantee, shares.organisation_weight(guarantee))


def _capacities(usable: Iterable[Endpoint]) -> dict[str, Resources]:
    amounts: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
    for endpoint in usable:
        capacity = endpoint.info.capacity
        amount = amounts[endpoint.info.service]
        amount[0] += capacity.cpu_milli
        amount[1] += capacity.memory_mb
        amount[2] += capacity.gpus
    return {service: Resources(*amount) for service, amount in amounts.items()}


def _add_times(amounts: list[int], resources: Resources, times: int) -> None:
    amounts[0] += times * resources.cpu_milli
    amounts[1] += times * resources.memory_mb
    amounts[2] += times * resources.gpus
