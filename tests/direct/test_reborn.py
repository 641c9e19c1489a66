# SPDX-License-Identifier: Apache-2.0
"""An engine ends and another starts at its address, while the list names both.

A group of these two was opened although one of them had ended. Reports do not identify their
sender, so the new engine's report was taken for that of the old one too, and the group looked
complete. Crashes of engines behind a network partition led to this.
"""

import testtools

from ochreway_core.ids import DomainId
from ochreway_standins.engineworld import SMALL, STEP_S, EngineWorld

DOMAIN = DomainId("d0")


class ReusedAddressTests(testtools.TestCase):
    def world(self) -> EngineWorld:
        """Return a world that lists two engines at one address, where only one of them runs."""
        world = EngineWorld(domains=1, engines=SMALL.size)
        world.run_until(lambda: world.serving(SMALL) > 0, 30.0)
        first, second = list(world.engines)
        world.crash(first)
        world.reborn(second)
        world.run_until(lambda: not world.coordinator.views(), 10.0)
        return world

    def assert_members_present(self, world: EngineWorld, duration_s: float) -> None:
        """Check that no group is opened with a member that has ended."""
        before = set(world.coordinator.groups)
        for _ in range(round(duration_s / STEP_S)):
            world.step()
            for name, group in world.coordinator.groups.items():
                if name not in before:
                    self.assertEqual(set(), group.ready & set(world.replaced))
            for view in world.coordinator.views():
                members = world.coordinator.groups[view.group].members
                self.assertEqual(set(), set(members) & set(world.replaced))

    def test_no_group_is_opened_with_the_engine_that_ended(self) -> None:
        self.assert_members_present(self.world(), 30.0)

    def test_no_group_is_opened_with_it_by_a_new_lease_holder(self) -> None:
        world = self.world()
        world.take_over()
        self.assert_members_present(world, 30.0)

    def test_the_new_engine_serves_with_others(self) -> None:
        world = self.world()
        world.add(DOMAIN)
        self.assert_members_present(world, 1.0)
        world.run_until(lambda: world.serving(SMALL) > 0, 60.0)
        self.assert_members_present(world, 10.0)
