# SPDX-License-Identifier: Apache-2.0
"""Forming the groups that there should be from engines that are free."""

from collections import Counter, defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from ochreway_core.ids import DomainId, InstanceId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.census import Census, Engines, take_census
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.grouprecord import SPANNING
from ochreway_direct.coordinator.heldback import held_back
from ochreway_direct.coordinator.missing import where_least_lacks
from ochreway_direct.coordinator.placement import Slot
from ochreway_direct.coordinator.planner import Planner
from ochreway_direct.coordinator.rooms import rooms_later, rooms_now
from ochreway_direct.coordinator.spanning import SpanningFormation
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.coordinator.swapping import Swapping
from ochreway_direct.coordinator.trading import Trading
from ochreway_direct.ids import ModelName, ServiceName


@dataclass(frozen=True, slots=True)
class Outlook:
    """Hold the groups that engines could form with other weights, and those that come next.

    ``at_once`` holds those that they can form with the weights that they have, and ``missing`` the
    others, each where the fewest weights are lacking.
    ``scenarios`` is the work that may be asked for, ``free`` holds the engines that are left, and
    ``survivors`` those that groups are about to release.
    """

    scenarios: tuple[Mapping[ModelName, float], ...]
    at_once: Counter[Slot]
    wanted: Counter[Slot]
    missing: Counter[Slot]
    awaited: frozenset[Slot]
    free: Engines
    survivors: Engines


@dataclass(frozen=True, slots=True)
class PlanSummary:
    """Hold what a plan was made for, what it asks for, and the groups that stand in domains.

    Needs that were not ``measured`` go by configured shares.
    """

    measured: bool
    needs: Mapping[ModelName, float]
    wanted: Mapping[Slot, int]
    standing: Mapping[Slot, int]


class Formation:
    """Compare the groups of a service with the plan, and form or give up what differs."""

    def __init__(self, state: CoordinatorState) -> None:
        self._state = state
        self.plans: dict[ServiceName, PlanSummary] = {}
        self._now = defaultdict[ServiceName, Planner](lambda: Planner(state.tuning))
        self._later = defaultdict[ServiceName, Planner](lambda: Planner(state.tuning))
        self._spanning = SpanningFormation(state)
        self._trading = Trading(state)
        self._swapping = Swapping(state)

    def step(self, service: ServiceName, spec: EngineSpec, now_s: float) -> Outlook:
        """Form what can be had at once; return what is awaited, and what weights are for."""
        census = take_census(self._state, service)
        if self._state.tuning.swapping:
            self._swapping.step(census, now_s)
        free, standing = census.free, census.standing
        inside = Counter({slot: n for slot, n in standing.items() if slot.domain != SPANNING})
        rooms = rooms_now(self._state, spec, census)
        engines = sum(room.total for room in rooms.values())
        needs = self._state.demand.needs(spec, engines)
        scenarios = self._state.demand.scenarios(spec, engines)
        down, least = self._state.down, self._state.least_gain
        wanted = self._now[service].plan(spec, (needs,), rooms, inside, down, least)
        self.plans[service] = PlanSummary(self._state.demand.measured, needs, wanted, inside)
        later = self._later[service].plan(
            spec, (needs,), rooms_later(spec, rooms), inside, down, least
        )
        missing = where_least_lacks(spec, wanted, later, census)
        kept = held_back(spec, needs, wanted, missing, census, self._state.down)
        awaited = self._form_wanted(service, spec, wanted, census, kept, now_s)
        taken = {slot.domain for slot in awaited}
        spare: Engines = defaultdict(list)
        spare.update({domain: found for domain, found in free.items() if domain not in taken})
        if self._state.tuning.spanning:
            self._spanning.step(service, spec, needs, wanted | inside, census, spare, now_s)
        return Outlook(
            scenarios, wanted, later, missing, frozenset(awaited), free, census.survivors
        )

    def _form_wanted(
        self,
        service: ServiceName,
        spec: EngineSpec,
        wanted: Mapping[Slot, int],
        census: Census,
        kept: Mapping[Slot, Collection[InstanceId]],
        now_s: float,
    ) -> set[Slot]:
        """Form the groups that are wanted; return the places whose engines are still awaited."""
        awaited = set()
        surplus = Counter(census.standing)
        surplus.subtract(wanted)
        for slot in sorted(wanted, key=lambda each: (each.domain, each.model)):
            model = spec.model(slot.model)
            assert model is not None
            for _ in range(wanted[slot] - census.standing[slot]):
                others = kept.get(slot, ())
                if not self._form(service, spec, model, census, slot.domain, others, now_s):
                    if self._state.tuning.trading:
                        self._trading.complete(service, model, slot, surplus, census, now_s)
                    awaited.add(slot)
                    break
        return awaited

    def _form(
        self,
        service: ServiceName,
        spec: EngineSpec,
        model: ModelSpec,
        census: Census,
        domain: DomainId,
        kept: Collection[InstanceId],
        now_s: float,
    ) -> bool:
        """Form a group; return whether there were engines enough.

        They have to have the weights, unless no engine of the domain has any yet.
        """
        free = census.free[domain]
        quick = [r for r in free if r.quick(model.name) and r.instance not in kept]
        cold = not quick and domain not in census.warm
        if cold and len(free) >= model.size:
            if not self._begin_loads(service, model, now_s):
                return False
            quick = list(free)
        if len(quick) < model.size:
            return False
        quick.sort(key=lambda record: self._preference(spec, model, record))
        chosen = quick[: model.size]
        for record in chosen:
            free.remove(record)
        if cold:
            for record in chosen:
                record.stage(model.name, now_s + 2 * model.load_s)
        expected_s = model.load_s if cold else model.warm_s
        self._state.begin_group(service, model, domain, chosen, expected_s, now_s)
        return True

    def _preference(
        self, spec: EngineSpec, model: ModelSpec, record: EngineRecord
    ) -> tuple[bool, int, bool]:
        """Return a key that is the least for the engine to take first.

        Slow ones come last, and those before that can serve other models too.
        """
        others = sum(record.quick(m.name) for m in spec.models if m.name != model.name)
        slow = record.state.pace > self._state.tuning.fit_pace
        return slow, others, record.last_model != model.name

    def _begin_loads(self, service: ServiceName, model: ModelSpec, now_s: float) -> bool:
        share = self._state.tuning.loading_share
        if self._state.loads_allowed(service, share, now_s) < model.size:
            return False
        return self._state.begin_loads(service, model.size, now_s)


__all__ = ["Formation", "Outlook", "PlanSummary"]
