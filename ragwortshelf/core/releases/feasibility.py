"""Check that a data centre can hold the guaranteed shapes of all organisations at once.

The result is part of a note's verdict and has to be the same on every instance and
version, so the search is bounded by a number of steps, never by time.

A group of adjacency ``worker`` takes accelerators of one worker, one of ``rack`` those
of one rack, and one of ``data_centre`` any. A packing therefore assigns each group of
adjacency ``worker`` to a worker and each of adjacency ``rack`` to a rack; for the rest,
the total number of accelerators has to suffice.

Groups are placed in order of decreasing size: first by best fit, then, if that fails,
by an exhaustive search of at most ``MAX_SEARCH_STEPS``. A search that completes is
exact; one that reaches the limit counts as "does not fit", so that every guarantee that
is accepted was shown to fit.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..model import Adjacency, DataCentre, Shape

__all__ = ["MAX_GROUPS", "MAX_SEARCH_STEPS", "packing_fault"]

MAX_SEARCH_STEPS = 5_000
"""Placements that the exhaustive search tries before it stops undecided."""

MAX_GROUPS = 100_000
"""Groups in one data centre beyond which the shapes are refused without a search."""


def packing_fault(data_centre: DataCentre, shapes: Iterable[Shape]) -> str | None:
    """Return why the shapes do not fit into the data centre at once, or None.

    >>> from ragwortshelf.core.model import Rack
    >>> data_centre = DataCentre("dc1", "north", (Rack("r1", ("w1", "w2"), 8),))
    >>> packing_fault(data_centre, [Shape("dc1", 8, Adjacency.WORKER, 2)])
    >>> packing_fault(data_centre, [Shape("dc1", 5, Adjacency.WORKER, 3)])
    'the guaranteed shapes do not fit at once'
    """
    shapes = tuple(shapes)
    if sum(shape.count for shape in shapes) > MAX_GROUPS:
        return f"more than {MAX_GROUPS} groups are guaranteed"
    guaranteed = sum(shape.accelerators * shape.count for shape in shapes)
    if guaranteed > data_centre.accelerators:
        return (
            f"{guaranteed} accelerators are guaranteed,"
            f" the catalogue has {data_centre.accelerators}"
        )
    groups = _adjacent_groups(shapes)
    if _Bins(data_centre).place_greedily(groups):
        return None
    search = _Search(_Bins(data_centre), groups)
    if search.run():
        return None
    if search.has_reached_limit:
        return "the guaranteed shapes could not be shown to fit at once"
    return "the guaranteed shapes do not fit at once"


@dataclass(frozen=True, slots=True, order=True)
class _Group:
    accelerators: int
    is_rack_adjacent: bool


def _adjacent_groups(shapes):
    """Return the groups of adjacency worker or rack by decreasing size.

    Of two groups of one size, that of adjacency rack comes first.
    """
    groups = []
    for shape in shapes:
        if shape.adjacency is not Adjacency.DATA_CENTRE:
            group = _Group(shape.accelerators, shape.adjacency is Adjacency.RACK)
            groups.extend([group] * shape.count)
    groups.sort(reverse=True)
    return groups


class _Bins:
    """Free accelerators of each rack and of each worker.

    Groups of adjacency worker reduce the counts of their worker and its rack. Groups of
    adjacency rack reduce that of the rack alone, since they may use what remains on any
    of its workers.
    """

    def __init__(self, data_centre):
        self.free_by_rack = []
        self.free_by_worker = []
        for rack in data_centre.racks:
            size = rack.accelerators_per_worker
            self.free_by_rack.append(len(rack.workers) * size)
            self.free_by_worker.append([size] * len(rack.workers))

    def place_greedily(self, groups):
        return all(self._place_in_tightest(group) for group in groups)

    def _place_in_tightest(self, group):
        places = self.places(group)
        if not places:
            return False
        self.allocate(group, places[0])
        return True

    def places(self, group):
        """Return the places for a group, the tightest first.

        A place is the index of a rack with that of a worker in it, which is None for a
        group of adjacency rack. Of places with equal free counts, only the first is
        returned.
        """
        place_by_free_counts = {}
        for rack, free in enumerate(self.free_by_rack):
            if free < group.accelerators:
                continue
            if group.is_rack_adjacent:
                free_counts = (free, tuple(sorted(self.free_by_worker[rack])))
                place_by_free_counts.setdefault(free_counts, (rack, None))
                continue
            for worker, free_in_worker in enumerate(self.free_by_worker[rack]):
                if free_in_worker >= group.accelerators:
                    place_by_free_counts.setdefault(
                        (free_in_worker, free), (rack, worker)
                    )
        return [
            place_by_free_counts[free_counts]
            for free_counts in sorted(place_by_free_counts)
        ]

    def allocate(self, group, place, sign=-1):
        """Take the group's accelerators at the place, or return them if sign is 1."""
        rack, worker = place
        self.free_by_rack[rack] += sign * group.accelerators
        if worker is not None:
            self.free_by_worker[rack][worker] += sign * group.accelerators


class _Search:
    """Iterative depth-first search over the places of all groups.

    ``has_reached_limit`` says whether the search stopped undecided.
    """

    def __init__(self, bins, groups):
        self._bins = bins
        self._groups = groups
        self.has_reached_limit = False

    def run(self):
        """Return whether a placement of all groups was found."""
        steps = 0
        untried_places = []
        chosen_places = []
        while len(chosen_places) < len(self._groups):
            if len(untried_places) == len(chosen_places):
                places = self._bins.places(self._groups[len(chosen_places)])
                untried_places.append(places[::-1])
            if untried_places[-1]:
                steps += 1
                if steps > MAX_SEARCH_STEPS:
                    self.has_reached_limit = True
                    return False
                place = untried_places[-1].pop()
                self._bins.allocate(self._groups[len(chosen_places)], place)
                chosen_places.append(place)
                continue
            untried_places.pop()
            if not chosen_places:
                return False
            place = chosen_places.pop()
            self._bins.allocate(self._groups[len(chosen_places)], place, sign=1)
        return True
