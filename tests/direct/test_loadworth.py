# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import DomainId
from ochreway_direct.coordinator.loadworth import Inventory, LoadUtility
from ochreway_direct.coordinator.lossmeter import TYPICAL_LOSSES_PER_ENGINE_S
from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_standins.engineworld import LARGE, SMALL, SPEC

PLACE = GroupSlot(DomainId("d"), SMALL.name)
TOTALS = {LARGE.name: 1, SMALL.name: 3}
DOWN = 0.02
NEEDS = {LARGE.name: 1.5, SMALL.name: 5.0}


def utility_with(inventory: Inventory, *scenarios: dict[str, float]) -> LoadUtility:
    """Return the utility of loads for a place with an inventory."""
    return LoadUtility(
        SPEC,
        scenarios or (NEEDS,),  # type: ignore[arg-type]
        TOTALS,
        TYPICAL_LOSSES_PER_ENGINE_S,
        DOWN,
        {PLACE: inventory},
    )


class LoadUtilityTests(testtools.TestCase):
    def test_each_further_substitute_has_less_utility(self) -> None:
        utilities = [
            utility_with(Inventory(current=2, free=n)).of_engine(
                PLACE, is_free=True, completes=True
            )
            for n in range(5)
        ]
        self.assertEqual(sorted(utilities, reverse=True), utilities)
        self.assertGreater(utilities[0], 3 * utilities[2])

    def test_the_last_engine_that_a_group_lacks_is_worth_most(self) -> None:
        last = utility_with(Inventory(missing=1, free=SMALL.size - 1))
        first = utility_with(Inventory(missing=1))
        self.assertGreater(
            last.of_engine(PLACE, is_free=True, completes=True),
            first.of_engine(PLACE, is_free=True, completes=True),
        )

    def test_an_engine_that_serves_completes_nothing(self) -> None:
        utility = utility_with(Inventory(missing=1, free=SMALL.size - 1))
        self.assertEqual(0.0, utility.of_engine(PLACE, is_free=False, completes=False))

    def test_a_load_without_current_or_missing_groups_has_no_utility(self) -> None:
        self.assertEqual(
            0.0, utility_with(Inventory()).of_engine(PLACE, is_free=True, completes=True)
        )

    def test_the_last_free_engine_has_the_utility_of_loading_it_again(self) -> None:
        utility = utility_with(Inventory(current=2, free=1))
        again = utility_with(Inventory(current=2, free=0)).of_engine(
            PLACE, is_free=True, completes=True
        )
        self.assertEqual(again, utility.of_last_free(PLACE))
        self.assertEqual(Inventory(current=2, free=1), utility.inventory(PLACE))
        self.assertEqual(0.0, utility_with(Inventory(current=2)).of_last_free(PLACE))

    def test_utility_is_averaged_over_demand_scenarios(self) -> None:
        inventory = Inventory(current=2)
        one, other = {**NEEDS, SMALL.name: 9.0}, {**NEEDS, SMALL.name: 0.5}
        values = [
            utility_with(inventory, *scenarios).of_engine(PLACE, is_free=True, completes=True)
            for scenarios in ((one,), (other,), (one, other))
        ]
        self.assertAlmostEqual((values[0] + values[1]) / 2, values[2])
