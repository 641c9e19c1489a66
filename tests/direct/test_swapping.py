# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import DomainId, InstanceId
from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_standins.engineworld import LARGE, SMALL, EngineWorld

DOMAIN = DomainId("near")
SLOW = 4.0


class SwappingTests(testtools.TestCase):
    def world(self, engines: int, swapping: bool = True) -> EngineWorld:
        world = EngineWorld(domains=0, tuning=CoordinatorTuning(swapping=swapping))
        for _ in range(engines):
            world.add(DOMAIN, SMALL.name)
        world.run_until(lambda: world.serving(SMALL) == 1, 10.0)
        world.run(3.0)
        for record in world.coordinator.engines.values():
            record.last_model = SMALL.name  # Each has served the model before and joins at once.
        return world

    def slow_down(self, world: EngineWorld) -> InstanceId:
        slow = world.members(SMALL)[1]
        world.engines[slow].pace = SLOW
        return slow

    def test_a_slow_member_is_swapped_for_a_free_engine(self) -> None:
        world = self.world(3)
        slow = self.slow_down(world)
        took_s = world.run_until(
            lambda: world.serving(SMALL) == 1 and slow not in world.members(SMALL), 8.0
        )
        self.assertLess(took_s, 6.0)
        self.assertEqual([], world.violations)

    def test_the_last_group_is_not_swapped_while_it_carries_its_callers(self) -> None:
        """Guards against callers refused while their only group is formed again."""
        world = self.world(3)
        world.coordinator.demand.update({LARGE.name: 3.0, SMALL.name: 0.3}, world.now_s)
        slow = self.slow_down(world)
        serving: list[int] = []
        world.run(6.0, lambda: serving.append(world.serving(SMALL)))
        self.assertEqual(1, min(serving))
        self.assertIn(slow, world.members(SMALL))

    def test_the_last_group_of_a_model_without_callers_is_swapped(self) -> None:
        """Guards against a slow group kept for nobody, which serves the first caller slowly."""
        world = self.world(3)
        world.coordinator.demand.update({LARGE.name: 3.0}, world.now_s)
        slow = self.slow_down(world)
        took_s = world.run_until(
            lambda: world.serving(SMALL) == 1 and slow not in world.members(SMALL), 8.0
        )
        self.assertLess(took_s, 6.0)
        self.assertEqual([], world.violations)

    def test_without_a_substitute_a_slow_group_serves_on(self) -> None:
        world = self.world(2)
        slow = self.slow_down(world)
        world.run(6.0)
        self.assertEqual(1, world.serving(SMALL))
        self.assertIn(slow, world.members(SMALL))

    def test_swapping_can_be_disabled(self) -> None:
        world = self.world(3, swapping=False)
        slow = self.slow_down(world)
        world.run(6.0)
        self.assertIn(slow, world.members(SMALL))
