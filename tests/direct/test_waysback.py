# SPDX-License-Identifier: Apache-2.0
"""Weights for one more group, kept among engines outside groups."""

from collections import Counter

import testtools

from ochreway_core.ids import DomainId, HallId, InstanceId
from ochreway_direct.coordinator import Assignment, CoordinatorTuning
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.waysback import choose_ways_back
from ochreway_direct.enginestate import EngineState
from ochreway_direct.ids import ModelName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.order import Stage
from ochreway_standins.engineworld import LARGE, SERVICE, SMALL, SPEC, EngineWorld

ONE, TWO, THREE = (DomainId(f"d{n}") for n in (1, 2, 3))
BOTH = frozenset({LARGE.name, SMALL.name})


def settled(min_groups: int) -> EngineWorld:
    """Return a world whose large groups are all in one domain, with free engines in two others."""
    world = EngineWorld(domains=0, tuning=CoordinatorTuning(min_groups=min_groups))
    for domain in (ONE, TWO, THREE):
        for n in range(12):
            world.add(domain, LARGE.name if domain == ONE and n < LARGE.size else SMALL.name)
    offer(world)
    world.run(60.0)
    return world


def offer(world: EngineWorld) -> None:
    """Offer little work for the large model and much for the small one."""
    world.coordinator.demand.update({LARGE.name: 0.3, SMALL.name: 6.0}, world.now_s)


def grouped(world: EngineWorld) -> set[InstanceId]:
    """Return the engines that are in groups."""
    return {each for group in world.coordinator.groups.values() for each in group.members}


def copies(world: EngineWorld) -> Counter[DomainId]:
    """Return the large model's copies outside groups by domain."""
    inside = grouped(world)
    engines = world.engines.values()
    return Counter(e.domain for e in engines if e.instance not in inside and e.staged == LARGE.name)


def back_after_loss(world: EngineWorld) -> float:
    """Lose the domain of the large groups; return how long the model has none."""
    for engine in world.engines.values():
        engine.alive = engine.alive and engine.domain != ONE
    world.run_until(lambda: world.serving(LARGE) == 0, 5.0)
    return world.run_until(lambda: world.serving(LARGE) > 0, 60.0)


def free_engines(domain: DomainId, number: int, staged: ModelName | None) -> list[EngineRecord]:
    """Return engines outside groups."""
    state = EngineState(domain, None, (staged,) if staged else ())
    return [
        EngineRecord(
            ListedTarget(InstanceId(f"{domain}-{n}"), SERVICE, "a:1", HallId("h"), False, 24), state
        )
        for n in range(number)
    ]


class WayBackTests(testtools.TestCase):
    def test_without_the_minimum_a_lost_domain_costs_a_load(self) -> None:
        """The baseline: no engine outside groups has the lost model's weights for a group."""
        world = settled(0)
        self.assertLess(max(copies(world).values(), default=0), LARGE.size)
        self.assertGreater(back_after_loss(world), 10.0)

    def test_a_model_is_back_without_a_load_when_the_domain_of_its_groups_is_lost(self) -> None:
        """Guards against callers refused for the time of a load although engines were idle."""
        world = settled(1)
        held = copies(world)
        self.assertEqual({TWO: LARGE.size, THREE: LARGE.size}, dict(held))
        self.assertLess(back_after_loss(world), 5.0)
        self.assertEqual([], world.violations)

    def test_no_member_of_a_group_loses_its_copy_for_a_way_back(self) -> None:
        """Guards against members that can no longer start again after their engine is lost."""
        world = EngineWorld(domains=0, tuning=CoordinatorTuning(min_groups=1))
        for domain in (ONE, TWO):
            for _ in range(LARGE.size):
                world.add(domain, SMALL.name)
        world.coordinator.demand.update({LARGE.name: 0.06, SMALL.name: 26.0}, world.now_s)
        asked: list[InstanceId] = []
        give = world._give

        def watch(assignment: Assignment) -> None:
            if isinstance(assignment.order, Stage):
                asked.append(assignment.instance)
            give(assignment)

        world._give = watch  # type: ignore[method-assign]
        world.run(60.0)
        # Only the groups of one domain make room for the planned large group.
        self.assertEqual(LARGE.size, len(asked))
        self.assertEqual(1, len({world.engines[each].domain for each in asked}))
        self.assertEqual((1, 2), (world.serving(LARGE), world.serving(SMALL)))


class ChosenDomainTests(testtools.TestCase):
    def slots(self, free: list[EngineRecord], loading: int = 0) -> set[tuple[DomainId, ModelName]]:
        chosen = choose_ways_back(SPEC, BOTH, free, loading).slots
        return {(slot.domain, slot.model) for slot in chosen}

    def test_two_domains_are_chosen_where_copies_are_already(self) -> None:
        """Guards against loads where copies exist, and engines that count for two models."""
        free = [
            *free_engines(ONE, 5, SMALL.name),
            *free_engines(TWO, 5, LARGE.name),
            *free_engines(THREE, 5, None),
        ]
        self.assertEqual(
            {(TWO, LARGE.name), (ONE, LARGE.name), (THREE, SMALL.name)}, self.slots(free)
        )

    def test_a_domain_with_too_few_engines_is_not_chosen(self) -> None:
        """Guards against copies that no group can be formed of."""
        self.assertEqual({(ONE, SMALL.name)}, self.slots(free_engines(ONE, LARGE.size - 1, None)))

    def test_a_load_that_cannot_end_within_the_horizon_is_not_wanted(self) -> None:
        """Guards against loads that slow each other down until none of them is of use."""
        free = free_engines(ONE, LARGE.size + SMALL.size, None)
        self.assertEqual({(ONE, LARGE.name), (ONE, SMALL.name)}, self.slots(free))
        self.assertEqual({(ONE, SMALL.name)}, self.slots(free, loading=2 * SPEC.loads_at_once))
        self.assertEqual(set(), self.slots(free, loading=3 * SPEC.loads_at_once))

    def test_models_without_callers_have_no_way_back(self) -> None:
        chosen = choose_ways_back(SPEC, frozenset(), free_engines(ONE, 12, None), 0)
        self.assertEqual({}, dict(chosen.slots))
