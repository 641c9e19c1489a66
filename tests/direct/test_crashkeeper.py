# SPDX-License-Identifier: Apache-2.0
import asyncio
import random
from collections.abc import Awaitable, Callable

import testtools

from ochreway_core.backoff import Backoff
from ochreway_core.ids import CauseId, InstanceId, NodeId
from ochreway_core.table import CommitReply, CommitStatus, Row, Transaction
from ochreway_direct.crashes.crashkeeper import CrashKeeper
from ochreway_direct.crashes.crashwatch import CrashWatch
from ochreway_direct.crashes.fatalrow import KEY_PREFIX, FatalRow, row_key
from ochreway_platform.errors import TableUnavailable
from ochreway_platform.memorytable import MemoryTable
from ochreway_routing.crashbook import RETENTION_S, CrashBook
from ochreway_routing.crashholds import HOLD_S
from ochreway_routing.crashrecord import FATAL_CRASHES
from ochreway_runtime.metrics import Metrics
from tests.runtime.recordedlog import RecordedLog

CAUSE = CauseId("one")
TARGETS = [InstanceId(f"i-{n}") for n in range(FATAL_CRASHES)]
WALL_S = 1.0e9
TIMEOUT_S = 10.0


class UnavailableTable(MemoryTable):
    """A table that does not answer while it is unavailable; a write may still be committed."""

    def __init__(self) -> None:
        super().__init__()
        self.unavailable = False
        self.writes_anyway = False

    async def read(self, prefixes: tuple[str, ...]) -> dict[str, Row]:
        if self.unavailable:
            raise TableUnavailable("unavailable")
        return dict(self.read_now(prefixes))

    async def commit(self, transaction: Transaction) -> CommitReply:
        if self.unavailable:
            if self.writes_anyway:
                self.commit_now(transaction)
            return CommitReply(CommitStatus.LOST)
        return self.commit_now(transaction)


class Incarnation:
    """The crash book, watch and keeper of one incarnation of an entry."""

    def __init__(
        self, table: MemoryTable, wall_s: float = WALL_S, holds_lease: bool = False
    ) -> None:
        self.log, self.metrics = RecordedLog(), Metrics(None, "entry")
        self.book = CrashBook()
        self.watch = CrashWatch(self.book, self.log, self.metrics)
        backoff = Backoff(0.01, 0.02, random.Random(1))
        self.keeper = CrashKeeper(
            *(NodeId("e"), self.book, self.watch, table, lambda: holds_lease, backoff),
            *(self.log, self.metrics, lambda: wall_s),
        )
        self.task = asyncio.create_task(self.keeper.run())

    def crash(self, times: int = FATAL_CRASHES) -> None:
        now_s = asyncio.get_running_loop().time()
        for number, target in enumerate(TARGETS[:times]):
            self.book.record_crash(CAUSE, target, now_s - times + 1 + number)
            self.watch._notify([CAUSE])

    def hold_left_s(self) -> float:
        return self.book.check_request([CAUSE], asyncio.get_running_loop().time()).fatal_for_s

    async def until(self, check: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not check():
                await asyncio.sleep(0.005)


def run_async(work: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(work())  # type: ignore[arg-type]


class CrashKeeperTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = UnavailableTable()

    def keys(self) -> list[str]:
        return [key for key in self.table.rows if key.startswith(KEY_PREFIX)]

    def test_the_next_incarnation_knows_fatal_requests_at_once(self) -> None:
        async def work() -> None:
            first = Incarnation(self.table)
            first.crash()
            await first.until(lambda: bool(self.keys()))
            first.task.cancel()
            second = Incarnation(self.table, WALL_S + 20.0)
            await second.until(lambda: bool(second.book.fatal()))
            self.assertGreater(second.hold_left_s(), HOLD_S[0] - 21.0)
            self.assertIn("request_fatal", second.log.names)

        run_async(work)

    def test_suspects_have_no_row(self) -> None:
        async def work() -> None:
            incarnation = Incarnation(self.table)
            incarnation.crash(FATAL_CRASHES - 1)
            await asyncio.sleep(0.1)
            self.assertEqual([], self.keys())

        run_async(work)

    def test_a_completed_run_deletes_the_row(self) -> None:
        async def work() -> None:
            incarnation = Incarnation(self.table)
            incarnation.crash()
            await incarnation.until(lambda: bool(self.keys()))
            incarnation.book.record_completion(CAUSE, asyncio.get_running_loop().time() + 1.0)
            incarnation.watch._notify([CAUSE])
            await incarnation.until(lambda: not self.keys())

        run_async(work)

    def test_failed_writes_are_repeated_once_the_table_is_available(self) -> None:
        async def work() -> None:
            for done in (False, True):
                self.table.unavailable, self.table.writes_anyway = False, done
                incarnation = Incarnation(self.table)
                await incarnation.until(lambda: self.table.reads > 0)
                await asyncio.sleep(0.05)
                self.table.unavailable = True
                incarnation.crash()
                await asyncio.sleep(0.1)
                self.table.unavailable = False
                await incarnation.until(lambda: bool(self.keys()))
                incarnation.task.cancel()
                self.table.rows.clear()

        run_async(work)

    def test_a_start_while_the_table_is_unavailable_reads_it_later(self) -> None:
        async def work() -> None:
            row = FatalRow(CAUSE, tuple(TARGETS), WALL_S)
            self.table.rows[row_key(CAUSE)] = Row(1, row.to_bytes())
            self.table.unavailable = True
            incarnation = Incarnation(self.table)
            await asyncio.sleep(0.05)
            self.assertEqual(0.0, incarnation.hold_left_s())
            self.table.unavailable = False
            await incarnation.until(lambda: incarnation.hold_left_s() > 0.0)

        run_async(work)

    def test_old_or_unreadable_rows_are_ignored(self) -> None:
        async def work() -> None:
            old = FatalRow(CAUSE, tuple(TARGETS), WALL_S - RETENTION_S - 1.0)
            self.table.rows[row_key(CAUSE)] = Row(1, old.to_bytes())
            self.table.rows[KEY_PREFIX + "bad"] = Row(2, b"\xff")
            self.table.rows[KEY_PREFIX + "nested"] = Row(3, b"\x81" * 50_000)
            incarnation = Incarnation(self.table)
            await incarnation.until(
                lambda: incarnation.metrics.counters.get("crash.row_unreadable") == 2
            )
            await asyncio.sleep(0.02)
            self.assertEqual([], incarnation.book.fatal())

        run_async(work)

    def test_the_holder_writes_requests_that_became_fatal_by_messages_alone(self) -> None:
        async def work() -> None:
            other_book = CrashBook()
            now_s = asyncio.get_running_loop().time()
            for number, target in enumerate(TARGETS):
                other_book.record_crash(CAUSE, target, now_s - number)
            holder = Incarnation(self.table, holds_lease=True)
            await asyncio.sleep(0.05)
            holder.watch.on_sightings(other_book.sightings([CAUSE], now_s), now_s)
            await holder.until(lambda: bool(self.keys()))

        run_async(work)

    def test_a_target_that_ended_three_times_still_counts_three_times(self) -> None:
        async def work() -> None:
            incarnation = Incarnation(self.table)
            now_s = asyncio.get_running_loop().time()
            for number in range(FATAL_CRASHES):
                incarnation.book.record_crash(CAUSE, TARGETS[0], now_s + 10.0 * number)
            incarnation.watch._notify([CAUSE])
            await incarnation.until(lambda: bool(self.keys()))
            second = Incarnation(self.table)
            await second.until(lambda: second.hold_left_s() > 0.0)

        run_async(work)

    def test_the_holder_deletes_expired_rows(self) -> None:
        async def work() -> None:
            old = FatalRow(CAUSE, tuple(TARGETS), WALL_S - RETENTION_S - 1.0)
            self.table.rows[row_key(CAUSE)] = Row(1, old.to_bytes())
            holder = Incarnation(self.table, holds_lease=True)
            await holder.until(lambda: self.table.reads > 0)
            holder.keeper._refreshed_s -= RETENTION_S
            await holder.until(lambda: not self.keys())

        run_async(work)
