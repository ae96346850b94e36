"""CBOR codec for typed messages: records of the log and frames between peers.

Message types are frozen data classes. Their fields are scalars, enums, tuples, mappings
with string keys, unions with None, unions of scalars, or further data classes. A
message is a CBOR map of its fields with two extra keys: ``"@"`` holds the class name
and ``"#"`` the version, which is 1 if the class has no ``VERSION``.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import types
import typing
from collections.abc import Mapping

import cbor2

__all__ = ["Undecodable", "decode", "encode", "to_plain"]

_TYPE_KEY = "@"
_VERSION_KEY = "#"


@dataclasses.dataclass(frozen=True, slots=True)
class Undecodable:
    """Returned for bytes that are not a message of a known type, with the reason."""

    detail: str


def encode(message) -> bytes:
    """Encode a message as bytes.

    >>> from ragwortshelf.core.model import Grant
    >>> decode(encode(Grant("w1", (0, 1))), {"Grant": Grant})
    Grant(worker='w1', accelerators=(0, 1))
    """
    fields = to_plain(message)
    fields[_TYPE_KEY] = type(message).__name__
    fields[_VERSION_KEY] = getattr(type(message), "VERSION", 1)
    return cbor2.dumps(fields)


def decode(data: bytes, types_by_name: Mapping[str, type]):
    """Decode a message of one of the given types, or return ``Undecodable``.

    Unknown fields are skipped and absent ones take their defaults, so that a reader
    accepts messages written by the next version.
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
        return _make_reader(cls)(fields)
    except (TypeError, ValueError, KeyError) as error:
        return Undecodable(f"{cls.__name__}: {error}")


@functools.cache
def _field_names(cls) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(cls))


def to_plain(value):
    """Convert a value of a supported type to maps, lists and scalars."""
    return _make_writer(type(value))(value)


@functools.cache
def _make_writer(cls):
    """Return the function that converts values of exactly ``cls`` to plain values."""
    if issubclass(cls, enum.Enum):
        return lambda value: value.value
    if dataclasses.is_dataclass(cls):
        names = _field_names(cls)
        return lambda value: {name: to_plain(getattr(value, name)) for name in names}
    if issubclass(cls, tuple | list):
        return lambda value: [to_plain(item) for item in value]
    if issubclass(cls, Mapping):
        return lambda value: {key: to_plain(item) for key, item in value.items()}
    return lambda value: value


@functools.cache
def _make_reader(hint):
    """Return the function that converts a plain value to type ``hint``.

    Readers are cached per type because decoding is frequent.
    """
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return _make_union_reader(hint)
    if origin is tuple:
        return _make_tuple_reader(typing.get_args(hint))
    if origin is not None and issubclass(origin, Mapping):
        return _make_mapping_reader(typing.get_args(hint)[1])
    if dataclasses.is_dataclass(hint):
        return _make_dataclass_reader(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    return _make_scalar_reader(hint)


def _make_union_reader(hint):
    members = [member for member in typing.get_args(hint) if member is not type(None)]
    if len(members) == 1:
        read_member = _make_reader(members[0])
        return lambda value: None if value is None else read_member(value)

    def read(value):
        if value is None or type(value) in members:
            return value
        raise TypeError(f"{value!r} is none of {members}")

    return read


def _make_tuple_reader(args):
    if len(args) == 2 and args[1] is Ellipsis:
        read_item = _make_reader(args[0])
        return lambda value: tuple(map(read_item, _require_type(list, value)))
    readers = tuple(map(_make_reader, args))

    def read(value):
        if len(_require_type(list, value)) != len(readers):
            raise TypeError(f"expected {len(readers)} items")
        return tuple(read(item) for read, item in zip(readers, value, strict=True))

    return read


def _make_mapping_reader(item_hint):
    read_item = _make_reader(item_hint)
    return lambda value: {
        key: read_item(item) for key, item in _require_type(dict, value).items()
    }


def _make_dataclass_reader(cls):
    hints = typing.get_type_hints(cls)
    readers = {name: _make_reader(hints[name]) for name in _field_names(cls)}

    def read(value):
        arguments = {
            name: readers[name](item)
            for name, item in _require_type(dict, value).items()
            if name in readers
        }
        return cls(**arguments)

    return read


def _make_scalar_reader(hint):
    if hint is typing.Any:
        return lambda value: value
    if hint is float:
        return lambda value: (
            float(value) if type(value) is int else _require_type(float, value)
        )
    return functools.partial(_require_type, hint)


def _require_type(cls, value):
    if type(value) is cls:
        return value
    raise TypeError(f"expected {cls.__name__}, got {type(value).__name__}")
