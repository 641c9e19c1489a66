# SPDX-License-Identifier: Apache-2.0
"""Table in memory, for tests and stand-ins."""

from collections.abc import Mapping

from ochreway_core.table import ABSENT, CommitReply, CommitStatus, Row, Transaction
from ochreway_platform.table import Table


class MemoryTable(Table):
    """Keep rows in a dictionary."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.revision = ABSENT
        self.reads = 0
        self.writes = 0

    def read_now(self, prefixes: tuple[str, ...]) -> Mapping[str, Row]:
        """Return every row below the prefixes."""
        self.reads += 1
        return {key: row for key, row in self.rows.items() if key.startswith(prefixes)}

    def commit_now(self, transaction: Transaction) -> CommitReply:
        """Commit a transaction if its conditions hold."""
        self.writes += 1
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.revision if row else ABSENT) != condition.revision:
                return CommitReply(CommitStatus.CONFLICT)
        self.revision += 1
        for key, content in transaction.writes.items():
            if content is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = Row(self.revision, content)
        return CommitReply(CommitStatus.COMMITTED, self.revision)

    async def read(self, prefixes: tuple[str, ...]) -> Mapping[str, Row]:
        """Return every row below the prefixes."""
        return self.read_now(prefixes)

    async def commit(self, transaction: Transaction) -> CommitReply:
        """Commit a transaction if its conditions hold."""
        return self.commit_now(transaction)


__all__ = ["MemoryTable"]
