# SPDX-License-Identifier: Apache-2.0
"""The lease of the one entry that forms groups: a row in the platform's table."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from ochreway_core.backoff import Backoff
from ochreway_core.codec import decode, encode
from ochreway_core.errors import CodecError
from ochreway_core.ids import ChangeId, NodeId
from ochreway_core.table import ABSENT, CommitStatus, Condition, Row, Transaction
from ochreway_platform.errors import TableUnavailable
from ochreway_platform.table import Table

LEASE_KEY = "lease/coordinator"
RELEASE_S = 0.6
"""How long a process that ends waits for its release to be written: many usual answers."""


@dataclass(frozen=True, slots=True)
class Holder:
    """Name one life of a process."""

    node: NodeId
    incarnation: str


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Hold who has the lease, as of which change; a released one may be taken at once."""

    holder: Holder
    change: str
    released: bool = False


ENDED = ""
"""Stands for the incarnation of a process that has ended."""


class LeaseState(Enum):
    """Say whether this process has the lease."""

    ABSENT = "absent"
    HELD = "held"


class Lease:
    """Take, renew and release the lease; every write requires the row as it was last seen.

    A write without an answer is settled by reading the change back, never by guessing.
    """

    def __init__(self, table: Table, holder: Holder, renew_s: float, backoff: Backoff) -> None:
        self._table = table
        self._holder = holder
        self._renew_s = renew_s
        self._backoff = backoff
        self._alive: dict[NodeId, str] = {holder.node: holder.incarnation}
        self._changes = 0
        self._retry_s = 0.0
        self.state = LeaseState.ABSENT
        self.revision = ABSENT
        self.row: LeaseRow | None = None
        self.taken_at = ABSENT
        self.renewed_s = 0.0
        self.seen_s = 0.0

    @property
    def held(self) -> bool:
        """Tell whether this process took the lease and has not seen it lost."""
        return self.state is LeaseState.HELD

    def due(self, now_s: float) -> bool:
        """Tell whether the lease has to be renewed now."""
        return self.held and now_s >= max(self._retry_s, self.renewed_s + self._renew_s)

    def doubt(self) -> None:
        """Have the lease renewed at once, as an order was refused for a newer one's sake."""
        self.renewed_s = 0.0

    def allowed(self, now_s: float) -> bool:
        """Tell whether the table may be asked again after its last failure."""
        return now_s >= self._retry_s

    def hear(self, revision: int, now_s: float) -> None:
        """Note a revision that its holder spoke of."""
        if not self.held and revision > self.revision:
            self.revision = revision
            self.seen_s = now_s

    def note_alive(self, process: Holder) -> None:
        """Note which life of another process speaks, as any former one has ended."""
        self._alive[process.node] = process.incarnation

    def note_ended(self, node: NodeId) -> None:
        """Note that a process has ended, until one speaks under its name again."""
        self._alive[node] = ENDED

    def _ended(self, holder: Holder) -> bool:
        """Tell whether the holder is known to have ended, or a later life of it speaks."""
        return self._alive.get(holder.node, holder.incarnation) != holder.incarnation

    def free(self, now_s: float, unchanged_s: float) -> bool:
        """Tell whether the lease may be taken: released, or not renewed for a while."""
        if not self.allowed(now_s):
            return False
        if self.row is None or self.row.released or self._ended(self.row.holder):
            return True
        return now_s - self.seen_s >= unchanged_s

    async def observe(self, now_s: float) -> None:
        """Read the row."""
        try:
            rows = await self._table.read((LEASE_KEY,))
        except TableUnavailable:
            self._retry_s = now_s + self._backoff.next_delay_s()
            return
        self._backoff.reset()
        self._see(rows.get(LEASE_KEY), now_s)

    def _see(self, row: Row | None, now_s: float) -> None:
        revision = row.revision if row is not None else ABSENT
        if revision != self.revision or self.seen_s == 0.0:
            self.revision = revision
            self.seen_s = now_s
        self.row = _read(row)

    async def take(self, now_s: float) -> bool:
        """Take the lease from the state last seen; return whether that was done."""
        if not await self._write(released=False, now_s=now_s):
            return False
        self.state = LeaseState.HELD
        self.taken_at = self.revision
        return True

    async def renew(self, now_s: float) -> None:
        """Renew the lease, or find that it was lost."""
        await self._write(released=False, now_s=now_s)

    async def release(self, now_s: float) -> bool:
        """Give the lease back, so that another may take it at once; return whether that was done.

        A process that ends does not wait for a store that is silent: others take the lease once
        its holder has been silent too.
        """
        if not self.held:
            return True
        try:
            async with asyncio.timeout(RELEASE_S):
                return await self._write(released=True, now_s=now_s)
        except TimeoutError:
            return False
        finally:
            self.state = LeaseState.ABSENT

    async def _write(self, released: bool, now_s: float) -> bool:
        self._changes += 1
        change = ChangeId(f"{self._holder.node}/{self._holder.incarnation}/{self._changes}")
        content = encode(LeaseRow(self._holder, change, released))
        conditions = (Condition(LEASE_KEY, self.revision),)
        reply = await self._table.commit(Transaction(change, conditions, {LEASE_KEY: content}))
        if reply.status is CommitStatus.COMMITTED:
            self._written(reply.revision, now_s)
            return True
        if reply.status is CommitStatus.CONFLICT:
            self.state = LeaseState.ABSENT
            await self.observe(now_s)
            return self._settled(change, now_s)
        return await self._settle(change, now_s)

    async def _settle(self, change: ChangeId, now_s: float) -> bool:
        """Find out what became of a write whose answer did not come."""
        self._retry_s = now_s + self._backoff.next_delay_s()
        try:
            rows = await self._table.read((LEASE_KEY,))
        except TableUnavailable:
            return False
        row = rows.get(LEASE_KEY)
        found = _read(row)
        if row is not None and row.revision != self.revision and found is not None:
            mine = found.holder == self._holder
            if not mine:
                self.state = LeaseState.ABSENT
            self._see(row, now_s)
        return self._settled(change, now_s)

    def _settled(self, change: ChangeId, now_s: float) -> bool:
        if self.row is None or self.row.change != change:
            return False
        self._written(self.revision, now_s)
        return True

    def _written(self, revision: int, now_s: float) -> None:
        self._backoff.reset()
        self._retry_s = 0.0
        self.revision = revision
        self.renewed_s = now_s
        self.seen_s = now_s


def _read(row: Row | None) -> LeaseRow | None:
    if row is None:
        return None
    try:
        return decode(LeaseRow, row.content)
    except CodecError:
        return None


__all__ = ["LEASE_KEY", "Holder", "Lease", "LeaseRow", "LeaseState"]
