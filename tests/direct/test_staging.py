# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import DomainId
from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_standins.engineworld import LARGE, OFFERED, SMALL, SPEC, EngineWorld

NEAR = DomainId("near")


class EarlyLoadTests(testtools.TestCase):
    """Loads before the first request, at the first start of a site and at a later one."""

    def loads_begun(self, first_start: bool) -> int:
        """Return how many engines got weights within the window of the load limit."""
        tuning = CoordinatorTuning(first_start=first_start, loads_window_s=30.0, loads_excess=0.1)
        world = EngineWorld(domains=3, engines=8, lag_s=0.1, tuning=tuning)
        world.load_speed = 10.0
        world.run(8.0)
        return sum(each.staged is not None for each in world.engines.values())

    def test_all_engines_get_weights_at_a_first_start(self) -> None:
        self.assertEqual(24, self.loads_begun(first_start=True))

    def test_loads_are_bounded_at_a_start_that_is_not_the_first(self) -> None:
        # Members of a group load together or not at all, so the limit is not always used up.
        at_most = CoordinatorTuning(loads_window_s=30.0, loads_excess=0.1).loads_at_most(
            SPEC.loads_per_s
        )
        self.assertLessEqual(self.loads_begun(first_start=False), at_most)

    def test_first_loads_wait_until_the_list_is_complete(self) -> None:
        world = EngineWorld(domains=0, lag_s=0.1)
        for number in range(6):
            world.add(NEAR).listed_s = world.now_s + 0.4 * number
        world.run(2.0)
        self.assertFalse(any(each.loading for each in world.engines.values()))
        world.run_until(lambda: any(each.loading for each in world.engines.values()), 3.0)

    def test_small_weights_are_staged_on_large_groups_before_demand_is_known(
        self,
    ) -> None:
        world = EngineWorld(
            domains=2, engines=10, lag_s=0.1, tuning=CoordinatorTuning(first_start=True)
        )
        world.load_speed = 10.0
        world.run(12.0)
        serving = [each for each in world.engines.values() if each.model == LARGE.name]
        self.assertGreater(len(serving), 0)
        self.assertEqual({SMALL.name}, {each.staged for each in serving})

    def test_a_lost_large_group_is_replaced_by_engines_of_small_ones_without_a_load(self) -> None:
        """Guards against engines that leave a large model's groups and cannot come back."""
        world = EngineWorld(engines=8, lag_s=0.1, tuning=CoordinatorTuning(first_start=True))
        world.load_speed = 10.0
        world.run(12.0)
        world.load_speed = 1.0
        world.coordinator.demand.update(OFFERED, world.now_s - 2.0)
        world.coordinator.demand.update(OFFERED, world.now_s)
        before = world.serving(LARGE)
        world.crash(world.members(LARGE)[0])
        world.run_until(lambda: world.serving(LARGE) < before, 2.0)
        took_s = world.run_until(lambda: world.serving(LARGE) == before, LARGE.load_s)
        self.assertLess(took_s, SMALL.load_s / 2)


class StagingTests(testtools.TestCase):
    def test_a_loading_engine_is_not_asked_to_join(self) -> None:
        """Guards against a join that waits six seconds for a load that evicts the weights."""
        world = EngineWorld(domains=0)
        for _ in range(LARGE.size):
            world.add(NEAR, LARGE.name)
        world.run_until(lambda: world.serving(LARGE) == 1, 10.0)
        lost, *rest = world.members(LARGE)
        world.crash(lost)
        added = world.add(NEAR, LARGE.name)
        added.loading, added.load_left_s = SMALL.name, 6.0
        world.take_over()
        world.run(4.0)
        self.assertEqual(
            [], [g for g in world.coordinator.groups.values() if g.model == LARGE.name]
        )
        self.assertNotIn(added.instance, [i for each in rest for i in world.engines[each].members])

    def test_weights_that_an_awaited_group_needs_are_not_evicted(self) -> None:
        world = EngineWorld(domains=0)
        for staged in (LARGE,) * 3 + (SMALL,) * 6:
            world.add(NEAR, staged.name)
        world.run_until(lambda: world.serving(SMALL) == 3, 10.0)
        for engine in world.engines.values():
            engine.finish_load(LARGE)
        world.run_until(lambda: world.serving(LARGE) == 1, 6.0)
