# SPDX-License-Identifier: Apache-2.0
"""Forming the groups that there should be from engines that are free."""

from collections import Counter, defaultdict
from collections.abc import Mapping

from ochreway_core.ids import DomainId, GroupId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.grouprecord import GroupPhase, GroupRecord
from ochreway_direct.coordinator.layout import Slot, plan
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.ids import ServiceName

FreeEngines = Mapping[DomainId, list[EngineRecord]]
SLOW_PACE = 1.5
"""From which pace on an engine is chosen last."""


class Formation:
    """Compare the groups of a service with the plan, and form or give up what differs."""

    def __init__(self, state: CoordinatorState) -> None:
        self._state = state

    def step(self, service: ServiceName, spec: EngineSpec, now_s: float) -> Counter[Slot]:
        """Form what is lacking and can be had at once; return the plan."""
        free = self.free(service)
        standing = self._state.standing(service)
        engines = self._engines(spec, free, standing)
        needs = self._state.demand.needs(spec, sum(engines.values()))
        wanted = plan(spec, needs, engines, standing, self._state.tuning)
        for slot in sorted(wanted, key=lambda each: (each.domain, each.model)):
            model = spec.model(slot.model)
            assert model is not None
            for _ in range(wanted[slot] - standing[slot]):
                if not self._form(service, model, free[slot.domain], slot.domain, now_s):
                    self._trade(service, model, wanted, standing, free, slot, now_s)
                    break
        return wanted

    def free(self, service: ServiceName) -> FreeEngines:
        """Return the engines of each domain that can become members."""
        held = self._state.held()
        free: dict[DomainId, list[EngineRecord]] = defaultdict(list)
        for record in self._state.engines.values():
            if record.service != service or not record.usable or record.instance in held:
                continue
            if record.membership is None and not record.ordered_group:
                free[record.domain].append(record)
        return free

    def _form(
        self,
        service: ServiceName,
        model: ModelSpec,
        free: list[EngineRecord],
        domain: DomainId,
        now_s: float,
    ) -> bool:
        """Form a group; return whether there were engines enough.

        They have to have the weights, unless no engine of the domain has any yet.
        """
        quick = [record for record in free if record.quick(model.name)]
        cold = not quick and self._state.cold(service, domain)
        if cold and len(free) >= model.size:
            if not self._begin_loads(service, model, now_s):
                return False
            quick = list(free)
        if len(quick) < model.size:
            return False
        quick.sort(key=lambda r: (r.state.pace > SLOW_PACE, r.last_model != model.name))
        chosen = quick[: model.size]
        for record in chosen:
            free.remove(record)
        if cold:
            for record in chosen:
                record.stage(model.name, now_s + 2 * model.load_s)
        epoch = self._state.next_epoch()
        group = GroupId(f"{model.name}-{epoch}")
        members = tuple(record.instance for record in chosen)
        self._state.groups[group] = GroupRecord(
            *(group, epoch, service, domain, model.name, members),
            phase=GroupPhase.FORMING,
            since_s=now_s,
            expected_s=model.load_s if cold else model.warm_s,
        )
        return True

    def _begin_loads(self, service: ServiceName, model: ModelSpec, now_s: float) -> bool:
        if not self._state.may_load(service, model.size, self._state.tuning.loading_share):
            return False
        return self._state.limits[service].take(now_s, model.size)

    def _trade(
        self,
        service: ServiceName,
        model: ModelSpec,
        wanted: Mapping[Slot, int],
        standing: Mapping[Slot, int],
        free: FreeEngines,
        slot: Slot,
        now_s: float,
    ) -> None:
        """Give up one group too many where its engines would complete a wanted one."""
        if self._state.closing(slot.domain):
            return
        coming = [*free[slot.domain], *self._state.survivors(slot.domain)]
        lacking = model.size - sum(record.quick(model.name) for record in coming)
        if lacking <= 0:
            return
        for group in self._state.of_service(service):
            place = Slot(group.domain, group.model)
            surplus = standing.get(place, 0) > wanted.get(place, 0)
            if place.domain != slot.domain or not surplus or group.phase is not GroupPhase.SERVING:
                continue
            quick = sum(self._state.engines[each].quick(model.name) for each in group.members)
            if quick >= lacking:
                group.close_at_most_s = self._state.tuning.trade_close_s
                group.enter(GroupPhase.CLOSING, now_s)
                return

    def _engines(
        self, spec: EngineSpec, free: FreeEngines, standing: Mapping[Slot, int]
    ) -> dict[DomainId, int]:
        """Count the engines of each domain that are in groups, free, or about to be."""
        counts: Counter[DomainId] = Counter()
        for domain, records in free.items():
            counts[domain] += len(records) + len(self._state.survivors(domain))
        for slot, number in standing.items():
            model = spec.model(slot.model)
            counts[slot.domain] += number * model.size if model is not None else 0
        return dict(counts)


__all__ = ["Formation", "FreeEngines"]
