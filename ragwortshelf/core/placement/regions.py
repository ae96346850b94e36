"""Which accelerators are kept obtainable for which organisation.

The *home regions* are a pure function of the configuration and its catalogue of
workers: every promised shape is assigned to named accelerators, and the rest is
promised to nobody. Work that cannot be reclaimed runs only on its own organisation's
region or on what is promised to nobody, so two schedulers that know nothing of each
other's placements cannot together fill a region that belongs to a third.

The *witness* is the assignment in force. It equals the home regions while every
accelerator of them is free, held by reclaimable work, or held by its own
organisation. Where a failure breaks a shape, another assignment is searched, and a
shape without one is reported as short.
"""

from __future__ import annotations

import collections
import functools
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ..model import Configuration, DataCentre, Grant
from .shapes import Room, ShapeUnit, assign_shapes, shape_units

__all__ = ["HomeRegions", "Witness", "find_witness", "home_regions"]

CACHED_CONFIGURATIONS = 64


@dataclass(frozen=True)
class HomeRegions:
    """Grants by promised unit; ``left_out`` exceed the catalogue."""

    grants_by_unit: Mapping[ShapeUnit, tuple[Grant, ...]]
    left_out: tuple[ShapeUnit, ...] = ()

    @functools.cached_property
    def owner_by_accelerator(self) -> dict[tuple[str, int], str]:
        """Organisation by (worker, index); what is promised to nobody is absent."""
        return _owners(self.grants_by_unit)


@dataclass(frozen=True)
class Witness:
    """Grants by unit that can be had at once, and the short units with the reason."""

    grants_by_unit: Mapping[ShapeUnit, tuple[Grant, ...]]
    shortage_by_unit: Mapping[ShapeUnit, str]

    @functools.cached_property
    def owner_by_accelerator(self) -> dict[tuple[str, int], str]:
        """Organisation by (worker, index); what is kept for nobody is absent."""
        return _owners(self.grants_by_unit)

    @functools.cached_property
    def size_by_organisation(self) -> dict[str, int]:
        """Number of accelerators that are kept for each organisation."""
        return collections.Counter(self.owner_by_accelerator.values())

    @functools.cached_property
    def accelerators_by_organisation(self) -> dict[str, dict[str, list[int]]]:
        """Indices by worker by organisation."""
        found: dict[str, dict[str, list[int]]] = {}
        for unit, grants in self.grants_by_unit.items():
            by_worker = found.setdefault(unit.organisation, {})
            for grant in grants:
                by_worker.setdefault(grant.worker, []).extend(grant.accelerators)
        return found


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


@functools.lru_cache(CACHED_CONFIGURATIONS)
def _home_regions(units: tuple[ShapeUnit, ...], data_centre: DataCentre) -> HomeRegions:
    size_by_worker = {
        worker: rack.accelerators_per_worker
        for rack in data_centre.racks
        for worker in rack.workers
    }
    rooms = [
        Room(worker, rack.name, rack.accelerators_per_worker)
        for rack in data_centre.racks
        for worker in rack.workers
    ]
    parts_by_unit, left_out = assign_shapes(units, rooms)
    free_by_worker = {name: list(range(size)) for name, size in size_by_worker.items()}
    grants_by_unit = {
        unit: _grants(parts, free_by_worker) for unit, parts in parts_by_unit.items()
    }
    return HomeRegions(grants_by_unit, tuple(left_out))


# The organisation that may count an accelerator: "" is any, None is nobody.
Availability = Callable[[str, int], str | None]


def find_witness(
    home: HomeRegions,
    workers: Iterable[tuple[str, str, int]],
    availability: Availability,
    obstacle: Callable[[ShapeUnit, tuple[Grant, ...]], str],
) -> Witness:
    """Return an assignment of all units to available accelerators, or its shortages.

    ``workers`` are (name, rack, accelerators). ``availability`` tells for a worker and
    index whose unit may count it; ``obstacle`` says what stands on a unit's home.
    """
    intact = {
        unit: grants
        for unit, grants in home.grants_by_unit.items()
        if _is_available(unit, grants, availability)
    }
    broken = [u for u in home.grants_by_unit if u not in intact] + list(home.left_out)
    if not broken:
        return Witness(intact, {})
    listed = list(workers)
    found, left_out = _search(broken, listed, availability, _owners(intact))
    if left_out:
        everything = [*home.grants_by_unit, *home.left_out]
        all_found, all_left_out = _search(everything, listed, availability, {})
        if not all_left_out:
            return Witness(all_found, {})
    shortage_by_unit = {
        unit: obstacle(unit, home.grants_by_unit.get(unit, ())) for unit in left_out
    }
    return Witness({**intact, **found}, shortage_by_unit)


def _search(
    units: list[ShapeUnit],
    workers: list[tuple[str, str, int]],
    availability: Availability,
    taken: Mapping[tuple[str, int], str],
) -> tuple[dict[ShapeUnit, tuple[Grant, ...]], list[ShapeUnit]]:
    rooms = []
    shared_by_worker: dict[str, list[int]] = {}
    own_by_worker: dict[str, dict[str, list[int]]] = {}
    for name, rack, size in workers:
        shared = shared_by_worker.setdefault(name, [])
        own = own_by_worker.setdefault(name, {})
        for index in range(size):
            who = None if (name, index) in taken else availability(name, index)
            if who == "":
                shared.append(index)
            elif who is not None:
                own.setdefault(who, []).append(index)
        counts = {who: len(indices) for who, indices in own.items()}
        rooms.append(Room(name, rack, len(shared), counts))
    parts_by_unit, left_out = assign_shapes(units, rooms)
    grants_by_unit = {}
    for unit, parts in parts_by_unit.items():
        grants = []
        for name, count in parts:
            own = own_by_worker[name].setdefault(unit.organisation, [])
            chosen = _cut(own, count)
            chosen += _cut(shared_by_worker[name], count - len(chosen))
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
        Grant(worker, tuple(_cut(free_by_worker[worker], count)))
        for worker, count in parts
    )


def _cut(indices: list[int], count: int) -> list[int]:
    """Remove and return the first ``count`` of the indices."""
    chosen = indices[:count]
    del indices[:count]
    return chosen


def _owners(
    grants_by_unit: Mapping[ShapeUnit, tuple[Grant, ...]],
) -> dict[tuple[str, int], str]:
    return {
        (grant.worker, index): unit.organisation
        for unit, grants in grants_by_unit.items()
        for grant in grants
        for index in grant.accelerators
    }
