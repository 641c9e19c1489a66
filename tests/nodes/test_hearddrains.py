# SPDX-License-Identifier: Apache-2.0
"""What an entry makes of words on drained halls, in whatever order they come."""

import itertools

import testtools

from ochreway_core.drainedhalls import DrainedHalls
from ochreway_core.ids import HallId
from ochreway_nodes.hearddrains import HeardDrains

A, B = HallId("a"), HallId("b")
SERVES_ON_S = 10.0
START_S = 100.0


class HeardDrainsTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.drains = HeardDrains(SERVES_ON_S, START_S)
        self.drains.read_none()

    def take(self, version: int, at_s: float, *halls: HallId) -> bool:
        return self.drains.take(DrainedHalls(version, halls), at_s)

    def test_a_hall_serves_on_for_a_while_and_then_gets_nothing(self) -> None:
        self.assertTrue(self.take(1, 101.0, A))
        self.assertEqual({A}, self.drains.halls)
        self.assertEqual(frozenset(), self.drains.closed(110.9))
        self.assertEqual({A}, self.drains.closed(111.0))

    def test_a_second_hall_has_a_time_of_its_own(self) -> None:
        self.take(1, 101.0, A)
        self.take(2, 105.0, A, B)
        self.assertEqual({A}, self.drains.closed(112.0))
        self.assertEqual({A, B}, self.drains.closed(115.0))

    def test_a_hall_drained_again_has_its_whole_time_anew(self) -> None:
        self.take(1, 101.0, A)
        self.take(2, 112.0)
        self.assertEqual(frozenset(), self.drains.closed(112.0))
        self.take(3, 113.0, A)
        self.assertEqual(frozenset(), self.drains.closed(122.0))

    def test_in_any_order_the_newest_word_is_what_holds(self) -> None:
        words = [DrainedHalls(1, (A,)), DrainedHalls(2, (A, B)), DrainedHalls(3, ())]
        words += [DrainedHalls(4, (B,))]
        for order in itertools.permutations(words):
            drains = HeardDrains(SERVES_ON_S, START_S)
            for number, word in enumerate((*order, *order)):
                drains.take(word, START_S + number)
            self.assertEqual((4, {B}), (drains.newest.version, drains.halls))
            self.assertEqual({B}, drains.closed(START_S + 100.0))

    def test_one_heard_soon_after_the_start_may_be_old_and_has_no_time_left(self) -> None:
        fresh = HeardDrains(SERVES_ON_S, START_S)
        fresh.take(DrainedHalls(5, (A,)), START_S + 1.0)
        self.assertEqual({A}, fresh.closed(START_S + 1.0))
        fresh.take(DrainedHalls(6, (A, B)), START_S + 2.0)
        self.assertEqual({A}, fresh.closed(START_S + 2.0))

    def test_one_heard_long_after_the_start_has_all_its_time(self) -> None:
        fresh = HeardDrains(SERVES_ON_S, START_S)
        fresh.take(DrainedHalls(1, (A,)), START_S + SERVES_ON_S)
        self.assertEqual(frozenset(), fresh.closed(START_S + SERVES_ON_S))
