# SPDX-License-Identifier: Apache-2.0
"""Capacity of each domain, now and after loading weights."""

from collections import Counter, defaultdict
from collections.abc import Collection, Mapping

from ochreway_core.ids import DomainId, GroupId
from ochreway_direct.configuration import EngineSpec
from ochreway_direct.coordinator.capacity import Ability, Capacity
from ochreway_direct.coordinator.census import Census
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.state import CURRENT_PHASES, CoordinatorState


def current_capacities(
    state: CoordinatorState, spec: EngineSpec, census: Census, fixed: Collection[GroupId] = ()
) -> dict[DomainId, Capacity]:
    """Count engines that are in groups, free or about to be free, by the weights that they have.

    Members of ``fixed`` groups are left out, as they cannot be planned in other groups. If no
    engine of a domain has any weights, all can join any model by loading them.
    """
    counts_by_domain: dict[DomainId, Counter[Ability]] = defaultdict(Counter)
    for domain in {group.domain for group in census.groups} | census.free.keys():
        cold = domain not in census.warm_domains
        for record in [*census.free[domain], *census.survivors[domain]]:
            counts_by_domain[domain][
                _all_models(spec) if cold else _joinable_models(spec, record)
            ] += 1
    for group in census.groups:
        if group.phase in CURRENT_PHASES and group.group not in fixed:
            for instance in group.members:
                record = state.engines[instance]
                counts_by_domain[record.domain][_joinable_models(spec, record) | {group.model}] += 1
    return {domain: Capacity(counts) for domain, counts in counts_by_domain.items()}


def capacities_after_loading(
    spec: EngineSpec, capacities: Mapping[DomainId, Capacity]
) -> dict[DomainId, Capacity]:
    """Return the same capacities as if every engine had all weights."""
    return {
        domain: Capacity({_all_models(spec): capacity.total})
        for domain, capacity in capacities.items()
    }


def _joinable_models(spec: EngineSpec, record: EngineRecord) -> Ability:
    return frozenset(model.name for model in spec.models if record.can_join(model.name))


def _all_models(spec: EngineSpec) -> Ability:
    return frozenset(model.name for model in spec.models)


__all__ = ["capacities_after_loading", "current_capacities"]
