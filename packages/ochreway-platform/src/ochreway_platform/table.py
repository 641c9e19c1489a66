# SPDX-License-Identifier: Apache-2.0
"""The platform's transactional table."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from ochreway_core.table import CommitReply, Row, Transaction


class Table(ABC):
    """Read rows by prefix and commit conditional transactions."""

    @abstractmethod
    async def read(self, prefixes: tuple[str, ...]) -> Mapping[str, Row]:
        """Return every row below the prefixes, as of one moment.

        Raises:
            TableUnavailable: when the table does not answer.
        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> CommitReply:
        """Commit a transaction; when the answer does not come, its status is ``LOST``."""


__all__ = ["Table"]
