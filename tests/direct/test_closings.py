# SPDX-License-Identifier: Apache-2.0
"""Groups that have not failed are closed for better ones only while others serve their callers."""

import testtools

from ochreway_core.ids import DomainId
from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_direct.coordinator.grouprecord import SPANNING, GroupPhase, PhaseCause
from ochreway_standins.engineworld import LARGE, SMALL, EngineWorld

NO_LOADS = CoordinatorTuning(loading_share=0.0)
ONE, TWO, THREE = DomainId("d1"), DomainId("d2"), DomainId("d3")


HEAVY = 3.0
"""Work, in groups kept busy, that one group inside a domain does not carry."""
LIGHT = 0.5
"""Work that one group across domains carries at its pace."""
CARRIED_BY_TWO = 1.3
"""Work that two such groups carry."""


def spanning_world(groups: int, offered: float = HEAVY) -> EngineWorld:
    """Return a world where the large model has only groups that span domains."""
    world = EngineWorld(domains=0, tuning=NO_LOADS)
    domains = (ONE,) * 3 + ((TWO,) * 3 if groups == 1 else (TWO,) * 3 + (THREE,) * 2)
    for domain in domains:
        world.add(domain, LARGE.name)
    world.coordinator.demand.update({LARGE.name: offered, SMALL.name: 3.6}, world.now_s)
    world.run_until(lambda: world.serving(LARGE) == groups, 8.0)
    return world


class Causes:
    """Causes for which groups began to close, and the fewest groups that served."""

    def __init__(self, world: EngineWorld) -> None:
        self._world = world
        self.fewest = world.serving(LARGE)
        self.most_closing = 0
        self.closed: set[PhaseCause] = set()

    def watch(self) -> None:
        groups = self._world.coordinator.groups.values()
        closing = [each for each in groups if each.phase is GroupPhase.CLOSING]
        self.most_closing = max(self.most_closing, len(closing))
        self.closed.update(each.cause for each in closing)
        self.fewest = min(self.fewest, self._world.serving(LARGE))


class TradedGroupTests(testtools.TestCase):
    def test_two_spanning_groups_are_traded_one_at_a_time(self) -> None:
        """Guards against a model refused for seconds because both its groups closed at once."""
        world = spanning_world(2)
        world.coordinator.demand.update({LARGE.name: CARRIED_BY_TWO, SMALL.name: 3.6}, world.now_s)
        for domain in (ONE, TWO, TWO):
            world.add(domain, LARGE.name)
        for engine in world.engines.values():
            engine.busy_for_s = 1.0
        causes = Causes(world)
        world.run(20.0, causes.watch)
        self.assertIn(PhaseCause.TRADED, causes.closed)
        self.assertEqual(1, causes.most_closing)
        self.assertGreaterEqual(causes.fewest, 1)
        self.assertEqual(2, world.views_inside())
        self.assertEqual([], world.violations)

    def test_two_spanning_groups_that_do_not_carry_their_callers_are_traded_together(self) -> None:
        """Guards against groups across domains that stay because a better one needs both."""
        world = spanning_world(2, offered=HEAVY)
        for domain in (ONE, TWO, TWO):
            world.add(domain, LARGE.name)
        took_s = world.run_until(lambda: world.views_inside() == 2, 12.0)
        self.assertLess(took_s, 8.0)
        self.assertEqual([], world.violations)

    def test_the_only_group_is_not_closed_as_soon_as_it_has_opened(self) -> None:
        """Guards against 4.4 s without a group because a better one became possible."""
        world = spanning_world(1, offered=LIGHT)
        world.add(ONE, LARGE.name)
        causes = Causes(world)
        world.run(12.0, causes.watch)
        self.assertEqual(set(), causes.closed)
        self.assertEqual(1, causes.fewest)

    def test_the_only_group_is_traded_if_it_cannot_carry_its_callers(self) -> None:
        """Guards against callers refused for long by a group that runs across domains."""
        world = spanning_world(1, offered=HEAVY)
        world.add(ONE, LARGE.name)
        took_s = world.run_until(lambda: world.views_inside() == 1, 8.0)
        self.assertLess(took_s, 6.0)
        self.assertEqual([], world.violations)

    def test_the_only_group_is_kept_until_a_replacement_serves(self) -> None:
        """Guards against a spanning group that is closed while its replacement forms."""
        world = spanning_world(1, offered=LIGHT)
        for _ in range(LARGE.size):
            world.add(ONE, LARGE.name)
        causes = Causes(world)
        world.run(8.0, causes.watch)
        self.assertEqual(1, world.views_inside())
        self.assertEqual(1, causes.fewest)

    def test_a_replacement_for_the_only_group_is_planned_from_other_engines(self) -> None:
        """Guards against a plan that waits for engines of a group that is not closed."""
        world = EngineWorld(domains=0)
        for domain in (ONE,) * 3 + (TWO,) * 3:
            world.add(domain, LARGE.name)
        world.coordinator.demand.update({LARGE.name: LIGHT, SMALL.name: 0.3}, world.now_s)
        world.run_until(lambda: world.serving(LARGE) == 1, 8.0)
        for staged in (LARGE, *(SMALL,) * 5):
            world.add(ONE, staged.name)
        world.run(1.0)
        (plan,) = world.coordinator.plans.values()
        (spanning,) = (g for g in world.coordinator.groups.values() if g.domain == SPANNING)
        self.assertEqual((spanning.group,), plan.kept)
        causes = Causes(world)
        took_s = world.run_until(lambda: world.serving(LARGE) == 2, 40.0)
        causes.watch()
        self.assertLess(took_s, LARGE.load_s + 8.0)
        self.assertEqual(set(), causes.closed)

    def test_the_only_group_of_a_model_without_callers_is_traded(self) -> None:
        """Guards against engines that a model without callers keeps from a better group."""
        world = spanning_world(1)
        world.coordinator.demand.update({SMALL.name: 3.6}, world.now_s)
        world.add(ONE, LARGE.name)
        world.run_until(lambda: world.views_inside() == 1, 8.0)
        spanning = [g for g in world.coordinator.groups.values() if g.domain == SPANNING]
        self.assertEqual([], spanning)
