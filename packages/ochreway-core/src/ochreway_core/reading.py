# SPDX-License-Identifier: Apache-2.0
"""Conversion of plain values to dataclasses, with every type checked.

A reader is built once for each type, from its annotations. A validation library would do the same,
but importing it and building its schemas adds 0.2 s to the start of an entry, during which it
answers no request.
"""

import dataclasses
import types
import typing
from collections.abc import Callable, Mapping
from enum import Enum
from functools import cache
from typing import Any

from ochreway_core.errors import CodecError

Reader = Callable[[Any], Any]
"""Convert a plain value to the reader's type.

Raises:
    CodecError: if it is of another type.
"""


def _mismatch(value: Any, wanted: str) -> CodecError:
    return CodecError(f"{wanted} is needed, not {type(value).__name__}")


def _exactly(kind: type) -> Reader:
    def read(value: Any) -> Any:
        if type(value) is not kind:
            raise _mismatch(value, kind.__name__)
        return value

    return read


def _number(value: Any) -> float:
    if type(value) is float:
        return value
    if type(value) is int:
        return float(value)
    raise _mismatch(value, "float")


def _enum(kind: type[Enum]) -> Reader:
    members = {member.value: member for member in kind}

    def read(value: Any) -> Enum:
        try:
            return members[value]
        except (KeyError, TypeError):
            raise CodecError(f"{value!r} is no {kind.__name__}") from None

    return read


def _tuple(arguments: tuple[Any, ...]) -> Reader:
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        read_item = reader(arguments[0])

        def read_all(value: Any) -> tuple[Any, ...]:
            if not isinstance(value, list | tuple):
                raise _mismatch(value, "list")
            return tuple([read_item(item) for item in value])

        return read_all
    readers = [reader(argument) for argument in arguments]

    def read_each(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list | tuple) or len(value) != len(readers):
            raise _mismatch(value, f"list of {len(readers)}")
        return tuple([read(item) for read, item in zip(readers, value, strict=True)])

    return read_each


def _dict(arguments: tuple[Any, ...]) -> Reader:
    read_key, read_item = (reader(argument) for argument in arguments)

    def read(value: Any) -> dict[Any, Any]:
        if not isinstance(value, dict):
            raise _mismatch(value, "dict")
        return {read_key(key): read_item(item) for key, item in value.items()}

    return read


def _union(arguments: tuple[Any, ...]) -> Reader:
    readers = [reader(each) for each in arguments if each is not types.NoneType]
    optional = len(readers) < len(arguments)

    def read(value: Any) -> Any:
        if value is None and optional:
            return None
        last_error = CodecError("nothing fits")
        for each in readers:
            try:
                return each(value)
            except CodecError as mismatch:
                last_error = mismatch
        raise last_error

    return read


def _dataclass(kind: Any) -> Reader:
    hints = typing.get_type_hints(kind)
    items = [
        (item.name, reader(hints[item.name]), _required(item)) for item in dataclasses.fields(kind)
    ]

    def read(value: Any) -> Any:
        if isinstance(value, kind):
            return value
        if not isinstance(value, dict):
            raise _mismatch(value, kind.__name__)
        field_values = {}
        for name, read_item, required in items:
            if name in value:
                try:
                    field_values[name] = read_item(value[name])
                except CodecError as error:
                    raise CodecError(f"{name}: {error}") from None
            elif required:
                raise CodecError(f"{name}: missing")
        return kind(**field_values)

    return read


def _required(item: "dataclasses.Field[Any]") -> bool:
    missing = dataclasses.MISSING
    return item.default is missing and item.default_factory is missing


_PLAIN: dict[Any, Reader] = {
    **{kind: _exactly(kind) for kind in (str, int, bool, bytes, types.NoneType)},
    float: _number,
}
_GENERIC: dict[Any, Callable[[tuple[Any, ...]], Reader]] = {
    tuple: _tuple,
    dict: _dict,
    Mapping: _dict,
    types.UnionType: _union,
    typing.Union: _union,
}


@cache
def reader(kind: Any) -> Reader:
    """Return the reader of a type.

    Raises:
        CodecError: if values of the type cannot be read.
    """
    if kind in _PLAIN:
        return _PLAIN[kind]
    generic = _GENERIC.get(typing.get_origin(kind))
    if generic is not None:
        return generic(typing.get_args(kind))
    supertype = getattr(kind, "__supertype__", None)
    if supertype is not None:
        return reader(supertype)
    if dataclasses.is_dataclass(kind):
        return _dataclass(kind)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return _enum(kind)
    raise CodecError(f"{kind} cannot be read")


__all__ = ["Reader", "reader"]
