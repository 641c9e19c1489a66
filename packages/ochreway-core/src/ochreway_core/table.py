# SPDX-License-Identifier: Apache-2.0
"""What the platform's transactional table is asked and what it answers."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from ochreway_core.ids import ChangeId

ABSENT = 0
"""The revision of a row that does not exist."""


@dataclass(frozen=True, slots=True)
class Row:
    """Hold one row's content and the revision that its last write gave it."""

    revision: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Condition:
    """Require a row to stand at a revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Transaction:
    """Write rows if every condition holds, else nothing; ``None`` deletes a row."""

    change: ChangeId
    conditions: tuple[Condition, ...]
    writes: Mapping[str, bytes | None] = field(default_factory=dict)


class CommitStatus(Enum):
    """Say what became of a transaction.

    ``LOST`` means that nobody knows: it may have taken effect or may yet do so.
    """

    COMMITTED = "committed"
    CONFLICT = "conflict"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class CommitReply:
    """Answer a transaction; ``revision`` is the one given to every row it wrote."""

    status: CommitStatus
    revision: int = ABSENT


@dataclass(frozen=True, slots=True)
class ReadReply:
    """Answer a read with the rows found, or with ``None`` when the table did not answer."""

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
