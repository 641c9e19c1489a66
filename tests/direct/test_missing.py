# SPDX-License-Identifier: Apache-2.0
from collections import Counter, defaultdict

import testtools

from ochreway_core.ids import DomainId, HallId, InstanceId
from ochreway_direct.coordinator.census import Census, EnginesByDomain
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.missing import place_missing_groups
from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_direct.enginestate import EngineState
from ochreway_direct.ids import ModelName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_standins.engineworld import LARGE, SERVICE, SMALL, SPEC

D1, D2 = DomainId("d1"), DomainId("d2")


def free_engines(domain: DomainId, staged: ModelName, number: int) -> list[EngineRecord]:
    """Return free engines that have a model's weights."""
    state = EngineState(domain, None, (staged,), None)
    return [
        EngineRecord(
            ListedTarget(
                InstanceId(f"{domain}-{staged}-{n}"), SERVICE, "a:1", HallId("h"), False, 24, state
            ),
            state,
        )
        for n in range(number)
    ]


def census(*engine_lists: list[EngineRecord]) -> Census:
    """Return the census of engines that are all free."""
    free: EnginesByDomain = defaultdict(list)
    for records in engine_lists:
        for record in records:
            free[record.domain].append(record)
    return Census(free, defaultdict(list), frozenset(), (), Counter())


class MissingTests(testtools.TestCase):
    def test_a_group_is_completed_where_most_of_its_weights_are(self) -> None:
        free = census(free_engines(D1, LARGE.name, 3), free_engines(D2, SMALL.name, 8))
        later = {GroupSlot(D2, LARGE.name): 1}
        placed = place_missing_groups(SPEC, {}, later, free)
        self.assertEqual({GroupSlot(D1, LARGE.name): 1}, dict(placed))

    def test_without_such_a_domain_a_group_stays_where_it_is_planned(self) -> None:
        free = census(free_engines(D1, LARGE.name, 1), free_engines(D2, SMALL.name, 8))
        later = {GroupSlot(D2, LARGE.name): 1}
        self.assertEqual(later, dict(place_missing_groups(SPEC, {}, later, free)))

    def test_a_group_that_can_be_formed_now_is_not_missing(self) -> None:
        free = census(free_engines(D1, LARGE.name, 8))
        formable = {GroupSlot(D1, LARGE.name): 2}
        self.assertEqual({}, dict(place_missing_groups(SPEC, formable, formable, free)))

    def test_two_groups_share_no_engines(self) -> None:
        free = census(free_engines(D1, LARGE.name, 5), free_engines(D2, LARGE.name, 3))
        later = {GroupSlot(D1, LARGE.name): 2}
        placed = place_missing_groups(SPEC, {}, later, free)
        self.assertEqual({GroupSlot(D1, LARGE.name): 1, GroupSlot(D2, LARGE.name): 1}, dict(placed))
