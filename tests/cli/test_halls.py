# SPDX-License-Identifier: Apache-2.0
import asyncio
from typing import Any

import testtools

from ochreway_cli import settle
from ochreway_cli.errors import FateUnknown, NotFound, RaceLost
from ochreway_cli.halls import Halls, hall_progress
from ochreway_core.codec import decode
from ochreway_core.drainedhalls import DrainedHalls
from ochreway_core.ids import DomainId, HallId, NodeId, ScopeId
from ochreway_core.listing import InstanceKind, ListedInstance
from ochreway_core.rows import HallsRow, halls_key
from ochreway_core.table import CommitReply, Transaction
from ochreway_platform.instancelist import MemoryInstanceList
from tests.cli.test_porcelain import FlakyTable

A, B = HallId("a"), HallId("b")


class RacedTable(FlakyTable):
    """Commits another operator's withheld transaction just before the next commit."""

    def __init__(self) -> None:
        super().__init__()
        self.competing: list[Transaction] = []
        self.withhold_next = False

    async def commit(self, transaction: Transaction) -> CommitReply:
        if self.withhold_next:
            self.withhold_next = False
            self.competing.append(transaction)
            raise asyncio.CancelledError
        if self.competing:
            self.commit_now(self.competing.pop())
        return await super().commit(transaction)


class HallsTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = RacedTable()
        self.instances = MemoryInstanceList()
        for number, hall in enumerate((A, A, B)):
            node = NodeId(f"i-{number}")
            self.instances.instances[node] = ListedInstance(
                node, "x:1", InstanceKind.TARGET, hall, DomainId("d")
            )
        self.halls = Halls(self.table, self.instances, ScopeId("main"))
        self.patch(settle, "RETRY_DELAY_S", 0.0)

    def drain(self, hall: str) -> DrainedHalls:
        return asyncio.run(self.halls.drain(HallId(hall), "ann"))

    def restore(self, hall: str) -> DrainedHalls:
        return asyncio.run(self.halls.restore(HallId(hall), "bo"))

    def drained(self) -> DrainedHalls:
        return asyncio.run(self.halls.drained())

    def test_each_change_is_a_version_with_the_whole_set(self) -> None:
        self.assertEqual(DrainedHalls(1, (A,)), self.drain("a"))
        self.assertEqual(DrainedHalls(2, (A, B)), self.drain("b"))
        self.assertEqual(DrainedHalls(3, (B,)), self.restore("a"))
        self.assertEqual(DrainedHalls(4, ()), self.restore("b"))
        self.assertEqual(DrainedHalls(4, ()), self.drained())

    def test_a_change_without_effect_is_not_written(self) -> None:
        self.assertEqual(DrainedHalls(0, ()), self.restore("a"))
        self.drain("a")
        self.assertEqual(DrainedHalls(1, (A,)), self.drain("a"))

    def test_an_unknown_hall_is_an_error_that_names_those_there_are(self) -> None:
        for change in (self.drain, self.restore):
            error = self.assertRaises(NotFound, change, "c")
            self.assertIn("halls: a, b", str(error))
        self.assertEqual({}, self.table.read_now(("halls",)))

    def test_a_drained_hall_that_is_no_longer_listed_can_be_given_back(self) -> None:
        self.drain("b")
        del self.instances.instances[NodeId("i-2")]
        self.assertEqual((), self.restore("b").halls)

    def test_a_lost_answer_is_settled_whether_or_not_the_change_landed(self) -> None:
        for losses in ([True], [False], [False, True], [False, False]):
            self.table.losses = losses
            before = self.drained().version
            change = self.restore if self.drained().halls else self.drain
            self.assertEqual(before + 1, change("a").version)

    def test_a_change_with_unknown_outcome_raises_fate_unknown(self) -> None:
        self.table.losses = [False] * 20
        self.assertRaises(FateUnknown, self.drain, "a")

    def test_the_later_of_two_racing_changes_fails_and_undoes_nothing(self) -> None:
        self.table.withhold_next = True
        self.assertRaises(asyncio.CancelledError, self.drain, "a")
        error = self.assertRaises(RaceLost, self.drain, "b")
        self.assertIn("a change of ann came first; drained now: a", str(error))
        self.assertEqual((A,), self.drained().halls)
        self.assertEqual(DrainedHalls(2, (A, B)), self.drain("b"))

    def test_the_row_says_who_changed_it(self) -> None:
        self.drain("a")
        key = halls_key("main")
        row = decode(HallsRow, self.table.read_now((key,))[key].content)
        self.assertEqual(("ann", (A,)), (row.operator, row.drained.halls))


def status(version: int, groups: int = 0, in_flight: int = 0) -> dict[str, Any]:
    halls = {"version": version, "groups": {A: groups}, "in_flight": {A: in_flight}}
    return {"halls": halls}


class HallProgressTests(testtools.TestCase):
    def test_a_hall_is_empty_once_all_know_and_nothing_is_there(self) -> None:
        cases = (
            (True, [status(3), status(4)]),
            (False, [status(3), status(2)]),
            (False, [status(3, groups=1), status(3)]),
            (False, [status(3), status(3, in_flight=2)]),
            (False, [status(3), {}]),
            (False, []),
        )
        for empty, statuses in cases:
            progress = hall_progress(A, 3, statuses)
            self.assertIs(empty, progress.empty, statuses)
            self.assertTrue(hall_progress(B, 3, [status(3, 5, 5)]).empty)
