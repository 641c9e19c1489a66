# SPDX-License-Identifier: Apache-2.0
"""Formation of the planned groups from free engines."""

from collections import Counter, defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from ochreway_core.ids import DomainId, GroupId, InstanceId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.callers import models_with_callers
from ochreway_direct.coordinator.capacities import capacities_after_loading, current_capacities
from ochreway_direct.coordinator.capacity import Capacity
from ochreway_direct.coordinator.census import Census, EnginesByDomain, take_census
from ochreway_direct.coordinator.closings import Closings
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.groupplan import GroupPlan
from ochreway_direct.coordinator.grouprecord import SPANNING
from ochreway_direct.coordinator.missing import place_missing_groups
from ochreway_direct.coordinator.placement import GroupSlot, groups_per_model
from ochreway_direct.coordinator.planner import Planner
from ochreway_direct.coordinator.reservation import reserved_engines
from ochreway_direct.coordinator.spanning import SpanningFormation
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.coordinator.swapping import Swapping
from ochreway_direct.coordinator.trading import Trading
from ochreway_direct.ids import ModelName, ServiceName


@dataclass(frozen=True, slots=True)
class Outlook:
    """Result of planning groups, from which loads of weights are planned.

    ``formable`` holds the groups that engines can form with the weights they have, ``wanted`` those
    that they could form with any weights. ``missing`` holds the difference, each group where the
    fewest weights are lacking, and ``awaited`` the group slots that wait for engines. ``scenarios``
    is the work that may be offered, ``free`` holds the remaining engines, and ``survivors`` those
    that groups are about to release.
    """

    scenarios: tuple[Mapping[ModelName, float], ...]
    formable: Counter[GroupSlot]
    wanted: Counter[GroupSlot]
    missing: Counter[GroupSlot]
    awaited: frozenset[GroupSlot]
    free: EnginesByDomain
    survivors: EnginesByDomain


@dataclass(frozen=True, slots=True)
class PlanSummary:
    """Demand, planned groups and current groups of a plan, the latter inside domains only.

    A demand that is not ``measured`` is derived from configured shares. ``kept`` groups are not
    closed for better ones because their model has callers and too few other groups serve.
    ``covered`` models have callers and got groups that they would not have by utility alone.
    """

    measured: bool
    model_demand: Mapping[ModelName, float]
    wanted: Mapping[GroupSlot, int]
    current: Mapping[GroupSlot, int]
    kept: tuple[GroupId, ...] = ()
    covered: tuple[ModelName, ...] = ()


class Formation:
    """Compare the groups of a service with the plan, and form or close groups accordingly."""

    def __init__(self, state: CoordinatorState) -> None:
        self._state = state
        self.plans: dict[ServiceName, PlanSummary] = {}
        self._planners_now = defaultdict[ServiceName, Planner](lambda: Planner(state.tuning))
        self._planners_after_loading = defaultdict[ServiceName, Planner](
            lambda: Planner(state.tuning)
        )
        self._spanning = SpanningFormation(state)
        self._closings = Closings(state)
        self._trading = Trading(state, self._closings)
        self._swapping = Swapping(state, self._closings)

    def form_groups(self, service: ServiceName, spec: EngineSpec, now_s: float) -> Outlook:
        """Form the groups that can be formed now; return what remains for loads of weights."""
        census = take_census(self._state, service)
        self._closings.reset_kept()
        if self._state.tuning.swapping:
            self._swapping.close_slow_groups(census, now_s)
        inside = Counter({slot: n for slot, n in census.current.items() if slot.domain != SPANNING})
        capacities = current_capacities(
            self._state, spec, census, self._closings.keep_spanning(service)
        )
        engines = sum(capacity.total for capacity in capacities.values())
        model_demand = self._state.demand.by_model(spec, engines)
        scenarios = self._state.demand.scenarios(spec, engines)
        plan_now, plan_later = self._make_plans(service, spec, model_demand, capacities, inside)
        wanted, later = plan_now.groups, plan_later.groups
        missing = place_missing_groups(spec, wanted, later, census)
        reserved = reserved_engines(
            spec,
            model_demand,
            wanted,
            missing,
            census,
            self._state.downtime_share,
            self._protected_models(spec),
            self._state.tuning.min_groups,
        )
        awaited = self._form_wanted(service, spec, wanted, census, reserved, now_s)
        self.plans[service] = PlanSummary(
            measured=self._state.demand.measured,
            model_demand=model_demand,
            wanted=wanted,
            current=inside,
            kept=tuple(sorted(self._closings.kept)),
            covered=tuple(sorted({*plan_now.covered, *plan_later.covered})),
        )
        if self._state.tuning.spanning:
            spare = _free_elsewhere(census, awaited)
            self._spanning.form_groups(
                service, spec, model_demand, wanted | inside, census, spare, now_s
            )
        return Outlook(
            scenarios, wanted, later, missing, frozenset(awaited), census.free, census.survivors
        )

    def _make_plans(
        self,
        service: ServiceName,
        spec: EngineSpec,
        model_demand: Mapping[ModelName, float],
        capacities: Mapping[DomainId, Capacity],
        inside: Mapping[GroupSlot, int],
    ) -> tuple[GroupPlan, GroupPlan]:
        """Return the plan with the weights that engines have, and the plan after loading any."""
        later_capacities = capacities_after_loading(spec, capacities)
        plan_now, plan_later = (
            planner.plan(
                spec,
                (model_demand,),
                usable,
                inside,
                self._state.downtime_share,
                self._state.min_utility,
                self._protected_models(spec),
            )
            for planner, usable in (
                (self._planners_now[service], capacities),
                (self._planners_after_loading[service], later_capacities),
            )
        )
        return plan_now, plan_later

    def _protected_models(self, spec: EngineSpec) -> frozenset[ModelName]:
        """Return the models with callers, which keep a minimum of groups if one is set."""
        if self._state.tuning.min_groups <= 0:
            return frozenset()
        return models_with_callers(spec, self._state.demand)

    def _form_wanted(
        self,
        service: ServiceName,
        spec: EngineSpec,
        wanted: Mapping[GroupSlot, int],
        census: Census,
        reserved: Mapping[GroupSlot, Collection[InstanceId]],
        now_s: float,
    ) -> set[GroupSlot]:
        """Form the wanted groups; return the group slots that still wait for engines."""
        awaited = set()
        surplus = Counter(census.current)
        surplus.subtract(wanted)
        planned = groups_per_model(wanted)
        for slot in sorted(wanted, key=lambda each: (each.domain, each.model)):
            model = spec.model(slot.model)
            assert model is not None
            for _ in range(wanted[slot] - census.current[slot]):
                reserved_here = reserved.get(slot, ())
                if not self._form(service, spec, model, census, slot.domain, reserved_here, now_s):
                    if self._state.tuning.trading:
                        self._trading.close_for(
                            service, model, slot, surplus, planned, census, now_s
                        )
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
        reserved: Collection[InstanceId],
        now_s: float,
    ) -> bool:
        """Form a group; return whether there were enough engines.

        The engines must have the weights, unless no engine of the domain has any yet.
        """
        free = census.free[domain]
        joinable = [r for r in free if r.can_join(model.name) and r.instance not in reserved]
        cold = not joinable and domain not in census.warm_domains
        if cold and len(free) >= model.size:
            if not self._begin_loads(service, model, now_s):
                return False
            joinable = list(free)
        if len(joinable) < model.size:
            return False
        joinable.sort(key=lambda record: self._preference(spec, model, record))
        chosen = joinable[: model.size]
        for record in chosen:
            free.remove(record)
        if cold:
            for record in chosen:
                record.begin_staging(model.name, now_s + 2 * model.load_s)
        expected_s = model.load_s if cold else model.warm_s
        self._state.begin_group(service, model, domain, chosen, expected_s, now_s)
        return True

    def _preference(
        self, spec: EngineSpec, model: ModelSpec, record: EngineRecord
    ) -> tuple[bool, int, bool]:
        """Return the sort key; the engine with the lowest key is chosen first.

        Slow engines come last, preceded by those that can serve other models too.
        """
        others = sum(record.can_join(m.name) for m in spec.models if m.name != model.name)
        slow = record.state.pace > self._state.tuning.fit_pace
        return slow, others, record.last_model != model.name

    def _begin_loads(self, service: ServiceName, model: ModelSpec, now_s: float) -> bool:
        share = self._state.tuning.loading_share
        if self._state.loads_allowed(service, share, now_s) < model.size:
            return False
        return self._state.begin_loads(service, model.size, now_s)


def _free_elsewhere(census: Census, awaited: Collection[GroupSlot]) -> EnginesByDomain:
    """Return the free engines of the domains in which no wanted group waits for engines."""
    awaiting_domains = {slot.domain for slot in awaited}
    free: EnginesByDomain = defaultdict(list)
    free.update({d: records for d, records in census.free.items() if d not in awaiting_domains})
    return free


__all__ = ["Formation", "Outlook", "PlanSummary"]
