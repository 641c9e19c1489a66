# SPDX-License-Identifier: Apache-2.0
from collections import Counter
from dataclasses import replace

import testtools

from ochreway_core.ids import DomainId
from ochreway_direct.coordinator.demand import Demand
from ochreway_direct.coordinator.layout import plan
from ochreway_direct.coordinator.loadlimit import LoadLimit
from ochreway_direct.coordinator.placement import Slot, totals_of
from ochreway_direct.coordinator.room import Room
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.coordinator.worth import gain
from ochreway_standins.engineworld import LARGE, SMALL, SPEC

D1, D2 = DomainId("d1"), DomainId("d2")
TUNING = CoordinatorTuning()
DOWN = 0.02
"""An engine lost each 250 s, and five seconds until its group serves again."""


def rooms(engines: dict[DomainId, int]) -> dict[DomainId, Room]:
    """Return domains whose engines can join groups of any model."""
    any_model = frozenset({LARGE.name, SMALL.name})
    return {domain: Room({any_model: number}) for domain, number in engines.items()}


class LayoutTests(testtools.TestCase):
    def plan(self, large: float, small: float, engines: dict[DomainId, int]) -> dict[Slot, int]:
        needs = {LARGE.name: large, SMALL.name: small}
        return dict(plan(SPEC, (needs,), rooms(engines), {}, DOWN, TUNING))

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

    def test_a_large_group_finds_room_where_small_ones_can_go_elsewhere(self) -> None:
        standing = {Slot(D1, SMALL.name): 2, Slot(D2, SMALL.name): 2, Slot(D2, LARGE.name): 1}
        needs = {LARGE.name: 1.0, SMALL.name: 1.2}
        chosen = plan(SPEC, (needs,), rooms({D1: 7, D2: 8}), standing, DOWN, TUNING)
        self.assertEqual(1, chosen[Slot(D1, LARGE.name)])

    def test_more_work_gets_more_groups(self) -> None:
        much = self.plan(4.0, 0.1, {D1: 8, D2: 8})
        little = self.plan(0.1, 4.0, {D1: 8, D2: 8})
        count = lambda chosen: sum(n for s, n in chosen.items() if s.model == LARGE.name)  # noqa: E731
        self.assertGreater(count(much), count(little))

    def test_a_standing_group_goes_before_a_new_one_of_like_worth(self) -> None:
        needs = {LARGE.name: 1.0, SMALL.name: 0.55}
        large = Slot(D1, LARGE.name)
        room = rooms({D1: 4})
        self.assertEqual(0, plan(SPEC, (needs,), room, {}, DOWN, TUNING)[large])
        self.assertEqual(1, plan(SPEC, (needs,), room, {large: 1}, DOWN, TUNING)[large])

    def test_a_large_group_goes_where_small_ones_have_no_use_for_the_engines(self) -> None:
        needs = {LARGE.name: 1.0, SMALL.name: 3.0}
        any_model = frozenset({LARGE.name, SMALL.name})
        mixed = Room({any_model: 4, frozenset(): 1})
        only_large = Room({frozenset({LARGE.name}): 4})
        chosen = plan(SPEC, (needs,), {D1: mixed, D2: only_large}, {}, DOWN, TUNING)
        self.assertEqual({Slot(D1, SMALL.name): 2, Slot(D2, LARGE.name): 1}, dict(chosen))

    def test_engines_count_only_for_models_that_they_can_join(self) -> None:
        needs = {LARGE.name: 1.0, SMALL.name: 1.0}
        room = Room({frozenset({SMALL.name}): 6, frozenset({LARGE.name}): 3})
        chosen = plan(SPEC, (needs,), {D1: room}, {}, DOWN, TUNING)
        self.assertEqual({Slot(D1, SMALL.name): 3}, dict(chosen))

    def test_each_further_group_adds_less(self) -> None:
        for need in (0.3, 2.0, 9.0):
            gains = [gain(SPEC, SMALL, need, groups, DOWN) for groups in range(200)]
            self.assertEqual(sorted(gains, reverse=True), gains)
            self.assertAlmostEqual(need, sum(gains), places=1)

    def test_a_group_that_stands_in_for_another_is_worth_the_time_that_one_is_down(self) -> None:
        need, size = 1.0, LARGE.size
        first, second = (gain(SPEC, LARGE, need, groups, DOWN) for groups in (0, 1))
        down = size * DOWN
        self.assertAlmostEqual(need * (1.0 - down), first)
        self.assertAlmostEqual(need * (1.0 - down) * down, second)

    def test_engines_beyond_what_is_asked_for_stay_free(self) -> None:
        chosen = self.plan(1.0, 1.0, {D1: 400, D2: 400})
        self.assertLessEqual(sum(chosen.values()), 8)


class UnmeasuredTests(testtools.TestCase):
    """Plans before the first request.

    The builds are those of customers whose configuration gives both models half of the work, where
    three to six of seven requests turned out to be for the small one; sizes and domains of a fourth
    are drawn. A model's groups in one domain are bounded, as a domain may be lost at any time.
    """

    def plan(self, large: int, small: int, domains: int, engines: int) -> Counter[Slot]:
        models = (replace(LARGE, size=large, share=0.5), replace(SMALL, size=small, share=0.5))
        spec = replace(SPEC, models=models)
        room = rooms({DomainId(f"d{n}"): engines for n in range(domains)})
        needs = Demand().needs(spec, domains * engines)
        return plan(spec, (needs,), room, {}, DOWN, TUNING, least_gain=0.0)

    def used(self, chosen: Counter[Slot], large: int, small: int) -> int:
        size = {LARGE.name: large, SMALL.name: small}
        return sum(size[slot.model] * number for slot, number in chosen.items())

    def test_groups_of_both_models_are_planned_where_sizes_leave_engines_over(self) -> None:
        totals = totals_of(self.plan(16, 4, 3, 37))
        self.assertGreaterEqual(totals[LARGE.name], 3)
        self.assertGreaterEqual(totals[SMALL.name], 12)

    def test_no_domain_has_more_than_half_where_sizes_leave_engines_over(self) -> None:
        chosen = self.plan(16, 4, 3, 37)
        totals = totals_of(chosen)
        for slot, number in chosen.items():
            self.assertLessEqual(number, totals[slot.model] / 2)

    def test_hundreds_of_engines_have_groups_for_most_work_of_either_model(self) -> None:
        # Four of five requests turned out to be for the small model, which takes 21 groups.
        totals = totals_of(self.plan(16, 8, 5, 75))
        self.assertGreaterEqual(totals[SMALL.name], 21)
        self.assertGreaterEqual(totals[LARGE.name], 5)

    def test_no_engine_is_idle_that_a_further_group_could_have(self) -> None:
        for large, small, domains, engines in ((16, 4, 3, 37), (8, 4, 3, 19), (9, 3, 4, 31)):
            chosen = self.plan(large, small, domains, engines)
            left = domains * engines - self.used(chosen, large, small)
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
            totals = totals_of(chosen)
            for slot, number in chosen.items():
                self.assertLessEqual(number, totals[slot.model] / 2, build)


class DemandTests(testtools.TestCase):
    def test_shares_count_until_meters_have_filled(self) -> None:
        demand = Demand()
        demand.update({SMALL.name: 5.0}, 0.0)
        first = demand.needs(SPEC, 16)
        demand.update({SMALL.name: 5.0}, 20.0)
        self.assertGreater(first[LARGE.name], first[SMALL.name])
        self.assertEqual(5.0, demand.needs(SPEC, 16)[SMALL.name])


class LoadLimitTests(testtools.TestCase):
    def test_a_window_bounds_loads(self) -> None:
        limit = LoadLimit(2, 5.0)
        self.assertEqual([True, True, False], [limit.take(at) for at in (0.0, 1.0, 2.0)])
        self.assertTrue(limit.take(5.1))

    def test_all_or_none_of_several_begin(self) -> None:
        limit = LoadLimit(3, 5.0)
        self.assertFalse(limit.take(0.0, 4))
        self.assertTrue(limit.take(0.0, 3))
