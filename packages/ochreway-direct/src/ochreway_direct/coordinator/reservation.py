# SPDX-License-Identifier: Apache-2.0
"""Reservation of engines for groups that lack only a few others."""

from collections import defaultdict
from collections.abc import Mapping

from ochreway_core.ids import InstanceId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.census import Census
from ochreway_direct.coordinator.placement import GroupSlot, groups_per_model
from ochreway_direct.coordinator.worth import marginal_utility
from ochreway_direct.ids import ModelName

MAX_LACKING_SHARE = 0.5
"""Maximum share of its engines that a group may lack for the others to be reserved."""


def reserved_engines(
    spec: EngineSpec,
    model_demand: Mapping[ModelName, float],
    formable: Mapping[GroupSlot, int],
    missing: Mapping[GroupSlot, int],
    census: Census,
    downtime_share: float,
    with_callers: frozenset[ModelName],
    min_groups: int,
) -> dict[GroupSlot, set[InstanceId]]:
    """Return the engines that new groups of each group slot must not use.

    A group that lacks a few engines is completed by as many loads. If its other engines joined a
    group of another model that has less utility, their weights would be evicted and all have to be
    loaded again.

    Args:
        spec: the models.
        model_demand: the work offered for each model, in groups kept busy.
        formable: the groups that can be formed with the weights that engines have.
        missing: the groups that lack weights, where they are to be completed.
        census: the free engines.
        downtime_share: the share of time for which the loss of one engine stops its group.
        with_callers: the models that have callers.
        min_groups: the number of groups up to which those models come first.
    """
    totals = groups_per_model(formable)

    def utility_per_engine(model: ModelSpec, groups: int) -> float:
        return (
            marginal_utility(spec, model, model_demand[model.name], max(0, groups), downtime_share)
            / model.size
        )

    def is_below_minimum(model: ModelSpec) -> bool:
        return model.name in with_callers and totals[model.name] < min_groups

    def is_above_minimum(model: ModelSpec) -> bool:
        return totals[model.name] > (min_groups if model.name in with_callers else 0)

    reserved: dict[GroupSlot, set[InstanceId]] = defaultdict(set)
    for slot in missing:
        model = spec.model(slot.model)
        assert model is not None
        joinable = [r for r in census.free[slot.domain] if r.can_join(slot.model)]
        if model.size - len(joinable) > model.size * MAX_LACKING_SHARE:
            continue
        next_utility = utility_per_engine(model, totals[model.name])
        for other in spec.models:
            if other is model:
                continue
            comes_first = is_below_minimum(model) and is_above_minimum(other)
            if comes_first or utility_per_engine(other, totals[other.name] - 1) < next_utility:
                reserved[GroupSlot(slot.domain, other.name)].update(r.instance for r in joinable)
    return reserved


__all__ = ["reserved_engines"]
