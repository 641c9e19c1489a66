# SPDX-License-Identifier: Apache-2.0
import itertools

import testtools

from ochreway_core.bundle import Organisation
from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason
from ochreway_routing.limits import Limits
from ochreway_routing.retry import Action, next_action
from ochreway_routing.retrybudget import RetryBudget


class RetryTests(testtools.TestCase):
    def test_unknown_is_never_repeated_when_it_may_not_be(self) -> None:
        for reason, streamed in itertools.product(Reason, (False, True)):
            self.assertEqual(Action.ANSWER, next_action(Outcome.UNKNOWN, reason, False, streamed))

    def test_nothing_is_retried_once_streamed(self) -> None:
        for outcome, reason, repeatable in itertools.product(Outcome, Reason, (False, True)):
            self.assertEqual(Action.ANSWER, next_action(outcome, reason, repeatable, True))

    def test_not_run_goes_elsewhere(self) -> None:
        self.assertEqual(Action.RETRY, next_action(Outcome.NOT_RUN, Reason.DRAINING, False, False))

    def test_budget_bounds_retries_to_its_share(self) -> None:
        budget = RetryBudget(balance=0.0)
        spent = 0
        for _ in range(1000):
            budget.earn()
            spent += budget.spend()
        self.assertTrue(140 <= spent <= 150)


class LimitsTests(testtools.TestCase):
    def make(self, **more: float) -> Limits:
        limits = Limits()
        limits.configure([Organisation(name="a", token_sha256="0" * 64, **more)], 2)  # type: ignore[arg-type]
        return limits

    def test_in_flight_is_shared_by_the_entries(self) -> None:
        limits = self.make(max_in_flight=4)
        admitted = [limits.admit("a", 1, 0.0).is_ok() for _ in range(3)]
        self.assertEqual([True, True, False], admitted)
        limits.release("a", 1)
        self.assertTrue(limits.admit("a", 1, 0.0).is_ok())

    def test_tokens_in_flight(self) -> None:
        limits = self.make(max_tokens_in_flight=100)
        self.assertTrue(limits.admit("a", 40, 0.0).is_ok())
        refused = limits.admit("a", 40, 0.0).unwrap_err()
        self.assertEqual(Reason.ORGANISATION_IN_FLIGHT, refused.reason)

    def test_rate_says_when_to_come_back(self) -> None:
        limits = self.make(requests_per_s=2.0)
        self.assertTrue(limits.admit("a", 1, 0.0).is_ok())
        refused = limits.admit("a", 1, 0.0).unwrap_err()
        self.assertEqual((Reason.ORGANISATION_RATE, 1.0), (refused.reason, refused.retry_after_s))
        self.assertTrue(limits.admit("a", 1, 1.0).is_ok())

    def test_unknown_organisation(self) -> None:
        self.assertTrue(self.make().admit("b", 1, 0.0).is_err())
