# SPDX-License-Identifier: Apache-2.0
import random

import testtools

from ochreway_core.ids import HallId, NodeId
from ochreway_direct.entries.coverage import Coverage
from ochreway_direct.entries.remotework import COUNTS_MAX_AGE_S, SOURCE_TIMEOUT_S, RemoteWork
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.ids import CellId, ModelName, ServiceName
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_direct.queueing.waitingcalls import WaitingCalls, waiting_key
from ochreway_direct.work import Work, subtract_work, sum_work

CELL = CellId("h/0")
A, B, C = NodeId("a"), NodeId("b"), NodeId("c")
MODEL = ModelName("m")


def work(number: int) -> Work:
    return Work({"g": number}, {"g": 100 * number}, {MODEL: number / 2})


class RemoteWorkTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet(HallId("h"), random.Random(1))
        self.remote_work = RemoteWork(self.fleet)

    def report(
        self, sender: NodeId, coverage: Coverage, number: int, at_s: float, *covered: NodeId
    ) -> None:
        self.remote_work.add_report(sender, coverage, CELL, covered, work(number), at_s)

    def test_of_two_heads_of_a_cell_only_one_is_counted(self) -> None:
        self.report(A, Coverage.CELL, 5, 10.0)
        self.report(B, Coverage.CELL, 7, 10.1)
        self.assertEqual(5, self.fleet.load("g"))
        self.report(B, Coverage.CELL, 7, 10.0 + SOURCE_TIMEOUT_S)
        self.assertEqual(7, self.fleet.load("g"))

    def test_a_cell_report_replaces_the_reports_of_its_entries(self) -> None:
        self.report(C, Coverage.OWN, 3, 10.0)
        self.report(A, Coverage.CELL, 5, 10.1, A, C)
        self.assertEqual(5, self.fleet.load("g"))

    def test_a_rest_report_replaces_partial_reports_and_is_replaced_by_them(self) -> None:
        self.report(A, Coverage.OWN, 3, 10.0)
        self.report(B, Coverage.REST, 9, 10.1)
        self.assertEqual((9, False), (self.fleet.load("g"), self.remote_work.has_cell_reports))
        self.report(A, Coverage.CELL, 4, 10.2)
        self.assertEqual((4, True), (self.fleet.load("g"), self.remote_work.has_cell_reports))

    def test_counts_that_are_not_renewed_are_dropped(self) -> None:
        self.report(A, Coverage.OWN, 3, 10.0)
        self.remote_work.expire(10.0 + COUNTS_MAX_AGE_S)
        self.assertEqual(3, self.fleet.load("g"))
        self.remote_work.expire(10.1 + COUNTS_MAX_AGE_S)
        self.assertEqual(0, self.fleet.load("g"))
        self.assertEqual({}, dict(self.remote_work.offered()))

    def test_counts_of_queues_that_are_not_renewed_are_dropped(self) -> None:
        """Guards against an entry cut off that goes by others' calls."""
        waiting = WaitingCalls({waiting_key((True, 0, 0), MODEL): 2}, {MODEL: 1})
        told = Work(waiting=waiting, served_by={"o": 3})
        self.remote_work.add_report(A, Coverage.OWN, CELL, (), told, 10.0)
        facts = self.facts()
        self.assertEqual(({(True, 0, 0): 2}, 1), (dict(facts.waiting), facts.waiting_entries))
        self.assertEqual({"o": 3}, dict(facts.served_by))
        self.remote_work.expire(10.1 + COUNTS_MAX_AGE_S)
        facts = self.facts()
        self.assertEqual(({}, 0, {}), (facts.waiting, facts.waiting_entries, dict(facts.served_by)))

    def facts(self) -> PlaceFacts:
        return self.fleet.place_facts(ServiceName("s"), MODEL, 4, None, 10.0)


class WorkTests(testtools.TestCase):
    def test_a_sum_without_a_part_is_the_other(self) -> None:
        both = sum_work((work(2), work(3)))
        self.assertEqual(5, both.under_way["g"])
        self.assertEqual(work(3), subtract_work(both, work(2)))

    def test_a_part_that_the_sum_lacks_takes_nothing_below_zero(self) -> None:
        left = subtract_work(work(1), work(4))
        self.assertEqual(({}, {}, {MODEL: 0.0}), (left.under_way, left.unread, left.offered))
