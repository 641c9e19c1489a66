# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_routing.targetlimits import LimitWord, TargetLimits

ONE, TWO = 1_000, 2_000
"""When two lives of a target were born."""


class TargetLimitsTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.limits = TargetLimits()

    def test_the_newest_word_holds_whatever_order_words_come_in(self) -> None:
        self.assertTrue(self.limits.take("t", LimitWord(2.0, 10.0)))
        self.assertFalse(self.limits.take("t", LimitWord(9.0, 9.0)))
        self.assertEqual(2.0, self.limits.limit_per_s("t"))
        self.assertTrue(self.limits.take("t", LimitWord(1.0, 11.0)))
        self.assertEqual(1.0, self.limits.limit_per_s("t"))

    def test_a_limit_is_over_when_an_answer_names_none(self) -> None:
        self.assertFalse(self.limits.take("t", LimitWord(None, 9.0)))
        self.limits.take("t", LimitWord(2.0, 10.0))
        self.assertTrue(self.limits.take("t", LimitWord(None, 11.0)))
        self.assertIsNone(self.limits.limit_per_s("t"))
        self.assertFalse(self.limits.take("t", LimitWord(2.0, 10.5)))
        self.assertIsNone(self.limits.limit_per_s("t"))
        self.assertEqual(0, self.limits.number())

    def test_the_limit_of_one_life_does_not_hold_for_the_next(self) -> None:
        self.limits.take("t", LimitWord(2.0, 10.0, ONE))
        self.assertIsNone(self.limits.limit_per_s("t", TWO))
        self.assertEqual(2.0, self.limits.limit_per_s("t"))
        self.assertTrue(self.limits.take("t", LimitWord(3.0, 10.0, TWO)))
        self.assertFalse(self.limits.take("t", LimitWord(2.0, 12.0, ONE)))
        self.assertEqual(3.0, self.limits.limit_per_s("t", TWO))

    def test_what_is_kept_is_bounded_and_what_is_over_goes_first(self) -> None:
        limits = TargetLimits(known_at_most=2)
        limits.take("over", LimitWord(1.0, 10.0))
        limits.take("old", LimitWord(1.0, 10.0))
        limits.take("over", LimitWord(None, 11.0))
        limits.take("new", LimitWord(1.0, 12.0))
        self.assertEqual(["old", "new"], limits.targets())
        limits.take("newer", LimitWord(1.0, 13.0))
        self.assertEqual(["new", "newer"], limits.targets())

    def test_what_changed_lately_is_known(self) -> None:
        self.limits.take("a", LimitWord(1.0, 10.0))
        self.limits.take("b", LimitWord(1.0, 10.5), 12.0)
        self.limits.take("a", LimitWord(1.0, 13.0))
        self.assertEqual(["b"], self.limits.changed(11.0))
        self.limits.take("a", LimitWord(None, 14.0))
        self.assertEqual(["b", "a"], self.limits.changed(11.0))
