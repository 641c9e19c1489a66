# SPDX-License-Identifier: Apache-2.0
"""What the limit on cold targets costs callers on ordinary days."""

import testtools

from ochreway_standins.limitbench import measure

ENTRIES = 13
PER_S = 83.0
SECONDS = 8.0
SEED = 1


class LimitCostTests(testtools.TestCase):
    def test_uneven_callers_of_eight_groups_are_hardly_refused_for_it(self) -> None:
        found = measure(True, True, ENTRIES, 8, PER_S, SECONDS, SEED)
        self.assertLess(found.withheld, 0.005 * found.outcome.asked)

    def test_without_a_holder_too(self) -> None:
        found = measure(True, False, ENTRIES, 8, PER_S, SECONDS, SEED)
        self.assertLess(found.withheld, 0.01 * found.outcome.asked)

    def test_without_a_rate_there_is_no_limit(self) -> None:
        found = measure(False, True, ENTRIES, 8, PER_S, SECONDS, SEED)
        self.assertEqual(0, found.withheld)
