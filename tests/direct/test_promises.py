# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import Fingerprint
from ochreway_direct.queueing.promises import Promise, Promises
from ochreway_direct.queueing.queuetuning import QueueTuning

CLASS = (True, 1, 1)
ANN, BOB = Fingerprint("ann"), Fingerprint("bob")


class PromisesTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.promises = Promises(QueueTuning(max_length=2))

    def promise(self, who: Fingerprint, at_s: float, has_place: bool = True) -> bool:
        return self.promises.add(who, Promise(at_s, CLASS, 0.5, has_place), 0.0)

    def test_no_place_is_promised_twice(self) -> None:
        """Guards against two callers who are told to return for one place."""
        self.promise(ANN, 1.0)
        self.promise(BOB, 1.3)
        self.assertEqual(0.8, self.promises.first_free_s(0.8, 0.1))
        self.assertEqual(1.1, self.promises.first_free_s(0.95, 0.1))
        self.assertAlmostEqual(1.6, self.promises.first_free_s(0.95, 0.3))

    def test_a_promise_is_redeemed_once(self) -> None:
        self.promise(ANN, 1.0)
        promise = self.promises.redeem(ANN, 1.0)
        assert promise is not None
        self.assertTrue(promise.has_place)
        self.assertIsNone(self.promises.redeem(ANN, 1.0))

    def test_who_comes_early_has_no_place(self) -> None:
        """Guards against callers who do not wait as told and go before those who do."""
        self.promise(ANN, 1.0)
        promise = self.promises.redeem(ANN, 0.5)
        assert promise is not None
        self.assertFalse(promise.has_place)
        self.assertEqual(0, self.promises.count(CLASS, 2.0, 0.5))

    def test_an_unused_promise_ends(self) -> None:
        """Guards against places that are kept for callers who do not return."""
        self.promise(ANN, 1.0)
        self.assertEqual(1, self.promises.count(CLASS, 2.0, 1.0))
        self.assertEqual(0, self.promises.count(CLASS, 2.0, 2.1))
        self.assertIsNone(self.promises.redeem(ANN, 2.1))

    def test_promises_are_bounded(self) -> None:
        self.assertTrue(self.promise(ANN, 1.0))
        self.assertTrue(self.promise(BOB, 1.1))
        self.assertFalse(self.promise(Fingerprint("col"), 1.2))
        self.assertTrue(self.promise(ANN, 1.2))
        self.assertEqual(2, len(self.promises))

    def test_a_return_time_without_a_place_keeps_none(self) -> None:
        self.promise(ANN, 1.0, has_place=False)
        self.assertEqual(0, self.promises.count(CLASS, 2.0, 0.5))
        self.assertEqual(1.0, self.promises.first_free_s(1.0, 0.5))
