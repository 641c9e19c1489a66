# SPDX-License-Identifier: Apache-2.0
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NewType

import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_core.errors import CodecError
from ochreway_core.reading import reader

Name = NewType("Name", str)


class Colour(Enum):
    RED = "red"


@dataclass(frozen=True)
class Inner:
    name: Name
    weight: float = 1.0


@dataclass(frozen=True)
class Outer:
    inner: tuple[Inner, ...]
    pair: tuple[int, str]
    by_name: Mapping[Name, int]
    colour: Colour | None
    flag: bool
    raw: bytes
    extra: list[str] | None = field(default=None)


GOOD: dict[str, Any] = {
    "inner": [{"name": "a", "weight": 2}, {"name": "b"}],
    "pair": [1, "x"],
    "by_name": {"a": 1},
    "colour": "red",
    "flag": True,
    "raw": b"x",
}


@dataclass(frozen=True)
class Plain:
    inner: tuple[Inner, ...]
    pair: tuple[int, str]
    by_name: Mapping[Name, int]
    colour: Colour | None
    flag: bool
    raw: bytes


class ReadingTests(testtools.TestCase):
    def test_plain_values_become_dataclasses(self) -> None:
        decoded = reader(Plain)(GOOD)
        self.assertEqual((Inner(Name("a"), 2.0), Inner(Name("b"))), decoded.inner)
        self.assertEqual(
            ((1, "x"), {"a": 1}, Colour.RED), (decoded.pair, decoded.by_name, decoded.colour)
        )

    def test_unknown_fields_are_ignored_and_none_fills_an_optional_one(self) -> None:
        decoded = reader(Plain)({**GOOD, "novel": 1, "colour": None})
        self.assertIsNone(decoded.colour)

    def test_each_wrong_type_is_refused_by_field(self) -> None:
        wrong = {
            "inner": ["a"],
            "pair": [1],
            "by_name": [1],
            "colour": "blue",
            "flag": 1,
            "raw": "x",
        }
        for name, value in wrong.items():
            try:
                reader(Plain)({**GOOD, name: value})
                self.fail(name)
            except CodecError as error:
                self.assertIn(name, str(error))

    def test_a_bool_is_no_number_and_a_text_is_none_either(self) -> None:
        for value in (True, "1", None):
            self.assertRaises(CodecError, reader(int), value)
            self.assertRaises(CodecError, reader(float), value)

    def test_a_missing_field_is_refused_unless_it_has_a_default(self) -> None:
        rest = {name: value for name, value in GOOD.items() if name != "flag"}
        self.assertRaises(CodecError, reader(Plain), rest)

    def test_a_type_that_nobody_can_read_is_refused_when_its_reader_is_made(self) -> None:
        self.assertRaises(CodecError, reader, Outer)

    @given(st.recursive(st.none() | st.integers() | st.text(), st.lists, max_leaves=4))
    def test_any_value_is_read_or_refused(self, value: object) -> None:
        for name in GOOD:
            try:
                reader(Plain)({**GOOD, name: value})
            except CodecError:
                continue
