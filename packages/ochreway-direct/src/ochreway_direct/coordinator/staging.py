# SPDX-License-Identifier: Apache-2.0
"""Loading weights where they let the most work be served."""

from collections import Counter, defaultdict
from collections.abc import Hashable, Iterable, Mapping

from ochreway_core.ids import InstanceId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.candidates import Candidates, Load, Use
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.formation import Outlook
from ochreway_direct.coordinator.grouprecord import GroupPhase
from ochreway_direct.coordinator.loadworth import LoadWorth, Stock
from ochreway_direct.coordinator.placement import Slot, totals_of
from ochreway_direct.coordinator.state import STANDING, CoordinatorState
from ochreway_direct.ids import ServiceName
from ochreway_direct.order import Stage

LEAST_WORTH = 0.02
"""Below which worth, in groups kept busy times seconds, a load is not begun."""
HEDGE_WORTH = 0.001
"""What weights beside a group are worth while it is not known which model will be asked for."""


class Staging:
    """Begin the loads that are worth most, one after the other."""

    def __init__(self, state: CoordinatorState) -> None:
        self._state = state

    def step(self, service: ServiceName, spec: EngineSpec, outlook: Outlook, now_s: float) -> None:
        """Order as many loads as the bound on loads allows."""
        allowed = self._state.loads_allowed(service, self._state.tuning.loading_share, now_s)
        if allowed <= 0:
            return
        uses = self._uses(service, outlook)
        worth = self._worth(service, spec, outlook, uses)
        open_ = [
            record
            for record in self._records(uses)
            if self._free_to_load(record, now_s) and not _awaited(record, outlook)
        ]

        def alike(record: EngineRecord) -> Hashable:
            able = tuple(record.quick(model.name) for model in spec.models)
            return uses[record.instance], able, record.state.staged, record.state.model

        candidates = Candidates(open_, alike, lambda some: self._best(spec, worth, some, uses))
        while allowed > 0 and (load := candidates.first()) is not None:
            if not self._load(service, load, now_s):
                return
            self._count(worth, load)
            candidates.begun(load)
            allowed -= 1

    def _records(self, uses: Mapping[InstanceId, Use]) -> list[EngineRecord]:
        return [self._state.engines[instance] for instance in uses]

    def _free_to_load(self, record: EngineRecord, now_s: float) -> bool:
        if record.loading or record.pending is not None or not record.usable:
            return False
        return now_s - record.ordered_s >= self._state.tuning.order_retry_s

    # What there is.

    def _uses(self, service: ServiceName, outlook: Outlook) -> dict[InstanceId, Use]:
        found: dict[InstanceId, Use] = {}
        for records in (*outlook.free.values(), *outlook.survivors.values()):
            found.update({record.instance: _free_use(record) for record in records})
        surplus = self._surplus(service, outlook.wanted)
        for group in self._state.of_service(service):
            if group.phase not in STANDING:
                continue
            place = Slot(group.domain, group.model)
            too_many = surplus[place] > 0 and group.phase is GroupPhase.SERVING
            surplus[place] -= too_many
            use = Use.SURPLUS if too_many else Use.SERVING
            found.update({each: use for each in group.members if each in self._state.engines})
        return found

    def _surplus(self, service: ServiceName, wanted: Mapping[Slot, int]) -> Counter[Slot]:
        surplus = self._standing(service)
        surplus.subtract(wanted)
        return surplus

    def _standing(self, service: ServiceName) -> Counter[Slot]:
        return Counter(
            Slot(group.domain, group.model)
            for group in self._state.of_service(service)
            if group.phase in STANDING
        )

    def _worth(
        self,
        service: ServiceName,
        spec: EngineSpec,
        outlook: Outlook,
        uses: Mapping[InstanceId, Use],
    ) -> LoadWorth:
        standing = outlook.at_once
        stocks: dict[Slot, Stock] = defaultdict(Stock)
        for slot, number in standing.items():
            stocks[slot].standing = number
        for slot, number in outlook.missing.items():
            stocks[slot].missing = number
        for record in self._records(uses):
            for model in spec.models:
                stock = stocks[Slot(record.domain, model.name)]
                self._add(stock, record, model, uses[record.instance])
        totals = totals_of(standing)
        rate, down = self._state.losses.per_engine_s, self._state.down
        return LoadWorth(spec, outlook.scenarios, totals, rate, down, stocks)

    def _add(self, stock: Stock, record: EngineRecord, model: ModelSpec, use: Use) -> None:
        able = record.quick(model.name) or record.staging == model.name
        if not able or (record.membership is not None and record.state.model == model.name):
            return
        _note(stock, use, 1)

    # What is loaded.

    def _best(
        self,
        spec: EngineSpec,
        worth: LoadWorth,
        records: Iterable[EngineRecord],
        uses: Mapping[InstanceId, Use],
    ) -> Load | None:
        found = [
            candidate
            for record in records
            for model in spec.models
            if (candidate := self._candidate(worth, record, model, uses[record.instance]))
        ]
        best = min(found, key=lambda each: each.rank, default=None)
        least = LEAST_WORTH if self._state.demand.measured else 0.0
        return best if best is not None and best.worth > least else None

    def _candidate(
        self, worth: LoadWorth, record: EngineRecord, model: ModelSpec, use: Use
    ) -> Load | None:
        if record.quick(model.name) or record.state.model == model.name:
            return None
        if use is Use.SERVING and not self._beside(worth, record, model):
            return None
        slot = Slot(record.domain, model.name)
        is_free = use not in (Use.SERVING, Use.SURPLUS)
        value = worth.of(slot, is_free, completes=use is not Use.SERVING)
        if use is Use.SERVING and not self._state.demand.measured:
            value = max(value, HEDGE_WORTH)
        if use is Use.STOCKED:
            value -= sum(worth.of_last(Slot(record.domain, m)) for m in record.state.staged)
        return Load(record, model, use, value)

    def _beside(self, worth: LoadWorth, record: EngineRecord, model: ModelSpec) -> bool:
        """Tell whether weights may be loaded beside those of a group that is wanted.

        They push out the copy that an engine would start again with. While nothing was measured,
        the smaller model's are loaded beside the larger one's: should the work turn out to be for
        the smaller, each engine counts twice as much as it would the other way round.
        """
        served = worth.spec.model(record.state.model) if record.state.model else None
        if served is None or not self._state.tuning.staging_beside:
            return False
        if not self._state.demand.measured:
            return model.size < served.size
        return worth.breaks_for(served.name, model.name)

    def _count(self, worth: LoadWorth, load: Load) -> None:
        """Take a load that was begun into account for the next one."""
        domain = load.record.domain
        _note(worth.stock(Slot(domain, load.model.name)), load.use, 1)
        if load.use is Use.STOCKED:
            for lost in load.record.state.staged:
                _note(worth.stock(Slot(domain, lost)), load.use, -1)

    def _load(self, service: ServiceName, load: Load, now_s: float) -> bool:
        if not self._state.begin_loads(service, 1, now_s):
            return False
        if not self._state.order(load.record, Stage(load.model.name), now_s):
            return False
        load.record.stage(load.model.name, now_s + 2 * load.model.load_s)
        return True


def _note(stock: Stock, use: Use, number: int) -> None:
    """Count engines by what they are doing."""
    match use:
        case Use.SERVING:
            stock.beside += number
        case Use.SURPLUS:
            stock.surplus += number
        case _:
            stock.free += number


def _awaited(record: EngineRecord, outlook: Outlook) -> bool:
    """Tell whether a group that comes next may need the engine with the weights it has."""
    return record.membership is None and any(
        slot.domain == record.domain and slot.model in record.state.staged
        for slot in outlook.awaited
    )


def _free_use(record: EngineRecord) -> Use:
    if record.last_model is not None:
        return Use.KEEPING
    return Use.STOCKED if record.state.staged else Use.EMPTY


__all__ = ["Staging"]
