# SPDX-License-Identifier: Apache-2.0
"""The decisions of the process that forms groups, without input or output."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping

from ochreway_core.ids import NO_EPOCH, DomainId, Epoch, GroupId, InstanceId
from ochreway_direct.configuration import Configuration, EngineSpec, ModelSpec
from ochreway_direct.coordinator.assignment import Assignment
from ochreway_direct.coordinator.demand import Demand
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.grouprecord import GroupPhase, GroupRecord
from ochreway_direct.coordinator.layout import Slot, plan
from ochreway_direct.coordinator.listing import Listing
from ochreway_direct.coordinator.loadlimit import LoadLimit
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.enginestate import EngineState, MemberPhase
from ochreway_direct.groupview import GroupView
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.listedtarget import ListedTarget
from ochreway_direct.order import Close, Join, Leave, Open, Order, OrderOutcome, Stage

READY_PHASES = frozenset({MemberPhase.READY, MemberPhase.OPEN, MemberPhase.CLOSING})
UNSETTLED = frozenset({OrderOutcome.UNKNOWN, OrderOutcome.CONFLICT, OrderOutcome.OTHER_INSTANCE})


class Coordinator:
    """Compare the groups there are with those there should be, and give orders.

    A group is opened only when each member was seen ready under its name, epoch and list, and
    an engine joins only when it was seen to be in no group, so a coordinator whose lease has
    lapsed unnoticed can delay a group but never run two on one engine.
    """

    def __init__(self, tuning: CoordinatorTuning | None = None) -> None:
        self.tuning = tuning or CoordinatorTuning()
        self.demand = Demand()
        self.engines: dict[InstanceId, EngineRecord] = {}
        self.groups: dict[GroupId, GroupRecord] = {}
        self._listing = Listing(self.tuning)
        self._specs: dict[ServiceName, EngineSpec] = {}
        self._limits: dict[ServiceName, LoadLimit] = {}
        self._epoch = NO_EPOCH
        self._began_s = 0.0
        self._out: list[Assignment] = []

    # What is learned.

    def begin(self, epoch: Epoch, now_s: float) -> None:
        """Start from nothing, with epochs above the one given."""
        self._epoch = epoch
        self._began_s = now_s
        self.groups.clear()
        self.engines.clear()
        self._listing = Listing(self.tuning)

    def configure(self, configuration: Configuration) -> None:
        """Take the engines' figures from a configuration."""
        self._specs = {
            service.name: service.engine
            for service in configuration.services
            if service.engine is not None
        }
        for name, spec in self._specs.items():
            if name not in self._limits:
                self._limits[name] = LoadLimit(spec.loads_per_s, self.tuning.loads_window_s)

    def on_listing(self, targets: Iterable[ListedTarget], now_s: float) -> None:
        """Take the platform's list; an engine that is not on it any more is leaving."""
        engines = {each.instance: each for each in targets if each.engine is not None}
        gone = self._listing.read(engines, now_s)
        for instance, listed in engines.items():
            self._list(instance, listed)
        for instance, record in list(self.engines.items()):
            if instance in gone and record.missing_s is None:
                record.missing_s = now_s

    def _list(self, instance: InstanceId, listed: ListedTarget) -> None:
        record = self.engines.get(instance)
        if record is None:
            assert listed.engine is not None
            self.engines[instance] = EngineRecord(listed, listed.engine)
            return
        record.listed = listed
        record.missing_s = None

    def on_state(self, instance: InstanceId, state: EngineState, now_s: float) -> None:
        """Take an engine's own report."""
        record = self.engines.get(instance)
        if record is None:
            return
        record.probing = False
        record.misses = 0
        record.dead = False
        record.state = state
        record.observed_s = now_s
        if state.membership is not None and state.model is not None:
            record.last_model = state.model
        if record.staging in state.staged or now_s > record.staging_until_s:
            record.staging = None

    def on_silence(self, instance: InstanceId, refused: bool, now_s: float) -> None:
        """Note that an engine did not answer; nothing listens there when it refused."""
        record = self.engines.get(instance)
        if record is None:
            return
        record.probing = False
        record.misses += 1
        if refused or record.misses >= self.tuning.misses_until_dead:
            record.dead = True

    def on_outcome(self, instance: InstanceId, order: Order, outcome: OrderOutcome) -> None:
        """Note what became of an order; the next report tells the rest."""
        record = self.engines.get(instance)
        if record is None:
            return
        record.pending = None
        if outcome not in UNSETTLED:
            record.probed_s = 0.0
        if isinstance(order, Stage) and outcome is not OrderOutcome.BEGUN:
            record.staging = None

    def suspect(self, group: GroupId) -> None:
        """Ask a group's members for their state at once."""
        found = self.groups.get(group)
        for instance in found.members if found is not None else ():
            record = self.engines.get(instance)
            if record is not None:
                record.probed_s = 0.0

    def on_pause(self) -> None:
        """Forget silences, as this process itself stood still."""
        for record in self.engines.values():
            record.misses = 0
            record.probing = False

    # What is asked for.

    def due_probes(self, now_s: float) -> list[EngineRecord]:
        """Return the engines to ask for their state now."""
        changing = {
            instance
            for group in self.groups.values()
            if group.phase is not GroupPhase.SERVING
            for instance in group.members
        }
        members = {i for group in self.groups.values() for i in group.members}
        due = []
        for record in self.engines.values():
            if record.probing:
                continue
            if now_s - record.probed_s >= self._probe_period_s(record, changing, members):
                record.probing = True
                record.probed_s = now_s
                due.append(record)
        return due

    def _probe_period_s(
        self, record: EngineRecord, changing: set[InstanceId], members: set[InstanceId]
    ) -> float:
        if record.dead:
            return self.tuning.dead_probe_s
        if record.misses or record.instance in changing or record.observed_s < 0:
            return self.tuning.probe_changing_s
        if record.instance in members:
            return self.tuning.probe_serving_s
        return self.tuning.probe_free_s

    def views(self) -> tuple[GroupView, ...]:
        """Return the groups that take requests."""
        found = []
        for group in self.groups.values():
            leader = self.engines.get(group.leader)
            if group.phase is not GroupPhase.SERVING or leader is None:
                continue
            pace = max(self.engines[each].state.pace for each in group.members)
            listed = leader.listed
            found.append(
                GroupView(
                    group.group,
                    group.epoch,
                    group.service,
                    group.model,
                    group.leader,
                    listed.address,
                    listed.hall,
                    pace,
                )
            )
        return tuple(found)

    def tick(self, now_s: float) -> list[Assignment]:
        """Return the orders to give now."""
        self._out = []
        self._forget()
        if now_s - self._began_s < self.tuning.settle_s:
            return []
        if not self._all_silent():
            self._adopt(now_s)
            for group in list(self.groups.values()):
                self._STEPS[group.phase](self, group, now_s)
            for service, spec in self._specs.items():
                self._lay_out(service, spec, now_s)
        return self._out

    def _all_silent(self) -> bool:
        """Tell whether so many engines are silent that the fault must be nearer home."""
        answering = [each for each in self.engines.values() if not each.leaving]
        silent = [each for each in answering if each.misses or each.dead]
        return len(silent) > self.tuning.silent_share_at_most * max(1, len(answering))

    def _forget(self) -> None:
        grouped = {instance for group in self.groups.values() for instance in group.members}
        for instance, record in list(self.engines.items()):
            if record.dead and record.missing_s is not None and instance not in grouped:
                del self.engines[instance]

    def _order(self, record: EngineRecord, order: Order, now_s: float) -> None:
        if record.pending is not None or now_s - record.ordered_s < self.tuning.order_retry_s:
            return
        record.pending = order
        record.ordered_s = now_s
        self._out.append(Assignment(record.instance, record.listed.address, order))

    # Groups that stand.

    def _adopt(self, now_s: float) -> None:
        """Take over whole groups that engines report; dissolve what is left of others."""
        found: dict[tuple[GroupId, Epoch], dict[int, EngineRecord]] = defaultdict(dict)
        for record in self.engines.values():
            membership = record.membership
            if membership is None or record.dead:
                continue
            known = self.groups.get(membership.group)
            if known is None or known.epoch != membership.epoch:
                found[membership.group, membership.epoch][membership.rank] = record
        for (group, epoch), ranks in found.items():
            self._adopt_group(group, epoch, ranks, now_s)

    def _adopt_group(
        self, group: GroupId, epoch: Epoch, ranks: dict[int, EngineRecord], now_s: float
    ) -> None:
        any_member = next(iter(ranks.values()))
        spec = self._specs.get(any_member.service)
        model = any_member.state.model
        model_spec = spec.model(model) if spec is not None and model is not None else None
        busy = {i for each in self.groups.values() for i in each.members}
        whole = model_spec is not None and set(ranks) == set(range(model_spec.size))
        if whole and group not in self.groups and not busy & {r.instance for r in ranks.values()}:
            assert model_spec is not None
            members = tuple(ranks[rank].instance for rank in range(model_spec.size))
            self.groups[group] = GroupRecord(
                *(group, epoch, any_member.service, any_member.domain, model_spec.name, members),
                phase=GroupPhase.FORMING,
                since_s=now_s,
                expected_s=model_spec.load_s,
            )
            return
        for record in ranks.values():
            self._order(record, Leave(group, epoch), now_s)

    def _unfit(self, group: GroupRecord) -> bool:
        """Tell whether a member is lost to the group."""
        for instance in group.members:
            record = self.engines.get(instance)
            if record is None or record.dead:
                return True
            if instance in group.ready and not record.belongs_to(group.group, group.epoch):
                return True
            broken = record.membership is not None and record.membership.phase
            if broken is MemberPhase.BROKEN and record.belongs_to(group.group, group.epoch):
                return True
        return False

    def _leaving(self, group: GroupRecord) -> bool:
        return any(self.engines[each].leaving for each in group.members)

    def _step_forming(self, group: GroupRecord, now_s: float) -> None:
        late = now_s - group.since_s > group.expected_s + self.tuning.form_slack_s
        if self._unfit(group) or self._leaving(group) or late:
            group.enter(GroupPhase.DISSOLVING, now_s)
            return
        for instance in group.members:
            self._bring_in(group, self.engines[instance], now_s)
        if len(group.ready) < len(group.members):
            return
        leader = self.engines[group.leader]
        assert leader.membership is not None
        if leader.membership.phase is MemberPhase.OPEN:
            group.enter(GroupPhase.SERVING, now_s)
            return
        self._order(leader, Open(group.group, group.epoch), now_s)

    def _bring_in(self, group: GroupRecord, record: EngineRecord, now_s: float) -> None:
        membership = record.membership
        if membership is not None and record.belongs_to(group.group, group.epoch):
            if membership.phase in READY_PHASES:
                group.ready.add(record.instance)
            return
        if membership is None:
            join = Join(group.group, group.epoch, group.model, group.members)
            self._order(record, join, now_s)

    def _step_serving(self, group: GroupRecord, now_s: float) -> None:
        if self._unfit(group):
            group.enter(GroupPhase.DISSOLVING, now_s)
            return
        leader = self.engines[group.leader].membership
        if self._leaving(group) or (leader and leader.phase is not MemberPhase.OPEN):
            group.enter(GroupPhase.CLOSING, now_s)

    def _step_closing(self, group: GroupRecord, now_s: float) -> None:
        leader = self.engines.get(group.leader)
        overdue = now_s - group.since_s > self.tuning.close_at_most_s
        if self._unfit(group) or leader is None or leader.membership is None or overdue:
            group.enter(GroupPhase.DISSOLVING, now_s)
            return
        if leader.membership.phase is MemberPhase.OPEN:
            self._order(leader, Close(group.group, group.epoch), now_s)
        elif leader.membership.phase is MemberPhase.READY:
            group.enter(GroupPhase.DISSOLVING, now_s)

    def _step_dissolving(self, group: GroupRecord, now_s: float) -> None:
        """Release each member when it was seen, after this began, to have left."""
        for instance in group.members:
            record = self.engines.get(instance)
            if record is None or record.dead:
                group.released.add(instance)
                continue
            if record.belongs_to(group.group, group.epoch):
                self._order(record, Leave(group.group, group.epoch), now_s)
            elif record.observed_s > group.since_s and record.pending is None:
                group.released.add(instance)
        if group.released.issuperset(group.members):
            del self.groups[group.group]

    _STEPS: dict[GroupPhase, Callable[["Coordinator", GroupRecord, float], None]] = {
        GroupPhase.FORMING: _step_forming,
        GroupPhase.SERVING: _step_serving,
        GroupPhase.CLOSING: _step_closing,
        GroupPhase.DISSOLVING: _step_dissolving,
    }

    # Groups that there should be.

    def _lay_out(self, service: ServiceName, spec: EngineSpec, now_s: float) -> None:
        held = {
            instance
            for group in self.groups.values()
            for instance in group.members
            if instance not in group.released
        }
        free: dict[DomainId, list[EngineRecord]] = defaultdict(list)
        for record in self.engines.values():
            if record.service != service or not record.usable or record.instance in held:
                continue
            if record.membership is None and record.pending is None:
                free[record.domain].append(record)
        standing = self._standing(service)
        counts = {domain: len(records) for domain, records in free.items()}
        for slot, number in standing.items():
            model = spec.model(slot.model)
            if model is not None:
                counts[slot.domain] = counts.get(slot.domain, 0) + number * model.size
        wanted = plan(
            spec, self.demand.needs(spec, sum(counts.values())), counts, standing, self.tuning
        )
        for slot in sorted(wanted, key=lambda each: (each.domain, each.model)):
            model = spec.model(slot.model)
            assert model is not None
            for _ in range(wanted[slot] - standing[slot]):
                self._form(service, model, free[slot.domain], slot.domain, now_s)
        self._trade(service, spec, wanted, standing, free, now_s)
        self._stage(service, spec, wanted, free, now_s)

    def _standing(self, service: ServiceName) -> Counter[Slot]:
        return Counter(
            Slot(group.domain, group.model)
            for group in self.groups.values()
            if group.service == service and group.phase in (GroupPhase.FORMING, GroupPhase.SERVING)
        )

    def _form(
        self,
        service: ServiceName,
        model: ModelSpec,
        free: list[EngineRecord],
        domain: DomainId,
        now_s: float,
    ) -> bool:
        quick = [record for record in free if record.quick(model.name) and not record.staging]
        if len(quick) < model.size:
            return False
        quick.sort(key=lambda record: (record.state.pace > 1.5, record.last_model != model.name))
        chosen = quick[: model.size]
        for record in chosen:
            free.remove(record)
        self._epoch = Epoch(self._epoch + 1)
        group = GroupId(f"{model.name}-{self._epoch}")
        members = tuple(record.instance for record in chosen)
        self.groups[group] = GroupRecord(
            *(group, self._epoch, service, domain, model.name, members),
            phase=GroupPhase.FORMING,
            since_s=now_s,
            expected_s=model.warm_s,
        )
        return True

    def _trade(
        self,
        service: ServiceName,
        spec: EngineSpec,
        wanted: Mapping[Slot, int],
        standing: Mapping[Slot, int],
        free: Mapping[DomainId, list[EngineRecord]],
        now_s: float,
    ) -> None:
        """Close one group too many where a wanted one lacks engines."""
        for slot, number in wanted.items():
            model = spec.model(slot.model)
            if model is None or standing.get(slot, 0) >= number:
                continue
            if any(
                g.phase is GroupPhase.CLOSING and g.domain == slot.domain
                for g in self.groups.values()
            ):
                continue
            ready = [r for r in free.get(slot.domain, []) if r.quick(slot.model)]
            lacking = model.size - len(ready)
            for group in self.groups.values():
                over = Slot(group.domain, group.model)
                surplus = standing.get(over, 0) > wanted.get(over, 0)
                if group.service != service or group.domain != slot.domain or not surplus:
                    continue
                if group.phase is not GroupPhase.SERVING:
                    continue
                quick = sum(self.engines[i].quick(slot.model) for i in group.members)
                if 0 < lacking <= quick:
                    group.enter(GroupPhase.CLOSING, now_s)
                    break

    def _stage(
        self,
        service: ServiceName,
        spec: EngineSpec,
        wanted: Mapping[Slot, int],
        free: Mapping[DomainId, list[EngineRecord]],
        now_s: float,
    ) -> None:
        """Load weights where a wanted group lacks them, then beside what engines serve."""
        for domain, records in free.items():
            for record in self._unstaged(spec, domain, records, wanted):
                self._load(service, spec, *record, now_s)
        for group in list(self.groups.values()):
            if group.service != service or group.phase is not GroupPhase.SERVING:
                continue
            others = [m for m in spec.models if m.name != group.model]
            if not others:
                continue
            for instance in group.members:
                engine = self.engines[instance]
                if engine.leaving or any(m.name in engine.state.staged for m in others):
                    continue
                self._load(service, spec, engine, max(others, key=lambda m: m.size), now_s)

    def _unstaged(
        self,
        spec: EngineSpec,
        domain: DomainId,
        records: list[EngineRecord],
        wanted: Mapping[Slot, int],
    ) -> list[tuple[EngineRecord, ModelSpec]]:
        """Pair free engines that have no weights with the models that lack engines most."""
        standing = self._standing_in(domain)
        lacking = {
            model.name: model.size
            * (wanted.get(Slot(domain, model.name), 0) - standing[model.name])
            - sum(1 for r in records if r.quick(model.name) or r.staging == model.name)
            for model in spec.models
        }
        pairs = []
        for record in records:
            if record.staging or any(record.quick(model.name) for model in spec.models):
                continue
            model = max(spec.models, key=lambda each: lacking[each.name])
            lacking[model.name] -= 1
            pairs.append((record, model))
        return pairs

    def _standing_in(self, domain: DomainId) -> Counter[ModelName]:
        return Counter(
            group.model
            for group in self.groups.values()
            if group.domain == domain and group.phase in (GroupPhase.FORMING, GroupPhase.SERVING)
        )

    def _load(
        self,
        service: ServiceName,
        spec: EngineSpec,
        record: EngineRecord,
        model: ModelSpec,
        now_s: float,
    ) -> None:
        if record.staging or record.pending or record.state.busy:
            return
        if now_s - record.ordered_s < self.tuning.order_retry_s:
            return
        if self._limits[service].take(now_s):
            record.staging = model.name
            record.staging_until_s = now_s + 2 * model.load_s
            self._order(record, Stage(model.name), now_s)


__all__ = ["Coordinator"]
