# SPDX-License-Identifier: Apache-2.0
"""State that the parts of the coordinator share."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ochreway_core.ids import NO_EPOCH, DomainId, Epoch, GroupId, HallId, InstanceId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.assignment import Assignment
from ochreway_direct.coordinator.demand import Demand
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.grouprecord import SPANNING, GroupPhase, GroupRecord
from ochreway_direct.coordinator.loadlimit import LoadLimit
from ochreway_direct.coordinator.lossmeter import LossMeter
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.ids import ServiceName
from ochreway_direct.order import Join, Order

MAX_REQUEST_NOTICE_DELAY_S = 0.5
"""Maximum delay until another entry's first request is known: a heartbeat and its transmission."""
CURRENT_PHASES = frozenset({GroupPhase.FORMING, GroupPhase.SERVING})


@dataclass(slots=True)
class CoordinatorState:
    """Engines, groups, engine specifications, and the orders of one tick.

    No load begins before ``inherited_loads_seen``: the loads that the previous lease holder began
    have been observed. Nothing is planned or ordered in ``drained_halls``: their engines are not
    part of the capacity, and their groups are kept unchanged without counting as current.
    ``foreign_epoch`` is the newest epoch seen above all that were issued here: a newer lease holder
    may have formed its group. Without ``may_order`` no order is issued.
    """

    tuning: CoordinatorTuning
    engines: dict[InstanceId, EngineRecord] = field(default_factory=dict)
    groups: dict[GroupId, GroupRecord] = field(default_factory=dict)
    specs: dict[ServiceName, EngineSpec] = field(default_factory=dict)
    load_limits: dict[ServiceName, LoadLimit] = field(default_factory=dict)
    demand: Demand = field(default_factory=Demand)
    loss_meter: LossMeter = field(default_factory=LossMeter)
    inherited_loads_seen: bool = False
    drained_halls: frozenset[HallId] = frozenset()
    epoch: Epoch = NO_EPOCH
    foreign_epoch: Epoch = NO_EPOCH
    may_order: bool = True
    assignments: list[Assignment] = field(default_factory=list)

    @property
    def downtime_share(self) -> float:
        """Return the share of time for which the loss of one engine stops its group."""
        return self.loss_meter.losses_per_engine_s * self.tuning.repair_s

    @property
    def min_utility(self) -> float:
        """Return the utility per engine that a further group needs to be planned.

        Before the first request no engine stays idle that one more group could use.
        """
        return self.tuning.least_gain if self.demand.measured else 0.0

    def engines_in_service(self) -> list[EngineRecord]:
        """Return the engines of services that the configuration names.

        The list may hold rows of other writers, at whose addresses nothing may answer.
        """
        return [each for each in self.engines.values() if each.service in self.specs]

    def next_epoch(self) -> Epoch:
        """Return an epoch above all that were issued."""
        self.epoch = Epoch(self.epoch + 1)
        return self.epoch

    def begin_group(
        self,
        service: ServiceName,
        model: ModelSpec,
        domain: DomainId,
        chosen: Sequence[EngineRecord],
        expected_s: float,
        now_s: float,
    ) -> None:
        """Begin to form a group; the first member that is not cold becomes the leader."""
        chosen = sorted(chosen, key=lambda record: now_s < record.cold_until_s)
        epoch = self.next_epoch()
        group = GroupId(f"{model.name}-{epoch}")
        members = tuple(record.instance for record in chosen)
        self.groups[group] = GroupRecord(
            *(group, epoch, service, domain, model.name, members),
            phase=GroupPhase.FORMING,
            since_s=now_s,
            expected_s=expected_s,
        )

    def issue_order(self, record: EngineRecord, order: Order, now_s: float) -> bool:
        """Issue an order unless one is in progress or the same was issued within the retry delay.

        An engine of a drained hall gets no orders. A join is only issued with the number of orders
        that the engine has taken: alone of all orders it replaces whatever group the engine is in,
        and one that is carried out late, or was decided on an old report, is thus rejected.
        """
        if not self.may_order or self.is_drained(record):
            return False
        if isinstance(order, Join) and record.orders_taken is None:
            return False
        retry_delay_s = self._order_retry_delay_s(record)
        repeated = order == record.last_order and now_s - record.last_ordered_s < retry_delay_s
        if record.pending_order is not None or repeated:
            return False
        record.pending_order = record.last_order = order
        record.last_ordered_s = now_s
        taken = None
        if isinstance(order, Join):
            taken = record.orders_taken
            record.newest_join = order.epoch
        self.assignments.append(Assignment(record.instance, record.listed.address, order, taken))
        return True

    def _order_retry_delay_s(self, record: EngineRecord) -> float:
        """Return the delay after which an engine's last order may be repeated."""
        if not record.order_accepted:
            return self.tuning.order_retry_s
        unseen = record.observed_s <= record.last_ordered_s
        return self.tuning.order_unseen_retry_s if unseen else self.tuning.order_taken_retry_s

    def is_drained(self, record: EngineRecord) -> bool:
        """Return whether an engine is in a drained hall."""
        return record.listed.hall in self.drained_halls

    def touches_drained_hall(self, group: GroupRecord) -> bool:
        """Return whether any member of a group is in a drained hall."""
        if not self.drained_halls:
            return False
        records = (self.engines.get(instance) for instance in group.members)
        return any(record is not None and self.is_drained(record) for record in records)

    def unreleased_members(self) -> set[InstanceId]:
        """Return the engines that a group has not released."""
        return {
            instance
            for group in self.groups.values()
            for instance in group.members
            if instance not in group.released
        }

    def groups_of(self, service: ServiceName) -> Iterable[GroupRecord]:
        """Return the groups of a service without members in drained halls."""
        return [
            group
            for group in self.groups.values()
            if group.service == service and not self.touches_drained_hall(group)
        ]

    def has_closing_group(self, domain: DomainId) -> bool:
        """Return whether a group with members in a domain is closing."""
        return any(
            group.phase is GroupPhase.CLOSING and domain in self._group_domains(group)
            for group in self.groups.values()
        )

    def _group_domains(self, group: GroupRecord) -> set[DomainId]:
        return {self.engines[each].domain for each in group.members if each in self.engines}

    def pace_of(self, group: GroupRecord) -> float:
        """Return how many times slower than usual a group is: as its slowest member, or farther."""
        members = [self.engines[each] for each in group.members if each in self.engines]
        pace = max((each.state.pace for each in members), default=1.0)
        # A version of the configuration may drop the service while its groups still serve.
        spec = self.specs.get(group.service)
        if spec is None or group.domain != SPANNING:
            return pace
        return pace * spec.far_factor

    def closing_time_s(self, group: GroupRecord, others_s: float) -> float:
        """Return how long a closing group's requests may take to end.

        This is ``others_s`` if another group serves the model, as it can continue the requests.
        """
        has_other = any(
            each.model == group.model and each.phase is GroupPhase.SERVING and each is not group
            for each in self.groups_of(group.service)
        )
        return others_s if has_other else self.tuning.close_at_most_s

    def answer_time_s(self, group: GroupRecord) -> float:
        """Return how long a traded group may take to end the answers that it has begun.

        This is the time of ``trade_answers`` usual answers of its model with all slots in use.
        Nothing has failed, so callers are not cut off; the wanted group waits for them.
        """
        spec = self.specs[group.service]
        model = spec.model(group.model)
        pace = model.pace if model is not None else 1.0
        usual_s = pace * spec.usual_answer_tokens * spec.token_s(spec.slots)
        bound_s = min(self.tuning.trade_answers * usual_s, self.tuning.close_at_most_s)
        return max(self.tuning.trade_close_s, bound_s)

    def loads_allowed(self, service: ServiceName, share: float, now_s: float) -> int:
        """Return how many more engines may load weights, within a share of the weight store's rate.

        More loads at once would all end later. Before the first request loads are short, and what
        matters is that the weight store is never idle.
        """
        if not self.inherited_loads_seen:
            return 0
        if self.loads_unbounded:
            return self.load_limits[service].remaining_within(MAX_REQUEST_NOTICE_DELAY_S, now_s)
        left = self.load_limits[service].remaining(now_s)
        if self.demand.measured_since_s is None:
            return left
        at_once = int(share * self.specs[service].loads_at_once)
        return min(left, at_once - self.count_loading(service))

    @property
    def loads_unbounded(self) -> bool:
        """Return whether loads are not bounded: at a site's first start, before the first request.

        Requests to other entries are known with a delay, so loads within that delay remain bounded.
        """
        return self.tuning.first_start and self.demand.measured_since_s is None

    def begin_loads(self, service: ServiceName, loads: int, now_s: float) -> bool:
        """Begin all of the loads or none; return whether the limit allows them."""
        limit = self.load_limits[service]
        if not self.loads_unbounded:
            return limit.try_begin(now_s, loads)
        if loads > limit.remaining_within(MAX_REQUEST_NOTICE_DELAY_S, now_s):
            return False
        limit.record_begun(now_s, loads)
        return True

    def count_loading(self, service: ServiceName) -> int:
        """Return the number of a service's engines that load weights, outside drained halls."""
        return sum(not self.is_drained(record) for record in self._loading_engines(service))

    def count_loading_anywhere(self, service: ServiceName) -> int:
        """Return the number of a service's engines that load weights, in any hall."""
        return len(self._loading_engines(service))

    def _loading_engines(self, service: ServiceName) -> list[EngineRecord]:
        return [
            record
            for record in self.engines.values()
            if record.service == service and not record.dead and record.loading
        ]


__all__ = ["CURRENT_PHASES", "CoordinatorState"]
