# SPDX-License-Identifier: Apache-2.0
"""Requests to the platform's transactional table, and its replies."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from ochreway_core.ids import ChangeId

ABSENT = 0
"""The revision of a row that does not exist."""


@dataclass(frozen=True, slots=True)
class Row:
    """Hold one row's content and the revision of its last write."""

    revision: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Condition:
    """Require a row to be at a revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Transaction:
    """Write all rows if every condition holds, else none; ``None`` deletes a row."""

    change: ChangeId
    conditions: tuple[Condition, ...]
    writes: Mapping[str, bytes | None] = field(default_factory=dict)


class CommitStatus(Enum):
    """Result of a transaction.

    ``LOST`` means unknown: the transaction may have taken effect or may still do so.
    """

    COMMITTED = "committed"
    CONFLICT = "conflict"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class CommitReply:
    """Reply to a transaction; ``revision`` is that of every row it wrote."""

    status: CommitStatus
    revision: int = ABSENT


@dataclass(frozen=True, slots=True)
class ReadReply:
    """Reply to a read: the rows found, or ``None`` if the table did not answer."""

    rows: Mapping[str, Row] | None


__all__ = [
    "ABSENT",
    "CommitReply",
    "CommitStatus",
    "Condition",
    "ReadReply",
    "Row",
    "Transaction",
]
