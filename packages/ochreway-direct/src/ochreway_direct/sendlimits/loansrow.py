# SPDX-License-Identifier: Apache-2.0
"""Row of the processes that may hold a loan, kept in the platform's table."""

from dataclasses import dataclass, field

from ochreway_core.codec import decode
from ochreway_core.errors import CodecError
from ochreway_core.ids import NodeId
from ochreway_direct.ids import ServiceName
from ochreway_direct.sendlimits.borrower import Borrower
from ochreway_direct.sendlimits.loanbounds import Bounds

LOANS_KEY = "lease/loans"


@dataclass(frozen=True, slots=True)
class LoansRow:
    """Hold the borrowers of the holder of a lease, and every entry that it counts.

    ``term`` identifies the lease under which the row was written, and ``change`` the write.
    ``shares`` names the most that each borrower, by its key, may hold for each service.
    """

    term: str
    change: str
    borrowers: tuple[Borrower, ...]
    entries: tuple[NodeId, ...] = ()
    shares: dict[str, dict[ServiceName, int]] = field(default_factory=dict)

    def bounds(self) -> Bounds:
        """Return the most that each borrower may hold."""
        return {each: self.shares.get(each.key, {}) for each in self.borrowers}


def decode_loans_row(content: bytes) -> LoansRow | None:
    """Return the row, or None if it cannot be read."""
    try:
        return decode(LoansRow, content)
    except CodecError:
        return None


__all__ = ["LOANS_KEY", "LoansRow", "decode_loans_row"]
