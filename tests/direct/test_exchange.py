# SPDX-License-Identifier: Apache-2.0
"""Exchange of members between groups of different models.

A group loses a member, and the engine that could replace it serves in another group, which could
use a free engine instead. On a day with an engine lost every three seconds, five engines stayed
idle because of this for 2 to 12 s each time.
"""

import testtools

from ochreway_core.ids import DomainId
from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_standins.engineworld import LARGE, SMALL, EngineWorld, FakeEngine

NEAR, FAR = DomainId("near"), DomainId("far")
OFFERED = {LARGE.name: 3.0, SMALL.name: 1.5}
"""Demand for two large groups and one small one."""
NO_LOADS = CoordinatorTuning(loading_share=0.0)


class ExchangeTests(testtools.TestCase):
    def world(self, far: int) -> EngineWorld:
        """Return a world with groups of both models near, and ``far`` large groups far away."""
        world = EngineWorld(domains=0, tuning=NO_LOADS)
        world.coordinator.demand.offered = dict(OFFERED)
        for staged in (LARGE,) * 5 + (SMALL,) * 2:
            world.add(NEAR, staged.name)
        for _ in range(far * LARGE.size):
            world.add(FAR, LARGE.name)
        world.run_until(lambda: (world.serving(LARGE), world.serving(SMALL)) == (1 + far, 1), 10.0)
        for engine in self.serving(world, NEAR, LARGE.name):
            engine.staged = SMALL.name
        world.run(3.0)
        return world

    def serving(self, world: EngineWorld, domain: DomainId, model: str) -> list[FakeEngine]:
        return [e for e in world.engines.values() if (e.domain, e.model) == (domain, model)]

    def test_both_groups_serve_again_with_members_exchanged(self) -> None:
        world = self.world(far=1)
        world.crash(world.members(SMALL)[1])
        world.run_until(lambda: world.serving(SMALL) == 0, 3.0)
        world.run_until(lambda: (world.serving(LARGE), world.serving(SMALL)) == (2, 1), 8.0)
        self.assertEqual([], world.violations)

    def test_the_only_group_of_a_model_is_not_broken_for_it(self) -> None:
        world = self.world(far=0)
        world.crash(world.members(SMALL)[1])
        for _ in range(100):
            world.step()
            self.assertEqual(1, world.serving(LARGE))
