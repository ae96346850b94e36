"""Assignment of guaranteed shapes to the accelerators kept obtainable for them.

The *home regions* are a pure function of the configuration and its catalogue of
workers: every guaranteed shape is assigned to specific accelerators, and the remaining
ones are guaranteed to no organisation. Non-reclaimable work runs only in its own
organisation's region or on accelerators guaranteed to none. Two schedulers that do not
know of each other's placements therefore cannot together fill the region of another
organisation.

The *witness* is the assignment in force; it shows how the guarantees can be met at
once. It equals the home regions while each of their accelerators is free, held by
reclaimable work, or held by the region's organisation. If a failure makes a shape
unobtainable, another assignment is searched, and a shape without one is reported as
short.
"""

from __future__ import annotations

import collections
import functools
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ..model import Configuration, DataCentre, Grant
from .shape_assignment import Domain, ShapeUnit, assign_shapes, shape_units

__all__ = ["HomeRegions", "Witness", "find_witness", "home_regions"]

HOME_REGIONS_CACHE_SIZE = 64


@dataclass(frozen=True)
class HomeRegions:
    """Grants of each guaranteed unit; the catalogue cannot hold those ``left_out``."""

    grants_by_unit: Mapping[ShapeUnit, tuple[Grant, ...]]
    left_out: tuple[ShapeUnit, ...] = ()

    @functools.cached_property
    def owner_by_accelerator(self) -> dict[tuple[str, int], str]:
        """Organisation by (worker, index), only for guaranteed accelerators."""
        return _owner_by_accelerator(self.grants_by_unit)


@dataclass(frozen=True)
class Witness:
    """Grants of all units obtainable at once, and the reason for each short unit."""

    grants_by_unit: Mapping[ShapeUnit, tuple[Grant, ...]]
    shortage_by_unit: Mapping[ShapeUnit, str]

    @functools.cached_property
    def owner_by_accelerator(self) -> dict[tuple[str, int], str]:
        """Organisation by (worker, index), only for accelerators kept for a unit."""
        return _owner_by_accelerator(self.grants_by_unit)

    @functools.cached_property
    def size_by_organisation(self) -> dict[str, int]:
        """Number of accelerators kept for each organisation."""
        return collections.Counter(self.owner_by_accelerator.values())

    @functools.cached_property
    def accelerators_by_organisation(self) -> dict[str, dict[str, list[int]]]:
        """Indices of the accelerators kept, by organisation and then by worker."""
        indices_by_organisation: dict[str, dict[str, list[int]]] = {}
        for unit, grants in self.grants_by_unit.items():
            by_worker = indices_by_organisation.setdefault(unit.organisation, {})
            for grant in grants:
                by_worker.setdefault(grant.worker, []).extend(grant.accelerators)
        return indices_by_organisation


def home_regions(configuration: Configuration, data_centre_name: str) -> HomeRegions:
    """Return the home regions of one data centre.

    Equal configurations give equal regions on every instance.
    """
    data_centre = configuration.data_centres_by_name.get(data_centre_name)
    if data_centre is None:
        return HomeRegions({})
    return _home_regions(
        tuple(shape_units(configuration, data_centre_name)), data_centre
    )


@functools.lru_cache(HOME_REGIONS_CACHE_SIZE)
def _home_regions(units: tuple[ShapeUnit, ...], data_centre: DataCentre) -> HomeRegions:
    size_by_worker = {
        worker: rack.accelerators_per_worker
        for rack in data_centre.racks
        for worker in rack.workers
    }
    domains = [
        Domain(worker, rack.name, rack.accelerators_per_worker)
        for rack in data_centre.racks
        for worker in rack.workers
    ]
    parts_by_unit, left_out = assign_shapes(units, domains)
    free_by_worker = {name: list(range(size)) for name, size in size_by_worker.items()}
    grants_by_unit = {
        unit: _grants(parts, free_by_worker) for unit, parts in parts_by_unit.items()
    }
    return HomeRegions(grants_by_unit, tuple(left_out))


# Returns the organisation whose units may be assigned the accelerator (worker, index):
# "" stands for any organisation, None for none.
Availability = Callable[[str, int], str | None]


def find_witness(
    home: HomeRegions,
    workers: Iterable[tuple[str, str, int]],
    availability: Availability,
    explain_shortage: Callable[[ShapeUnit, tuple[Grant, ...]], str],
) -> Witness:
    """Return an assignment of the units to available accelerators, with shortages.

    ``workers`` are (name, rack, accelerators). ``explain_shortage`` returns why a unit
    cannot be assigned, given its grants in the home regions. Units whose home is
    available keep it; only if that leaves others out are all units assigned anew.
    """
    intact = {
        unit: grants
        for unit, grants in home.grants_by_unit.items()
        if _is_available(unit, grants, availability)
    }
    unavailable = [u for u in home.grants_by_unit if u not in intact] + list(
        home.left_out
    )
    if not unavailable:
        return Witness(intact, {})
    worker_list = list(workers)
    reassigned, left_out = _assign_available(
        unavailable, worker_list, availability, _owner_by_accelerator(intact)
    )
    if left_out:
        all_units = [*home.grants_by_unit, *home.left_out]
        full_assignment, full_left_out = _assign_available(
            all_units, worker_list, availability, {}
        )
        if not full_left_out:
            return Witness(full_assignment, {})
    shortage_by_unit = {
        unit: explain_shortage(unit, home.grants_by_unit.get(unit, ()))
        for unit in left_out
    }
    return Witness({**intact, **reassigned}, shortage_by_unit)


def _assign_available(
    units: list[ShapeUnit],
    workers: list[tuple[str, str, int]],
    availability: Availability,
    excluded: Mapping[tuple[str, int], str],
) -> tuple[dict[ShapeUnit, tuple[Grant, ...]], list[ShapeUnit]]:
    """Return grants by unit, and the units left out.

    The grants exclude the accelerators in ``taken``.
    """
    domains = []
    shared_by_worker: dict[str, list[int]] = {}
    own_by_worker: dict[str, dict[str, list[int]]] = {}
    for name, rack, size in workers:
        shared = shared_by_worker.setdefault(name, [])
        own = own_by_worker.setdefault(name, {})
        for index in range(size):
            eligible = None if (name, index) in excluded else availability(name, index)
            if eligible == "":
                shared.append(index)
            elif eligible is not None:
                own.setdefault(eligible, []).append(index)
        counts = {eligible: len(indices) for eligible, indices in own.items()}
        domains.append(Domain(name, rack, len(shared), counts))
    parts_by_unit, left_out = assign_shapes(units, domains)
    grants_by_unit = {}
    for unit, parts in parts_by_unit.items():
        grants = []
        for name, count in parts:
            own = own_by_worker[name].setdefault(unit.organisation, [])
            chosen = _take_first(own, count)
            chosen += _take_first(shared_by_worker[name], count - len(chosen))
            grants.append(Grant(name, tuple(sorted(chosen))))
        grants_by_unit[unit] = tuple(grants)
    return grants_by_unit, left_out


def _is_available(
    unit: ShapeUnit, grants: tuple[Grant, ...], availability: Availability
) -> bool:
    return all(
        availability(grant.worker, index) in ("", unit.organisation)
        for grant in grants
        for index in grant.accelerators
    )


def _grants(
    parts: list[tuple[str, int]], free_by_worker: dict[str, list[int]]
) -> tuple[Grant, ...]:
    return tuple(
        Grant(worker, tuple(_take_first(free_by_worker[worker], count)))
        for worker, count in parts
    )


def _take_first(indices: list[int], count: int) -> list[int]:
    """Remove and return the first ``count`` of the indices."""
    chosen = indices[:count]
    del indices[:count]
    return chosen


def _owner_by_accelerator(
    grants_by_unit: Mapping[ShapeUnit, tuple[Grant, ...]],
) -> dict[tuple[str, int], str]:
    return {
        (grant.worker, index): unit.organisation
        for unit, grants in grants_by_unit.items()
        for grant in grants
        for index in grant.accelerators
    }
