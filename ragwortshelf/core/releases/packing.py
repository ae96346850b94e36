"""Whether a data centre can hold the guaranteed shapes of all organisations at once.

The answer has to be the same on every instance and version, since it is part of a
note's verdict: the search is bounded by a count of steps, never by time.

A group of adjacency ``worker`` takes accelerators of one worker, one of ``rack`` those
of one rack, and one of ``data_centre`` any. So the groups of workers have to fit into
workers, those together with the groups of racks into racks, and all into the data
centre. Groups are placed from the largest on: first each where it leaves least room
over, then, if that fails, by a search over all ways that gives up after
``MAX_SEARCH_STEPS``. A search that ends by itself is exact; one that gives up counts as
"does not fit", so that nothing is promised that was not shown to fit.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..model import Adjacency, DataCentre, Shape

__all__ = ["MAX_GROUPS", "MAX_SEARCH_STEPS", "packing_fault"]

MAX_SEARCH_STEPS = 5_000
MAX_GROUPS = 100_000
"""Groups in one data centre beyond which the shapes are refused unread."""


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
    promised = sum(shape.accelerators * shape.count for shape in shapes)
    if promised > data_centre.accelerators:
        return (
            f"{promised} accelerators are guaranteed,"
            f" the catalogue has {data_centre.accelerators}"
        )
    groups = _groups(shapes)
    if _Bins(data_centre).place_greedily(groups):
        return None
    search = _Search(_Bins(data_centre), groups)
    if search.run():
        return None
    if search.has_given_up:
        return "the guaranteed shapes could not be shown to fit at once"
    return "the guaranteed shapes do not fit at once"


@dataclass(frozen=True, slots=True, order=True)
class _Group:
    accelerators: int
    is_rack: bool


def _groups(shapes):
    """Groups that need adjacency, from the largest on; racks first among equals."""
    groups = []
    for shape in shapes:
        if shape.adjacency is not Adjacency.DATA_CENTRE:
            group = _Group(shape.accelerators, shape.adjacency is Adjacency.RACK)
            groups.extend([group] * shape.count)
    groups.sort(reverse=True)
    return groups


class _Bins:
    """Free accelerators of each rack and of each worker.

    A rack's free count is what neither kind of group took; a worker's is what groups
    of workers left of it. Groups of racks take a rack's count alone, since they may
    be made of what remains of any of its workers.
    """

    def __init__(self, data_centre):
        self.free_by_rack = []
        self.free_by_worker = []
        for rack in data_centre.racks:
            size = rack.accelerators_per_worker
            self.free_by_rack.append(len(rack.workers) * size)
            self.free_by_worker.append([size] * len(rack.workers))

    def place_greedily(self, groups):
        return all(self._place_tightest(group) for group in groups)

    def _place_tightest(self, group):
        choices = self.choices(group)
        if not choices:
            return False
        self.take(group, choices[0])
        return True

    def choices(self, group):
        """Distinct places of a group, the tightest first."""
        place_by_room = {}
        for rack, free in enumerate(self.free_by_rack):
            if free < group.accelerators:
                continue
            if group.is_rack:
                room = (free, tuple(sorted(self.free_by_worker[rack])))
                place_by_room.setdefault(room, (rack, None))
                continue
            for worker, left in enumerate(self.free_by_worker[rack]):
                if left >= group.accelerators:
                    place_by_room.setdefault((left, free), (rack, worker))
        return [place_by_room[room] for room in sorted(place_by_room)]

    def take(self, group, place, sign=-1):
        rack, worker = place
        self.free_by_rack[rack] += sign * group.accelerators
        if worker is not None:
            self.free_by_worker[rack][worker] += sign * group.accelerators


class _Search:
    """Depth-first search without recursion over the places of all groups."""

    def __init__(self, bins, groups):
        self._bins = bins
        self._groups = groups
        self.has_given_up = False

    def run(self):
        steps = 0
        untried = []
        taken = []
        while len(taken) < len(self._groups):
            if len(untried) == len(taken):
                choices = self._bins.choices(self._groups[len(taken)])
                untried.append(choices[::-1])
            if untried[-1]:
                steps += 1
                if steps > MAX_SEARCH_STEPS:
                    self.has_given_up = True
                    return False
                place = untried[-1].pop()
                self._bins.take(self._groups[len(taken)], place)
                taken.append(place)
                continue
            untried.pop()
            if not taken:
                return False
            place = taken.pop()
            self._bins.take(self._groups[len(taken)], place, sign=1)
        return True
