# SPDX-License-Identifier: Apache-2.0
"""Cost of the limit on cold targets for callers on ordinary days."""

import testtools

from ochreway_standins.limitbench import measure

ENTRIES = 13
REQUESTS_PER_S = 83.0
SECONDS = 8.0
SEED = 1


class LimitCostTests(testtools.TestCase):
    def test_few_requests_of_uneven_callers_are_withheld(self) -> None:
        result = measure(True, True, ENTRIES, 8, REQUESTS_PER_S, SECONDS, SEED)
        self.assertLess(result.withheld, 0.005 * result.outcome.asked)

    def test_few_requests_are_withheld_without_a_lease_holder(self) -> None:
        result = measure(True, False, ENTRIES, 8, REQUESTS_PER_S, SECONDS, SEED)
        self.assertLess(result.withheld, 0.01 * result.outcome.asked)

    def test_without_a_rate_there_is_no_limit(self) -> None:
        result = measure(False, True, ENTRIES, 8, REQUESTS_PER_S, SECONDS, SEED)
        self.assertEqual(0, result.withheld)
