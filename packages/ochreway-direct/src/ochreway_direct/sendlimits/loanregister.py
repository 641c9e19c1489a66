# SPDX-License-Identifier: Apache-2.0
"""Register of the borrowers of the holder of the lease, in the platform's table."""

import math

from ochreway_core.backoff import Backoff
from ochreway_core.codec import encode
from ochreway_core.ids import ChangeId, NodeId
from ochreway_core.table import ABSENT, CommitStatus, Condition, Row, Transaction
from ochreway_direct.leases.lease import LEASE_KEY, Lease, decode_lease_row
from ochreway_direct.sendlimits.loanbounds import Bounds, lowest_bounds
from ochreway_direct.sendlimits.loansrow import LOANS_KEY, LoansRow, decode_loans_row
from ochreway_platform.errors import TableUnavailable
from ochreway_platform.table import Table


class LoanRegister:
    """Read and write the row of borrowers; each write requires the lease row and the row itself.

    The outcome of a write without a reply is determined by reading the row back. If the row is
    unchanged, the write may still take effect until another one succeeds. Meanwhile only what both
    versions allow is lent.
    """

    def __init__(self, table: Table, lease: Lease, backoff: Backoff) -> None:
        """Start without having read the row."""
        self._table = table
        self._lease = lease
        self._backoff = backoff
        self._retry_s = -math.inf
        self._changes = 0
        self._revision = ABSENT
        self._unread = True
        self._discards = 0
        self.row: LoansRow | None = None
        self._registered: Bounds = {}
        self._doubtful: Bounds | None = None

    @property
    def registered(self) -> Bounds:
        """Return what the row certainly allows to be lent under this holder's lease."""
        own = self.row is not None and self.row.term == self._lease.term
        return self._registered if own else {}

    @property
    def unread(self) -> bool:
        """Return whether the row has to be read before it can be written."""
        return self._unread

    @property
    def revision(self) -> int:
        """Return the revision of the row as it was last read or written."""
        return self._revision

    def may_retry(self, now_s: float) -> bool:
        """Return whether the table may be accessed again after its last failure."""
        return now_s >= self._retry_s

    def discard(self) -> None:
        """Forget the row, as another lease was acquired since it was read."""
        self._unread = True
        self._discards += 1
        self._revision = ABSENT
        self.row = None
        self._registered = {}

    async def read(self, now_s: float) -> bool:
        """Read the row; return whether one was read under the same lease and is not outdated."""
        discards = self._discards
        try:
            rows = await self._table.read((LOANS_KEY,))
        except TableUnavailable:
            self._retry_s = now_s + self._backoff.next_delay_s()
            return False
        self._backoff.reset()
        stored = rows.get(LOANS_KEY)
        if self._discards != discards:
            return False
        if (stored.revision if stored is not None else ABSENT) < self._revision:
            # The row is never deleted, so this one was read before the last write.
            self._retry_s = now_s + self._backoff.next_delay_s()
            return False
        self._apply(stored)
        return True

    async def read_in_force(self, now_s: float) -> LoansRow | None:
        """Return the row if it is of the lease that the table names, else None."""
        try:
            rows = await self._table.read((LEASE_KEY, LOANS_KEY))
        except TableUnavailable:
            self._retry_s = now_s + self._backoff.next_delay_s()
            return None
        lease_row = decode_lease_row(rows.get(LEASE_KEY))
        stored = rows.get(LOANS_KEY)
        row = decode_loans_row(stored.content) if stored is not None else None
        if lease_row is None or row is None or row.term != lease_row.holder.term:
            return None
        return row

    def _apply(self, stored: Row | None) -> None:
        self._unread = False
        revision = stored.revision if stored is not None else ABSENT
        if revision != self._revision:
            self._doubtful = None
        self._revision = revision
        self.row = decode_loans_row(stored.content) if stored is not None else None
        registered = self.row.bounds() if self.row is not None else {}
        self._registered = lowest_bounds(registered, self._doubtful)

    async def write(self, bounds: Bounds, entries: frozenset[NodeId], now_s: float) -> bool:
        """Register exactly these borrowers; return whether that is certain.

        Whatever happens, no more may be lent from now on than these bounds and the former ones.
        """
        self._registered = lowest_bounds(self._registered, bounds)
        self._changes += 1
        term = self._lease.term
        change = ChangeId(f"{term}/loans/{self._changes}")
        ordered = tuple(sorted(bounds, key=lambda each: each.key))
        shares = {each.key: dict(bounds[each]) for each in ordered}
        row = LoansRow(term, change, ordered, tuple(sorted(entries)), shares)
        conditions = (
            Condition(LEASE_KEY, self._lease.revision),
            Condition(LOANS_KEY, self._revision),
        )
        reply = await self._table.commit(Transaction(change, conditions, {LOANS_KEY: encode(row)}))
        if reply.status is not CommitStatus.COMMITTED:
            if reply.status is CommitStatus.LOST:
                self._doubtful = lowest_bounds(bounds, self._doubtful)
            self._unread = True
            self._retry_s = now_s + self._backoff.next_delay_s()
            return False
        self._backoff.reset()
        self._doubtful = None
        self.row, self._revision, self._registered = row, reply.revision, bounds
        return True


__all__ = ["LoanRegister"]
