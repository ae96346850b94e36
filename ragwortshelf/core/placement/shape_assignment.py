"""Simultaneous assignment of all guaranteed shapes to accelerators.

Shapes that need one worker are assigned first, then shapes that need one rack, then
the rest. In this order, how a rack's shape is distributed over its workers cannot
affect a later shape, so that only the sums by rack matter and the search stays small.
Best fit is tried first; if it leaves a shape out, a depth-first search with a bounded
number of steps looks for an assignment of all shapes.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..model import Adjacency, Configuration, Shape

__all__ = ["Domain", "ShapeUnit", "assign_shapes", "shape_units"]

SEARCH_STEPS_MAX = 20_000
SEARCH_UNITS_MAX = 200  # deeper searches would exceed the interpreter's stack

_RANK_BY_ADJACENCY = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.DATA_CENTRE: 2}


@dataclass(frozen=True, slots=True)
class ShapeUnit:
    """One group of a guaranteed shape; ``number`` distinguishes equal groups."""

    organisation: str
    shape: Shape
    number: int


@dataclass(slots=True)
class Domain:
    """Available accelerators of one worker, one rack or the whole data centre.

    ``worker`` is empty for a rack, and ``rack`` too for the data centre. ``shared``
    accelerators are free or held by reclaimable work and can serve any organisation.
    Those in ``own_by_organisation`` are held by non-reclaimable work, and can serve
    only the organisation of that work.
    """

    worker: str
    rack: str
    shared: int
    own_by_organisation: dict[str, int] = field(default_factory=dict)

    def capacity(self, organisation: str) -> int:
        """Return how many accelerators can serve ``organisation``."""
        return self.shared + self.own_by_organisation.get(organisation, 0)

    def take(self, organisation: str, accelerators: int) -> tuple[int, int]:
        """Take own accelerators first; return how many were shared and own."""
        own = min(self.own_by_organisation.get(organisation, 0), accelerators)
        shared = accelerators - own
        self.change(organisation, -shared, -own)
        return shared, own

    def change(self, organisation: str, shared: int, own: int) -> None:
        """Add to the counts of shared and own accelerators; they may be negative."""
        self.shared += shared
        if own:
            self.own_by_organisation[organisation] += own


Assignment = dict[ShapeUnit, list[tuple[str, int]]]


def shape_units(configuration: Configuration, data_centre: str) -> list[ShapeUnit]:
    """Return every guaranteed group in the data centre in the order of assignment."""
    units = [
        ShapeUnit(organisation.name, shape, number)
        for organisation in configuration.organisations_by_name.values()
        for shape in dict.fromkeys(organisation.guarantees)
        if shape.data_centre == data_centre
        for number in range(shape.count * organisation.guarantees.count(shape))
    ]
    return sorted(units, key=_unit_key)


def assign_shapes(
    units: Iterable[ShapeUnit], domains: Sequence[Domain]
) -> tuple[Assignment, list[ShapeUnit]]:
    """Return (worker, count) parts for each unit, and the units left out.

    If units are left out, the search found no complete assignment within its bound,
    and the other units are assigned by best fit.
    """
    ordered = sorted(units, key=_unit_key)
    search = _Search(domains)
    left_out = [unit for unit in ordered if not search.place_best_fit(unit)]
    if left_out and len(ordered) <= SEARCH_UNITS_MAX:
        backtracking = _Search(domains)
        if backtracking.place_all(ordered, 0):
            return backtracking.assignment(), []
    return search.assignment(), left_out


def _unit_key(unit: ShapeUnit) -> tuple[int, int, str, int]:
    shape = unit.shape
    rank = _RANK_BY_ADJACENCY[shape.adjacency]
    return (rank, -shape.accelerators, unit.organisation, unit.number)


class _Search:
    """Domains by worker, rack and data centre, and the domain assigned to each unit."""

    def __init__(self, domains: Sequence[Domain]) -> None:
        self._workers = [
            Domain(d.worker, d.rack, d.shared, dict(d.own_by_organisation))
            for d in domains
        ]
        self._input_domains = domains
        self._rack_by_name: dict[str, Domain] = {}
        self._data_centre = Domain("", "", 0)
        for domain in domains:
            rack = self._rack_by_name.setdefault(
                domain.rack, Domain("", domain.rack, 0)
            )
            for total in (rack, self._data_centre):
                _add_to_total(total, domain)
        self._domain_by_unit: dict[ShapeUnit, Domain] = {}
        self._steps = 0

    def place_best_fit(self, unit: ShapeUnit) -> bool:
        """Place one unit where it leaves the fewest free; return whether it fits."""
        best = min(self._candidates(unit), key=lambda c: c[0], default=None)
        if best is None:
            return False
        self._allocate(unit, best[1])
        return True

    def place_all(self, units: list[ShapeUnit], position: int) -> bool:
        """Place the units from ``position`` on, with backtracking over their domains.

        Of equivalent domains only the first is tried.
        """
        if position == len(units):
            return True
        unit = units[position]
        seen = set()
        for _, domain in sorted(self._candidates(unit), key=lambda c: c[0]):
            own = tuple(sorted(domain.own_by_organisation.items()))
            signature = (domain.rack if domain.worker else "", domain.shared, own)
            if signature in seen:
                continue
            seen.add(signature)
            self._steps += 1
            if self._steps > SEARCH_STEPS_MAX:
                return False
            allocated = self._allocate(unit, domain)
            if self.place_all(units, position + 1):
                return True
            self._release(unit, allocated)
        return False

    def assignment(self) -> Assignment:
        """Return the parts of each unit, with larger domains resolved to workers."""
        domains = {
            d.worker: Domain(d.worker, d.rack, d.shared, dict(d.own_by_organisation))
            for d in self._input_domains
        }
        parts_by_unit: Assignment = {}
        for unit in sorted(self._domain_by_unit, key=_unit_key):
            domain = self._domain_by_unit[unit]
            names = [
                d.worker
                for d in self._input_domains
                if domain.worker in ("", d.worker) and domain.rack in ("", d.rack)
            ]
            parts_by_unit[unit] = _distribute_over_workers(
                unit, [domains[name] for name in names]
            )
        return parts_by_unit

    def _candidates(self, unit: ShapeUnit) -> list[tuple[tuple, Domain]]:
        needed = unit.shape.accelerators
        if unit.shape.adjacency is Adjacency.WORKER:
            domains: Iterable[Domain] = self._workers
        elif unit.shape.adjacency is Adjacency.RACK:
            domains = self._rack_by_name.values()
        else:
            domains = (self._data_centre,)
        candidates = []
        for domain in domains:
            capacity = domain.capacity(unit.organisation)
            if capacity >= needed:
                rack = self._rack_by_name.get(domain.rack, self._data_centre)
                key = (capacity - needed, rack.shared, domain.rack, domain.worker)
                candidates.append((key, domain))
        return candidates

    def _allocate(self, unit: ShapeUnit, domain: Domain) -> tuple[int, int]:
        allocated = domain.take(unit.organisation, unit.shape.accelerators)
        self._change_enclosing(unit, domain, -allocated[0], -allocated[1])
        self._domain_by_unit[unit] = domain
        return allocated

    def _release(self, unit: ShapeUnit, allocated: tuple[int, int]) -> None:
        domain = self._domain_by_unit.pop(unit)
        domain.change(unit.organisation, *allocated)
        self._change_enclosing(unit, domain, *allocated)

    def _change_enclosing(
        self, unit: ShapeUnit, domain: Domain, shared: int, own: int
    ) -> None:
        if domain.worker:
            self._rack_by_name[domain.rack].change(unit.organisation, shared, own)
        if domain.rack:
            self._data_centre.change(unit.organisation, shared, own)


def _add_to_total(total: Domain, domain: Domain) -> None:
    total.shared += domain.shared
    for organisation, own in domain.own_by_organisation.items():
        previous = total.own_by_organisation.get(organisation, 0)
        total.own_by_organisation[organisation] = previous + own


def _distribute_over_workers(
    unit: ShapeUnit, domains: list[Domain]
) -> list[tuple[str, int]]:
    """Return (worker, count) parts of the unit, and take them from the domains.

    Own accelerators are taken first, then shared ones from the workers with fewest.
    """
    organisation = unit.organisation
    remaining = unit.shape.accelerators
    count_by_worker: dict[str, int] = {}
    for domain in domains:
        own = min(domain.own_by_organisation.get(organisation, 0), remaining)
        if own:
            domain.change(organisation, 0, -own)
            count_by_worker[domain.worker] = own
            remaining -= own
    for domain in sorted(domains, key=lambda d: (d.shared, d.worker)):
        shared = min(domain.shared, remaining)
        if shared:
            domain.change(organisation, -shared, 0)
            count_by_worker[domain.worker] = (
                count_by_worker.get(domain.worker, 0) + shared
            )
            remaining -= shared
    return list(count_by_worker.items())
