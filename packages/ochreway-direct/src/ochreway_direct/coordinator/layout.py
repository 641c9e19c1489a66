# SPDX-License-Identifier: Apache-2.0
"""How many groups of each model every fabric domain should have."""

from collections import Counter
from collections.abc import Mapping

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.placement import Placement, Slot
from ochreway_direct.coordinator.room import Room
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.coordinator.worth import gain
from ochreway_direct.ids import ModelName


def plan(
    spec: EngineSpec,
    needs: Mapping[ModelName, float],
    rooms: Mapping[DomainId, Room],
    standing: Mapping[Slot, int],
    down: float,
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
        down: the share of the time for which one engine's loss takes its group down.
        tuning: the weights.
    """
    stand: Counter[ModelName] = Counter()
    for slot, number in standing.items():
        stand[slot.model] += number
    totals: Counter[ModelName] = Counter()

    def value(model: ModelSpec) -> float:
        need, groups = needs[model.name], totals[model.name]
        added = gain(spec, model, need, groups, down) / model.size
        return added * (tuning.keep_bonus if groups < stand[model.name] else 1.0)

    placement = Placement(rooms, standing)
    # What finds no room for one more group finds none once there are more of others.
    possible = list(spec.models)
    while possible:
        model = max(possible, key=value)
        if value(model) < tuning.least_gain:
            break
        found = _with_one_more(spec, model, totals, placement)
        if found is None:
            possible.remove(model)
            continue
        totals[model.name] += 1
        placement = found
    return placement.placed


def _with_one_more(
    spec: EngineSpec, model: ModelSpec, totals: Mapping[ModelName, int], placement: Placement
) -> Placement | None:
    """Return a placement with one more group, or None when it finds no room.

    Where it finds none beside the others, all are placed anew, larger ones first.
    """
    if placement.add(model):
        return placement
    anew = Placement(placement.rooms, placement.standing)
    for each in sorted(spec.models, key=lambda each: -each.size):
        for _ in range(totals[each.name] + (each is model)):
            if not anew.add(each):
                return None
    return anew


__all__ = ["plan"]
