# SPDX-License-Identifier: Apache-2.0
"""Keeping fatal requests in the platform's table, for when all entries have ended at once."""

import asyncio
import time
from collections.abc import Callable

from ochreway_core.backoff import Backoff
from ochreway_core.ids import ChangeId, Fingerprint, InstanceId, NodeId
from ochreway_core.table import CommitStatus, Row, Transaction
from ochreway_direct.crashes.crashwatch import CrashWatch
from ochreway_direct.crashes.fatalrow import PREFIX, FatalRow, key_of, read_row
from ochreway_platform.errors import TableUnavailable
from ochreway_platform.table import Table
from ochreway_routing.crashbook import QUARANTINE_S, CrashBook
from ochreway_routing.crashrecord import FATAL_CRASHES
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

LOOK_S = 1.0
"""How often the holder of the lease looks for fatal requests without a row.

Whoever saw the third crash writes at once; where two entries saw one each at the same moment,
neither did.
"""
TIDY_S = QUARANTINE_S / 2
"""How often the holder of the lease writes rows anew that still count, and drops the others."""
WRITTEN_AT_ONCE = 50
"""How many rows one transaction has; the platform takes 100."""


class CrashKeeper:
    """Write a row when a request becomes fatal, drop it when it is cleared, read all at the start.

    Without rows three further targets end under each fatal request after every end of all entries.
    It costs a write for each such request, a read at each start and one in five minutes.
    """

    def __init__(
        self,
        me: NodeId,
        book: CrashBook,
        watch: CrashWatch,
        table: Table,
        holds: Callable[[], bool],
        backoff: Backoff,
        log: EventLog,
        metrics: Metrics,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Start with the parts given; ``holds`` tells whether this entry holds the lease."""
        self._me = me
        self._book = book
        self._watch = watch
        self._table = table
        self._holds = holds
        self._backoff = backoff
        self._log = log
        self._metrics = metrics
        self._wall = wall
        self._loop = asyncio.get_running_loop()
        self._kept: set[Fingerprint] = set()
        self._due: dict[Fingerprint, None] = {}
        self._wake = asyncio.Event()
        self._changes = 0
        self._tidied_s = self._loop.time()
        watch.listen(self._changed)

    def _changed(self, fingerprints: list[Fingerprint]) -> None:
        """Have those written that have become fatal here, or are so no more."""
        for fingerprint in fingerprints:
            if self._fatal(fingerprint) != (fingerprint in self._kept):
                self._due[fingerprint] = None
                self._wake.set()

    def _fatal(self, fingerprint: Fingerprint) -> bool:
        return self._book.crash_count(fingerprint) >= FATAL_CRASHES

    async def run(self) -> None:
        """Read all rows, then write what is due until cancelled."""
        while not await self._restore():
            await asyncio.sleep(self._backoff.next_delay_s())
        while True:
            await self._wait()
            if self._holds():
                self._due.update(dict.fromkeys(set(self._book.fatal()) - self._kept))
            if self._due and not await self._write(list(self._due)[:WRITTEN_AT_ONCE]):
                await asyncio.sleep(self._backoff.next_delay_s())
            if self._holds() and self._loop.time() - self._tidied_s >= TIDY_S:
                await self._tidy()

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(0.0 if self._due else LOOK_S):
                await self._wake.wait()
        except TimeoutError:
            return
        finally:
            self._wake.clear()

    async def _restore(self) -> bool:
        """Take the rows that still count; return whether the table answered."""
        rows = await self._read()
        if rows is None:
            return False
        now_s, wall_s = self._loop.time(), self._wall()
        found = [row for row in rows.values() if row.age_s(wall_s) < 2 * QUARANTINE_S]
        self._kept.update(row.fingerprint for row in found)
        self._watch.hear(tuple(row.sighting(wall_s) for row in found), now_s)
        return True

    async def _read(self) -> dict[str, FatalRow] | None:
        try:
            rows = await self._table.read((PREFIX,))
        except TableUnavailable as fault:
            self._metrics.count("crash.rows_unavailable")
            self._log.detail("fatal_rows_unavailable", cause=fault)
            return None
        self._backoff.reset()
        return {key: found for key, row in rows.items() if (found := self._decoded(key, row))}

    def _decoded(self, key: str, row: Row) -> FatalRow | None:
        found = read_row(row.content)
        if found is None:
            self._metrics.count("crash.row_unreadable")
            self._log.fault("fatal_row_unreadable", key=key)
        return found

    async def _write(self, fingerprints: list[Fingerprint]) -> bool:
        """Write or drop the rows of some requests; return whether that was done."""
        writes = {key_of(each): self._content(each) for each in fingerprints}
        if not await self._commit(writes):
            return False
        for fingerprint in fingerprints:
            del self._due[fingerprint]
            (self._kept.add if writes[key_of(fingerprint)] else self._kept.discard)(fingerprint)
        return True

    def _content(self, fingerprint: Fingerprint) -> bytes | None:
        if not self._fatal(fingerprint):
            return None
        targets = tuple(dict.fromkeys(self._book.targets(fingerprint)))
        return FatalRow(fingerprint, _told_apart(targets), self._wall()).content()

    async def _commit(self, writes: dict[str, bytes | None]) -> bool:
        self._changes += 1
        change = ChangeId(f"{self._me}/fatal/{self._changes}")
        reply = await self._table.commit(Transaction(change, (), writes))
        done = reply.status is CommitStatus.COMMITTED
        self._metrics.count("crash.rows_written" if done else "crash.rows_unavailable")
        if done:
            self._backoff.reset()
        return done

    async def _tidy(self) -> None:
        """Write rows of requests that are still fatal anew, and drop those that count no more."""
        self._tidied_s = self._loop.time()
        rows = await self._read()
        if rows is None:
            return
        wall_s = self._wall()
        old = [row for row in rows.values() if row.age_s(wall_s) >= TIDY_S]
        over = [row for row in old if row.age_s(wall_s) >= 2 * QUARANTINE_S]
        due = {row.fingerprint for row in over}
        due |= {row.fingerprint for row in old if self._asked_lately(row, wall_s)}
        self._due.update(dict.fromkeys(due))

    def _asked_lately(self, row: FatalRow, wall_s: float) -> bool:
        """Tell whether a request was asked for since its row was written."""
        asked_s = self._book.asked_age_s(row.fingerprint, self._loop.time())
        return asked_s is not None and asked_s < row.age_s(wall_s)


def _told_apart(targets: tuple[InstanceId, ...]) -> tuple[InstanceId, ...]:
    """Return as many names as crashes make a request fatal, each its own.

    The same target may have ended more than once; a row has no times to tell that by.
    """
    more = (InstanceId(f"{targets[0]}#{n}") for n in range(FATAL_CRASHES - len(targets)))
    return (*targets, *more)


__all__ = ["LOOK_S", "TIDY_S", "CrashKeeper"]
