# SPDX-License-Identifier: Apache-2.0
from collections import Counter, defaultdict

import testtools

from ochreway_core.ids import DomainId, HallId, InstanceId
from ochreway_direct.coordinator.census import Census, Engines
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.missing import where_least_lacks
from ochreway_direct.coordinator.placement import Slot
from ochreway_direct.enginestate import EngineState
from ochreway_direct.ids import ModelName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_standins.engineworld import LARGE, SERVICE, SMALL, SPEC

D1, D2 = DomainId("d1"), DomainId("d2")


def engines(domain: DomainId, staged: ModelName, number: int) -> list[EngineRecord]:
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


def census(*found: list[EngineRecord]) -> Census:
    """Return what there is when all engines are free."""
    free: Engines = defaultdict(list)
    for records in found:
        for record in records:
            free[record.domain].append(record)
    return Census(free, defaultdict(list), frozenset(), (), Counter())


class MissingTests(testtools.TestCase):
    def test_a_group_is_completed_where_most_of_its_weights_are(self) -> None:
        free = census(engines(D1, LARGE.name, 3), engines(D2, SMALL.name, 8))
        later = {Slot(D2, LARGE.name): 1}
        found = where_least_lacks(SPEC, {}, later, free)
        self.assertEqual({Slot(D1, LARGE.name): 1}, dict(found))

    def test_without_such_a_domain_it_goes_where_it_is_planned(self) -> None:
        free = census(engines(D1, LARGE.name, 1), engines(D2, SMALL.name, 8))
        later = {Slot(D2, LARGE.name): 1}
        self.assertEqual(later, dict(where_least_lacks(SPEC, {}, later, free)))

    def test_what_can_be_formed_at_once_is_not_missing(self) -> None:
        free = census(engines(D1, LARGE.name, 8))
        at_once = {Slot(D1, LARGE.name): 2}
        self.assertEqual({}, dict(where_least_lacks(SPEC, at_once, at_once, free)))

    def test_two_groups_share_no_engines(self) -> None:
        free = census(engines(D1, LARGE.name, 5), engines(D2, LARGE.name, 3))
        later = {Slot(D1, LARGE.name): 2}
        found = where_least_lacks(SPEC, {}, later, free)
        self.assertEqual({Slot(D1, LARGE.name): 1, Slot(D2, LARGE.name): 1}, dict(found))
