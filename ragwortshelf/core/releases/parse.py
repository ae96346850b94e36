"""Reading of release notes with every fault named by its path in the note."""

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
MAX_OFFSET = 2**62

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,99}")
_SURROGATES = re.compile("[\ud800-\udfff]")
_UNLIMITED = "unlimited"


def parse_note(
    text: str, format: Literal["toml", "json"]
) -> ReleaseNote | tuple[Fault, ...]:
    """Read a note, or return all of its faults.

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
    """Return the format of a JSON note if it is newer than this version's."""
    fields = _load(text, "json")
    if isinstance(fields, Fault):
        return None
    number = fields.get("format")
    return number if type(number) is int and number > NOTE_FORMAT else None


def _load(text, format):
    if len(text.encode(errors="replace")) > MAX_NOTE_BYTES:
        return Fault("", f"is longer than {MAX_NOTE_BYTES} bytes")
    try:
        if format == "toml":
            return tomllib.loads(text)
        fields = json.loads(text, object_pairs_hook=_unique_pairs)
    except (ValueError, RecursionError) as error:
        return Fault("", f"cannot be read as {format.upper()}: {error}")
    return fields if isinstance(fields, dict) else Fault("", "expected a table")


def _unique_pairs(pairs):
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ValueError("a key stands twice")
    return fields


class _Reader:
    """Collects faults while the parts of a note are read."""

    def __init__(self):
        self.faults = []

    def fault(self, path, detail):
        self.faults.append(Fault(path, detail))

    def table(self, value, path, known_keys):
        """Return a table whose unknown keys were reported."""
        if not isinstance(value, dict):
            self.fault(path, "expected a table")
            return {}
        for key in value:
            if key not in known_keys:
                self.fault(_join(path, key), "unknown key")
        return value

    def named_tables(self, value, path):
        """Return the entries of a table that is keyed by object names."""
        if not isinstance(value, dict):
            self.fault(path, "expected a table")
            return {}
        return {name: value[name] for name in value if self.name(name, path, name)}

    def name(self, value, path, key=""):
        """Check a name; returns whether it is one."""
        if isinstance(value, str) and _NAME.fullmatch(value):
            return True
        self.fault(_join(path, key) if key else path, "is no name")
        return False

    def get(self, table, path, key, read, default=None):
        """Read one key; one without a default is required."""
        if key in table:
            return read(table[key], _join(path, key))
        if default is None:
            self.fault(_join(path, key), "is missing")
        return default

    def text(self, value, path):
        if not isinstance(value, str) or _SURROGATES.search(value):
            self.fault(path, "expected text")
        return value

    def identifier(self, value, path):
        self.name(value, path)
        return value

    def optional_identifier(self, value, path):
        if value != "":
            self.name(value, path)
        return value

    def integer(self, minimum, maximum):
        def read(value, path):
            if type(value) is not int:
                self.fault(path, "expected an integer")
            elif not minimum <= value <= maximum:
                self.fault(path, f"must be from {minimum} to {maximum}")
            return value

        return read

    def choice(self, *choices):
        def read(value, path):
            if value not in choices:
                self.fault(path, f"must be one of {', '.join(choices)}")
            return value

        return read

    def array(self, read_item):
        def read(value, path):
            if not isinstance(value, list):
                self.fault(path, "expected an array")
                return ()
            return tuple(
                read_item(item, f"{path}[{index}]") for index, item in enumerate(value)
            )

        return read

    def unique(self, values, path):
        seen = set()
        for value in values:
            if isinstance(value, str) and value in seen:
                self.fault(path, f"{value} stands twice")
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
    table = reader.table(fields, "", _NOTE_KEYS)
    note = ReleaseNote(
        note_id=reader.get(table, "", "note_id", reader.identifier),
        against_revision=reader.get(
            table, "", "against_revision", reader.integer(NO_REVISION, MAX_OFFSET)
        ),
        author=reader.get(table, "", "author", reader.identifier),
        purpose=reader.get(table, "", "purpose", reader.text, ""),
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
        format=reader.get(
            table, "", "format", reader.integer(1, NOTE_FORMAT), NOTE_FORMAT
        ),
    )
    touched = touched_objects(note)
    reader.unique(touched, "")
    if not touched and not reader.faults:
        reader.fault("", "changes nothing")
    return note


_CHANGES_KEYS = ("added", "changed", "withdrawn")


def _read_changes(reader, value, path, read_added, read_changed):
    table = reader.table(value, path, _CHANGES_KEYS)

    def read_all(key, read):
        entries = reader.named_tables(table.get(key, {}), f"{path}.{key}")
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
    table = reader.table(value, "rules", _CHANGES_KEYS)

    def read_values(key):
        entries = reader.named_tables(table.get(key, {}), f"rules.{key}")
        for name, entry in entries.items():
            detail = rule_fault(name, entry)
            if detail is not None:
                reader.fault(f"rules.{key}.{name}", detail)
        return {name: Rule(name, entry) for name, entry in entries.items()}

    read_names = reader.array(reader.identifier)
    withdrawn = read_names(table.get("withdrawn", []), "rules.withdrawn")
    reader.unique(withdrawn, "rules.withdrawn")
    names = [name for name in withdrawn if isinstance(name, str)]
    return Changes(
        read_values("added"), read_values("changed"), dict.fromkeys(names, None)
    )


_ORGANISATION_KEYS = ("weight", "guarantees", "quota_accelerators", "home_region")


def _organisation_fields(reader, value, path):
    table = reader.table(value, path, _ORGANISATION_KEYS)
    readers = {
        "weight": reader.integer(1, MAX_COUNT),
        "guarantees": reader.array(lambda item, at: _read_shape(reader, item, at)),
        "quota_accelerators": lambda item, at: _read_quota(reader, item, at),
        "home_region": reader.optional_identifier,
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
        reader.fault(path, "changes nothing")
    return OrganisationChange(name, **fields)


def _read_quota(reader, value, path):
    if value == _UNLIMITED:
        return None
    if type(value) is not int:
        reader.fault(path, f"expected an integer or {_UNLIMITED}")
        return None
    return reader.integer(0, MAX_COUNT)(value, path)


_ADJACENCIES = ("worker", "rack", "data_centre")
_SHAPE_KEYS = ("data_centre", "accelerators", "adjacency", "count")


def _read_shape(reader, value, path):
    table = reader.table(value, path, _SHAPE_KEYS)
    adjacency = reader.get(
        table, path, "adjacency", reader.choice(*_ADJACENCIES), _ADJACENCIES[-1]
    )
    return Shape(
        data_centre=reader.get(table, path, "data_centre", reader.identifier),
        accelerators=reader.get(
            table, path, "accelerators", reader.integer(1, MAX_COUNT)
        ),
        adjacency=Adjacency(adjacency) if adjacency in _ADJACENCIES else adjacency,
        count=reader.get(table, path, "count", reader.integer(1, MAX_COUNT), 1),
    )


_DATA_CENTRE_KEYS = ("region", "racks")


def _read_data_centre(reader, name, value, path):
    table = reader.table(value, path, _DATA_CENTRE_KEYS)
    region = reader.get(table, path, "region", reader.identifier)
    return DataCentre(name, region, _read_racks(reader, table, path, ()))


def _read_data_centre_change(reader, name, value, path):
    table = reader.table(value, path, _DATA_CENTRE_KEYS)
    if not table:
        reader.fault(path, "changes nothing")
    region = reader.get(table, path, "region", reader.identifier, UNCHANGED)
    return DataCentreChange(name, region, _read_racks(reader, table, path, UNCHANGED))


def _read_racks(reader, table, path, default):
    read = reader.array(lambda item, at: _read_rack(reader, item, at))
    racks = reader.get(table, path, "racks", read, default)
    if racks is not UNCHANGED:
        reader.unique([rack.name for rack in racks], f"{path}.racks")
        workers = [worker for rack in racks for worker in rack.workers]
        reader.unique(workers, f"{path}.racks")
    return racks


_RACK_KEYS = ("name", "workers", "accelerators_per_worker")


def _read_rack(reader, value, path):
    table = reader.table(value, path, _RACK_KEYS)
    return Rack(
        name=reader.get(table, path, "name", reader.identifier),
        workers=reader.get(table, path, "workers", reader.array(reader.identifier), ()),
        accelerators_per_worker=reader.get(
            table, path, "accelerators_per_worker", reader.integer(0, MAX_COUNT)
        ),
    )


_WITHDRAWAL_KEYS = ("waiting", "running", "late_charges")


def _read_withdrawal(reader, name, value, path):
    table = reader.table(value, path, _WITHDRAWAL_KEYS)
    return Withdrawal(
        name,
        waiting=reader.get(table, path, "waiting", reader.choice("refuse", "finish")),
        running=reader.get(table, path, "running", reader.choice("finish", "stop")),
        late_charges=reader.get(
            table, path, "late_charges", reader.choice("charge", "waive"), "charge"
        ),
    )
