# SPDX-License-Identifier: Apache-2.0
"""Choice of the weights to load, so that the most work can be served."""

from collections import Counter, defaultdict
from collections.abc import Hashable, Iterable, Mapping

from ochreway_core.ids import InstanceId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.candidates import Candidates, Load, Use
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.formation import Outlook
from ochreway_direct.coordinator.grouprecord import GroupPhase
from ochreway_direct.coordinator.loadworth import Inventory, LoadUtility
from ochreway_direct.coordinator.placement import GroupSlot, groups_per_model
from ochreway_direct.coordinator.state import CURRENT_PHASES, CoordinatorState
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.order import Stage

MIN_LOAD_UTILITY = 0.02
"""Minimum utility of a load, in groups kept busy times seconds."""
HEDGE_UTILITY = 0.001
"""Utility of weights staged on members of a group while no demand was measured."""


class Staging:
    """Begin the loads with the highest utility, one after the other."""

    def __init__(self, state: CoordinatorState) -> None:
        self._state = state

    def order_loads(
        self, service: ServiceName, spec: EngineSpec, outlook: Outlook, now_s: float
    ) -> None:
        """Order as many loads as the load limit allows."""
        allowed = self._state.loads_allowed(service, self._state.tuning.loading_share, now_s)
        if allowed <= 0:
            return
        uses = self._uses(service, outlook)
        utility = self._load_utility(service, spec, outlook, uses)
        loadable = [
            record
            for record in self._records(uses)
            if self._is_loadable(record, now_s) and not _is_awaited(record, outlook)
        ]

        def kind_of(record: EngineRecord) -> Hashable:
            joinable = tuple(record.can_join(model.name) for model in spec.models)
            return uses[record.instance], joinable, record.state.staged, record.state.model

        candidates = Candidates(
            loadable, kind_of, lambda some: self._best_load(spec, utility, some, uses)
        )
        while allowed > 0 and (load := candidates.peek()) is not None:
            if not self._begin_load(service, load, now_s):
                return
            self._account_for(utility, load)
            candidates.mark_begun(load)
            allowed -= 1

    def _records(self, uses: Mapping[InstanceId, Use]) -> list[EngineRecord]:
        return [self._state.engines[instance] for instance in uses]

    def _is_loadable(self, record: EngineRecord, now_s: float) -> bool:
        if record.loading or record.pending_order is not None or not record.usable:
            return False
        return now_s - record.last_ordered_s >= self._state.tuning.order_retry_s

    # Current state

    def _uses(self, service: ServiceName, outlook: Outlook) -> dict[InstanceId, Use]:
        use_by_instance: dict[InstanceId, Use] = {}
        for records in (*outlook.free.values(), *outlook.survivors.values()):
            use_by_instance.update({record.instance: _use_of_free(record) for record in records})
        surplus = self._surplus(service, outlook.wanted)
        for group in self._state.groups_of(service):
            if group.phase not in CURRENT_PHASES:
                continue
            group_slot = GroupSlot(group.domain, group.model)
            too_many = surplus[group_slot] > 0 and group.phase is GroupPhase.SERVING
            surplus[group_slot] -= too_many
            use = Use.SURPLUS if too_many else Use.SERVING
            use_by_instance.update(
                {each: use for each in group.members if each in self._state.engines}
            )
        return use_by_instance

    def _surplus(self, service: ServiceName, wanted: Mapping[GroupSlot, int]) -> Counter[GroupSlot]:
        surplus = self._current(service)
        surplus.subtract(wanted)
        return surplus

    def _current(self, service: ServiceName) -> Counter[GroupSlot]:
        return Counter(
            GroupSlot(group.domain, group.model)
            for group in self._state.groups_of(service)
            if group.phase in CURRENT_PHASES
        )

    def _load_utility(
        self,
        service: ServiceName,
        spec: EngineSpec,
        outlook: Outlook,
        uses: Mapping[InstanceId, Use],
    ) -> LoadUtility:
        formable_now = outlook.formable
        inventories: dict[GroupSlot, Inventory] = defaultdict(Inventory)
        for slot, number in formable_now.items():
            inventories[slot].current = number
        for slot, number in outlook.missing.items():
            inventories[slot].missing = number
        for record in self._records(uses):
            for model in spec.models:
                inventory = inventories[GroupSlot(record.domain, model.name)]
                self._count_engine(inventory, record, model, uses[record.instance])
        totals = groups_per_model(formable_now)
        loss_rate, downtime = self._state.loss_meter.losses_per_engine_s, self._state.downtime_share
        return LoadUtility(spec, outlook.scenarios, totals, loss_rate, downtime, inventories)

    def _count_engine(
        self, inventory: Inventory, record: EngineRecord, model: ModelSpec, use: Use
    ) -> None:
        available = record.can_join(model.name) or record.staging == model.name
        if available and not _is_member_of(record, model.name):
            _count_engines(inventory, use, 1)

    # Choice of loads

    def _best_load(
        self,
        spec: EngineSpec,
        utility: LoadUtility,
        records: Iterable[EngineRecord],
        uses: Mapping[InstanceId, Use],
    ) -> Load | None:
        loads = [
            candidate
            for record in records
            for model in spec.models
            if (candidate := self._candidate(utility, record, model, uses[record.instance]))
        ]
        best = min(loads, key=lambda each: each.rank, default=None)
        threshold = MIN_LOAD_UTILITY if self._state.demand.measured else 0.0
        return best if best is not None and best.utility > threshold else None

    def _candidate(
        self, utility: LoadUtility, record: EngineRecord, model: ModelSpec, use: Use
    ) -> Load | None:
        if record.can_join(model.name) or record.state.model == model.name:
            return None
        if use is Use.SERVING and not self._may_load_beside(utility, record, model):
            return None
        slot = GroupSlot(record.domain, model.name)
        is_free = use not in (Use.SERVING, Use.SURPLUS)
        load_utility = utility.of_engine(slot, is_free, completes=use is not Use.SERVING)
        if use is Use.SERVING and not self._state.demand.measured:
            load_utility = max(load_utility, HEDGE_UTILITY)
        if use is Use.HAS_STAGED:
            load_utility -= sum(
                utility.of_last_free(GroupSlot(record.domain, m)) for m in record.state.staged
            )
        return Load(record, model, use, load_utility)

    def _may_load_beside(
        self, utility: LoadUtility, record: EngineRecord, model: ModelSpec
    ) -> bool:
        """Return whether weights may be loaded on a member of a wanted group.

        They evict the copy from which the engine would start again. Before any demand was measured
        each member gets another model's weights as well: which models will lack groups is not
        known, and engines that can only leave a model leave its callers without groups.
        """
        served = utility.spec.model(record.state.model) if record.state.model else None
        if served is None or not self._state.tuning.staging_beside:
            return False
        return not self._state.demand.measured or utility.yields_to(served.name, model.name)

    def _account_for(self, utility: LoadUtility, load: Load) -> None:
        """Update the inventories with a load that was begun."""
        domain = load.record.domain
        _count_engines(utility.inventory(GroupSlot(domain, load.model.name)), load.use, 1)
        if load.use is Use.HAS_STAGED:
            for lost in load.record.state.staged:
                if _is_member_of(load.record, lost):
                    continue  # It was not counted as a substitute for its own group.
                _count_engines(utility.inventory(GroupSlot(domain, lost)), load.use, -1)

    def _begin_load(self, service: ServiceName, load: Load, now_s: float) -> bool:
        if not self._state.begin_loads(service, 1, now_s):
            return False
        if not self._state.issue_order(load.record, Stage(load.model.name), now_s):
            return False
        load.record.begin_staging(load.model.name, now_s + 2 * load.model.load_s)
        return True


def _count_engines(inventory: Inventory, use: Use, number: int) -> None:
    """Add engines to an inventory according to their use."""
    match use:
        case Use.SERVING:
            inventory.serving += number
        case Use.SURPLUS:
            inventory.surplus += number
        case _:
            inventory.free += number


def _is_member_of(record: EngineRecord, model: ModelName) -> bool:
    """Return whether an engine's last report shows it in a group of a model."""
    return record.membership is not None and record.state.model == model


def _is_awaited(record: EngineRecord, outlook: Outlook) -> bool:
    """Return whether an awaited group may need the engine with the weights that it has."""
    return record.membership is None and any(
        slot.domain == record.domain and slot.model in record.state.staged
        for slot in outlook.awaited
    )


def _use_of_free(record: EngineRecord) -> Use:
    if record.last_model is not None:
        return Use.KEEPS_LAST_MODEL
    return Use.HAS_STAGED if record.state.staged else Use.EMPTY


__all__ = ["Staging"]
