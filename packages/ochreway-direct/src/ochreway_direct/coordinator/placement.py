# SPDX-License-Identifier: Apache-2.0
"""Choice of a domain for each planned group."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import heapify, heappop, heapreplace

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import ModelSpec
from ochreway_direct.coordinator.capacity import Capacity
from ochreway_direct.ids import ModelName


@dataclass(frozen=True, slots=True, order=True)
class GroupSlot:
    """Domain and model of a group."""

    domain: DomainId
    model: ModelName


Preference = tuple[bool, int, int, int]
"""Whether the group is new, groups placed, engines left (negative), and order of the domain."""


class Placement:
    """Place groups one by one.

    A current group keeps its domain. New groups are spread, so that each domain has groups of
    several models, whose engines can substitute for each other.
    """

    def __init__(
        self,
        capacities: Mapping[DomainId, Capacity],
        current: Mapping[GroupSlot, int],
        models: Iterable[ModelSpec] = (),
        placed: Mapping[GroupSlot, int] | None = None,
    ) -> None:
        """Start with the groups that are already placed, if any."""
        self.capacities = capacities
        self.current = current
        self.placed: Counter[GroupSlot] = Counter()
        self._remaining = {domain: capacity.total for domain, capacity in capacities.items()}
        self._members: dict[DomainId, Counter[ModelName]] = defaultdict(Counter)
        self._order = {domain: n for n, domain in enumerate(sorted(capacities, reverse=True))}
        self._queues: dict[ModelName, list[tuple[Preference, GroupSlot]]] = {}
        named = {model.name: model for model in models}
        for slot, number in (placed or {}).items():
            self._place(slot, named[slot.model], number)

    def add(self, model: ModelSpec) -> bool:
        """Place one more group of a model; return whether any domain has capacity.

        As groups are only added, a group slot never becomes more preferred, and a domain without
        capacity for a group remains so.
        """
        queue = self._queues.get(model.name)
        if queue is None:
            slots = [GroupSlot(domain, model.name) for domain in self.capacities]
            queue = self._queues[model.name] = [(self._preference(slot), slot) for slot in slots]
            heapify(queue)
        while queue:
            known, slot = queue[0]
            preference = self._preference(slot)
            if preference != known:
                heapreplace(queue, (preference, slot))
            elif self._fits(slot, model):
                self._place(slot, model)
                return True
            else:
                heappop(queue)
        return False

    def _fits(self, slot: GroupSlot, model: ModelSpec) -> bool:
        members = Counter(self._members[slot.domain])
        members[model.name] += model.size
        return self.capacities[slot.domain].fits(members)

    def _place(self, slot: GroupSlot, model: ModelSpec, number: int = 1) -> None:
        self.placed[slot] += number
        self._remaining[slot.domain] -= model.size * number
        self._members[slot.domain][model.name] += model.size * number

    def _preference(self, slot: GroupSlot) -> Preference:
        """Return the sort key; the group slot with the lowest key is chosen first."""
        placed = self.placed[slot]
        is_new = placed >= self.current.get(slot, 0)
        return is_new, placed, -self._remaining[slot.domain], self._order[slot.domain]


def groups_per_model(groups: Mapping[GroupSlot, int]) -> Counter[ModelName]:
    """Return the number of groups of each model."""
    totals: Counter[ModelName] = Counter()
    for slot, number in groups.items():
        totals[slot.model] += number
    return totals


__all__ = ["Placement", "GroupSlot", "groups_per_model"]
