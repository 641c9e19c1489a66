# SPDX-License-Identifier: Apache-2.0
"""Loads for 3,000 engines in a hundred domains that need weights at once, at a first start."""

from collections.abc import Iterable

import testtools

from ochreway_core.ids import DomainId, HallId, InstanceId
from ochreway_direct.coordinator.candidates import Candidates, Load, Use
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.enginestate import EngineState
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_standins.engineworld import SERVICE, SMALL


def free_engines(domains: int, each: int) -> list[EngineRecord]:
    """Return free engines without weights."""
    engine_records = []
    for number in range(domains * each):
        state = EngineState(DomainId(f"d{number % domains}"))
        listed = ListedTarget(
            InstanceId(f"i{number}"), SERVICE, "a:1", HallId("h"), False, 24, state
        )
        engine_records.append(EngineRecord(listed, state))
    return engine_records


class CandidatesTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.evaluated = 0
        self.begun_per_domain: dict[DomainId, int] = {}

    def best_load(self, records: Iterable[EngineRecord]) -> Load | None:
        """Return a load whose utility decreases with each load that its domain has had."""
        candidate_loads = []
        for record in records:
            self.evaluated += 1
            had = self.begun_per_domain.get(record.domain, 0)
            candidate_loads.append(Load(record, SMALL, Use.EMPTY, 10.0 - had))
        return min(candidate_loads, key=lambda each: each.rank, default=None)

    def begin_loads(self, domains: int, each: int, loads: int) -> list[Load]:
        candidates = Candidates(
            free_engines(domains, each), lambda record: Use.EMPTY, self.best_load
        )
        begun = []
        while len(begun) < loads and (load := candidates.peek()) is not None:
            begun.append(load)
            self.begun_per_domain[load.record.domain] = (
                self.begun_per_domain.get(load.record.domain, 0) + 1
            )
            candidates.mark_begun(load)
        return begun

    def test_the_best_load_of_all_domains_comes_first(self) -> None:
        begun = self.begin_loads(domains=3, each=4, loads=6)
        self.assertEqual({2}, set(self.begun_per_domain.values()))
        self.assertEqual(6, len({load.record.instance for load in begun}))

    def test_each_engine_is_offered_once(self) -> None:
        begun = self.begin_loads(domains=3, each=4, loads=100)
        self.assertEqual(12, len({load.record.instance for load in begun}))
        self.assertEqual(12, len(begun))

    def test_few_of_many_engines_are_evaluated(self) -> None:
        self.begin_loads(domains=100, each=30, loads=1500)
        self.assertLessEqual(self.evaluated, 100 + 1500)
