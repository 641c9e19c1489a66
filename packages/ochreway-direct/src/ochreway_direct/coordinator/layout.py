# SPDX-License-Identifier: Apache-2.0
"""How many groups of each model every fabric domain should have."""

from collections import Counter
from collections.abc import Mapping, Sequence

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.placement import Placement, Slot
from ochreway_direct.coordinator.room import Room
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.coordinator.worth import gain
from ochreway_direct.ids import ModelName


def plan(
    spec: EngineSpec,
    scenarios: Sequence[Mapping[ModelName, float]],
    rooms: Mapping[DomainId, Room],
    standing: Mapping[Slot, int],
    down: float,
    tuning: CoordinatorTuning,
    least_gain: float | None = None,
) -> Counter[Slot]:
    """Return the number of groups for each place.

    Groups are added as long as all of them find room, the one that adds most for each engine
    first. Before any work was measured (``least_gain`` is 0) nothing is known to be worth more
    engines than the configuration's share of them: what is beyond it counts for nothing, so that
    engines left over go to the model with the smallest groups. On three domains of 37 engines, with
    groups of 16 and 4 and half of the work each, that is 3 and 15 groups in place of 5 and 7.

    Args:
        spec: the models and their sizes.
        scenarios: the work that may be offered for each model, in groups kept busy; what a group
            adds is its mean over them.
        rooms: the usable engines of each domain, by the models whose groups they can join.
        standing: the groups there are, which are preferred to new ones.
        down: the share of the time for which one engine's loss takes its group down.
        tuning: the weights.
        least_gain: what a group has to add for each of its engines, if not what the weights say.
    """
    least = tuning.least_gain if least_gain is None else least_gain
    stand: Counter[ModelName] = Counter()
    for slot, number in standing.items():
        stand[slot.model] += number
    totals: Counter[ModelName] = Counter()

    engines = sum(room.total for room in rooms.values())

    def value(model: ModelSpec) -> float:
        groups = totals[model.name]
        if not least and (groups + 1) * model.size > model.share * engines:
            return 0.0
        added = sum(gain(spec, model, needs[model.name], groups, down) for needs in scenarios)
        added /= len(scenarios) * model.size
        return added * (tuning.keep_bonus if groups < stand[model.name] else 1.0)

    def preference(model: ModelSpec) -> tuple[float, int]:
        """Prefer what adds most; where nothing adds anything, groups that take fewest engines.

        If the expected work turns out to be wrong, many small groups can serve more requests with
        the spare engines than a few large ones.
        """
        return max(value(model), tuning.least_gain), -model.size

    placement = Placement(rooms, standing)
    # What finds no room for one more group finds none once there are more of others.
    possible = list(spec.models)
    while possible:
        model = max(possible, key=preference)
        if value(model) < least:
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
