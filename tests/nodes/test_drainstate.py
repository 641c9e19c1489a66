# SPDX-License-Identifier: Apache-2.0
"""The state of drained halls, for readings that arrive in any order."""

import itertools

import testtools

from ochreway_core.drainedhalls import DrainedHalls
from ochreway_core.ids import HallId
from ochreway_nodes.drainstate import DrainState

A, B = HallId("a"), HallId("b")
GRACE_S = 10.0
START_S = 100.0


class DrainStateTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.drains = DrainState(GRACE_S, START_S)
        self.drains.record_no_drains()

    def apply_reading(self, version: int, at_s: float, *halls: HallId) -> bool:
        return self.drains.apply_reading(DrainedHalls(version, halls), at_s)

    def test_a_drained_hall_is_closed_after_the_grace_period(self) -> None:
        self.assertTrue(self.apply_reading(1, 101.0, A))
        self.assertEqual({A}, self.drains.halls)
        self.assertEqual(frozenset(), self.drains.closed(110.9))
        self.assertEqual({A}, self.drains.closed(111.0))

    def test_each_hall_has_its_own_grace_period(self) -> None:
        self.apply_reading(1, 101.0, A)
        self.apply_reading(2, 105.0, A, B)
        self.assertEqual({A}, self.drains.closed(112.0))
        self.assertEqual({A, B}, self.drains.closed(115.0))

    def test_a_hall_drained_again_has_a_new_grace_period(self) -> None:
        self.apply_reading(1, 101.0, A)
        self.apply_reading(2, 112.0)
        self.assertEqual(frozenset(), self.drains.closed(112.0))
        self.apply_reading(3, 113.0, A)
        self.assertEqual(frozenset(), self.drains.closed(122.0))

    def test_the_newest_reading_holds_in_any_order_of_arrival(self) -> None:
        readings = [DrainedHalls(1, (A,)), DrainedHalls(2, (A, B)), DrainedHalls(3, ())]
        readings += [DrainedHalls(4, (B,))]
        for order in itertools.permutations(readings):
            drains = DrainState(GRACE_S, START_S)
            for number, reading in enumerate((*order, *order)):
                drains.apply_reading(reading, START_S + number)
            self.assertEqual((4, {B}), (drains.newest.version, drains.halls))
            self.assertEqual({B}, drains.closed(START_S + 100.0))

    def test_a_reading_soon_after_the_start_closes_its_halls_at_once(self) -> None:
        state = DrainState(GRACE_S, START_S)
        state.apply_reading(DrainedHalls(5, (A,)), START_S + 1.0)
        self.assertEqual({A}, state.closed(START_S + 1.0))
        state.apply_reading(DrainedHalls(6, (A, B)), START_S + 2.0)
        self.assertEqual({A}, state.closed(START_S + 2.0))

    def test_a_reading_long_after_the_start_has_the_full_grace_period(self) -> None:
        state = DrainState(GRACE_S, START_S)
        state.apply_reading(DrainedHalls(1, (A,)), START_S + GRACE_S)
        self.assertEqual(frozenset(), state.closed(START_S + GRACE_S))
