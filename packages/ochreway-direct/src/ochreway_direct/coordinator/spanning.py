# SPDX-License-Identifier: Apache-2.0
"""Temporary groups whose members are in several fabric domains."""

from collections import Counter
from collections.abc import Mapping

from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.census import Census, EnginesByDomain
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.grouprecord import SPANNING
from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.coordinator.worth import groups_needed
from ochreway_direct.ids import ModelName, ServiceName


class SpanningFormation:
    """Form groups across domains from engines that no domain can use.

    Such a group is slower by the configured ``far_factor``. It is closed as soon as its engines
    complete a group inside a domain.
    """

    def __init__(self, state: CoordinatorState) -> None:
        self._state = state

    def form_groups(
        self,
        service: ServiceName,
        spec: EngineSpec,
        model_demand: Mapping[ModelName, float],
        wanted: Mapping[GroupSlot, int],
        census: Census,
        spare: EnginesByDomain,
        now_s: float,
    ) -> None:
        """Form groups of each model whose groups inside domains do not carry its demand."""
        for model in sorted(spec.models, key=lambda each: -each.size):
            inside = sum(number for slot, number in wanted.items() if slot.model == model.name)
            across = census.current[GroupSlot(SPANNING, model.name)]
            groups = groups_needed(spec, model_demand[model.name])
            while inside + across / spec.far_factor < groups:
                if not self._form(service, model, spare, now_s):
                    break
                across += 1

    def _form(
        self, service: ServiceName, model: ModelSpec, free: EnginesByDomain, now_s: float
    ) -> bool:
        joinable = [r for records in free.values() for r in records if r.can_join(model.name)]
        if len(joinable) < model.size:
            return False
        joinable_per_domain = Counter(record.domain for record in joinable)

        def preference(record: EngineRecord) -> tuple[int, str, bool]:
            return (
                -joinable_per_domain[record.domain],
                record.domain,
                record.last_model != model.name,
            )

        chosen = sorted(joinable, key=preference)[: model.size]
        for record in chosen:
            free[record.domain].remove(record)
        domains = {record.domain for record in chosen}
        domain = domains.pop() if len(domains) == 1 else SPANNING
        self._state.begin_group(service, model, domain, chosen, model.warm_s, now_s)
        return True


__all__ = ["SpanningFormation"]
