# SPDX-License-Identifier: Apache-2.0
"""Actions on a group in each of its phases."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from ochreway_core.ids import Epoch, GroupId, InstanceId
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.grouprecord import (
    SPANNING,
    GroupPhase,
    GroupRecord,
    PhaseCause,
)
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.enginestate import PROVING_PHASES, MemberPhase
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.order import Close, Join, Leave, Open, Order

JOIN_MARGIN_S = 0.3
"""Time beyond a join and the lag of reports after which a loading member is given up."""


@dataclass(frozen=True, slots=True)
class Loss:
    """Reason for which a group has to end, and the member that caused it."""

    cause: PhaseCause
    blamed: InstanceId | None = None


class GroupLifecycle:
    """Advance groups from forming to serving, and release the members of lost ones."""

    def __init__(self, state: CoordinatorState) -> None:
        self._state = state

    def advance(self, now_s: float) -> None:
        """Adopt reported groups, then advance each group."""
        self._adopt_reported(now_s)
        for group in list(self._state.groups.values()):
            self._PHASE_HANDLERS[group.phase](self, group, now_s)

    def on_order_accepted(
        self, record: EngineRecord, order: Order, begun: bool, now_s: float
    ) -> None:
        """Record that an engine has accepted an order, and when its reports will show it."""
        reported_from_s = now_s + self.report_lag_s(record.service)
        if begun or isinstance(order, Leave):
            # A leave is done at once, so it is counted though nothing is begun.
            record.count_order(reported_from_s)
        match order:
            case Leave(group, epoch):
                record.assume_left(group, epoch, reported_from_s)
            case Open(group, _) if group in self._state.groups:
                opened = self._state.groups[group]
                opened.serving_from_s = now_s + self._forming_s(record.service)
            case Join(_, _, model, _):
                record.change_expected_s = reported_from_s + self._joining_s(record, model)
                record.assume_joined(model, reported_from_s)
            case _:
                pass

    def on_join_rejected(self, record: EngineRecord, now_s: float) -> None:
        """Record that an engine rejected a join, as it has taken other orders than was assumed."""
        record.forget_orders(now_s + self.report_lag_s(record.service))

    def report_lag_s(self, service: ServiceName) -> float:
        """Return the maximum age of what a service's engines report."""
        spec = self._state.specs.get(service)
        return spec.report_lag_s if spec is not None else 0.0

    def _joining_s(self, record: EngineRecord, model: ModelName) -> float:
        """Return how long an engine takes to join, unless it has to load weights."""
        spec = self._state.specs.get(record.service)
        joined_spec = spec.model(model) if spec is not None else None
        if joined_spec is None or record.last_model == model:
            return self._state.tuning.rejoin_s
        return joined_spec.warm_s

    def _forming_s(self, service: ServiceName) -> float:
        spec = self._state.specs.get(service)
        return spec.form_s if spec is not None else 0.0

    def _adopt_reported(self, now_s: float) -> None:
        """Adopt complete groups that engines report; dissolve what remains of others."""
        unknown_groups: dict[tuple[GroupId, Epoch], dict[int, EngineRecord]] = defaultdict(dict)
        for record in self._state.engines_in_service():
            membership = record.membership
            if membership is None or record.dead or record.observed_s < 0:
                continue
            known = self._state.groups.get(membership.group)
            if known is None or known.epoch != membership.epoch:
                unknown_groups[membership.group, membership.epoch][membership.rank] = record
        for (group, epoch), ranks in unknown_groups.items():
            if epoch > max(self._state.epoch, self._state.foreign_epoch):
                # Not taken for remains before the lease is confirmed.
                self._state.foreign_epoch = epoch
                continue
            self._adopt_group(group, epoch, ranks, now_s)

    def _adopt_group(
        self, group: GroupId, epoch: Epoch, ranks: dict[int, EngineRecord], now_s: float
    ) -> None:
        any_member = next(iter(ranks.values()))
        spec = self._state.specs.get(any_member.service)
        model = any_member.state.model
        model_spec = spec.model(model) if spec is not None and model is not None else None
        grouped = {i for each in self._state.groups.values() for i in each.members}
        complete = model_spec is not None and set(ranks) == set(range(model_spec.size))
        if (
            complete
            and group not in self._state.groups
            and not grouped & {r.instance for r in ranks.values()}
        ):
            assert model_spec is not None
            members = tuple(ranks[rank].instance for rank in range(model_spec.size))
            domains = {record.domain for record in ranks.values()}
            domain = any_member.domain if len(domains) == 1 else SPANNING
            self._state.groups[group] = GroupRecord(
                *(group, epoch, any_member.service, domain, model_spec.name, members),
                phase=GroupPhase.FORMING,
                since_s=now_s,
                expected_s=model_spec.load_s,
                cause=PhaseCause.ADOPTED,
            )
            return
        for record in ranks.values():
            self._state.issue_order(record, Leave(group, epoch), now_s)

    def _fatal_loss(self, group: GroupRecord) -> Loss | None:
        """Return why a group has to end, if a member is lost or refused to join."""
        if group.fenced:
            return Loss(PhaseCause.FENCED)
        for instance in group.members:
            record = self._state.engines.get(instance)
            if record is None or record.dead:
                return Loss(PhaseCause.MEMBER_SILENT, instance)
            if instance in group.ready and not record.belongs_to(group.group, group.epoch):
                return Loss(PhaseCause.MEMBER_LEFT, instance)
            member_phase = record.membership is not None and record.membership.phase
            if member_phase is MemberPhase.BROKEN and record.belongs_to(group.group, group.epoch):
                return Loss(PhaseCause.MEMBER_BROKEN, instance)
        return None

    def _leaving_member(self, group: GroupRecord) -> Loss | None:
        for instance in group.members:
            if self._state.engines[instance].leaving:
                return Loss(PhaseCause.MEMBER_LEAVING, instance)
        return None

    def _partly_drained(self, group: GroupRecord) -> Loss | None:
        """Return the loss of a newly begun group with some, not all, members in drained halls."""
        if group.cause is not PhaseCause.BEGUN:
            return None
        records = [self._state.engines[instance] for instance in group.members]
        drained = [record for record in records if self._state.is_drained(record)]
        if not drained or len(drained) == len(records):
            return None
        return Loss(PhaseCause.HALL_DRAINED, drained[0].instance)

    def _missing_weights(self, group: GroupRecord) -> Loss | None:
        """Return the loss of a group with members that have to load weights unexpectedly.

        What was known of their last models is wrong, and is discarded for all of them.
        """
        loading = [
            record
            for instance in group.members
            if self._loads_unexpectedly(group, record := self._state.engines[instance])
        ]
        for record in loading:
            record.last_model = None
        return Loss(PhaseCause.WEIGHTS_MISSING, loading[0].instance) if loading else None

    def _loads_unexpectedly(self, group: GroupRecord, record: EngineRecord) -> bool:
        """Return whether a member loads weights with which it was expected to join.

        The members of a group formed without any weights load them; they have none staged.
        """
        spec = self._state.specs.get(group.service)
        model = spec.model(group.model) if spec is not None else None
        if spec is None or model is None or not record.belongs_to(group.group, group.epoch):
            return False
        if group.expected_s >= model.load_s and not record.state.staged:
            return False
        join_s = self._joining_s(record, group.model) + spec.report_lag_s + JOIN_MARGIN_S
        return record.is_late_to_join(group.model, join_s)

    def _advance_forming(self, group: GroupRecord, now_s: float) -> None:
        if self._state.touches_drained_hall(group):
            group.since_s = now_s
        leaving = self._leaving_member(group)
        if leaving is not None and self._is_adopted_open(group):
            self._begin_closing(group, leaving, now_s)
            return
        late = now_s - group.since_s > group.expected_s + self._state.tuning.form_slack_s
        too_late = Loss(PhaseCause.TOO_LATE) if late else None
        loss = (
            self._fatal_loss(group)
            or leaving
            or self._partly_drained(group)
            or self._missing_weights(group)
            or too_late
        )
        if loss is not None:
            group.enter(GroupPhase.DISSOLVING, now_s, loss.cause, loss.blamed)
            return
        for instance in group.members:
            self._admit_member(group, self._state.engines[instance], now_s)
        if len(group.ready) < len(group.members):
            return
        leader = self._state.engines[group.leader]
        assert leader.membership is not None
        if leader.membership.phase is MemberPhase.OPEN:
            group.enter(GroupPhase.SERVING, now_s, PhaseCause.OPENED)
            return
        if group.serving_from_s is None:
            self._state.issue_order(leader, Open(group.group, group.epoch), now_s)
        elif now_s >= group.serving_from_s:
            group.enter(GroupPhase.SERVING, now_s, PhaseCause.OPENED)

    def _admit_member(self, group: GroupRecord, record: EngineRecord, now_s: float) -> None:
        membership = record.membership
        if membership is not None and record.belongs_to(group.group, group.epoch):
            rank = group.members.index(record.instance)
            if not record.holds_rank(group.group, group.epoch, rank):
                record.mark_displaced()
            elif membership.phase in PROVING_PHASES:
                group.ready.add(record.instance)
            return
        if membership is None:
            join = Join(group.group, group.epoch, group.model, group.members)
            self._state.issue_order(record, join, now_s)

    def _advance_serving(self, group: GroupRecord, now_s: float) -> None:
        loss = self._fatal_loss(group)
        if loss is not None:
            group.enter(GroupPhase.DISSOLVING, now_s, loss.cause, loss.blamed)
            return
        leader = self._state.engines[group.leader]
        reported = self._report_is_current(leader, group)
        leader_closed = (
            leader.membership is not None and leader.membership.phase is not MemberPhase.OPEN
        )
        closing_cause = self._leaving_member(group) or (
            Loss(PhaseCause.SHUT) if reported and leader_closed else None
        )
        if closing_cause is not None:
            self._begin_closing(group, closing_cause, now_s)

    def _begin_closing(self, group: GroupRecord, loss: Loss, now_s: float) -> None:
        """Give a group's requests time to end before it is dissolved."""
        group.close_timeout_s = self._state.tuning.close_at_most_s
        group.enter(GroupPhase.CLOSING, now_s, loss.cause, loss.blamed)

    def _is_adopted_open(self, group: GroupRecord) -> bool:
        """Return whether a group served under a former holder, so that requests may run in it."""
        leader = self._state.engines[group.leader]
        is_open = leader.membership is not None and leader.membership.phase is MemberPhase.OPEN
        return group.cause is PhaseCause.ADOPTED and is_open and self._fatal_loss(group) is None

    def _report_is_current(self, leader: EngineRecord, group: GroupRecord) -> bool:
        """Return whether a leader's report dates from the group's current phase."""
        return leader.observed_s > group.since_s + self.report_lag_s(group.service)

    def _advance_closing(self, group: GroupRecord, now_s: float) -> None:
        leader = self._state.engines.get(group.leader)
        overdue = now_s - group.since_s > group.close_timeout_s
        loss = self._fatal_loss(group)
        if loss is not None:
            group.enter(GroupPhase.DISSOLVING, now_s, loss.cause, loss.blamed)
            return
        if leader is None or leader.membership is None or overdue:
            group.enter(GroupPhase.DISSOLVING, now_s, PhaseCause.OVERDUE)
            return
        if leader.membership.phase is MemberPhase.OPEN:
            self._state.issue_order(leader, Close(group.group, group.epoch), now_s)
        elif leader.membership.phase is MemberPhase.READY and self._report_is_current(
            leader, group
        ):
            group.enter(GroupPhase.DISSOLVING, now_s, PhaseCause.ENDED)

    def _advance_dissolving(self, group: GroupRecord, now_s: float) -> None:
        """Release each member once it and the leader have left.

        An unanswered join may be carried out at a member that has left already; it then belongs to
        the group again. It is not used elsewhere while the group's leader may be open.
        """
        for instance in group.members:
            record = self._state.engines.get(instance)
            if record is None or record.dead:
                group.released.add(instance)
                continue
            if record.belongs_to(group.group, group.epoch):
                self._state.issue_order(record, Leave(group.group, group.epoch), now_s)
                group.leave_ordered.add(instance)
            elif (
                record.pending_order is None
                and (instance in group.leave_ordered or record.observed_s > group.since_s)
                and not self._leader_stays(group)
            ):
                group.released.add(instance)
        if group.released.issuperset(group.members):
            del self._state.groups[group.group]

    def _leader_stays(self, group: GroupRecord) -> bool:
        """Return whether the leader of a dissolving group can be told to leave, but has not left.

        A leader that has ended, or in whose hall nothing is ordered, cannot be waited for.
        """
        leader = self._state.engines.get(group.leader)
        if leader is None or leader.dead or self._state.is_drained(leader):
            return False
        return leader.belongs_to(group.group, group.epoch)

    _PHASE_HANDLERS: dict[GroupPhase, Callable[["GroupLifecycle", GroupRecord, float], None]] = {
        GroupPhase.FORMING: _advance_forming,
        GroupPhase.SERVING: _advance_serving,
        GroupPhase.CLOSING: _advance_closing,
        GroupPhase.DISSOLVING: _advance_dissolving,
    }


__all__ = ["GroupLifecycle", "Loss"]
