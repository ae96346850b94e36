"""Parsing of release notes; every fault is reported with its path in the note."""

from __future__ import annotations

import json
import re
import tomllib
from typing import Literal

from ..model import (
    NO_REVISION,
    Adjacency,
    DataCentre,
    Organisation,
    Rack,
    Rule,
    Shape,
    Withdrawal,
)
from .note import (
    NOTE_FORMAT,
    UNCHANGED,
    Changes,
    DataCentreChange,
    Fault,
    OrganisationChange,
    ReleaseNote,
    touched_objects,
)
from .rules import rule_fault

__all__ = ["MAX_FAULTS", "MAX_NOTE_BYTES", "parse_note", "unsupported_format"]

MAX_NOTE_BYTES = 512 * 1024
MAX_FAULTS = 200
MAX_COUNT = 1_000_000
"""Upper bound of weights, of quotas, and of the integers of shapes and racks."""

MAX_OFFSET = 2**62

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,99}")
_SURROGATES = re.compile("[\ud800-\udfff]")
_UNLIMITED = "unlimited"


def parse_note(
    text: str, format: Literal["toml", "json"]
) -> ReleaseNote | tuple[Fault, ...]:
    """Parse a note, or return its faults, of which at most ``MAX_FAULTS`` are listed.

    >>> parse_note('{"note_id": "n1", "author": "ayse"}', "json")[0]
    Fault(path='against_revision', detail='is missing')
    """
    fields = _load(text, format)
    if isinstance(fields, Fault):
        return (fields,)
    reader = _Reader()
    note = _read_note(reader, fields)
    if not reader.faults:
        return note
    if len(reader.faults) > MAX_FAULTS:
        more = len(reader.faults) - MAX_FAULTS
        return (*reader.faults[:MAX_FAULTS], Fault("", f"{more} more faults"))
    return tuple(reader.faults)


def unsupported_format(text: str) -> int | None:
    """Return the format of a JSON note if it is newer than this version's, or None."""
    fields = _load(text, "json")
    if isinstance(fields, Fault):
        return None
    note_format = fields.get("format")
    return (
        note_format if type(note_format) is int and note_format > NOTE_FORMAT else None
    )


def _load(text, format):
    if len(text.encode(errors="replace")) > MAX_NOTE_BYTES:
        return Fault("", f"is longer than {MAX_NOTE_BYTES} bytes")
    try:
        if format == "toml":
            return tomllib.loads(text)
        fields = json.loads(text, object_pairs_hook=_without_duplicate_keys)
    except (ValueError, RecursionError) as error:
        return Fault("", f"cannot be read as {format.upper()}: {error}")
    return fields if isinstance(fields, dict) else Fault("", "expected a table")


def _without_duplicate_keys(pairs):
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ValueError("a key stands twice")
    return fields


class _Reader:
    """Checks the values of a note and collects the faults found in them.

    The read methods return a value even if it is faulty, so that the rest of the note
    is checked too; a note with faults is discarded.
    """

    def __init__(self):
        self.faults = []

    def add_fault(self, path, detail):
        self.faults.append(Fault(path, detail))

    def read_table(self, value, path, known_keys):
        """Return the value if it is a table, else an empty one; report unknown keys."""
        if not isinstance(value, dict):
            self.add_fault(path, "expected a table")
            return {}
        for key in value:
            if key not in known_keys:
                self.add_fault(_join(path, key), "unknown key")
        return value

    def read_entries(self, value, path):
        """Return the entries of a table keyed by object names; report invalid names."""
        if not isinstance(value, dict):
            self.add_fault(path, "expected a table")
            return {}
        return {
            name: value[name] for name in value if self.check_name(name, path, name)
        }

    def check_name(self, value, path, key=""):
        """Return whether the value is a valid object name; report it if not."""
        if isinstance(value, str) and _NAME.fullmatch(value):
            return True
        self.add_fault(_join(path, key) if key else path, "is no name")
        return False

    def read_key(self, table, path, key, read, default=None):
        """Return the value of a key; a key without a default is required."""
        if key in table:
            return read(table[key], _join(path, key))
        if default is None:
            self.add_fault(_join(path, key), "is missing")
        return default

    def read_text(self, value, path):
        if not isinstance(value, str) or _SURROGATES.search(value):
            self.add_fault(path, "expected text")
        return value

    def read_identifier(self, value, path):
        self.check_name(value, path)
        return value

    def read_optional_identifier(self, value, path):
        if value != "":
            self.check_name(value, path)
        return value

    def integer_reader(self, minimum, maximum):
        def read(value, path):
            if type(value) is not int:
                self.add_fault(path, "expected an integer")
            elif not minimum <= value <= maximum:
                self.add_fault(path, f"must be from {minimum} to {maximum}")
            return value

        return read

    def choice_reader(self, *choices):
        def read(value, path):
            if value not in choices:
                self.add_fault(path, f"must be one of {', '.join(choices)}")
            return value

        return read

    def array_reader(self, read_item):
        def read(value, path):
            if not isinstance(value, list):
                self.add_fault(path, "expected an array")
                return ()
            return tuple(
                read_item(item, f"{path}[{index}]") for index, item in enumerate(value)
            )

        return read

    def check_unique(self, values, path):
        seen = set()
        for value in values:
            if isinstance(value, str) and value in seen:
                self.add_fault(path, f"{value} stands twice")
            elif isinstance(value, str):
                seen.add(value)


def _join(path, key):
    return f"{path}.{key}" if path else str(key)


_NOTE_KEYS = (
    "format",
    "note_id",
    "against_revision",
    "author",
    "purpose",
    "organisations",
    "data_centres",
    "rules",
)


def _read_note(reader, fields):
    table = reader.read_table(fields, "", _NOTE_KEYS)
    note = ReleaseNote(
        note_id=reader.read_key(table, "", "note_id", reader.read_identifier),
        against_revision=reader.read_key(
            table,
            "",
            "against_revision",
            reader.integer_reader(NO_REVISION, MAX_OFFSET),
        ),
        author=reader.read_key(table, "", "author", reader.read_identifier),
        purpose=reader.read_key(table, "", "purpose", reader.read_text, ""),
        organisations=_read_changes(
            reader,
            table.get("organisations", {}),
            "organisations",
            _read_organisation,
            _read_organisation_change,
        ),
        data_centres=_read_changes(
            reader,
            table.get("data_centres", {}),
            "data_centres",
            _read_data_centre,
            _read_data_centre_change,
        ),
        rules=_read_rules(reader, table.get("rules", {})),
        format=reader.read_key(
            table, "", "format", reader.integer_reader(1, NOTE_FORMAT), NOTE_FORMAT
        ),
    )
    touched = touched_objects(note)
    reader.check_unique(touched, "")
    if not touched and not reader.faults:
        reader.add_fault("", "changes nothing")
    return note


_CHANGES_KEYS = ("added", "changed", "withdrawn")


def _read_changes(reader, value, path, read_added, read_changed):
    table = reader.read_table(value, path, _CHANGES_KEYS)

    def read_all(key, read):
        entries = reader.read_entries(table.get(key, {}), f"{path}.{key}")
        return {
            name: read(reader, name, entry, f"{path}.{key}.{name}")
            for name, entry in entries.items()
        }

    return Changes(
        read_all("added", read_added),
        read_all("changed", read_changed),
        read_all("withdrawn", _read_withdrawal),
    )


def _read_rules(reader, value):
    table = reader.read_table(value, "rules", _CHANGES_KEYS)

    def read_values(key):
        entries = reader.read_entries(table.get(key, {}), f"rules.{key}")
        for name, entry in entries.items():
            detail = rule_fault(name, entry)
            if detail is not None:
                reader.add_fault(f"rules.{key}.{name}", detail)
        return {name: Rule(name, entry) for name, entry in entries.items()}

    read_names = reader.array_reader(reader.read_identifier)
    withdrawn = read_names(table.get("withdrawn", []), "rules.withdrawn")
    reader.check_unique(withdrawn, "rules.withdrawn")
    names = [name for name in withdrawn if isinstance(name, str)]
    return Changes(
        read_values("added"), read_values("changed"), dict.fromkeys(names, None)
    )


_ORGANISATION_KEYS = ("weight", "guarantees", "quota_accelerators", "home_region")


def _organisation_fields(reader, value, path):
    table = reader.read_table(value, path, _ORGANISATION_KEYS)
    readers = {
        "weight": reader.integer_reader(1, MAX_COUNT),
        "guarantees": reader.array_reader(
            lambda item, item_path: _read_shape(reader, item, item_path)
        ),
        "quota_accelerators": lambda item, item_path: _read_quota(
            reader, item, item_path
        ),
        "home_region": reader.read_optional_identifier,
    }
    return {
        key: read(table[key], f"{path}.{key}")
        for key, read in readers.items()
        if key in table
    }


def _read_organisation(reader, name, value, path):
    return Organisation(name, **_organisation_fields(reader, value, path))


def _read_organisation_change(reader, name, value, path):
    fields = _organisation_fields(reader, value, path)
    if not fields:
        reader.add_fault(path, "changes nothing")
    return OrganisationChange(name, **fields)


def _read_quota(reader, value, path):
    if value == _UNLIMITED:
        return None
    if type(value) is not int:
        reader.add_fault(path, f"expected an integer or {_UNLIMITED}")
        return None
    return reader.integer_reader(0, MAX_COUNT)(value, path)


_ADJACENCIES = ("worker", "rack", "data_centre")
_SHAPE_KEYS = ("data_centre", "accelerators", "adjacency", "count")


def _read_shape(reader, value, path):
    table = reader.read_table(value, path, _SHAPE_KEYS)
    adjacency = reader.read_key(
        table, path, "adjacency", reader.choice_reader(*_ADJACENCIES), _ADJACENCIES[-1]
    )
    return Shape(
        data_centre=reader.read_key(table, path, "data_centre", reader.read_identifier),
        accelerators=reader.read_key(
            table, path, "accelerators", reader.integer_reader(1, MAX_COUNT)
        ),
        adjacency=Adjacency(adjacency) if adjacency in _ADJACENCIES else adjacency,
        count=reader.read_key(
            table, path, "count", reader.integer_reader(1, MAX_COUNT), 1
        ),
    )


_DATA_CENTRE_KEYS = ("region", "racks")


def _read_data_centre(reader, name, value, path):
    table = reader.read_table(value, path, _DATA_CENTRE_KEYS)
    region = reader.read_key(table, path, "region", reader.read_identifier)
    return DataCentre(name, region, _read_racks(reader, table, path, ()))


def _read_data_centre_change(reader, name, value, path):
    table = reader.read_table(value, path, _DATA_CENTRE_KEYS)
    if not table:
        reader.add_fault(path, "changes nothing")
    region = reader.read_key(table, path, "region", reader.read_identifier, UNCHANGED)
    return DataCentreChange(name, region, _read_racks(reader, table, path, UNCHANGED))


def _read_racks(reader, table, path, default):
    read = reader.array_reader(
        lambda item, item_path: _read_rack(reader, item, item_path)
    )
    racks = reader.read_key(table, path, "racks", read, default)
    if racks is not UNCHANGED:
        reader.check_unique([rack.name for rack in racks], f"{path}.racks")
        workers = [worker for rack in racks for worker in rack.workers]
        reader.check_unique(workers, f"{path}.racks")
    return racks


_RACK_KEYS = ("name", "workers", "accelerators_per_worker")


def _read_rack(reader, value, path):
    table = reader.read_table(value, path, _RACK_KEYS)
    return Rack(
        name=reader.read_key(table, path, "name", reader.read_identifier),
        workers=reader.read_key(
            table, path, "workers", reader.array_reader(reader.read_identifier), ()
        ),
        accelerators_per_worker=reader.read_key(
            table, path, "accelerators_per_worker", reader.integer_reader(0, MAX_COUNT)
        ),
    )


_WITHDRAWAL_KEYS = ("waiting", "running", "late_charges")


def _read_withdrawal(reader, name, value, path):
    table = reader.read_table(value, path, _WITHDRAWAL_KEYS)
    return Withdrawal(
        name,
        waiting=reader.read_key(
            table, path, "waiting", reader.choice_reader("refuse", "finish")
        ),
        running=reader.read_key(
            table, path, "running", reader.choice_reader("finish", "stop")
        ),
        late_charges=reader.read_key(
            table,
            path,
            "late_charges",
            reader.choice_reader("charge", "waive"),
            "charge",
        ),
    )
