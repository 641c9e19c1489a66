# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_routing.targetlimits import LimitNotice, TargetLimits

FIRST_BORN_MS, SECOND_BORN_MS = 1_000, 2_000
"""Birth times of two incarnations of a target."""


class TargetLimitsTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.limits = TargetLimits()

    def test_newest_notice_wins_in_any_order(self) -> None:
        self.assertTrue(self.limits.record_limit("t", LimitNotice(2.0, 10.0)))
        self.assertFalse(self.limits.record_limit("t", LimitNotice(9.0, 9.0)))
        self.assertEqual(2.0, self.limits.limit_per_s("t"))
        self.assertTrue(self.limits.record_limit("t", LimitNotice(1.0, 11.0)))
        self.assertEqual(1.0, self.limits.limit_per_s("t"))

    def test_limit_ends_when_an_answer_states_none(self) -> None:
        self.assertFalse(self.limits.record_limit("t", LimitNotice(None, 9.0)))
        self.limits.record_limit("t", LimitNotice(2.0, 10.0))
        self.assertTrue(self.limits.record_limit("t", LimitNotice(None, 11.0)))
        self.assertIsNone(self.limits.limit_per_s("t"))
        self.assertFalse(self.limits.record_limit("t", LimitNotice(2.0, 10.5)))
        self.assertIsNone(self.limits.limit_per_s("t"))
        self.assertEqual(0, self.limits.limited_count())

    def test_limit_ends_with_its_incarnation(self) -> None:
        self.limits.record_limit("t", LimitNotice(2.0, 10.0, FIRST_BORN_MS))
        self.assertIsNone(self.limits.limit_per_s("t", SECOND_BORN_MS))
        self.assertEqual(2.0, self.limits.limit_per_s("t"))
        self.assertTrue(self.limits.record_limit("t", LimitNotice(3.0, 10.0, SECOND_BORN_MS)))
        self.assertFalse(self.limits.record_limit("t", LimitNotice(2.0, 12.0, FIRST_BORN_MS)))
        self.assertEqual(3.0, self.limits.limit_per_s("t", SECOND_BORN_MS))

    def test_notices_are_bounded_and_ended_limits_are_evicted_first(self) -> None:
        limits = TargetLimits(max_targets=2)
        limits.record_limit("over", LimitNotice(1.0, 10.0))
        limits.record_limit("old", LimitNotice(1.0, 10.0))
        limits.record_limit("over", LimitNotice(None, 11.0))
        limits.record_limit("new", LimitNotice(1.0, 12.0))
        self.assertEqual(["old", "new"], limits.targets())
        limits.record_limit("newer", LimitNotice(1.0, 13.0))
        self.assertEqual(["new", "newer"], limits.targets())

    def test_changed_since_lists_recent_changes(self) -> None:
        self.limits.record_limit("a", LimitNotice(1.0, 10.0))
        self.limits.record_limit("b", LimitNotice(1.0, 10.5), 12.0)
        self.limits.record_limit("a", LimitNotice(1.0, 13.0))
        self.assertEqual(["b"], self.limits.changed_since(11.0))
        self.limits.record_limit("a", LimitNotice(None, 14.0))
        self.assertEqual(["b", "a"], self.limits.changed_since(11.0))
