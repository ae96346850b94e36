"""Assigns guaranteed shapes to accelerators, all of them at once.

Shapes that need one worker are assigned first, then shapes that need one rack, then
the rest. In that order the spread of a rack's shape over its workers cannot hurt a
later one, so that only sums by rack matter, and the search stays small. A best fit is
tried first; if it leaves a shape out, a depth-first search with a bounded number of
steps looks for an assignment of all.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..model import Adjacency, Configuration, Shape

__all__ = ["Room", "ShapeUnit", "assign_shapes", "shape_units"]

SEARCH_STEPS_MAX = 20_000
SEARCH_UNITS_MAX = 200  # deeper searches would exceed the interpreter's stack

_ORDER = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.DATA_CENTRE: 2}


@dataclass(frozen=True, slots=True)
class ShapeUnit:
    """One group of a guaranteed shape; ``number`` tells equal groups apart."""

    organisation: str
    shape: Shape
    number: int


@dataclass(slots=True)
class Room:
    """Accelerators that may serve a shape: of one worker, one rack or all.

    ``shared`` serve any organisation (free, or held by reclaimable work);
    ``own_by_organisation`` are held by work that only its own organisation may count.
    """

    worker: str
    rack: str
    shared: int
    own_by_organisation: dict[str, int] = field(default_factory=dict)

    def capacity(self, organisation: str) -> int:
        """Return how many accelerators may serve ``organisation``."""
        return self.shared + self.own_by_organisation.get(organisation, 0)

    def take(self, organisation: str, accelerators: int) -> tuple[int, int]:
        """Take own accelerators first; return how many were shared and own."""
        own = min(self.own_by_organisation.get(organisation, 0), accelerators)
        shared = accelerators - own
        self.change(organisation, -shared, -own)
        return shared, own

    def change(self, organisation: str, shared: int, own: int) -> None:
        """Add the counts."""
        self.shared += shared
        if own:
            self.own_by_organisation[organisation] += own


Assignment = dict[ShapeUnit, list[tuple[str, int]]]


def shape_units(configuration: Configuration, data_centre: str) -> list[ShapeUnit]:
    """Return every promised group in the data centre in the order of assignment."""
    units = [
        ShapeUnit(organisation.name, shape, number)
        for organisation in configuration.organisations_by_name.values()
        for shape in dict.fromkeys(organisation.guarantees)
        if shape.data_centre == data_centre
        for number in range(shape.count * organisation.guarantees.count(shape))
    ]
    return sorted(units, key=_unit_key)


def assign_shapes(
    units: Iterable[ShapeUnit], rooms: Sequence[Room]
) -> tuple[Assignment, list[ShapeUnit]]:
    """Return (worker, count) parts for each unit, and the units left out.

    If any are left out, the search found no assignment of all of them within its
    bound, and the rest is a best fit.
    """
    ordered = sorted(units, key=_unit_key)
    search = _Search(rooms)
    left_out = [unit for unit in ordered if not search.place_best(unit)]
    if left_out and len(ordered) <= SEARCH_UNITS_MAX:
        thorough = _Search(rooms)
        if thorough.place_all(ordered, 0):
            return thorough.assignment(), []
    return search.assignment(), left_out


def _unit_key(unit: ShapeUnit) -> tuple[int, int, str, int]:
    shape = unit.shape
    order = _ORDER[shape.adjacency]
    return (order, -shape.accelerators, unit.organisation, unit.number)


class _Search:
    """Rooms by worker, rack and data centre, and the room that each unit was given."""

    def __init__(self, rooms: Sequence[Room]) -> None:
        self._workers = [
            Room(r.worker, r.rack, r.shared, dict(r.own_by_organisation)) for r in rooms
        ]
        self._originals = rooms
        self._rack_by_name: dict[str, Room] = {}
        self._all = Room("", "", 0)
        for room in rooms:
            rack = self._rack_by_name.setdefault(room.rack, Room("", room.rack, 0))
            for total in (rack, self._all):
                _add_room(total, room)
        self._room_by_unit: dict[ShapeUnit, Room] = {}
        self._steps = 0

    def place_best(self, unit: ShapeUnit) -> bool:
        """Place one unit where it leaves least; return whether it fits."""
        best = min(self._candidates(unit), key=lambda c: c[0], default=None)
        if best is None:
            return False
        self._take(unit, best[1])
        return True

    def place_all(self, units: list[ShapeUnit], position: int) -> bool:
        """Place the units from ``position`` on, trying other rooms on failure."""
        if position == len(units):
            return True
        unit = units[position]
        seen = set()
        for _, room in sorted(self._candidates(unit), key=lambda c: c[0]):
            own = tuple(sorted(room.own_by_organisation.items()))
            signature = (room.rack if room.worker else "", room.shared, own)
            if signature in seen:
                continue
            seen.add(signature)
            self._steps += 1
            if self._steps > SEARCH_STEPS_MAX:
                return False
            taken = self._take(unit, room)
            if self.place_all(units, position + 1):
                return True
            self._give_back(unit, taken)
        return False

    def assignment(self) -> Assignment:
        """Return the parts by worker, spreading the units of racks over workers."""
        rooms = {
            r.worker: Room(r.worker, r.rack, r.shared, dict(r.own_by_organisation))
            for r in self._originals
        }
        parts_by_unit: Assignment = {}
        for unit in sorted(self._room_by_unit, key=_unit_key):
            room = self._room_by_unit[unit]
            names = [
                r.worker
                for r in self._originals
                if room.worker in ("", r.worker) and room.rack in ("", r.rack)
            ]
            parts_by_unit[unit] = _spread(unit, [rooms[name] for name in names])
        return parts_by_unit

    def _candidates(self, unit: ShapeUnit) -> list[tuple[tuple, Room]]:
        needed = unit.shape.accelerators
        if unit.shape.adjacency is Adjacency.WORKER:
            rooms: Iterable[Room] = self._workers
        elif unit.shape.adjacency is Adjacency.RACK:
            rooms = self._rack_by_name.values()
        else:
            rooms = (self._all,)
        found = []
        for room in rooms:
            capacity = room.capacity(unit.organisation)
            if capacity >= needed:
                rack = self._rack_by_name.get(room.rack, self._all)
                key = (capacity - needed, rack.shared, room.rack, room.worker)
                found.append((key, room))
        return found

    def _take(self, unit: ShapeUnit, room: Room) -> tuple[int, int]:
        taken = room.take(unit.organisation, unit.shape.accelerators)
        self._change_above(unit, room, -taken[0], -taken[1])
        self._room_by_unit[unit] = room
        return taken

    def _give_back(self, unit: ShapeUnit, taken: tuple[int, int]) -> None:
        room = self._room_by_unit.pop(unit)
        room.change(unit.organisation, *taken)
        self._change_above(unit, room, *taken)

    def _change_above(self, unit: ShapeUnit, room: Room, shared: int, own: int) -> None:
        if room.worker:
            self._rack_by_name[room.rack].change(unit.organisation, shared, own)
        if room.rack:
            self._all.change(unit.organisation, shared, own)


def _add_room(total: Room, room: Room) -> None:
    total.shared += room.shared
    for organisation, own in room.own_by_organisation.items():
        before = total.own_by_organisation.get(organisation, 0)
        total.own_by_organisation[organisation] = before + own


def _spread(unit: ShapeUnit, rooms: list[Room]) -> list[tuple[str, int]]:
    """Take own accelerators first, then shared ones, broken workers before whole."""
    organisation = unit.organisation
    left = unit.shape.accelerators
    count_by_worker: dict[str, int] = {}
    for room in rooms:
        own = min(room.own_by_organisation.get(organisation, 0), left)
        if own:
            room.change(organisation, 0, -own)
            count_by_worker[room.worker] = own
            left -= own
    for room in sorted(rooms, key=lambda r: (r.shared, r.worker)):
        shared = min(room.shared, left)
        if shared:
            room.change(organisation, -shared, 0)
            count_by_worker[room.worker] = count_by_worker.get(room.worker, 0) + shared
            left -= shared
    return list(count_by_worker.items())
