# SPDX-License-Identifier: Apache-2.0
"""Compact CBOR encoding of dataclasses, type-checked when decoded."""

import dataclasses
from collections.abc import Callable
from enum import Enum
from functools import cache
from typing import Any, TypeVar

import cbor2

from ochreway_core.errors import CodecError
from ochreway_core.reading import Reader, reader

T = TypeVar("T")


def _field_names(kind: Any) -> tuple[str, ...]:
    return tuple(item.name for item in dataclasses.fields(kind))


_reader: Callable[[Any], Reader] = reader
_names: Callable[[Any], tuple[str, ...]] = cache(_field_names)


def to_fields(value: Any) -> list[Any]:
    """Return a dataclass's fields in order, as plain values."""
    return [_plain(getattr(value, name)) for name in _names(type(value))]


def _plain(value: Any) -> Any:
    plain = _PLAIN.get(type(value))
    if plain is None:
        plain = _PLAIN[type(value)] = _plain_for(type(value))
    return plain(value)


def _as_is(value: Any) -> Any:
    return value


def _by_name(value: Any) -> dict[str, Any]:
    return {name: _plain(getattr(value, name)) for name in _names(type(value))}


def _plain_for(kind: type) -> Callable[[Any], Any]:
    if dataclasses.is_dataclass(kind):
        return _by_name
    if issubclass(kind, Enum):
        return lambda value: value.value
    raise CodecError(f"{kind.__name__} cannot be encoded")


_PLAIN: dict[type, Callable[[Any], Any]] = {
    **dict.fromkeys((str, int, float, bytes, bool, type(None)), _as_is),
    dict: lambda value: {key: _plain(item) for key, item in value.items()},
    tuple: lambda value: [_plain(item) for item in value],
    list: lambda value: [_plain(item) for item in value],
}


def from_fields(kind: type[T], values: list[Any]) -> T:
    """Build a dataclass from its fields in order.

    Raises:
        CodecError: if their number or a type is wrong.
    """
    names = _names(kind)
    if len(names) != len(values):
        raise CodecError(f"{kind.__name__}: {len(values)} fields, expected {len(names)}")
    try:
        read: Reader = _reader(kind)
        built: T = read(dict(zip(names, values, strict=True)))
    except CodecError as error:
        raise CodecError(f"{kind.__name__}: {error}") from None
    return built


def encode(value: Any) -> bytes:
    """Return a dataclass as CBOR."""
    return cbor2.dumps(to_fields(value))


def decode(kind: type[T], content: bytes) -> T:
    """Decode a dataclass from CBOR.

    Raises:
        CodecError: if the bytes are not CBOR or not of this type.
    """
    try:
        values = cbor2.loads(content)
    except (cbor2.CBORDecodeError, ValueError, EOFError) as error:
        raise CodecError(f"{kind.__name__}: {error}") from None
    if not isinstance(values, list):
        raise CodecError(f"{kind.__name__}: not a list of fields")
    return from_fields(kind, values)


__all__ = ["decode", "encode", "from_fields", "to_fields"]
