# SPDX-License-Identifier: Apache-2.0
"""Engines of a fabric domain, by the models whose groups they can join."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import chain, combinations

from ochreway_direct.ids import ModelName

Ability = frozenset[ModelName]
"""Models whose groups an engine can join."""


@dataclass(frozen=True, slots=True)
class Capacity:
    """Number of engines of a domain with each ability."""

    engines: Mapping[Ability, int] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """Return the number of engines."""
        return sum(self.engines.values())

    def fits(self, members: Mapping[ModelName, int]) -> bool:
        """Return whether there are engines for the given members of all models together.

        This holds if, for each set of models, the engines that can join any of them are at least as
        many as the members of these models (Hall's condition).
        """
        if sum(members.values()) > self.total:
            return False
        models_needed = [model for model, number in members.items() if number > 0]
        if len(self.engines) == 1:
            return next(iter(self.engines)).issuperset(models_needed)
        subsets = chain.from_iterable(
            combinations(models_needed, size) for size in range(1, len(models_needed) + 1)
        )
        return all(
            self._count_joinable(frozenset(subset)) >= sum(members[model] for model in subset)
            for subset in subsets
        )

    def _count_joinable(self, models: Ability) -> int:
        return sum(number for ability, number in self.engines.items() if ability & models)


__all__ = ["Ability", "Capacity"]
