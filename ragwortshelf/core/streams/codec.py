"""CBOR codec for typed messages: records of the log and frames between peers.

Types are frozen data classes whose fields are scalars, enums, tuples, mappings with
string keys, unions with None, or such data classes again. A message is a CBOR map of
its fields with the extra keys ``"@"`` (the class name) and ``"#"`` (its version, 1 if
the class has no ``VERSION``).
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import types
import typing
from collections.abc import Mapping

import cbor2

__all__ = ["Undecodable", "decode", "encode", "plain"]

_TYPE_KEY = "@"
_VERSION_KEY = "#"


@dataclasses.dataclass(frozen=True, slots=True)
class Undecodable:
    """Bytes that are no message of a known type, with the reason."""

    detail: str


def encode(message) -> bytes:
    """Encode one data class as bytes.

    >>> from ragwortshelf.core.model import Grant
    >>> decode(encode(Grant("w1", (0, 1))), {"Grant": Grant})
    Grant(worker='w1', accelerators=(0, 1))
    """
    fields = plain(message)
    fields[_TYPE_KEY] = type(message).__name__
    fields[_VERSION_KEY] = getattr(type(message), "VERSION", 1)
    return cbor2.dumps(fields)


def decode(data: bytes, types_by_name: Mapping[str, type]):
    """Decode one message, or return ``Undecodable``.

    Unknown fields are skipped and absent ones take their defaults, so that a reader
    accepts what the version after its own writes.
    """
    try:
        fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, OverflowError, RecursionError) as error:
        return Undecodable(f"not CBOR: {error}")
    if not isinstance(fields, dict):
        return Undecodable("not a map")
    name = fields.get(_TYPE_KEY)
    cls = types_by_name.get(name) if isinstance(name, str) else None
    if cls is None:
        return Undecodable(f"unknown type {name!r}")
    try:
        return _typed(cls, fields)
    except (TypeError, ValueError, KeyError) as error:
        return Undecodable(f"{cls.__name__}: {error}")


@functools.cache
def _field_names(cls) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(cls))


@functools.cache
def _hints(cls) -> dict[str, typing.Any]:
    hints = typing.get_type_hints(cls)
    return {name: hints[name] for name in _field_names(cls)}


def plain(value):
    """Return a value of the supported types as maps, lists and scalars."""
    if isinstance(value, enum.Enum):
        return value.value
    if dataclasses.is_dataclass(value):
        return {name: plain(getattr(value, name)) for name in _field_names(type(value))}
    if isinstance(value, tuple | list):
        return [plain(item) for item in value]
    if isinstance(value, Mapping):
        return {key: plain(item) for key, item in value.items()}
    return value


def _typed(hint, value):
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return _typed_union(hint, value)
    if origin is tuple:
        return _typed_tuple(typing.get_args(hint), value)
    if origin is not None and issubclass(origin, Mapping):
        _check_is_map(value)
        item_hint = typing.get_args(hint)[1]
        return {key: _typed(item_hint, item) for key, item in value.items()}
    if dataclasses.is_dataclass(hint):
        _check_is_map(value)
        hints = _hints(hint)
        known = {k: _typed(hints[k], v) for k, v in value.items() if k in hints}
        return hint(**known)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint(value)
    return _checked_scalar(hint, value)


def _typed_union(hint, value):
    if value is None:
        return None
    members = [member for member in typing.get_args(hint) if member is not type(None)]
    if len(members) == 1:
        return _typed(members[0], value)
    if type(value) in members:
        return value
    raise TypeError(f"{value!r} is none of {members}")


def _typed_tuple(args, value):
    if not isinstance(value, list):
        raise TypeError("expected an array")
    if len(args) == 2 and args[1] is Ellipsis:
        return tuple(_typed(args[0], item) for item in value)
    if len(args) != len(value):
        raise TypeError(f"expected {len(args)} items")
    return tuple(_typed(arg, item) for arg, item in zip(args, value, strict=True))


def _check_is_map(value):
    if not isinstance(value, dict):
        raise TypeError("expected a map")


def _checked_scalar(hint, value):
    if hint is typing.Any or type(value) is hint:
        return value
    if hint is float and type(value) is int:
        return float(value)
    raise TypeError(f"expected {hint.__name__}, got {type(value).__name__}")
