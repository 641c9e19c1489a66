# SPDX-License-Identifier: Apache-2.0
import asyncio
import random
from collections.abc import Awaitable, Callable

import testtools

from ochreway_core.backoff import Backoff
from ochreway_core.ids import Fingerprint, InstanceId, NodeId
from ochreway_core.table import CommitReply, CommitStatus, Row, Transaction
from ochreway_direct.crashes.crashkeeper import CrashKeeper
from ochreway_direct.crashes.crashwatch import CrashWatch
from ochreway_direct.crashes.fatalrow import PREFIX, FatalRow, key_of
from ochreway_platform.errors import TableUnavailable
from ochreway_platform.memorytable import MemoryTable
from ochreway_routing.crashbook import QUARANTINE_S, CrashBook
from ochreway_routing.crashrecord import FATAL_CRASHES
from ochreway_runtime.metrics import Metrics
from tests.runtime.recordedlog import RecordedLog

ONE = Fingerprint("one")
TARGETS = [InstanceId(f"i-{n}") for n in range(FATAL_CRASHES)]
WALL_S = 1.0e9
BOUND_S = 10.0


class DarkTable(MemoryTable):
    """Answer nothing while it is dark; a write may be done all the same."""

    def __init__(self) -> None:
        super().__init__()
        self.dark = False
        self.done = False

    async def read(self, prefixes: tuple[str, ...]) -> dict[str, Row]:
        if self.dark:
            raise TableUnavailable("dark")
        return dict(self.read_now(prefixes))

    async def commit(self, transaction: Transaction) -> CommitReply:
        if self.dark:
            if self.done:
                self.commit_now(transaction)
            return CommitReply(CommitStatus.LOST)
        return self.commit_now(transaction)


class Life:
    """Hold one life of an entry's parts."""

    def __init__(self, table: MemoryTable, wall_s: float = WALL_S, holds: bool = False) -> None:
        self.log, self.metrics = RecordedLog(), Metrics(None, "entry")
        self.book = CrashBook()
        self.watch = CrashWatch(self.book, self.log, self.metrics)
        backoff = Backoff(0.01, 0.02, random.Random(1))
        self.keeper = CrashKeeper(
            *(NodeId("e"), self.book, self.watch, table, lambda: holds, backoff),
            *(self.log, self.metrics, lambda: wall_s),
        )
        self.task = asyncio.create_task(self.keeper.run())

    def crash(self, times: int = FATAL_CRASHES) -> None:
        now_s = asyncio.get_running_loop().time()
        for target in TARGETS[:times]:
            self.book.record_crash(ONE, target, now_s)
            self.watch._changed(ONE)

    def left_s(self) -> float:
        return self.book.check_request(ONE, asyncio.get_running_loop().time()).fatal_for_s

    async def until(self, check: Callable[[], bool]) -> None:
        async with asyncio.timeout(BOUND_S):
            while not check():
                await asyncio.sleep(0.005)


def lived(work: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(work())  # type: ignore[arg-type]


class CrashKeeperTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = DarkTable()

    def keys(self) -> list[str]:
        return [key for key in self.table.rows if key.startswith(PREFIX)]

    def test_the_next_life_knows_at_once(self) -> None:
        async def work() -> None:
            first = Life(self.table)
            first.crash()
            await first.until(lambda: bool(self.keys()))
            first.task.cancel()
            second = Life(self.table, WALL_S + 60.0)
            await second.until(lambda: bool(second.book.fatal()))
            self.assertGreater(second.left_s(), QUARANTINE_S - 61.0)
            self.assertIn("request_fatal", second.log.names)

        lived(work)

    def test_suspects_have_no_row(self) -> None:
        async def work() -> None:
            life = Life(self.table)
            life.crash(FATAL_CRASHES - 1)
            await asyncio.sleep(0.1)
            self.assertEqual([], self.keys())

        lived(work)

    def test_a_good_end_drops_the_row(self) -> None:
        async def work() -> None:
            life = Life(self.table)
            life.crash()
            await life.until(lambda: bool(self.keys()))
            life.book.record_completion(ONE, asyncio.get_running_loop().time() + 1.0)
            life.watch._changed(ONE)
            await life.until(lambda: not self.keys())

        lived(work)

    def test_what_could_not_be_written_is_written_once_the_table_is_back(self) -> None:
        async def work() -> None:
            for done in (False, True):
                self.table.dark, self.table.done = False, done
                life = Life(self.table)
                await life.until(lambda: self.table.reads > 0)
                await asyncio.sleep(0.05)
                self.table.dark = True
                life.crash()
                await asyncio.sleep(0.1)
                self.table.dark = False
                await life.until(lambda: bool(self.keys()))
                life.task.cancel()
                self.table.rows.clear()

        lived(work)

    def test_a_start_while_the_table_is_dark_reads_it_later(self) -> None:
        async def work() -> None:
            row = FatalRow(ONE, tuple(TARGETS), WALL_S)
            self.table.rows[key_of(ONE)] = Row(1, row.content())
            self.table.dark = True
            life = Life(self.table)
            await asyncio.sleep(0.05)
            self.assertEqual(0.0, life.left_s())
            self.table.dark = False
            await life.until(lambda: life.left_s() > 0.0)

        lived(work)

    def test_rows_that_are_old_or_unreadable_count_for_nothing(self) -> None:
        async def work() -> None:
            old = FatalRow(ONE, tuple(TARGETS), WALL_S - 2 * QUARANTINE_S - 1.0)
            self.table.rows[key_of(ONE)] = Row(1, old.content())
            self.table.rows[PREFIX + "bad"] = Row(2, b"\xff")
            self.table.rows[PREFIX + "nested"] = Row(3, b"\x81" * 50_000)
            life = Life(self.table)
            await life.until(lambda: life.metrics.counters.get("crash.row_unreadable") == 2)
            await asyncio.sleep(0.02)
            self.assertEqual([], life.book.fatal())

        lived(work)

    def test_the_holder_writes_what_became_fatal_by_words_alone(self) -> None:
        async def work() -> None:
            elsewhere = CrashBook()
            now_s = asyncio.get_running_loop().time()
            for target in TARGETS:
                elsewhere.record_crash(ONE, target, now_s)
            holder = Life(self.table, holds=True)
            await asyncio.sleep(0.05)
            holder.watch.hear(elsewhere.sightings([ONE], now_s), now_s)
            await holder.until(lambda: bool(self.keys()))

        lived(work)

    def test_a_target_that_ended_three_times_still_counts_three_times(self) -> None:
        async def work() -> None:
            life = Life(self.table)
            now_s = asyncio.get_running_loop().time()
            for number in range(FATAL_CRASHES):
                life.book.record_crash(ONE, TARGETS[0], now_s + 10.0 * number)
            life.watch._changed(ONE)
            await life.until(lambda: bool(self.keys()))
            second = Life(self.table)
            await second.until(lambda: second.left_s() > 0.0)

        lived(work)

    def test_the_holder_drops_rows_that_count_no_more(self) -> None:
        async def work() -> None:
            old = FatalRow(ONE, tuple(TARGETS), WALL_S - 2 * QUARANTINE_S - 1.0)
            self.table.rows[key_of(ONE)] = Row(1, old.content())
            holder = Life(self.table, holds=True)
            await holder.until(lambda: self.table.reads > 0)
            holder.keeper._tidied_s -= QUARANTINE_S
            await holder.until(lambda: not self.keys())

        lived(work)
