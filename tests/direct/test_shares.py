# SPDX-License-Identifier: Apache-2.0
import math
from dataclasses import replace

import testtools

from ochreway_direct.coordinator.demand import Demand
from ochreway_direct.coordinator.shares import work_shares
from ochreway_standins.engineworld import LARGE, SMALL, SPEC


class WorkSharesTests(testtools.TestCase):
    def shares(self, large: float, small: float) -> tuple[float, float]:
        spec = replace(SPEC, models=(replace(LARGE, share=large), replace(SMALL, share=small)))
        found = work_shares(spec)
        return found[LARGE.name], found[SMALL.name]

    def test_shares_count_in_proportion(self) -> None:
        self.assertEqual((0.75, 0.25), self.shares(0.75, 0.25))
        self.assertEqual((0.75, 0.25), self.shares(3.0, 1.0))
        self.assertEqual((0.5, 0.5), self.shares(0.1, 0.1))

    def test_an_invalid_share_counts_as_zero(self) -> None:
        for missing in (0.0, -1.0, math.nan, math.inf):
            self.assertEqual((0.0, 1.0), self.shares(missing, 0.4))

    def test_without_any_share_models_are_equal(self) -> None:
        self.assertEqual((0.5, 0.5), self.shares(0.0, 0.0))

    def test_initial_demand_follows_the_same_shares(self) -> None:
        """Guards against different readings of a share in demands and in limits on engines."""
        model_demand = [
            Demand().by_model(
                replace(SPEC, models=(replace(LARGE, share=a), replace(SMALL, share=b))), 24
            )
            for a, b in ((0.2, 0.2), (0.0, 0.0), (5.0, 5.0))
        ]
        self.assertEqual([model_demand[0]] * 3, model_demand)
