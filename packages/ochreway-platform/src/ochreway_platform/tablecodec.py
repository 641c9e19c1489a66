# SPDX-License-Identifier: Apache-2.0
"""The bodies of the table's HTTP protocol, in CBOR."""

from dataclasses import dataclass

from ochreway_core.table import Row


@dataclass(frozen=True, slots=True)
class ReadCall:
    """Ask for the rows below some prefixes."""

    prefixes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReadAnswer:
    """Hold the rows that were found."""

    rows: dict[str, Row]


__all__ = ["ReadAnswer", "ReadCall"]
