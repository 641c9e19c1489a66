# SPDX-License-Identifier: Apache-2.0
"""Decision logic of the process that forms groups, without I/O."""

from collections.abc import Callable, Iterable, Mapping

from ochreway_core.ids import NO_EPOCH, Epoch, GroupId, HallId, InstanceId
from ochreway_direct.configuration import Configuration
from ochreway_direct.coordinator.assignment import Assignment
from ochreway_direct.coordinator.demand import Demand
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.formation import Formation, PlanSummary
from ochreway_direct.coordinator.grouprecord import GroupPhase, GroupRecord
from ochreway_direct.coordinator.lifecycle import GroupLifecycle
from ochreway_direct.coordinator.loadlimit import LoadLimit
from ochreway_direct.coordinator.probing import Probe, Probing
from ochreway_direct.coordinator.shortfall import Shortfall, find_shortfalls
from ochreway_direct.coordinator.staging import Staging
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.coordinator.summary import DomainSummary, summarize_domains
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.enginestate import EngineState
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.ids import ServiceName
from ochreway_direct.lastmodels import LastModels
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.lists.listing import DepartureTracker
from ochreway_direct.order import Join, Order, OrderOutcome, Stage
from ochreway_direct.platformhealth import NEVER_S

REPLAN_INTERVAL_S = 0.2
"""Interval at which a plan is made again if nothing is known to have changed."""
MIN_REPLAN_INTERVAL_S = 0.02
"""Minimum time between two plans; engine reports arrive by the dozen."""
MIN_SUSPICION_INTERVAL_S = 0.3
"""Minimum time between two suspicions of a group; many entries notice the same silence."""
MIN_PROBE_ALL_INTERVAL_S = 0.3
"""Minimum time between two probes of all engines while none answers; exceeds a probe timeout."""
PACE_DIGITS = 1
"""Decimal places of a group's pace in its view; each difference is sent to all entries."""
ACCEPTED_OUTCOMES = frozenset({OrderOutcome.HOLDS, OrderOutcome.BEGUN})
INCONCLUSIVE_OUTCOMES = frozenset(
    {
        OrderOutcome.UNKNOWN,
        OrderOutcome.CONFLICT,
        OrderOutcome.OTHER_INSTANCE,
        OrderOutcome.TURNED_AWAY,
    }
)


class Coordinator:
    """Compare the existing groups with the plan and issue orders.

    A group is opened only after each member was seen ready under the group's name, epoch and member
    list, and an engine joins only after it was seen to be in no group, on the condition that it has
    taken no order since. A coordinator whose lease has expired unnoticed can therefore delay a
    group, but never run two groups on one engine.
    """

    def __init__(
        self,
        tuning: CoordinatorTuning | None = None,
        is_answering: Callable[[GroupId], bool] = lambda _: False,
    ) -> None:
        """Start without engines; ``is_answering`` returns whether a group answers entries."""
        self.tuning = tuning or CoordinatorTuning()
        self._state = CoordinatorState(self.tuning)
        self._lifecycle = GroupLifecycle(self._state)
        self._formation = Formation(self._state)
        self._staging = Staging(self._state)
        self._probing = Probing(self._state, is_answering)
        self._listing = DepartureTracker()
        self._last_models = LastModels()
        self._began_s = 0.0
        self._list_grown_s = NEVER_S
        self._changed = True
        self._last_planned_s = NEVER_S
        self._phases: dict[GroupId, GroupPhase] = {}
        self._probed_all_s = NEVER_S
        self.fenced_orders = 0
        self._started = False
        self._probed_for_loads = False
        self._shortfalls: dict[ServiceName, tuple[Shortfall, ...]] = {}

    @property
    def engines(self) -> dict[InstanceId, EngineRecord]:
        """Return all known engines."""
        return self._state.engines

    @property
    def groups(self) -> dict[GroupId, GroupRecord]:
        """Return all known groups."""
        return self._state.groups

    @property
    def started(self) -> bool:
        """Return whether the engines were probed since ``begin``, so that views are current."""
        return self._started

    @property
    def foreign_epoch(self) -> Epoch:
        """Return the newest epoch seen above all that were issued here."""
        return self._state.foreign_epoch

    def is_superseded(self, instance: InstanceId, order: Order) -> bool:
        """Return whether an engine that rejected an order's epoch has seen one of another holder.

        Otherwise it has seen a newer one of this holder.
        """
        record = self.engines.get(instance)
        return record is None or not isinstance(order, Join) or order.epoch >= record.newest_join

    @property
    def demand(self) -> Demand:
        """Return the offered work."""
        return self._state.demand

    # Inputs

    def begin(self, epoch: Epoch, now_s: float, last_models: LastModels | None = None) -> None:
        """Start with epochs above ``epoch`` and the last models that are known of engines."""
        self._last_models = last_models or LastModels()
        self._state.epoch = epoch
        self._state.foreign_epoch = NO_EPOCH
        self._began_s = now_s
        self._changed = True
        self._started = False
        self._state.inherited_loads_seen = self._probed_for_loads = False
        self.groups.clear()
        self.engines.clear()
        self._listing = DepartureTracker()
        self._formation.plans.clear()
        self._shortfalls.clear()

    def configure(self, configuration: Configuration) -> None:
        """Apply the engine specifications of a configuration."""
        self._state.specs = {
            service.name: service.engine
            for service in configuration.services
            if service.engine is not None
        }
        for name, spec in self._state.specs.items():
            if name not in self._state.load_limits:
                self._state.load_limits[name] = LoadLimit(
                    self.tuning.loads_at_most(spec.loads_per_s),
                    self.tuning.loads_window_s + self.tuning.loads_slack_s,
                )

    def set_drained_halls(self, halls: frozenset[HallId]) -> None:
        """Replace the set of drained halls, which the plan leaves out.

        Engines of halls that are no longer drained are probed at once, as they were probed rarely
        before.
        """
        restored = self._state.drained_halls - halls
        self._state.drained_halls = halls
        self._changed = True
        for record in self.engines.values():
            if record.listed.hall in restored:
                record.probed_s = NEVER_S

    def on_listing(
        self, targets: Iterable[ListedTarget], now_s: float, regained_s: float = NEVER_S
    ) -> None:
        """Apply the platform's list; an engine that is no longer listed counts as leaving.

        An engine that is missing shortly after an outage of the store, which ended at
        ``regained_s``, may be listed again.
        """
        engines = {each.instance: each for each in targets if each.engine is not None}
        unlisted = self._listing.record_reading(engines, now_s, regained_s)
        self._changed = True
        if engines.keys() - self.engines.keys():
            self._list_grown_s = now_s
        for instance, listed in engines.items():
            self._update_listed(instance, listed, now_s)
        for instance, record in list(self.engines.items()):
            if instance in unlisted and record.unlisted_since_s is None:
                record.unlisted_since_s = now_s
                if not record.dead:
                    self._count_loss(record, now_s)

    def _update_listed(self, instance: InstanceId, listed: ListedTarget, now_s: float) -> None:
        record = self.engines.get(instance)
        if record is None:
            assert listed.engine is not None
            last_model = self._last_models.model_of(instance)
            self.engines[instance] = EngineRecord(
                *(listed, listed.engine),
                last_model=last_model,
                cold_until_s=now_s + listed.cold_s,
            )
            return
        if listed.engine != record.listed.engine:
            record.listed_change_due_s = now_s + self._lifecycle.report_lag_s(record.service)
        record.update_listing(listed, now_s)

    def on_state(self, instance: InstanceId, state: EngineState, now_s: float) -> None:
        """Apply an engine's own report."""
        record = self.engines.get(instance)
        if record is None:
            return
        record.probe_pending = False
        if record.displaced:
            return
        record.answered_s = now_s
        record.misses = 0
        record.suspected = False
        self._changed |= record.dead or record.backed_off or record.changed_by(state)
        record.dead = record.backed_off = False
        record.observe(state, now_s)
        if (
            record.staging is None
            or record.staging in state.staged
            or now_s > record.staging_until_s
        ):
            record.staging = None

    def on_silence(self, instance: InstanceId, refused: bool, now_s: float) -> None:
        """Record a missed probe; if ``refused``, no process listens at the engine's address."""
        record = self.engines.get(instance)
        if record is None:
            return
        record.probe_pending = False
        if not record.misses:
            record.missed_since_s = record.probed_s
        record.misses += 1
        misses_allowed = 1 if record.suspected else self.tuning.misses_until_dead
        if not refused and record.misses < misses_allowed:
            return
        if not refused and self._no_other_answered(record):
            self._probe_all(now_s)
            return
        if not record.dead:
            self._changed = True
            self._count_loss(record, now_s)
        record.dead = True

    def _no_other_answered(self, silent: EngineRecord) -> bool:
        """Return whether no other engine has answered a probe since this one became silent.

        In that case this process, its network or all engines may have stalled, not that one engine.
        """
        others = [
            each
            for each in self._state.engines_in_service()
            if each is not silent and not each.dead and not each.leaving
        ]
        return bool(others) and all(each.answered_s < silent.missed_since_s for each in others)

    def _probe_all(self, now_s: float) -> None:
        """Probe each engine at once, which soon shows whose silence it is."""
        if now_s - self._probed_all_s < MIN_PROBE_ALL_INTERVAL_S:
            return
        self._probed_all_s = now_s
        for record in self.engines.values():
            record.probed_s = NEVER_S

    def _count_loss(self, record: EngineRecord, now_s: float) -> None:
        """Record a loss in the loss rate, unless the hall is drained and may be switched off."""
        if not self._state.is_drained(record):
            self._state.loss_meter.record_loss(now_s)

    def on_probe_inconclusive(self, instance: InstanceId) -> None:
        """Record that a probe had no result; the engine is probed again."""
        record = self.engines.get(instance)
        if record is not None:
            record.probe_pending = False

    def on_backed_off(self, instance: InstanceId) -> None:
        """Record that an engine requested a backoff; no group is formed with it."""
        record = self.engines.get(instance)
        if record is not None:
            record.probe_pending = False
            record.answered_s = record.probed_s
            record.backed_off = True

    def on_order_outcome(
        self, instance: InstanceId, order: Order, outcome: OrderOutcome, now_s: float
    ) -> None:
        """Record the outcome of an order; the engine's next report shows its effect."""
        record = self.engines.get(instance)
        if record is None:
            return
        self._changed = True
        record.pending_order = None
        record.order_accepted = outcome in ACCEPTED_OUTCOMES
        if record.order_accepted:
            begun = outcome is OrderOutcome.BEGUN
            self._lifecycle.on_order_accepted(record, order, begun, now_s)
        if isinstance(order, Join) and outcome is OrderOutcome.CONFLICT:
            self._lifecycle.on_join_rejected(record, now_s)
        if outcome is OrderOutcome.OTHER_INSTANCE and not record.dead:
            self._count_loss(record, now_s)
            record.mark_displaced()
        if outcome not in INCONCLUSIVE_OUTCOMES:
            record.probed_s = 0.0
        if isinstance(order, Join) and outcome is OrderOutcome.FENCED:
            self._on_join_fenced(order)
        if isinstance(order, Stage) and outcome is not OrderOutcome.BEGUN:
            record.staging = None

    def _on_join_fenced(self, join: Join) -> None:
        """Give up a group whose epoch a member refuses, as a retry would be refused too.

        Its engines are free for a group with a newer epoch, if this process still holds the lease.
        That an engine has seen a newer epoch suggests that it does not.
        """
        self.fenced_orders += 1
        group = self.groups.get(join.group)
        if group is not None and group.epoch == join.epoch:
            group.fenced = True

    def suspect(self, group: GroupId, now_s: float) -> None:
        """Probe the members of a group at once."""
        suspected_group = self.groups.get(group)
        if (
            suspected_group is None
            or now_s - suspected_group.last_suspected_s < MIN_SUSPICION_INTERVAL_S
        ):
            return
        suspected_group.last_suspected_s = now_s
        for instance in suspected_group.members:
            record = self.engines.get(instance)
            if record is not None and not record.dead:
                record.suspected = True
                record.probed_s = 0.0

    def on_pause(self) -> None:
        """Discard missed probes after this process itself was paused."""
        for record in self.engines.values():
            record.misses = 0
            record.probe_pending = False

    # Outputs

    def due_probes(self, now_s: float) -> list[Probe]:
        """Return the probes to send now."""
        return self._probing.due(now_s)

    def views(self) -> tuple[GroupView, ...]:
        """Return the groups that accept requests."""
        group_views = []
        for group in self.groups.values():
            leader = self.engines.get(group.leader)
            if group.phase is not GroupPhase.SERVING or leader is None:
                continue
            pace = self._state.pace_of(group)
            listed = leader.listed
            group_views.append(
                GroupView(
                    group.group,
                    group.epoch,
                    group.service,
                    group.model,
                    group.leader,
                    listed.address,
                    listed.hall,
                    round(pace, PACE_DIGITS),
                    self._halls(group),
                    leader.state.born_ms,
                )
            )
        return tuple(group_views)

    def _halls(self, group: GroupRecord) -> tuple[HallId, ...]:
        return tuple(sorted({self.engines[each].listed.hall for each in group.members}))

    def summaries(self) -> tuple[DomainSummary, ...]:
        """Return a summary of the engines of each domain."""
        return summarize_domains(self.engines.values(), frozenset(self._state.unreleased_members()))

    @property
    def plans(self) -> Mapping[ServiceName, PlanSummary]:
        """Return the latest plan of each service."""
        return self._formation.plans

    @property
    def shortfalls(self) -> Mapping[ServiceName, tuple[Shortfall, ...]]:
        """Return the models of each service of which the latest plan found too few serving."""
        return self._shortfalls

    def count_loading(self, service: ServiceName) -> int:
        """Return the number of a service's engines that are loading weights."""
        return self._state.count_loading(service)

    def tick(self, now_s: float, may_order: bool = True) -> list[Assignment]:
        """Return the orders to send now; without ``may_order`` groups are only observed."""
        self._state.assignments = []
        self._state.may_order = may_order
        self._remove_departed()
        self._finish_startup(now_s)
        if not self._started:
            return []
        if self.demand.measured:
            self._state.loss_meter.advance(len(self.engines), now_s)
        self._check_inherited_loads(now_s)
        if not self._most_silent():
            self._lifecycle.advance(now_s)
            if may_order and self._plan_due(now_s):
                self._last_planned_s = now_s
                self._plan(now_s)
        return self._state.assignments

    def _plan(self, now_s: float) -> None:
        self._changed = False
        for service, spec in self._state.specs.items():
            outlook = self._formation.form_groups(service, spec, now_s)
            self._staging.order_loads(service, spec, outlook, now_s)
            self._shortfalls[service] = find_shortfalls(self._state, service, spec, outlook, now_s)

    def _check_inherited_loads(self, now_s: float) -> None:
        """Check whether the loads that the previous lease holder began have been observed.

        Reports lag, so loads that it began last are shown only by probes sent a lag later.
        """
        if self._state.inherited_loads_seen:
            return
        lag_s = max((spec.report_lag_s for spec in self._state.specs.values()), default=0.0)
        reports_from_s = self._began_s + lag_s
        if now_s < reports_from_s:
            return
        if not self._probed_for_loads:
            self._probed_for_loads = True
            for record in self.engines.values():
                record.probed_s = NEVER_S
        self._state.inherited_loads_seen = now_s - self._began_s >= self.tuning.settle_s or all(
            record.dead or record.misses or record.observed_s >= reports_from_s
            for record in self._state.engines_in_service()
        )

    def _plan_due(self, now_s: float) -> bool:
        """Return whether to plan groups and loads now.

        Planning takes a pass over all engines, so it waits for a change, or for an interval in
        which the load limit may have allowed more.
        """
        phases = {name: group.phase for name, group in self.groups.items()}
        if phases != self._phases:
            self._phases = phases
            self._changed = True
        elapsed_s = now_s - self._last_planned_s
        return elapsed_s >= (MIN_REPLAN_INTERVAL_S if self._changed else REPLAN_INTERVAL_S)

    def _startup_settled(self, now_s: float) -> bool:
        """Return whether every listed engine was probed since ``begin``, or enough time has passed.

        If no engine has weights yet, the list must be complete too: first loads that are planned
        from half of a list are repeated for the other half.
        """
        passed_s = now_s - self._began_s
        records = self._state.engines_in_service()
        probed = bool(records) and all(r.observed_s > 0 or r.misses for r in records)
        if not probed and passed_s < self.tuning.settle_s:
            return False
        if passed_s >= self.tuning.list_whole_at_most_s or not self._no_weights_seen():
            return True
        return now_s - self._list_grown_s >= self.tuning.list_whole_s

    def _no_weights_seen(self) -> bool:
        """Return whether no engine is in a group, has weights or is loading any."""
        return not any(
            record.membership or record.state.staged or record.state.busy
            for record in self._state.engines_in_service()
        )

    def _finish_startup(self, now_s: float) -> None:
        """Account for loads that the previous lease holder may have begun.

        Loads of the last window are still in progress, as a load takes longer than the window. A
        share of the limit is reserved for loads that were not observed yet or are on a lost engine.
        """
        if self._started or not self._startup_settled(now_s):
            return
        self._started = True
        no_weights_seen = self._no_weights_seen()
        self._state.inherited_loads_seen = no_weights_seen
        if not no_weights_seen:
            for service, limit in self._state.load_limits.items():
                unseen = int(limit.remaining(now_s) * self.tuning.loads_unseen_share)
                begun = self._state.count_loading_anywhere(service) + unseen
                limit.try_begin(now_s, min(begun, limit.remaining(now_s)))

    def _most_silent(self) -> bool:
        """Return whether so many engines are silent that the cause cannot be the engines.

        The cause must then be this process or its network. Engines of drained halls do not count,
        as they may have been switched off.
        """
        expected = [
            each
            for each in self._state.engines_in_service()
            if not each.leaving and not self._state.is_drained(each)
        ]
        silent = [each for each in expected if each.misses or each.dead]
        return len(silent) > self.tuning.silent_share_at_most * max(1, len(expected))

    def _remove_departed(self) -> None:
        grouped = {instance for group in self.groups.values() for instance in group.members}
        for instance, record in list(self.engines.items()):
            if record.dead and record.unlisted_since_s is not None and instance not in grouped:
                del self.engines[instance]


__all__ = ["Coordinator"]
