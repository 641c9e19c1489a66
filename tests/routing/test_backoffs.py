# SPDX-License-Identifier: Apache-2.0
import math

import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_core.targetnotice import NO_NOTICE, TargetNotice
from ochreway_routing.backoffs import Backoffs

LEAVES = TargetNotice(leaving=True)
FIRST_BORN_MS, SECOND_BORN_MS = 1000, 2000
"""Birth times of two incarnations of a target."""


class BackoffsTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.backoffs = Backoffs()

    def test_target_is_avoided_for_the_requested_backoff(self) -> None:
        self.assertTrue(self.backoffs.record_notice("t", TargetNotice(3.0), 10.0))
        self.assertEqual(3.0, self.backoffs.wait_s("t", 10.0))
        self.assertEqual(0.5, self.backoffs.wait_s("t", 12.5))
        self.assertEqual(0.0, self.backoffs.wait_s("t", 13.0))
        self.assertEqual(0.0, self.backoffs.wait_s("other", 10.0))

    def test_shorter_backoff_is_not_new_and_does_not_shorten_the_wait(self) -> None:
        self.backoffs.record_notice("t", TargetNotice(3.0), 10.0)
        self.assertFalse(self.backoffs.record_notice("t", TargetNotice(1.0), 10.1))
        self.assertFalse(self.backoffs.record_notice("t", NO_NOTICE, 10.2))
        self.assertEqual(2.5, self.backoffs.wait_s("t", 10.5))
        self.assertTrue(self.backoffs.record_notice("t", TargetNotice(1.0), 13.5))

    def test_longer_backoff_extends_the_wait(self) -> None:
        self.backoffs.record_notice("t", TargetNotice(1.0), 10.0)
        self.backoffs.record_notice("t", TargetNotice(3.0), 10.1)
        self.assertEqual(2.0, round(self.backoffs.wait_s("t", 11.1), 6))

    def test_leaving_target_is_avoided_for_good(self) -> None:
        self.assertTrue(self.backoffs.record_notice("t", LEAVES, 10.0))
        self.assertFalse(self.backoffs.record_notice("t", LEAVES, 11.0))
        self.assertFalse(self.backoffs.record_notice("t", NO_NOTICE, 12.0))
        self.assertEqual(math.inf, self.backoffs.wait_s("t", 1.0e6))
        self.assertTrue(self.backoffs.leaving("t"))
        self.assertFalse(self.backoffs.backed_off("t", 12.0))

    def test_leaving_target_may_request_a_backoff_too(self) -> None:
        self.backoffs.record_notice("t", LEAVES, 10.0)
        self.assertTrue(self.backoffs.record_notice("t", TargetNotice(2.0), 10.0))
        self.assertTrue(self.backoffs.backed_off("t", 11.0))
        self.assertEqual(math.inf, self.backoffs.wait_s("t", 13.0))

    def test_backoff_ends_with_the_incarnation_that_requested_it(self) -> None:
        self.backoffs.record_notice("t", LEAVES, 10.0, FIRST_BORN_MS)
        self.assertEqual(0.0, self.backoffs.wait_s("t", 11.0, SECOND_BORN_MS))
        self.assertFalse(self.backoffs.leaving("t", SECOND_BORN_MS))
        self.assertTrue(self.backoffs.leaving("t", FIRST_BORN_MS))
        self.assertTrue(self.backoffs.leaving("t"))

    def test_notice_of_an_older_incarnation_is_ignored(self) -> None:
        self.backoffs.record_notice("t", TargetNotice(1.0), 10.0, SECOND_BORN_MS)
        self.assertFalse(self.backoffs.record_notice("t", LEAVES, 10.1, FIRST_BORN_MS))
        self.assertFalse(self.backoffs.leaving("t", SECOND_BORN_MS))

    def test_next_incarnation_may_request_a_backoff(self) -> None:
        self.backoffs.record_notice("t", LEAVES, 10.0, FIRST_BORN_MS)
        self.assertTrue(self.backoffs.record_notice("t", TargetNotice(3.0), 20.0, SECOND_BORN_MS))
        self.assertEqual(3.0, self.backoffs.wait_s("t", 20.0, SECOND_BORN_MS))
        self.assertEqual(0.0, self.backoffs.wait_s("t", 24.0, SECOND_BORN_MS))

    def test_lapsed_backoffs_are_evicted_first_then_the_oldest(self) -> None:
        backoffs = Backoffs(max_targets=3)
        backoffs.record_notice("over", TargetNotice(1.0), 10.0)
        for name in ("first", "second", "third"):
            backoffs.record_notice(name, LEAVES, 12.0)
        self.assertEqual(3, backoffs.number_leaving())
        backoffs.record_notice("fourth", LEAVES, 13.0)
        self.assertEqual([False, True], [backoffs.leaving(n) for n in ("first", "fourth")])
        self.assertEqual(3, backoffs.number_leaving())

    @given(st.lists(st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 4.0)), max_size=30))
    def test_requested_backoff_is_never_cut_short(
        self, backoffs_s: list[tuple[float, float]]
    ) -> None:
        backoffs, now_s, until_s = Backoffs(), 0.0, 0.0
        for pause_s, backoff_s in backoffs_s:
            now_s += pause_s
            backoffs.record_notice("t", TargetNotice(backoff_s), now_s)
            until_s = max(until_s, now_s + backoff_s)
            self.assertEqual(max(0.0, until_s - now_s), backoffs.wait_s("t", now_s))
