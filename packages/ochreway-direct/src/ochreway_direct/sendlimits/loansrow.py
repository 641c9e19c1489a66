# SPDX-License-Identifier: Apache-2.0
"""Row of the processes that may hold a loan, kept in the platform's table."""

from dataclasses import dataclass

from ochreway_core.codec import decode
from ochreway_core.errors import CodecError
from ochreway_core.ids import NodeId

LOANS_KEY = "lease/loans"


@dataclass(frozen=True, slots=True)
class Borrower:
    """Identify a process that may hold a loan, and where other entries connect to it."""

    node: NodeId
    incarnation: str
    address: str = ""


@dataclass(frozen=True, slots=True)
class LoansRow:
    """Hold the borrowers of the holder of a lease, and every entry that it counts.

    ``term`` identifies the lease under which the row was written, and ``change`` the write.
    """

    term: str
    change: str
    borrowers: tuple[Borrower, ...]
    entries: tuple[NodeId, ...] = ()


def decode_loans_row(content: bytes) -> LoansRow | None:
    """Return the row, or None if it cannot be read."""
    try:
        return decode(LoansRow, content)
    except CodecError:
        return None


__all__ = ["LOANS_KEY", "Borrower", "LoansRow", "decode_loans_row"]
