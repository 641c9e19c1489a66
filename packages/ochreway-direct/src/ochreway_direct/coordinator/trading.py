# SPDX-License-Identifier: Apache-2.0
"""Closing of groups whose engines complete a group of higher utility."""

from collections import Counter
from collections.abc import Mapping

from ochreway_direct.configuration import ModelSpec
from ochreway_direct.coordinator.census import Census
from ochreway_direct.coordinator.closings import Closings
from ochreway_direct.coordinator.grouprecord import GroupPhase, GroupRecord, PhaseCause
from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.ids import ModelName, ServiceName


class Trading:
    """Close groups that exceed the plan, if a wanted group can then be formed."""

    def __init__(self, state: CoordinatorState, closings: Closings) -> None:
        self._state = state
        self._closings = closings

    def close_for(
        self,
        service: ServiceName,
        model: ModelSpec,
        slot: GroupSlot,
        surplus: Counter[GroupSlot],
        planned: Mapping[ModelName, int],
        census: Census,
        now_s: float,
    ) -> None:
        """Close as many groups as a wanted one needs engines from; none if that is not enough.

        Groups that serve callers are closed within the bound of ``Closings``.

        Args:
            service: the service of the groups.
            model: the model of the wanted group.
            slot: the group slot of the wanted group.
            surplus: the number of groups of each group slot beyond the plan.
            planned: the number of planned groups of each model.
            census: the engines that are in no group, or about to be in none.
            now_s: the current time.
        """
        if self._state.has_closing_group(slot.domain):
            return
        allowed = self._closings.allowance(service, planned)
        to_close, kept = self._surplus_groups(service, model, slot, surplus, allowed, census)
        if to_close is None:
            to_close = self._exchangeable(service, model, slot, allowed, census)
        if not to_close:
            self._closings.record_kept(kept)
        for group in to_close:
            group.enter(GroupPhase.CLOSING, now_s, PhaseCause.TRADED)
        for group in to_close:
            group.close_timeout_s = self._state.closing_time_s(
                group, self._state.answer_time_s(group)
            )

    def _surplus_groups(
        self,
        service: ServiceName,
        model: ModelSpec,
        slot: GroupSlot,
        surplus: Mapping[GroupSlot, int],
        allowed: Mapping[ModelName, int],
        census: Census,
    ) -> tuple[list[GroupRecord] | None, list[GroupRecord]]:
        """Return the surplus groups that free enough engines, and those that are not to be closed.

        The former are None if they are not enough together.
        """
        soon_free = [*census.free[slot.domain], *census.survivors[slot.domain]]
        lacking = model.size - sum(record.can_join(model.name) for record in soon_free)
        left, allowed = Counter(surplus), Counter(allowed)
        to_close: list[GroupRecord] = []
        kept: list[GroupRecord] = []
        for group in self._state.groups_of(service):
            group_slot = GroupSlot(group.domain, group.model)
            if group.phase is not GroupPhase.SERVING or left[group_slot] <= 0 or lacking <= 0:
                continue
            joinable = self._count_joinable(group, model, slot)
            if joinable <= 0:
                continue
            if allowed[group.model] <= 0:
                kept.append(group)
                continue
            to_close.append(group)
            allowed[group.model] -= 1
            left[group_slot] -= 1
            lacking -= joinable
        return (to_close if lacking <= 0 else None), kept

    def _exchangeable(
        self,
        service: ServiceName,
        model: ModelSpec,
        slot: GroupSlot,
        allowed: Mapping[ModelName, int],
        census: Census,
    ) -> list[GroupRecord]:
        """Return a replaceable group of another model that has the members a wanted group lacks.

        It is formed again from its other members and free engines within about two seconds. Waiting
        until a free engine has the lacking weights takes a load of 12 s or more.
        """
        free, survivors = census.free[slot.domain], census.survivors[slot.domain]
        lacking = model.size - sum(r.can_join(model.name) for r in (*free, *survivors))
        if survivors:
            return []
        for group in self._state.groups_of(service):
            if group.phase is not GroupPhase.SERVING or group.domain != slot.domain:
                continue
            if group.model == model.name or self._count_joinable(group, model, slot) < lacking:
                continue
            if allowed[group.model] <= 0:
                continue
            spares = [r for r in free if r.can_join(group.model) and not r.can_join(model.name)]
            if len(spares) >= lacking and self._has_serving_peer(service, group):
                return [group]
        return []

    def _has_serving_peer(self, service: ServiceName, group: GroupRecord) -> bool:
        """Return whether another group of the same model is serving."""
        return any(
            each is not group and each.model == group.model and each.phase is GroupPhase.SERVING
            for each in self._state.groups_of(service)
        )

    def _count_joinable(self, group: GroupRecord, model: ModelSpec, slot: GroupSlot) -> int:
        """Return how many members could join a group of a model in the domain of a group slot."""
        members = [self._state.engines[each] for each in group.members]
        return sum(r.domain == slot.domain and r.can_join(model.name) for r in members)


__all__ = ["Trading"]
