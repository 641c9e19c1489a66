# SPDX-License-Identifier: Apache-2.0
"""How many groups of each model every fabric domain should have."""

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.demand import gain
from ochreway_direct.coordinator.room import Room
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.ids import ModelName


@dataclass(frozen=True, slots=True)
class Slot:
    """Name a place for a group: a domain and a model."""

    domain: DomainId
    model: ModelName


def plan(
    spec: EngineSpec,
    needs: Mapping[ModelName, float],
    rooms: Mapping[DomainId, Room],
    standing: Mapping[Slot, int],
    tuning: CoordinatorTuning,
) -> Counter[Slot]:
    """Return the number of groups for each place.

    Groups are added as long as all of them find room, the one that adds most for each engine
    first.

    Args:
        spec: the models and their sizes.
        needs: the work offered for each model, in groups kept busy.
        rooms: the usable engines of each domain, by the models whose groups they can join.
        standing: the groups there are, which are preferred to new ones.
        tuning: the weights.
    """
    stand: Counter[ModelName] = Counter()
    for slot, number in standing.items():
        stand[slot.model] += number
    totals: Counter[ModelName] = Counter()
    placed: Counter[Slot] = Counter()

    def value(model: ModelSpec) -> float:
        added = gain(needs[model.name], totals[model.name], tuning.crowding) / model.size
        return added * (tuning.keep_bonus if totals[model.name] < stand[model.name] else 1.0)

    while True:
        for model in sorted(spec.models, key=value, reverse=True):
            found = place(spec, totals + Counter([model.name]), rooms, standing)
            if found is not None:
                totals[model.name] += 1
                placed = found
                break
        else:
            return placed


def place(
    spec: EngineSpec,
    totals: Mapping[ModelName, int],
    rooms: Mapping[DomainId, Room],
    standing: Mapping[Slot, int],
) -> Counter[Slot] | None:
    """Return where so many groups of each model go, or None when they find no room.

    Larger groups are placed first. A standing one keeps its place; new ones are spread, so that
    each domain has groups of several models, whose engines can stand in for each other.
    """
    left = Counter({domain: room.total for domain, room in rooms.items()})
    members: dict[DomainId, Counter[ModelName]] = defaultdict(Counter)
    placed: Counter[Slot] = Counter()
    for model in sorted(spec.models, key=lambda each: -each.size):
        for _ in range(totals.get(model.name, 0)):
            more = Counter({model.name: model.size})
            slots = [
                Slot(domain, model.name)
                for domain, room in rooms.items()
                if room.holds(members[domain] + more)
            ]
            if not slots:
                return None
            chosen = max(
                slots,
                key=lambda slot: (
                    placed[slot] < standing.get(slot, 0),
                    -placed[slot],
                    left[slot.domain],
                    slot.domain,
                ),
            )
            placed[chosen] += 1
            left[chosen.domain] -= model.size
            members[chosen.domain] += more
    return placed


__all__ = ["Slot", "place", "plan"]
