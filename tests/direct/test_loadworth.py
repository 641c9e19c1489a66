# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import DomainId
from ochreway_direct.coordinator.loadworth import LoadWorth, Stock
from ochreway_direct.coordinator.lossmeter import USUAL_PER_ENGINE_S
from ochreway_direct.coordinator.placement import Slot
from ochreway_standins.engineworld import LARGE, SMALL, SPEC

PLACE = Slot(DomainId("d"), SMALL.name)
TOTALS = {LARGE.name: 1, SMALL.name: 3}
DOWN = 0.02
NEEDS = {LARGE.name: 1.5, SMALL.name: 5.0}


def worth(stock: Stock, *scenarios: dict[str, float]) -> LoadWorth:
    """Return the worth of loads for a place with a stock."""
    return LoadWorth(
        SPEC,
        scenarios or (NEEDS,),  # type: ignore[arg-type]
        TOTALS,
        USUAL_PER_ENGINE_S,
        DOWN,
        {PLACE: stock},
    )


class LoadWorthTests(testtools.TestCase):
    def test_each_substitute_more_is_worth_less(self) -> None:
        found = [
            worth(Stock(standing=2, free=n)).of(PLACE, is_free=True, completes=True)
            for n in range(5)
        ]
        self.assertEqual(sorted(found, reverse=True), found)
        self.assertGreater(found[0], 3 * found[2])

    def test_the_last_engine_that_a_group_lacks_is_worth_most(self) -> None:
        last = worth(Stock(missing=1, free=SMALL.size - 1))
        first = worth(Stock(missing=1))
        self.assertGreater(
            last.of(PLACE, is_free=True, completes=True),
            first.of(PLACE, is_free=True, completes=True),
        )

    def test_an_engine_that_serves_completes_nothing(self) -> None:
        found = worth(Stock(missing=1, free=SMALL.size - 1))
        self.assertEqual(0.0, found.of(PLACE, is_free=False, completes=False))

    def test_where_no_group_stands_or_is_missing_a_load_is_worth_nothing(self) -> None:
        self.assertEqual(0.0, worth(Stock()).of(PLACE, is_free=True, completes=True))

    def test_the_last_of_several_free_engines_is_worth_what_loading_it_again_would_be(self) -> None:
        found = worth(Stock(standing=2, free=1))
        again = worth(Stock(standing=2, free=0)).of(PLACE, is_free=True, completes=True)
        self.assertEqual(again, found.of_last(PLACE))
        self.assertEqual(Stock(standing=2, free=1), found.stock(PLACE))
        self.assertEqual(0.0, worth(Stock(standing=2)).of_last(PLACE))

    def test_what_may_be_asked_for_is_averaged(self) -> None:
        stock = Stock(standing=2)
        one, other = {**NEEDS, SMALL.name: 9.0}, {**NEEDS, SMALL.name: 0.5}
        values = [
            worth(stock, *scenarios).of(PLACE, is_free=True, completes=True)
            for scenarios in ((one,), (other,), (one, other))
        ]
        self.assertAlmostEqual((values[0] + values[1]) / 2, values[2])
