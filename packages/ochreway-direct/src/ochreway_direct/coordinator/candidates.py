# SPDX-License-Identifier: Apache-2.0
"""The engines that may get weights, with the best load of each domain at hand."""

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from heapq import heapify, heappop, heappush

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import ModelSpec
from ochreway_direct.coordinator.enginerecord import EngineRecord

UTILITY_DIGITS = 3
"""How finely loads are told apart by their worth; of like ones the engine that loses least goes."""


class Use(IntEnum):
    """Say what an engine is doing, in the order in which engines are given weights."""

    EMPTY = 0
    """It is free and can serve nothing."""
    KEEPS_LAST_MODEL = 1
    """It is free, and can serve its last model whatever is loaded."""
    SURPLUS = 2
    """Its group is one too many."""
    HAS_STAGED = 3
    """It is free, and other weights would push out those that it has."""
    SERVING = 4


@dataclass(frozen=True, slots=True)
class Load:
    """Pair an engine with the model whose weights it should get, and what that is worth."""

    record: EngineRecord
    model: ModelSpec
    use: Use
    utility: float

    @property
    def rank(self) -> tuple[float, Use]:
        """Return a key that is the least for the load to begin first."""
        return -round(self.utility, UTILITY_DIGITS), self.use


class Candidates:
    """Give the best loads one after the other.

    What a load is worth depends on its domain's engines and on totals that loads do not change, so
    only the domain of the last one is looked at again, and of engines that are alike only one. Each
    engine and model looked at for each load took an entry some 20 s at 3,000 engines.
    """

    def __init__(
        self,
        records: Iterable[EngineRecord],
        kind_of: Callable[[EngineRecord], Hashable],
        best: Callable[[Iterable[EngineRecord]], Load | None],
    ) -> None:
        """Start with engines; ``best`` returns the best load among some of one domain."""
        self._best = best
        self._kinds: dict[DomainId, dict[Hashable, list[EngineRecord]]] = defaultdict(dict)
        for record in records:
            self._kinds[record.domain].setdefault(kind_of(record), []).append(record)
        self._queue: list[tuple[tuple[float, Use], DomainId]] = []
        self._loads: dict[DomainId, Load] = {}
        for domain in self._kinds:
            self._refresh(domain)
        heapify(self._queue)

    def _refresh(self, domain: DomainId) -> None:
        load = self._best(records[0] for records in self._kinds[domain].values())
        if load is not None:
            self._loads[domain] = load
            heappush(self._queue, (load.rank, domain))

    def peek(self) -> Load | None:
        """Return the best load, which stays the first until it was begun."""
        return self._loads[self._queue[0][1]] if self._queue else None

    def mark_begun(self, load: Load) -> None:
        """Take the first load out, and look at its domain again."""
        heappop(self._queue)
        domain = load.record.domain
        kinds = self._kinds[domain]
        for kind, records in list(kinds.items()):
            if records[0] is load.record:
                del records[0]
                if not records:
                    del kinds[kind]
                break
        self._refresh(domain)


__all__ = ["Candidates", "Load", "Use"]
