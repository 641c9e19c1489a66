# SPDX-License-Identifier: Apache-2.0
"""Assignment of given numbers of groups to domains, within bounds per domain and model."""

import math
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import product

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import ModelSpec
from ochreway_direct.coordinator.capacity import Capacity
from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_direct.ids import ModelName

MAX_TRIES = 4000
"""Bounds the ways to fill a domain that one search tries; each takes about 5 us."""

GroupCounts = tuple[int, ...]
"""Number of groups of each model, in the order of the models."""


@dataclass(slots=True)
class _Search:
    """Backtracking search over the domains, the largest first."""

    models: Sequence[ModelSpec]
    capacities: Mapping[DomainId, Capacity]
    min_groups: Mapping[GroupSlot, int]
    max_groups: Mapping[ModelName, int]
    tries_left: int = MAX_TRIES
    domain_order: list[DomainId] = field(default_factory=list)
    dead_ends: set[tuple[int, GroupCounts]] = field(default_factory=set)
    placed: list[GroupCounts] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.domain_order = sorted(
            self.capacities, key=lambda domain: (-self.capacities[domain].total, domain)
        )

    def run(self, totals: GroupCounts) -> bool:
        """Place the given number of groups of each model; return whether all of them fit."""
        remaining = [totals]
        options = [self._options(totals)]
        while options:
            if self._is_complete(remaining[-1]):
                return True
            numbers = next(options[-1], None)
            if numbers is None:
                self._backtrack(remaining, options)
                continue
            left = tuple(a - b for a, b in zip(remaining[-1], numbers, strict=True))
            self.placed.append(numbers)
            remaining.append(left)
            options.append(self._options(left))
        return False

    def _is_complete(self, left: GroupCounts) -> bool:
        return len(self.placed) == len(self.domain_order) and not any(left)

    def _backtrack(
        self, remaining: list[GroupCounts], options: list[Iterator[GroupCounts]]
    ) -> None:
        self.dead_ends.add((len(self.placed), remaining.pop()))
        options.pop()
        if self.placed:
            self.placed.pop()

    def _may_fit(self, at: int, left: GroupCounts) -> bool:
        """Return whether the domains from ``at`` on have enough engines of any ability."""
        demanded = sum(m.size * number for m, number in zip(self.models, left, strict=True))
        return demanded <= sum(self.capacities[domain].total for domain in self.domain_order[at:])

    def _options(self, left: GroupCounts) -> Iterator[GroupCounts]:
        """Yield the group counts that the next domain can have, the most even ones first."""
        at = len(self.placed)
        if (
            at == len(self.domain_order)
            or (at, left) in self.dead_ends
            or not self._may_fit(at, left)
        ):
            return
        domain = self.domain_order[at]
        even = [math.ceil(number / (len(self.domain_order) - at)) for number in left]
        ranges = [
            range(self._lower_bound(domain, model), self._upper_bound(domain, model, number) + 1)
            for model, number in zip(self.models, left, strict=True)
        ]

        def unevenness(numbers: GroupCounts) -> int:
            return sum(abs(a - b) for a, b in zip(numbers, even, strict=True))

        for numbers in sorted(product(*ranges), key=unevenness):
            if self.tries_left <= 0:
                return
            self.tries_left -= 1
            if self._fits(domain, numbers):
                yield numbers

    def _lower_bound(self, domain: DomainId, model: ModelSpec) -> int:
        return self.min_groups.get(GroupSlot(domain, model.name), 0)

    def _upper_bound(self, domain: DomainId, model: ModelSpec, left: int) -> int:
        bound = max(self.max_groups[model.name], self._lower_bound(domain, model))
        return min(left, bound, self.capacities[domain].total // model.size)

    def _fits(self, domain: DomainId, numbers: GroupCounts) -> bool:
        members = {m.name: m.size * n for m, n in zip(self.models, numbers, strict=True)}
        return self.capacities[domain].fits(members)


def arrange(
    models: Sequence[ModelSpec],
    totals: Mapping[ModelName, int],
    capacities: Mapping[DomainId, Capacity],
    min_groups: Mapping[GroupSlot, int],
    max_groups: Mapping[ModelName, int],
) -> Counter[GroupSlot] | None:
    """Return a domain for each of the given groups, or None if the search finds no solution.

    Args:
        models: the models.
        totals: the number of groups of each model.
        capacities: the usable engines of each domain.
        min_groups: the groups that a group slot must have.
        max_groups: the groups of a model that a domain may have, unless ``min_groups`` is higher.
    """
    search = _Search(models, capacities, min_groups, max_groups)
    if not search.run(tuple(totals.get(model.name, 0) for model in models)):
        return None
    return Counter(
        {
            GroupSlot(domain, model.name): number
            for domain, numbers in zip(search.domain_order, search.placed, strict=True)
            for model, number in zip(models, numbers, strict=True)
            if number
        }
    )


__all__ = ["arrange"]
