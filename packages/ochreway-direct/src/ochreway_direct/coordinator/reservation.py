# SPDX-License-Identifier: Apache-2.0
"""Which engines are kept for groups that lack only a few others."""

from collections import defaultdict
from collections.abc import Mapping

from ochreway_core.ids import InstanceId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.census import Census
from ochreway_direct.coordinator.placement import GroupSlot, groups_per_model
from ochreway_direct.coordinator.worth import marginal_utility
from ochreway_direct.ids import ModelName

MAX_LACKING_SHARE = 0.5
"""Up to which share of its engines a group may lack for the others to be held back for it."""


def reserved_engines(
    spec: EngineSpec,
    model_demand: Mapping[ModelName, float],
    formable: Mapping[GroupSlot, int],
    missing: Mapping[GroupSlot, int],
    census: Census,
    downtime_share: float,
) -> dict[GroupSlot, set[InstanceId]]:
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
    totals = groups_per_model(formable)

    def utility_per_engine(model: ModelSpec, groups: int) -> float:
        return (
            marginal_utility(spec, model, model_demand[model.name], max(0, groups), downtime_share)
            / model.size
        )

    reserved: dict[GroupSlot, set[InstanceId]] = defaultdict(set)
    for slot in missing:
        model = spec.model(slot.model)
        assert model is not None
        joinable = [r for r in census.free[slot.domain] if r.can_join(slot.model)]
        if model.size - len(joinable) > model.size * MAX_LACKING_SHARE:
            continue
        next_utility = utility_per_engine(model, totals[model.name])
        for other in spec.models:
            if (
                other is not model
                and utility_per_engine(other, totals[other.name] - 1) < next_utility
            ):
                reserved[GroupSlot(slot.domain, other.name)].update(r.instance for r in joinable)
    return reserved


__all__ = ["reserved_engines"]
