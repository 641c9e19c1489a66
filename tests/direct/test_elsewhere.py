# SPDX-License-Identifier: Apache-2.0
import random

import testtools

from ochreway_core.ids import HallId, NodeId
from ochreway_direct.entries.coverage import Coverage
from ochreway_direct.entries.elsewhere import COUNTS_TRUSTED_S, SOURCE_TRUSTED_S, Elsewhere
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.ids import CellId, ModelName
from ochreway_direct.work import Work, total, without

CELL = CellId("h/0")
A, B, C = NodeId("a"), NodeId("b"), NodeId("c")
MODEL = ModelName("m")


def work(number: int) -> Work:
    return Work({"g": number}, {"g": 100 * number}, {MODEL: number / 2})


class ElsewhereTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet(HallId("h"), random.Random(1))
        self.elsewhere = Elsewhere(self.fleet)

    def take(
        self, sender: NodeId, coverage: Coverage, number: int, at_s: float, *covered: NodeId
    ) -> None:
        self.elsewhere.take(sender, coverage, CELL, covered, work(number), at_s)

    def test_two_heads_speak_for_a_cell_and_one_is_gone_by(self) -> None:
        self.take(A, Coverage.CELL, 5, 10.0)
        self.take(B, Coverage.CELL, 7, 10.1)
        self.assertEqual(5, self.fleet.load("g"))
        self.take(B, Coverage.CELL, 7, 10.0 + SOURCE_TRUSTED_S)
        self.assertEqual(7, self.fleet.load("g"))

    def test_what_entries_said_for_themselves_ends_when_their_cell_is_counted(self) -> None:
        self.take(C, Coverage.OWN, 3, 10.0)
        self.take(A, Coverage.CELL, 5, 10.1, A, C)
        self.assertEqual(5, self.fleet.load("g"))

    def test_a_sum_of_all_the_rest_replaces_the_parts_and_is_replaced_by_them(self) -> None:
        self.take(A, Coverage.OWN, 3, 10.0)
        self.take(B, Coverage.REST, 9, 10.1)
        self.assertEqual((9, False), (self.fleet.load("g"), self.elsewhere.adds_up))
        self.take(A, Coverage.CELL, 4, 10.2)
        self.assertEqual((4, True), (self.fleet.load("g"), self.elsewhere.adds_up))

    def test_counts_that_nobody_renews_are_dropped(self) -> None:
        self.take(A, Coverage.OWN, 3, 10.0)
        self.elsewhere.expire(10.0 + COUNTS_TRUSTED_S)
        self.assertEqual(3, self.fleet.load("g"))
        self.elsewhere.expire(10.1 + COUNTS_TRUSTED_S)
        self.assertEqual(0, self.fleet.load("g"))
        self.assertEqual({}, dict(self.elsewhere.offered()))


class WorkTests(testtools.TestCase):
    def test_a_sum_without_a_part_is_the_other(self) -> None:
        both = total((work(2), work(3)))
        self.assertEqual(5, both.under_way["g"])
        self.assertEqual(work(3), without(both, work(2)))

    def test_a_part_that_the_sum_lacks_takes_nothing_below_zero(self) -> None:
        left = without(work(1), work(4))
        self.assertEqual(({}, {}, {MODEL: 0.0}), (left.under_way, left.unread, left.offered))
