"""Validation of the fields of a JSON object that a caller sent."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["FieldFault", "FieldReader"]

_MISSING = object()


@dataclass(frozen=True, slots=True)
class FieldFault:
    """An invalid field and what is wrong with it."""

    field: str
    detail: str


class FieldReader:
    """Reads fields by name and type, collecting every fault.

    Each method returns the field's value or its default. After a fault it returns a
    placeholder of the right type, which must not be used.

    >>> reader = FieldReader({"count": 2, "colour": 1})
    >>> reader.integer("count", 1, 10)
    2
    >>> reader.finish()
    (FieldFault(field='colour', detail='unknown field'),)
    """

    def __init__(self, fields: dict):
        self._fields = fields
        self._read_names: set[str] = set()
        self._faults: list[FieldFault] = []

    def text(self, name: str, default=_MISSING, *, limit: int = 256) -> str:
        """Read a string of at most ``limit`` characters."""
        value = self._read_value(name, default, str, "a string", "")
        if isinstance(value, str) and len(value) > limit:
            self._fault(name, f"longer than {limit} characters")
        return value

    def integer(self, name: str, low: int, high: int, default=_MISSING) -> int:
        """Read a whole number from ``low`` to ``high``."""
        value = self._read_value(name, default, int, "a whole number", low)
        if value is not default and not low <= value <= high:
            self._fault(name, f"must be from {low} to {high}")
        return value

    def boolean(self, name: str, default=_MISSING) -> bool:
        """Read true or false."""
        return self._read_value(name, default, bool, "true or false", False)

    def choice(self, name: str, choices: type[enum.Enum], default=_MISSING):
        """Read an enumeration member by value, or by name if its value is a number."""
        member_by_text = {
            m.value if isinstance(m.value, str) else m.name.lower(): m for m in choices
        }
        first = next(iter(member_by_text))
        text = self._read_value(name, default, str, "a string", first)
        if text is default:
            return default
        if text not in member_by_text:
            self._fault(name, f"must be one of {', '.join(member_by_text)}")
            return member_by_text[first]
        return member_by_text[text]

    def mapping(self, name: str, default=_MISSING) -> dict:
        """Read a JSON object."""
        return self._read_value(name, default, dict, "an object", {})

    def finish(self) -> tuple[FieldFault, ...]:
        """Return all faults, including unknown fields."""
        unknown = sorted(set(self._fields) - self._read_names)
        return (
            *self._faults,
            *(FieldFault(name, "unknown field") for name in unknown),
        )

    def _read_value(
        self, name: str, default, expected: type, expected_description: str, fallback
    ):
        self._read_names.add(name)
        value = self._fields.get(name, _MISSING)
        if value is _MISSING or (value is None and default is not _MISSING):
            if default is _MISSING:
                self._fault(name, "is required")
                return fallback
            return default
        # bool is a subclass of int, but true is not accepted as a number.
        if type(value) is not expected:
            self._fault(name, f"must be {expected_description}")
            return fallback
        return value

    def _fault(self, name: str, detail: str) -> None:
        self._faults.append(FieldFault(name, detail))
