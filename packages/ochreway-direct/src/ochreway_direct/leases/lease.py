# SPDX-License-Identifier: Apache-2.0
"""Lease of the one entry that forms groups, stored as a row in the platform's table."""

import asyncio
from dataclasses import dataclass, replace
from enum import Enum

from ochreway_core.backoff import Backoff
from ochreway_core.codec import decode, encode
from ochreway_core.errors import CodecError
from ochreway_core.ids import ChangeId, NodeId
from ochreway_core.table import ABSENT, CommitStatus, Condition, Row, Transaction
from ochreway_platform.errors import TableUnavailable
from ochreway_platform.table import Table

LEASE_KEY = "lease/coordinator"
RELEASE_TIMEOUT_S = 0.6
"""Maximum wait for the release to be written when a process ends; many usual response times."""


@dataclass(frozen=True, slots=True)
class Holder:
    """Incarnation of a process; in a row, also the term for which it holds the lease.

    A term begins when the lease is acquired, and is named after that write. A process of the
    previous build names none.
    """

    node: NodeId
    incarnation: str
    term: str = ""

    def is_same_process(self, other: "Holder") -> bool:
        """Return whether both are the same incarnation, in whatever term."""
        return (self.node, self.incarnation) == (other.node, other.incarnation)


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Holder of the lease as of a change; a released lease can be acquired at once."""

    holder: Holder
    change: str
    released: bool = False


ENDED_INCARNATION = ""
"""Stands for the incarnation of a process that has ended."""


class LeaseState(Enum):
    """Whether this process holds the lease."""

    ABSENT = "absent"
    HELD = "held"


class Lease:
    """Acquire, renew and release the lease; each write requires the row as it was last read.

    If a write has no reply, its outcome is determined by reading the row back. ``term`` is that of
    this holder, and ``former_term`` that of the row which its acquisition replaced, or empty if
    that is not known. ``acquired_revision`` is the row's revision at the acquisition; loans name
    the lease by it, and rows by the term. ``confirmed_s`` is when the last write was sent that the
    table is known to have done.
    """

    def __init__(self, table: Table, holder: Holder, renew_s: float, backoff: Backoff) -> None:
        self._table = table
        self._holder = holder
        self._renew_s = renew_s
        self._backoff = backoff
        self._incarnations: dict[NodeId, str] = {holder.node: holder.incarnation}
        self._changes = 0
        self._retry_s = 0.0
        self.state = LeaseState.ABSENT
        self.revision = ABSENT
        self.row: LeaseRow | None = None
        self._row_revision = ABSENT
        self.term = ""
        self.former_term = ""
        self.acquired_revision = ABSENT
        self.renewed_s = 0.0
        self.confirmed_s = 0.0
        self.unchanged_since_s = 0.0

    @property
    def held(self) -> bool:
        """Return whether this process acquired the lease and has not observed its loss."""
        return self.state is LeaseState.HELD

    def due(self, now_s: float) -> bool:
        """Return whether the lease has to be renewed now."""
        return self.held and now_s >= max(self._retry_s, self.renewed_s + self._renew_s)

    def renew_at_once(self) -> None:
        """Make the renewal due at once, as another process may have acquired the lease."""
        self.renewed_s = 0.0

    def may_retry(self, now_s: float) -> bool:
        """Return whether the table may be accessed again after its last failure."""
        return now_s >= self._retry_s

    def record_revision(self, holder: NodeId, revision: int, now_s: float) -> None:
        """Record a revision that the lease holder announced; a later holder ends this one's lease.

        Each write of the row requires the one before, so a later revision of another holder proves
        that this one's row was replaced, also while the table does not answer.
        """
        if revision <= self.revision:
            return
        if self.held and holder != self._holder.node:
            self.state = LeaseState.ABSENT
        if not self.held:
            self.revision = revision
            self.unchanged_since_s = now_s

    def record_incarnation(self, process: Holder) -> None:
        """Record the current incarnation of another process; any former one has ended."""
        self._incarnations[process.node] = process.incarnation

    def record_ended(self, node: NodeId) -> None:
        """Record that a process has ended, until one is seen under its name again."""
        self._incarnations[node] = ENDED_INCARNATION

    def _has_ended(self, holder: Holder) -> bool:
        """Return whether the holder is known to have ended or to have a later incarnation."""
        return self._incarnations.get(holder.node, holder.incarnation) != holder.incarnation

    def is_available(self, now_s: float, takeover_delay_s: float) -> bool:
        """Return whether the lease may be acquired: released, ended, or unchanged for a while."""
        if not self.may_retry(now_s):
            return False
        if self.row is None or self.row.released or self._has_ended(self.row.holder):
            return True
        return now_s - self.unchanged_since_s >= takeover_delay_s

    async def observe(self, now_s: float) -> None:
        """Read the row."""
        try:
            rows = await self._table.read((LEASE_KEY,))
        except TableUnavailable:
            self._retry_s = now_s + self._backoff.next_delay_s()
            return
        self._backoff.reset()
        self._apply_row(rows.get(LEASE_KEY), now_s)

    def _apply_row(self, row: Row | None, now_s: float) -> None:
        revision = row.revision if row is not None else ABSENT
        if revision != self.revision or self.unchanged_since_s == 0.0:
            self.revision = revision
            self.unchanged_since_s = now_s
        self.row = decode_lease_row(row)
        self._row_revision = revision

    async def acquire(self, now_s: float) -> bool:
        """Acquire the lease if the row is as last read; return whether it was acquired."""
        replaced = self.row if self._row_revision == self.revision else None
        former_term = replaced.holder.term if replaced is not None else ""
        change = self._next_change()
        if not await self._write(change, term=change, released=False, now_s=now_s):
            return False
        self.state = LeaseState.HELD
        self.acquired_revision = self.revision
        self.term, self.former_term = change, former_term
        return True

    async def renew(self, now_s: float) -> None:
        """Renew the lease, or observe that it was lost."""
        await self._write(self._next_change(), self.term, released=False, now_s=now_s)

    async def release(self, now_s: float) -> bool:
        """Release the lease for others to acquire at once; return whether that was written.

        A process that ends does not wait for a silent store: others acquire the lease once its
        holder has been silent too.
        """
        if not self.held:
            return True
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                change = self._next_change()
                return await self._write(change, self.term, released=True, now_s=now_s)
        except TimeoutError:
            return False
        finally:
            self.state = LeaseState.ABSENT

    def _next_change(self) -> ChangeId:
        self._changes += 1
        return ChangeId(f"{self._holder.node}/{self._holder.incarnation}/{self._changes}")

    async def _write(self, change: ChangeId, term: str, released: bool, now_s: float) -> bool:
        content = encode(LeaseRow(replace(self._holder, term=term), change, released))
        conditions = (Condition(LEASE_KEY, self.revision),)
        reply = await self._table.commit(Transaction(change, conditions, {LEASE_KEY: content}))
        if reply.status is CommitStatus.COMMITTED:
            self._on_written(reply.revision, now_s)
            return True
        if reply.status is CommitStatus.CONFLICT:
            self.state = LeaseState.ABSENT
            await self.observe(now_s)
            return self._confirm_change(change, now_s)
        return await self._resolve_lost_reply(change, now_s)

    async def _resolve_lost_reply(self, change: ChangeId, now_s: float) -> bool:
        """Read back the outcome of a write that had no reply."""
        self._retry_s = now_s + self._backoff.next_delay_s()
        try:
            rows = await self._table.read((LEASE_KEY,))
        except TableUnavailable:
            return False
        row = rows.get(LEASE_KEY)
        stored = decode_lease_row(row)
        if row is not None and row.revision != self.revision and stored is not None:
            is_own = stored.holder.is_same_process(self._holder)
            if not is_own:
                self.state = LeaseState.ABSENT
            self._apply_row(row, now_s)
        return self._confirm_change(change, now_s)

    def _confirm_change(self, change: ChangeId, now_s: float) -> bool:
        if self.row is None or self.row.change != change:
            return False
        self._on_written(self.revision, now_s)
        return True

    def _on_written(self, revision: int, now_s: float) -> None:
        self._backoff.reset()
        self._retry_s = 0.0
        self.revision = revision
        self.renewed_s = self.confirmed_s = now_s
        self.unchanged_since_s = now_s


def decode_lease_row(row: Row | None) -> LeaseRow | None:
    """Return the lease as a row states it, or None if there is none or it cannot be read."""
    if row is None:
        return None
    try:
        return decode(LeaseRow, row.content)
    except CodecError:
        return None


__all__ = ["LEASE_KEY", "Holder", "Lease", "LeaseRow", "LeaseState", "decode_lease_row"]
