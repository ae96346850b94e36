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
        return _reader(cls)(fields)
    except (TypeError, ValueError, KeyError) as error:
        return Undecodable(f"{cls.__name__}: {error}")


@functools.cache
def _field_names(cls) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(cls))


def plain(value):
    """Return a value of the supported types as maps, lists and scalars."""
    return _writer(type(value))(value)


@functools.cache
def _writer(cls):
    """Return the function that turns values of exactly ``cls`` into plain ones."""
    if issubclass(cls, enum.Enum):
        return lambda value: value.value
    if dataclasses.is_dataclass(cls):
        names = _field_names(cls)
        return lambda value: {name: plain(getattr(value, name)) for name in names}
    if issubclass(cls, tuple | list):
        return lambda value: [plain(item) for item in value]
    if issubclass(cls, Mapping):
        return lambda value: {key: plain(item) for key, item in value.items()}
    return lambda value: value


@functools.cache
def _reader(hint):
    """Return the function that turns a plain value into one of type ``hint``.

    The readers of a type are put together once, since records are many.
    """
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return _union_reader(hint)
    if origin is tuple:
        return _tuple_reader(typing.get_args(hint))
    if origin is not None and issubclass(origin, Mapping):
        return _mapping_reader(typing.get_args(hint)[1])
    if dataclasses.is_dataclass(hint):
        return _dataclass_reader(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    return _scalar_reader(hint)


def _union_reader(hint):
    members = [member for member in typing.get_args(hint) if member is not type(None)]
    if len(members) == 1:
        read_member = _reader(members[0])
        return lambda value: None if value is None else read_member(value)

    def read(value):
        if value is None or type(value) in members:
            return value
        raise TypeError(f"{value!r} is none of {members}")

    return read


def _tuple_reader(args):
    if len(args) == 2 and args[1] is Ellipsis:
        read_item = _reader(args[0])
        return lambda value: tuple(map(read_item, _checked(list, value)))
    readers = tuple(map(_reader, args))

    def read(value):
        if len(_checked(list, value)) != len(readers):
            raise TypeError(f"expected {len(readers)} items")
        return tuple(read(item) for read, item in zip(readers, value, strict=True))

    return read


def _mapping_reader(item_hint):
    read_item = _reader(item_hint)
    return lambda value: {
        key: read_item(item) for key, item in _checked(dict, value).items()
    }


def _dataclass_reader(cls):
    hints = typing.get_type_hints(cls)
    readers = {name: _reader(hints[name]) for name in _field_names(cls)}

    def read(value):
        known = {
            name: readers[name](item)
            for name, item in _checked(dict, value).items()
            if name in readers
        }
        return cls(**known)

    return read


def _scalar_reader(hint):
    if hint is typing.Any:
        return lambda value: value
    if hint is float:
        return lambda value: (
            float(value) if type(value) is int else _checked(float, value)
        )
    return functools.partial(_checked, hint)


def _checked(cls, value):
    if type(value) is cls:
        return value
    raise TypeError(f"expected {cls.__name__}, got {type(value).__name__}")
