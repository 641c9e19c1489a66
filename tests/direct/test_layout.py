# SPDX-License-Identifier: Apache-2.0
import math
from collections import Counter
from dataclasses import replace

import testtools

from ochreway_core.ids import DomainId
from ochreway_direct.coordinator.capacity import Capacity
from ochreway_direct.coordinator.demand import Demand
from ochreway_direct.coordinator.layout import plan
from ochreway_direct.coordinator.loadlimit import LoadLimit
from ochreway_direct.coordinator.placement import GroupSlot, groups_per_model
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.coordinator.worth import (
    FAIRNESS_FLOOR,
    groups_needed,
    marginal_utility,
)
from ochreway_standins.engineworld import LARGE, SMALL, SPEC

D1, D2 = DomainId("d1"), DomainId("d2")
TUNING = CoordinatorTuning()
DOWNTIME_SHARE = 0.02
"""An engine is lost every 250 s, and its group serves again after five seconds."""


def capacities(engines: dict[DomainId, int]) -> dict[DomainId, Capacity]:
    """Return domains whose engines can join groups of any model."""
    any_model = frozenset({LARGE.name, SMALL.name})
    return {domain: Capacity({any_model: number}) for domain, number in engines.items()}


class LayoutTests(testtools.TestCase):
    def plan(
        self, large: float, small: float, engines: dict[DomainId, int]
    ) -> dict[GroupSlot, int]:
        model_demand = {LARGE.name: large, SMALL.name: small}
        return dict(plan(SPEC, (model_demand,), capacities(engines), {}, DOWNTIME_SHARE, TUNING))

    def test_every_domain_is_filled(self) -> None:
        chosen = self.plan(6.0, 6.0, {D1: 8, D2: 6})
        size = {LARGE.name: LARGE.size, SMALL.name: SMALL.size}
        for domain, engines in ((D1, 8), (D2, 6)):
            used = sum(size[s.model] * n for s, n in chosen.items() if s.domain == domain)
            self.assertEqual(engines, used)

    def test_models_are_spread_over_domains(self) -> None:
        chosen = self.plan(3.2, 3.2, {D1: 8, D2: 8})
        for domain in (D1, D2):
            models = {slot.model for slot, n in chosen.items() if slot.domain == domain and n}
            self.assertEqual({LARGE.name, SMALL.name}, models)

    def test_a_large_group_is_placed_where_small_ones_can_move(self) -> None:
        current = {
            GroupSlot(D1, SMALL.name): 2,
            GroupSlot(D2, SMALL.name): 2,
            GroupSlot(D2, LARGE.name): 1,
        }
        model_demand = {LARGE.name: 1.0, SMALL.name: 1.2}
        chosen = plan(
            SPEC, (model_demand,), capacities({D1: 7, D2: 8}), current, DOWNTIME_SHARE, TUNING
        )
        self.assertEqual(1, chosen[GroupSlot(D1, LARGE.name)])

    def test_more_work_gets_more_groups(self) -> None:
        much = self.plan(4.0, 0.1, {D1: 8, D2: 8})
        little = self.plan(0.1, 4.0, {D1: 8, D2: 8})
        count = lambda chosen: sum(n for s, n in chosen.items() if s.model == LARGE.name)  # noqa: E731
        self.assertGreater(count(much), count(little))

    def test_a_current_group_is_preferred_to_a_new_one_of_similar_utility(self) -> None:
        model_demand = {LARGE.name: 1.0, SMALL.name: 0.55}
        large = GroupSlot(D1, LARGE.name)
        capacity = capacities({D1: 4})
        self.assertEqual(
            0, plan(SPEC, (model_demand,), capacity, {}, DOWNTIME_SHARE, TUNING)[large]
        )
        self.assertEqual(
            1, plan(SPEC, (model_demand,), capacity, {large: 1}, DOWNTIME_SHARE, TUNING)[large]
        )

    def test_a_large_group_goes_where_small_ones_have_no_use_for_the_engines(self) -> None:
        model_demand = {LARGE.name: 1.0, SMALL.name: 3.0}
        any_model = frozenset({LARGE.name, SMALL.name})
        mixed = Capacity({any_model: 4, frozenset(): 1})
        only_large = Capacity({frozenset({LARGE.name}): 4})
        chosen = plan(
            SPEC, (model_demand,), {D1: mixed, D2: only_large}, {}, DOWNTIME_SHARE, TUNING
        )
        self.assertEqual({GroupSlot(D1, SMALL.name): 2, GroupSlot(D2, LARGE.name): 1}, dict(chosen))

    def test_engines_count_only_for_models_that_they_can_join(self) -> None:
        model_demand = {LARGE.name: 1.0, SMALL.name: 1.0}
        capacity = Capacity({frozenset({SMALL.name}): 6, frozenset({LARGE.name}): 3})
        chosen = plan(SPEC, (model_demand,), {D1: capacity}, {}, DOWNTIME_SHARE, TUNING)
        self.assertEqual({GroupSlot(D1, SMALL.name): 3}, dict(chosen))

    def test_each_further_group_adds_less(self) -> None:
        for group_demand in (0.3, 2.0, 9.0):
            utilities = [
                marginal_utility(SPEC, SMALL, group_demand, groups, DOWNTIME_SHARE)
                for groups in range(200)
            ]
            self.assertEqual(sorted(utilities, reverse=True), utilities)
            whole = group_demand * (1.0 + FAIRNESS_FLOOR) * math.log1p(1.0 / FAIRNESS_FLOOR)
            self.assertAlmostEqual(whole, sum(utilities), places=1)

    def test_a_substitute_group_has_the_utility_of_the_downtime_it_covers(self) -> None:
        group_demand, size = 1.0, LARGE.size
        first, second = (
            marginal_utility(SPEC, LARGE, group_demand, groups, DOWNTIME_SHARE) for groups in (0, 1)
        )
        down = size * DOWNTIME_SHARE
        shares = (0.0, 1.0 - down, (1.0 - down) * (1.0 + down))
        for utility, before, after in zip((first, second), shares, shares[1:], strict=False):
            gain = math.log((after + FAIRNESS_FLOOR) / (before + FAIRNESS_FLOOR))
            self.assertAlmostEqual(group_demand * (1.0 + FAIRNESS_FLOOR) * gain, utility)

    def test_a_poorly_served_model_comes_before_spares_of_a_well_served_one(self) -> None:
        """Guards against plans that give one model spares while another's callers are refused."""
        for group_demand in (0.3, 1.0, 2.0):
            carried = math.ceil(groups_needed(SPEC, group_demand))
            spare = marginal_utility(SPEC, SMALL, group_demand, carried, DOWNTIME_SHARE)
            first = marginal_utility(SPEC, LARGE, group_demand, 0, DOWNTIME_SHARE)
            self.assertGreater(first / LARGE.size, spare / SMALL.size)

    def test_engines_beyond_the_demand_stay_free(self) -> None:
        chosen = self.plan(1.0, 1.0, {D1: 400, D2: 400})
        self.assertLessEqual(sum(chosen.values()), 8)


class UnmeasuredTests(testtools.TestCase):
    """Plans before the first request.

    The builds are those of sites whose configuration gives both models half of the work, where
    three to six of seven requests turned out to be for the small one; sizes and domains of a fourth
    are made up. A model's groups in one domain are bounded, as a domain may be lost at any time.
    """

    def plan(self, large: int, small: int, domains: int, engines: int) -> Counter[GroupSlot]:
        models = (replace(LARGE, size=large, share=0.5), replace(SMALL, size=small, share=0.5))
        spec = replace(SPEC, models=models)
        capacity = capacities({DomainId(f"d{n}"): engines for n in range(domains)})
        model_demand = Demand().by_model(spec, domains * engines)
        return plan(spec, (model_demand,), capacity, {}, DOWNTIME_SHARE, TUNING, min_utility=0.0)

    def engines_used(self, chosen: Counter[GroupSlot], large: int, small: int) -> int:
        size = {LARGE.name: large, SMALL.name: small}
        return sum(size[slot.model] * number for slot, number in chosen.items())

    def test_both_models_have_groups_where_sizes_leave_engines_over(self) -> None:
        totals = groups_per_model(self.plan(16, 4, 3, 37))
        self.assertGreaterEqual(totals[LARGE.name], 3)
        self.assertGreaterEqual(totals[SMALL.name], 12)

    def test_no_domain_has_more_than_half_where_sizes_leave_engines_over(self) -> None:
        chosen = self.plan(16, 4, 3, 37)
        totals = groups_per_model(chosen)
        for slot, number in chosen.items():
            self.assertLessEqual(number, totals[slot.model] / 2)

    def test_hundreds_of_engines_serve_unequal_work_of_either_model(self) -> None:
        # Four of five requests turned out to be for the small model, which takes 21 groups.
        totals = groups_per_model(self.plan(16, 8, 5, 75))
        self.assertGreaterEqual(totals[SMALL.name], 21)
        self.assertGreaterEqual(totals[LARGE.name], 5)

    def test_no_engine_is_idle_that_a_further_group_could_have(self) -> None:
        for large, small, domains, engines in ((16, 4, 3, 37), (8, 4, 3, 19), (9, 3, 4, 31)):
            chosen = self.plan(large, small, domains, engines)
            left = domains * engines - self.engines_used(chosen, large, small)
            self.assertLess(left, domains * small)

    def test_no_domain_has_more_than_half_of_a_models_groups(self) -> None:
        for build in (
            (12, 6, 3, 27),
            (8, 4, 3, 19),
            (9, 3, 4, 31),
            (4, 2, 3, 14),
            (16, 8, 5, 75),
        ):
            chosen = self.plan(*build)
            totals = groups_per_model(chosen)
            for slot, number in chosen.items():
                self.assertLessEqual(number, totals[slot.model] / 2, build)


class DemandTests(testtools.TestCase):
    def test_configured_shares_count_until_demand_is_measured(self) -> None:
        demand = Demand()
        demand.update({SMALL.name: 5.0}, 0.0)
        first = demand.by_model(SPEC, 16)
        demand.update({SMALL.name: 5.0}, 20.0)
        self.assertGreater(first[LARGE.name], first[SMALL.name])
        self.assertEqual(5.0, demand.by_model(SPEC, 16)[SMALL.name])


class LoadLimitTests(testtools.TestCase):
    def test_a_window_bounds_loads(self) -> None:
        limit = LoadLimit(2, 5.0)
        self.assertEqual([True, True, False], [limit.try_begin(at) for at in (0.0, 1.0, 2.0)])
        self.assertTrue(limit.try_begin(5.1))

    def test_all_or_none_of_several_begin(self) -> None:
        limit = LoadLimit(3, 5.0)
        self.assertFalse(limit.try_begin(0.0, 4))
        self.assertTrue(limit.try_begin(0.0, 3))
