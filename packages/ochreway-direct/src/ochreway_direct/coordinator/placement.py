# SPDX-License-Identifier: Apache-2.0
"""Which domain each planned group goes to."""

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import ModelSpec
from ochreway_direct.coordinator.room import Room
from ochreway_direct.ids import ModelName


@dataclass(frozen=True, slots=True)
class Slot:
    """Name a place for a group: a domain and a model."""

    domain: DomainId
    model: ModelName


class Placement:
    """Place groups one by one.

    A standing group keeps its place; new ones are spread, so that each domain has groups of
    several models, whose engines can stand in for each other.
    """

    def __init__(self, rooms: Mapping[DomainId, Room], standing: Mapping[Slot, int]) -> None:
        self.rooms = rooms
        self.standing = standing
        self.placed: Counter[Slot] = Counter()
        self._left = Counter({domain: room.total for domain, room in rooms.items()})
        self._members: dict[DomainId, Counter[ModelName]] = defaultdict(Counter)

    def add(self, model: ModelSpec) -> bool:
        """Place one more group of a model; return whether any domain had room."""
        more = Counter({model.name: model.size})
        slots = [
            Slot(domain, model.name)
            for domain, room in self.rooms.items()
            if room.holds(self._members[domain] + more)
        ]
        if not slots:
            return False
        chosen = max(slots, key=self._preference)
        self.placed[chosen] += 1
        self._left[chosen.domain] -= model.size
        self._members[chosen.domain] += more
        return True

    def _preference(self, slot: Slot) -> tuple[bool, int, int, DomainId]:
        stands = self.placed[slot] < self.standing.get(slot, 0)
        return stands, -self.placed[slot], self._left[slot.domain], slot.domain


__all__ = ["Placement", "Slot"]
