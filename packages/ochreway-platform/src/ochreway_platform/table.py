# SPDX-License-Identifier: Apache-2.0
"""The platform's transactional table."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from ochreway_core.table import CommitReply, Row, Transaction


class Table(ABC):
    """Read rows by prefix and commit conditional transactions."""

    @abstractmethod
    async def read(self, prefixes: tuple[str, ...]) -> Mapping[str, Row]:
        """Return a consistent snapshot of all rows whose keys start with one of the prefixes.

        Raises:
            TableUnavailable: if the table does not answer.
        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> CommitReply:
        """Commit a transaction; without an answer the status is ``LOST``."""


__all__ = ["Table"]
