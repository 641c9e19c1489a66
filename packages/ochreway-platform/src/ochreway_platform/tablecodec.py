# SPDX-License-Identifier: Apache-2.0
"""Bodies of the table's HTTP protocol, encoded as CBOR."""

from dataclasses import dataclass

from ochreway_core.table import Row


@dataclass(frozen=True, slots=True)
class ReadCall:
    """Request for the rows whose keys start with one of the prefixes."""

    prefixes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReadAnswer:
    """Rows that match the request."""

    rows: dict[str, Row]


__all__ = ["ReadAnswer", "ReadCall"]
