# SPDX-License-Identifier: Apache-2.0
"""Priority queue of the loads of weights that may begin, with the best load of each domain."""

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from heapq import heapify, heappop, heappush

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import ModelSpec
from ochreway_direct.coordinator.enginerecord import EngineRecord

UTILITY_DIGITS = 3
"""Decimal places to which utilities are compared; among equal loads, ``Use`` decides the order."""


class Use(IntEnum):
    """Current use of an engine, in the order in which engines are chosen for a load."""

    EMPTY = 0
    """Free, and cannot serve any model."""
    KEEPS_LAST_MODEL = 1
    """Free, and can serve its last model even after another load."""
    SURPLUS = 2
    """Member of a group that exceeds the plan."""
    HAS_STAGED = 3
    """Free, and a load would evict the weights that it has staged."""
    SERVING = 4


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a model's weights on an engine, and its utility."""

    record: EngineRecord
    model: ModelSpec
    use: Use
    utility: float

    @property
    def rank(self) -> tuple[float, Use]:
        """Return the sort key; the load with the lowest key begins first."""
        return -round(self.utility, UTILITY_DIGITS), self.use


class Candidates:
    """Return the best loads one by one.

    The utility of a load depends on the engines of its domain and on totals that loads do not
    change. After a load, only its domain is evaluated again, and only one engine of each kind.
    Evaluating each engine and model for each load took an entry about 20 s at 3,000 engines.
    """

    def __init__(
        self,
        records: Iterable[EngineRecord],
        kind_of: Callable[[EngineRecord], Hashable],
        best: Callable[[Iterable[EngineRecord]], Load | None],
    ) -> None:
        """Group the engines by kind; ``best`` returns the best load of some engines of a domain."""
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
        """Return the best load, or None; it remains the best until it is marked as begun."""
        return self._loads[self._queue[0][1]] if self._queue else None

    def mark_begun(self, load: Load) -> None:
        """Remove the best load and evaluate its domain again."""
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
