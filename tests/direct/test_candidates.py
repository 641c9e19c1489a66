# SPDX-License-Identifier: Apache-2.0
"""The pattern: 3,000 engines in a hundred domains want weights at once, at a first start."""

from collections.abc import Iterable

import testtools

from ochreway_core.ids import DomainId, HallId, InstanceId
from ochreway_direct.coordinator.candidates import Candidates, Load, Use
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.enginestate import EngineState
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_standins.engineworld import SERVICE, SMALL


def engines(domains: int, each: int) -> list[EngineRecord]:
    """Return free engines without weights."""
    found = []
    for number in range(domains * each):
        state = EngineState(DomainId(f"d{number % domains}"))
        listed = ListedTarget(
            InstanceId(f"i{number}"), SERVICE, "a:1", HallId("h"), False, 24, state
        )
        found.append(EngineRecord(listed, state))
    return found


class CandidatesTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.looked_at = 0
        self.begun: dict[DomainId, int] = {}

    def best(self, records: Iterable[EngineRecord]) -> Load | None:
        """Return a load that is worth less for each that its domain has had."""
        found = []
        for record in records:
            self.looked_at += 1
            had = self.begun.get(record.domain, 0)
            found.append(Load(record, SMALL, Use.EMPTY, 10.0 - had))
        return min(found, key=lambda each: each.rank, default=None)

    def begin_all(self, domains: int, each: int, loads: int) -> list[Load]:
        candidates = Candidates(engines(domains, each), lambda record: Use.EMPTY, self.best)
        begun = []
        while len(begun) < loads and (load := candidates.first()) is not None:
            begun.append(load)
            self.begun[load.record.domain] = self.begun.get(load.record.domain, 0) + 1
            candidates.begun(load)
        return begun

    def test_the_best_load_of_all_domains_comes_first(self) -> None:
        begun = self.begin_all(domains=3, each=4, loads=6)
        self.assertEqual({2}, set(self.begun.values()))
        self.assertEqual(6, len({load.record.instance for load in begun}))

    def test_each_engine_is_given_once_and_then_none(self) -> None:
        begun = self.begin_all(domains=3, each=4, loads=100)
        self.assertEqual(12, len({load.record.instance for load in begun}))
        self.assertEqual(12, len(begun))

    def test_of_many_engines_few_are_looked_at(self) -> None:
        self.begin_all(domains=100, each=30, loads=1500)
        self.assertLessEqual(self.looked_at, 100 + 1500)
