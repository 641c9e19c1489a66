# SPDX-License-Identifier: Apache-2.0
"""Known cold targets, and the choice of leaders among cold members."""

import testtools

from ochreway_core.ids import DomainId, HallId, InstanceId
from ochreway_direct.ids import ServiceName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.sendlimits.coldtargets import ColdTargets
from ochreway_standins.engineworld import LARGE, EngineWorld
from tests.runtime.recordedlog import RecordedLog


def listed(name: str, cold_s: float) -> ListedTarget:
    return ListedTarget(*(InstanceId(name), ServiceName("s"), "x:1", HallId("h")), cold_s=cold_s)


class ColdTargetsTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = RecordedLog()
        self.cold = ColdTargets(self.log)

    def test_a_target_is_cold_for_the_announced_time_since_the_first_reading(self) -> None:
        self.cold.record_list([listed("a", 3.0), listed("b", 0.0)], 10.0)
        self.assertEqual((1, 0), (self.cold.cold_count(12.9), self.cold.cold_count(13.0)))
        self.assertFalse(self.cold.is_cold(InstanceId("b"), 10.0))

    def test_an_unchanged_row_is_not_logged_again(self) -> None:
        for now_s in (10.0, 11.0, 12.0):
            self.cold.record_list([listed("a", 3.0)], now_s)
        self.assertFalse(self.cold.is_cold(InstanceId("a"), 13.0))
        self.assertEqual(["target_cold"], self.log.names)

    def test_a_target_that_turns_cold_again_is_logged_again(self) -> None:
        self.cold.record_list([listed("a", 3.0)], 10.0)
        self.cold.record_list([listed("a", 0.0)], 13.0)
        self.cold.record_list([listed("a", 3.0)], 20.0)
        self.assertTrue(self.cold.is_cold(InstanceId("a"), 22.0))
        self.assertEqual(["target_cold"] * 2, self.log.names)


class LeaderTests(testtools.TestCase):
    def test_a_warm_member_leads_if_there_is_one(self) -> None:
        for warm in range(LARGE.size):
            world = EngineWorld(domains=0)
            for _ in range(LARGE.size):
                world.add(DomainId("d"), LARGE.name)
            engines = list(world.engines.values())
            for number, engine in enumerate(engines):
                engine.cold_s = 0.0 if number == warm else 60.0
            world.run_until(lambda w=world: w.serving(LARGE) == 1, 30.0)  # type: ignore[misc]
            self.assertEqual(engines[warm].instance, world.members(LARGE)[0])

    def test_groups_are_formed_of_cold_engines_too(self) -> None:
        world = EngineWorld(domains=0)
        for _ in range(LARGE.size):
            world.add(DomainId("d"), LARGE.name)
        for engine in world.engines.values():
            engine.cold_s = 60.0
        world.run_until(lambda: world.serving(LARGE) == 1, 30.0)
        self.assertEqual(1, world.serving(LARGE))
