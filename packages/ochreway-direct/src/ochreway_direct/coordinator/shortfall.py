# SPDX-License-Identifier: Apache-2.0
"""Why fewer groups of a model serve than its callers need."""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.formation import Outlook
from ochreway_direct.coordinator.grouprecord import GroupPhase
from ochreway_direct.coordinator.placement import GroupSlot, groups_per_model
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.coordinator.worth import groups_needed
from ochreway_direct.ids import ModelName, ServiceName


class ShortfallCause(Enum):
    """What a missing group waits for."""

    FORMING = "forming"
    """Its members are joining."""
    RELEASE = "release"
    """Its engines are leaving other groups."""
    OTHER_GROUPS = "other_groups"
    """Engines that it could use serve in other groups, which are not closed for it now."""
    LOADING = "loading"
    """Enough engines have its weights or are loading them."""
    LOAD_LIMIT = "load_limit"
    """Engines lack its weights, and no further load may begin now."""
    WEIGHTS = "weights"
    """Engines lack its weights, and a load of them has too little utility."""
    ENGINES = "engines"
    """The plan has no engines for it."""


@dataclass(frozen=True, slots=True)
class Shortfall:
    """Groups of a model that its callers need, are planned, and serve, and what each lacks.

    ``planned`` counts the groups that engines could form with any weights, ``formable`` those
    that they can form with the weights they have. ``loading`` engines load its weights.
    """

    model: ModelName
    needed: float
    planned: int
    formable: int
    serving: int
    loading: int
    causes: Mapping[ShortfallCause, int]


def find_shortfalls(
    state: CoordinatorState, service: ServiceName, spec: EngineSpec, outlook: Outlook, now_s: float
) -> tuple[Shortfall, ...]:
    """Return the models of which fewer groups serve than are planned or needed, and why."""
    if not state.demand.measured:
        return ()
    offered = state.demand.by_model(spec, 0)
    loads_allowed = state.loads_allowed(service, state.tuning.loading_share, now_s)
    shortfalls = []
    for model in spec.models:
        needed = groups_needed(spec, offered[model.name])
        found = _ModelShortfall(state, service, model, outlook, loads_allowed).find(needed)
        if found.causes:
            shortfalls.append(found)
    return tuple(shortfalls)


class _ModelShortfall:
    """Assign one cause to each missing group of a model."""

    def __init__(
        self,
        state: CoordinatorState,
        service: ServiceName,
        model: ModelSpec,
        outlook: Outlook,
        loads_allowed: int,
    ) -> None:
        self._state = state
        self._service = service
        self._model = model
        self._outlook = outlook
        self._loads_allowed = loads_allowed

    def find(self, needed: float) -> Shortfall:
        """Return the shortfall, which has no causes if nothing is missing."""
        name = self._model.name
        phases = Counter(
            group.phase for group in self._state.groups_of(self._service) if group.model == name
        )
        serving, forming = phases[GroupPhase.SERVING], phases[GroupPhase.FORMING]
        formable = groups_per_model(self._outlook.formable)[name]
        planned = max(formable, groups_per_model(self._outlook.wanted)[name])
        left = max(0, planned - serving)
        causes: Counter[ShortfallCause] = Counter()
        causes[ShortfallCause.FORMING] = min(left, forming)
        left -= min(left, forming)
        waiting = min(left, max(0, formable - serving - forming))
        causes[self._waiting_cause()] += waiting
        for slot, number in self._missing_slots(left - waiting).items():
            causes[self._missing_cause(slot.domain)] += number
        causes[ShortfallCause.ENGINES] += max(0, math.ceil(needed) - max(planned, serving))
        return Shortfall(name, needed, planned, formable, serving, self._loading(), +causes)

    def _loading(self) -> int:
        """Return the number of engines that load the model's weights by order."""
        name, engines = self._model.name, self._state.engines.values()
        return sum(r.service == self._service and r.staging == name for r in engines)

    def _waiting_cause(self) -> ShortfallCause:
        """Return what formable groups that are not formed wait for."""
        domains = {s.domain for s in self._outlook.awaited if s.model == self._model.name}
        released = any(self._outlook.survivors[domain] for domain in domains)
        return ShortfallCause.RELEASE if released else ShortfallCause.OTHER_GROUPS

    def _missing_slots(self, number: int) -> Counter[GroupSlot]:
        """Return at most ``number`` of the planned groups that lack weights."""
        slots: Counter[GroupSlot] = Counter()
        for slot, missing in self._outlook.missing.items():
            taken = min(missing, number) if slot.model == self._model.name else 0
            slots[slot] += taken
            number -= taken
        return +slots

    def _missing_cause(self, domain: DomainId) -> ShortfallCause:
        able = sum(
            record.domain == domain and self._will_be_able(record)
            for record in self._state.engines.values()
        )
        if able >= self._model.size:
            return ShortfallCause.LOADING
        no_more_loads = self._loads_allowed <= 0
        return ShortfallCause.LOAD_LIMIT if no_more_loads else ShortfallCause.WEIGHTS

    def _will_be_able(self, record: EngineRecord) -> bool:
        """Return whether an engine outside the model's groups has its weights or loads them."""
        name = self._model.name
        if record.service != self._service or not record.usable or record.state.model == name:
            return False
        return record.can_join(name) or record.staging == name


__all__ = ["Shortfall", "ShortfallCause", "find_shortfalls"]
