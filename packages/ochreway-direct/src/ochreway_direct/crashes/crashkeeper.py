# SPDX-License-Identifier: Apache-2.0
"""Storage of fatal causes in the platform's table, in case all entries end at once."""

import asyncio
import time
from collections.abc import Callable

from ochreway_core.backoff import Backoff
from ochreway_core.ids import CauseId, ChangeId, InstanceId, NodeId
from ochreway_core.table import CommitStatus, Row, Transaction
from ochreway_direct.crashes.crashwatch import CrashWatch
from ochreway_direct.crashes.fatalrow import KEY_PREFIX, FatalRow, decode_row, row_key
from ochreway_platform.errors import TableUnavailable
from ochreway_platform.table import Table
from ochreway_routing.crashbook import RETENTION_S, CrashBook
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

SCAN_INTERVAL_S = 1.0
"""How often the holder of the lease checks for fatal causes without a row.

The entry that sees the third crash writes a row at once. If two entries see one crash each at the
same moment, neither of them does.
"""
REFRESH_INTERVAL_S = RETENTION_S / 4
"""How often the holder of the lease rewrites rows that are still valid and deletes the others."""
MAX_ROWS_PER_WRITE = 50
"""Rows per transaction; the platform accepts 100."""


class CrashKeeper:
    """Write a row when a cause becomes fatal, delete it when cleared, read all at the start.

    Without rows, each fatal cause would end three further targets whenever all entries have ended.
    The cost is a write for each such cause and crash, a read at each start and one every five
    minutes.
    """

    def __init__(
        self,
        me: NodeId,
        book: CrashBook,
        watch: CrashWatch,
        table: Table,
        holds_lease: Callable[[], bool],
        backoff: Backoff,
        log: EventLog,
        metrics: Metrics,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Create a keeper; ``holds_lease`` returns whether this entry holds the lease."""
        self._me = me
        self._book = book
        self._watch = watch
        self._table = table
        self._holds_lease = holds_lease
        self._backoff = backoff
        self._log = log
        self._metrics = metrics
        self._wall = wall
        self._loop = asyncio.get_running_loop()
        self._stored: dict[CauseId, int] = {}
        self._pending: dict[CauseId, None] = {}
        self._wake = asyncio.Event()
        self._change_count = 0
        self._refreshed_s = self._loop.time()
        watch.add_listener(self._on_changed)

    def _on_changed(self, causes: list[CauseId]) -> None:
        """Schedule writes for causes that have become fatal here, or that no longer are."""
        changed = [cause for cause in causes if self._is_outdated(cause)]
        self._pending.update(dict.fromkeys(changed))
        if changed:
            self._wake.set()

    def _is_outdated(self, cause: CauseId) -> bool:
        """Return whether a cause's row, or the lack of one, does not say what is known."""
        return self._stored.get(cause, 0) != self._crashes_to_store(cause)

    def _crashes_to_store(self, cause: CauseId) -> int:
        """Return how many crashes a cause's row has to name; 0 if it has none."""
        return self._book.crash_count(cause) if self._book.is_fatal(cause) else 0

    def _outdated(self) -> list[CauseId]:
        """Return the causes whose rows this entry has to write or delete.

        Each entry sees to the rows that it knows, the holder of the lease to those that lack.
        """
        fatal = self._book.fatal() if self._holds_lease() else []
        return [cause for cause in (*self._stored, *fatal) if self._is_outdated(cause)]

    async def run(self) -> None:
        """Read all rows, then write pending changes until cancelled."""
        while not await self._restore():
            await asyncio.sleep(self._backoff.next_delay_s())
        while True:
            await self._wait()
            self._pending.update(dict.fromkeys(self._outdated()))
            if self._pending and not await self._write(list(self._pending)[:MAX_ROWS_PER_WRITE]):
                await asyncio.sleep(self._backoff.next_delay_s())
            if self._holds_lease() and self._loop.time() - self._refreshed_s >= REFRESH_INTERVAL_S:
                await self._refresh_rows()

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(0.0 if self._pending else SCAN_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            return
        finally:
            self._wake.clear()

    async def _restore(self) -> bool:
        """Apply the rows that are still valid; return whether the table answered."""
        rows = await self._read()
        if rows is None:
            return False
        now_s, wall_s = self._loop.time(), self._wall()
        recent_rows = [row for row in rows.values() if row.age_s(wall_s) < RETENTION_S]
        self._stored.update((row.fingerprint, len(row.targets)) for row in recent_rows)
        self._watch.on_sightings(tuple(row.to_sighting(wall_s) for row in recent_rows), now_s)
        return True

    async def _read(self) -> dict[str, FatalRow] | None:
        try:
            rows = await self._table.read((KEY_PREFIX,))
        except TableUnavailable as error:
            self._metrics.count("crash.rows_unavailable")
            self._log.detail("fatal_rows_unavailable", cause=error)
            return None
        self._backoff.reset()
        return {
            key: decoded_row for key, row in rows.items() if (decoded_row := self._decode(key, row))
        }

    def _decode(self, key: str, row: Row) -> FatalRow | None:
        fatal_row = decode_row(row.content)
        if fatal_row is None:
            self._metrics.count("crash.row_unreadable")
            self._log.fault("fatal_row_unreadable", key=key)
        return fatal_row

    async def _write(self, causes: list[CauseId]) -> bool:
        """Write or delete the rows of some causes; return whether they were committed."""
        crashes = {each: self._crashes_to_store(each) for each in causes}
        writes = {row_key(each): self._row_content(each) for each in causes}
        if not await self._commit(writes):
            return False
        for cause in causes:
            del self._pending[cause]
            if crashes[cause]:
                self._stored[cause] = crashes[cause]
            else:
                self._stored.pop(cause, None)
        return True

    def _row_content(self, cause: CauseId) -> bytes | None:
        if not self._book.is_fatal(cause):
            return None
        targets = _distinct_names(self._book.targets(cause))
        return FatalRow(cause, targets, self._wall()).to_bytes()

    async def _commit(self, writes: dict[str, bytes | None]) -> bool:
        self._change_count += 1
        change = ChangeId(f"{self._me}/fatal/{self._change_count}")
        reply = await self._table.commit(Transaction(change, (), writes))
        committed = reply.status is CommitStatus.COMMITTED
        self._metrics.count("crash.rows_written" if committed else "crash.rows_unavailable")
        if committed:
            self._backoff.reset()
        return committed

    async def _refresh_rows(self) -> None:
        """Rewrite rows of requests that are still asked for, and delete expired rows."""
        self._refreshed_s = self._loop.time()
        rows = await self._read()
        if rows is None:
            return
        wall_s = self._wall()
        aged = [row for row in rows.values() if row.age_s(wall_s) >= REFRESH_INTERVAL_S]
        expired = [row for row in aged if row.age_s(wall_s) >= RETENTION_S]
        to_write = {row.fingerprint for row in expired}
        to_write |= {row.fingerprint for row in aged if self._requested_since_write(row, wall_s)}
        self._pending.update(dict.fromkeys(to_write))

    def _requested_since_write(self, row: FatalRow, wall_s: float) -> bool:
        """Return whether a request was received since its row was written."""
        request_age_s = self._book.asked_age_s(row.fingerprint, self._loop.time())
        return request_age_s is not None and request_age_s < row.age_s(wall_s)


def _distinct_names(targets: list[InstanceId]) -> tuple[InstanceId, ...]:
    """Return a name for each crash.

    The same target may have ended more than once, and a row has no times that would show this.
    """
    names: list[InstanceId] = []
    for target in targets:
        names.append(InstanceId(f"{target}#{len(names)}") if target in names else target)
    return tuple(names)


__all__ = ["SCAN_INTERVAL_S", "REFRESH_INTERVAL_S", "CrashKeeper"]
