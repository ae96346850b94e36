"""Parsed release notes: the objects that each adds, changes and withdraws."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..model import DataCentre, Organisation, Rack, Rule, Shape, Withdrawal

__all__ = [
    "UNCHANGED",
    "Changes",
    "DataCentreChange",
    "Fault",
    "NOTE_FORMAT",
    "OrganisationChange",
    "ReleaseNote",
    "note_to_json",
    "touched_objects",
]

NOTE_FORMAT = 1
"""Newest format of release notes that this version of the software can fold."""


class _Unchanged:
    """Type of the marker for a field that a change leaves as it is.

    None cannot serve as the marker, since it means an unlimited quota.
    """

    def __repr__(self):
        return "UNCHANGED"


UNCHANGED = _Unchanged()


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a note; ``path`` locates it in the note.

    >>> Fault("organisations.added.loans.weight", "expected an integer")
    Fault(path='organisations.added.loans.weight', detail='expected an integer')
    """

    path: str
    detail: str


@dataclass(frozen=True, slots=True)
class OrganisationChange:
    """New values of some fields of an organisation."""

    name: str
    weight: int | _Unchanged = UNCHANGED
    guarantees: tuple[Shape, ...] | _Unchanged = UNCHANGED
    quota_accelerators: int | _Unchanged | None = UNCHANGED
    home_region: str | _Unchanged = UNCHANGED


@dataclass(frozen=True, slots=True)
class DataCentreChange:
    """New values of some fields of a data centre; racks are replaced as a whole."""

    name: str
    region: str | _Unchanged = UNCHANGED
    racks: tuple[Rack, ...] | _Unchanged = UNCHANGED


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a note to the objects of one kind."""

    added_by_name: Mapping[str, Organisation | DataCentre | Rule] = field(
        default_factory=dict
    )
    changed_by_name: Mapping[str, OrganisationChange | DataCentreChange | Rule] = field(
        default_factory=dict
    )
    withdrawn_by_name: Mapping[str, Withdrawal | None] = field(default_factory=dict)

    def names(self) -> tuple[str, ...]:
        """Return the names of all objects that are added, changed or withdrawn."""
        return (*self.added_by_name, *self.changed_by_name, *self.withdrawn_by_name)


@dataclass(frozen=True, slots=True)
class ReleaseNote:
    """A well-formed note, not yet checked against the configuration.

    ``against_revision`` is the newest revision that its author had read.
    """

    note_id: str
    against_revision: int
    author: str
    purpose: str = ""
    organisations: Changes = field(default_factory=Changes)
    data_centres: Changes = field(default_factory=Changes)
    rules: Changes = field(default_factory=Changes)
    format: int = NOTE_FORMAT


def touched_objects(note: ReleaseNote) -> tuple[str, ...]:
    """Return the objects that the note adds, changes or withdraws, as ``kind.name``.

    >>> from ragwortshelf.core.model import Rule
    >>> rules = Changes(added_by_name={"retry_budget": Rule("retry_budget", 2)})
    >>> touched_objects(ReleaseNote("n1", -1, "ayse", rules=rules))
    ('rules.retry_budget',)
    """
    kinds = {
        "organisations": note.organisations,
        "data_centres": note.data_centres,
        "rules": note.rules,
    }
    return tuple(
        f"{kind}.{name}" for kind, changes in kinds.items() for name in changes.names()
    )


def note_to_json(note: ReleaseNote) -> str:
    """Return the canonical JSON form of a note, which ``parse_note`` accepts."""
    fields = {
        "format": note.format,
        "note_id": note.note_id,
        "against_revision": note.against_revision,
        "author": note.author,
        "purpose": note.purpose,
        "organisations": _changes_fields(note.organisations),
        "data_centres": _changes_fields(note.data_centres),
        "rules": _rule_fields(note.rules),
    }
    return json.dumps(fields, sort_keys=True, ensure_ascii=False, separators=(",", ":"))


def _changes_fields(changes):
    return {
        "added": {k: _object_fields(v) for k, v in changes.added_by_name.items()},
        "changed": {k: _object_fields(v) for k, v in changes.changed_by_name.items()},
        "withdrawn": {
            name: {
                "waiting": withdrawal.waiting,
                "running": withdrawal.running,
                "late_charges": withdrawal.late_charges,
            }
            for name, withdrawal in changes.withdrawn_by_name.items()
        },
    }


def _rule_fields(changes):
    return {
        "added": {name: rule.value for name, rule in changes.added_by_name.items()},
        "changed": {name: rule.value for name, rule in changes.changed_by_name.items()},
        "withdrawn": list(changes.withdrawn_by_name),
    }


def _object_fields(item):
    if isinstance(item, Organisation | OrganisationChange):
        fields = {
            "weight": item.weight,
            "guarantees": _list_fields(item.guarantees, _shape_fields),
            "quota_accelerators": (
                "unlimited"
                if item.quota_accelerators is None
                else item.quota_accelerators
            ),
            "home_region": item.home_region,
        }
    else:
        fields = {
            "region": item.region,
            "racks": _list_fields(item.racks, _rack_fields),
        }
    return {key: value for key, value in fields.items() if value is not UNCHANGED}


def _list_fields(values, write_item):
    if values is UNCHANGED:
        return UNCHANGED
    return [write_item(value) for value in values]


def _shape_fields(shape):
    return {
        "data_centre": shape.data_centre,
        "accelerators": shape.accelerators,
        "adjacency": shape.adjacency.value,
        "count": shape.count,
    }


def _rack_fields(rack):
    return {
        "name": rack.name,
        "workers": list(rack.workers),
        "accelerators_per_worker": rack.accelerators_per_worker,
    }
