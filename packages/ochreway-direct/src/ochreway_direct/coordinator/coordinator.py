# SPDX-License-Identifier: Apache-2.0
"""The decisions of the process that forms groups, without input or output."""

from collections.abc import Callable, Iterable, Mapping

from ochreway_core.ids import Epoch, GroupId, HallId, InstanceId
from ochreway_direct.configuration import Configuration
from ochreway_direct.coordinator.assignment import Assignment
from ochreway_direct.coordinator.demand import Demand
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.formation import Formation, PlanSummary
from ochreway_direct.coordinator.grouprecord import SPANNING, GroupPhase, GroupRecord
from ochreway_direct.coordinator.lifecycle import GroupLifecycle
from ochreway_direct.coordinator.loadlimit import LoadLimit
from ochreway_direct.coordinator.probing import Probe, Probing
from ochreway_direct.coordinator.staging import Staging
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.coordinator.summary import DomainSummary, summaries
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.enginestate import EngineState
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.ids import ServiceName
from ochreway_direct.lastmodels import LastModels
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.lists.listing import DepartureTracker
from ochreway_direct.order import Join, Order, OrderOutcome, Stage
from ochreway_direct.platformhealth import NEVER_S

PLAN_AGAIN_S = 0.2
"""How soon a plan is looked at again though nothing is known to have changed."""
PLAN_LEAST_GAP_S = 0.02
"""The least time between two looks: answers of engines come in by the dozen."""
SUSPECTED_AGAIN_S = 0.3
"""How soon a group may be suspected again: many entries notice the same silence."""
ASK_ALL_AGAIN_S = 0.3
"""How soon all engines may be asked again while none answers: a little longer than they have."""
PACE_DIGITS = 1
"""How finely entries are told a group's pace: each difference is news to all of them."""
TAKEN = frozenset({OrderOutcome.HOLDS, OrderOutcome.BEGUN})
UNSETTLED = frozenset(
    {
        OrderOutcome.UNKNOWN,
        OrderOutcome.CONFLICT,
        OrderOutcome.OTHER_INSTANCE,
        OrderOutcome.TURNED_AWAY,
    }
)


class Coordinator:
    """Compare the groups there are with those there should be, and give orders.

    A group is opened only when each member was seen ready under its name, epoch and list, and
    an engine joins only when it was seen to be in no group, so a coordinator whose lease has
    lapsed unnoticed can delay a group but never run two on one engine.
    """

    def __init__(
        self,
        tuning: CoordinatorTuning | None = None,
        heard: Callable[[GroupId], bool] = lambda _: False,
    ) -> None:
        """Start without engines; ``heard`` tells whether entries have answers from a group."""
        self.tuning = tuning or CoordinatorTuning()
        self._state = CoordinatorState(self.tuning)
        self._lifecycle = GroupLifecycle(self._state)
        self._formation = Formation(self._state)
        self._staging = Staging(self._state)
        self._probing = Probing(self._state, heard)
        self._listing = DepartureTracker()
        self._last_models = LastModels()
        self._began_s = 0.0
        self._grown_s = NEVER_S
        self._changed = True
        self._planned_s = NEVER_S
        self._phases: dict[GroupId, GroupPhase] = {}
        self._asked_all_s = NEVER_S
        self.fenced_orders = 0
        self._started = False
        self._asked_again = False

    @property
    def engines(self) -> dict[InstanceId, EngineRecord]:
        """Return every engine that is known."""
        return self._state.engines

    @property
    def groups(self) -> dict[GroupId, GroupRecord]:
        """Return every group that is known."""
        return self._state.groups

    @property
    def started(self) -> bool:
        """Tell whether the engines were asked since this began, so that its views are its own."""
        return self._started

    @property
    def demand(self) -> Demand:
        """Return the work that is offered."""
        return self._state.demand

    # What is learned.

    def begin(self, epoch: Epoch, now_s: float, last_models: LastModels | None = None) -> None:
        """Start with epochs above the one given, and what is known of engines from before."""
        self._last_models = last_models or LastModels()
        self._state.epoch = epoch
        self._began_s = now_s
        self._changed = True
        self._started = False
        self._state.loads_seen = self._asked_again = False
        self.groups.clear()
        self.engines.clear()
        self._listing = DepartureTracker()
        self._formation.plans.clear()

    def configure(self, configuration: Configuration) -> None:
        """Take the engines' figures from a configuration."""
        self._state.specs = {
            service.name: service.engine
            for service in configuration.services
            if service.engine is not None
        }
        for name, spec in self._state.specs.items():
            if name not in self._state.limits:
                self._state.limits[name] = LoadLimit(
                    self.tuning.loads_at_most(spec.loads_per_s),
                    self.tuning.loads_window_s + self.tuning.loads_slack_s,
                )

    def drain(self, halls: frozenset[HallId]) -> None:
        """Plan without some halls from now on, and with others that were given back.

        Engines of these are asked at once, as they were asked rarely meanwhile.
        """
        restored = self._state.draining - halls
        self._state.draining = halls
        self._changed = True
        for record in self.engines.values():
            if record.listed.hall in restored:
                record.probed_s = NEVER_S

    def on_listing(
        self, targets: Iterable[ListedTarget], now_s: float, regained_s: float = NEVER_S
    ) -> None:
        """Take the platform's list; an engine that is not on it any more is leaving.

        One that is missing just after an outage of the store, which ended at ``regained_s``,
        may come back.
        """
        engines = {each.instance: each for each in targets if each.engine is not None}
        gone = self._listing.record_reading(engines, now_s, regained_s)
        self._changed = True
        if engines.keys() - self.engines.keys():
            self._grown_s = now_s
        for instance, listed in engines.items():
            self._list(instance, listed, now_s)
        for instance, record in list(self.engines.items()):
            if instance in gone and record.missing_s is None:
                record.missing_s = now_s
                if not record.dead:
                    self._count_loss(record, now_s)

    def _list(self, instance: InstanceId, listed: ListedTarget, now_s: float) -> None:
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
            record.news_due_s = now_s + self._lifecycle.report_lag_s(record.service)
        record.list(listed, now_s)

    def on_state(self, instance: InstanceId, state: EngineState, now_s: float) -> None:
        """Take an engine's own report."""
        record = self.engines.get(instance)
        if record is None:
            return
        record.probing = False
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
        """Note that an engine did not answer; nothing listens there when it refused."""
        record = self.engines.get(instance)
        if record is None:
            return
        record.probing = False
        if not record.misses:
            record.missed_since_s = record.probed_s
        record.misses += 1
        allowed = 1 if record.suspected else self.tuning.misses_until_dead
        if not refused and record.misses < allowed:
            return
        if not refused and self._nobody_answers(record):
            self._ask_all(now_s)
            return
        if not record.dead:
            self._changed = True
            self._count_loss(record, now_s)
        record.dead = True

    def _nobody_answers(self, silent: EngineRecord) -> bool:
        """Tell whether no other engine answered what it was asked since one fell silent.

        It may be this process, its network or all engines that stand still then, not that one.
        """
        others = [
            each
            for each in self.engines.values()
            if each is not silent and not each.dead and not each.leaving
        ]
        return bool(others) and all(each.answered_s < silent.missed_since_s for each in others)

    def _ask_all(self, now_s: float) -> None:
        """Ask each engine at once, so that it shows soon whose silence it is."""
        if now_s - self._asked_all_s < ASK_ALL_AGAIN_S:
            return
        self._asked_all_s = now_s
        for record in self.engines.values():
            record.probed_s = NEVER_S

    def _count_loss(self, record: EngineRecord, now_s: float) -> None:
        """Count a loss to be expected again; engines of a drained hall may be switched off."""
        if not self._state.drains(record):
            self._state.losses.lost(now_s)

    def on_unsettled(self, instance: InstanceId) -> None:
        """Note that nothing was learned from a probe; the engine is asked again."""
        record = self.engines.get(instance)
        if record is not None:
            record.probing = False

    def on_backed_off(self, instance: InstanceId) -> None:
        """Note that an engine asked to be left alone, so that no group is begun with it."""
        record = self.engines.get(instance)
        if record is not None:
            record.probing = False
            record.answered_s = record.probed_s
            record.backed_off = True

    def on_outcome(
        self, instance: InstanceId, order: Order, outcome: OrderOutcome, now_s: float
    ) -> None:
        """Note what became of an order; the next report tells the rest."""
        record = self.engines.get(instance)
        if record is None:
            return
        self._changed = True
        record.pending = None
        record.taken = outcome in TAKEN
        if record.taken:
            self._lifecycle.on_taken(record, order, now_s)
        if outcome is OrderOutcome.OTHER_INSTANCE and not record.dead:
            self._count_loss(record, now_s)
            record.displace()
        if outcome not in UNSETTLED:
            record.probed_s = 0.0
        if isinstance(order, Join) and outcome is OrderOutcome.FENCED:
            self._on_fenced(order)
        if isinstance(order, Stage) and outcome is not OrderOutcome.BEGUN:
            record.staging = None

    def _on_fenced(self, join: Join) -> None:
        """Give up a group that a member refuses for its epoch; asking again would not help.

        Its engines are free for a group with a newer epoch, if this process still holds the
        lease: that an engine has seen a newer one suggests that it does not.
        """
        self.fenced_orders += 1
        group = self.groups.get(join.group)
        if group is not None and group.epoch == join.epoch:
            group.fenced = True

    def suspect(self, group: GroupId, now_s: float) -> None:
        """Ask a group's members for their state at once."""
        found = self.groups.get(group)
        if found is None or now_s - found.suspected_s < SUSPECTED_AGAIN_S:
            return
        found.suspected_s = now_s
        for instance in found.members:
            record = self.engines.get(instance)
            if record is not None and not record.dead:
                record.suspected = True
                record.probed_s = 0.0

    def on_pause(self) -> None:
        """Forget silences, as this process itself stood still."""
        for record in self.engines.values():
            record.misses = 0
            record.probing = False

    # What is asked for.

    def due_probes(self, now_s: float) -> list[Probe]:
        """Return the engines to ask for their state now, and why."""
        return self._probing.due(now_s)

    def views(self) -> tuple[GroupView, ...]:
        """Return the groups that take requests."""
        found = []
        for group in self.groups.values():
            leader = self.engines.get(group.leader)
            if group.phase is not GroupPhase.SERVING or leader is None:
                continue
            pace = max(self.engines[each].state.pace for each in group.members)
            if group.domain == SPANNING:
                pace *= self._state.specs[group.service].far_factor
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
                    round(pace, PACE_DIGITS),
                    self._halls(group),
                    leader.state.born_ms,
                )
            )
        return tuple(found)

    def _halls(self, group: GroupRecord) -> tuple[HallId, ...]:
        return tuple(sorted({self.engines[each].listed.hall for each in group.members}))

    def summaries(self) -> tuple[DomainSummary, ...]:
        """Return what the engines of each domain are doing."""
        return summaries(self.engines.values(), frozenset(self._state.held()))

    @property
    def plans(self) -> Mapping[ServiceName, PlanSummary]:
        """Return the newest plan of each service."""
        return self._formation.plans

    def loading(self, service: ServiceName) -> int:
        """Return how many engines of a service are getting weights."""
        return self._state.loading(service)

    def tick(self, now_s: float) -> list[Assignment]:
        """Return the orders to give now."""
        self._state.out = []
        self._forget()
        self._begin_loads(now_s)
        if not self._started:
            return []
        if self.demand.measured:
            self._state.losses.step(len(self.engines), now_s)
        self._see_loads(now_s)
        if not self._all_silent():
            self._lifecycle.step(now_s)
            if self._plan_due(now_s):
                self._planned_s = now_s
                self._plan(now_s)
        return self._state.out

    def _plan(self, now_s: float) -> None:
        self._changed = False
        for service, spec in self._state.specs.items():
            outlook = self._formation.step(service, spec, now_s)
            self._staging.step(service, spec, outlook, now_s)

    def _see_loads(self, now_s: float) -> None:
        """Find out whether the loads that the holder before this one began have been seen.

        Reports lag, so those of its last moment are shown only by what is asked a while later.
        """
        if self._state.loads_seen:
            return
        lag_s = max(spec.report_lag_s for spec in self._state.specs.values())
        seen_from_s = self._began_s + lag_s
        if now_s < seen_from_s:
            return
        if not self._asked_again:
            self._asked_again = True
            for record in self.engines.values():
                record.probed_s = NEVER_S
        self._state.loads_seen = now_s - self._began_s >= self.tuning.settle_s or all(
            record.dead or record.misses or record.observed_s >= seen_from_s
            for record in self.engines.values()
        )

    def _plan_due(self, now_s: float) -> bool:
        """Tell whether to look at what could be formed and loaded.

        That takes a pass over all engines, so it waits for a change, or for a while in which
        the bound on loads may have allowed more.
        """
        phases = {name: group.phase for name, group in self.groups.items()}
        if phases != self._phases:
            self._phases = phases
            self._changed = True
        rested_s = now_s - self._planned_s
        return rested_s >= (PLAN_LEAST_GAP_S if self._changed else PLAN_AGAIN_S)

    def _settled(self, now_s: float) -> bool:
        """Tell whether every listed engine was asked since this began, or long enough passed.

        Where no engine has weights yet the list has to be whole too, as first loads that go by
        half of it are begun again for the other half.
        """
        passed_s = now_s - self._began_s
        records = self.engines.values()
        asked = bool(records) and all(r.observed_s > 0 or r.misses for r in records)
        if not asked and passed_s < self.tuning.settle_s:
            return False
        if passed_s >= self.tuning.list_whole_at_most_s or not self._untouched():
            return True
        return now_s - self._grown_s >= self.tuning.list_whole_s

    def _untouched(self) -> bool:
        """Tell whether no engine is in a group, has weights or is about to get any."""
        return not any(
            record.membership or record.state.staged or record.state.busy
            for record in self.engines.values()
        )

    def _begin_loads(self, now_s: float) -> None:
        """Take into account the loads that the holder before this one may have begun.

        Those of the last window still go on, as loading takes longer than it. What was not
        seen yet, or was on an engine that is lost, is allowed for by a share of the bound.
        """
        if self._started or not self._settled(now_s):
            return
        self._started = True
        untouched = self._untouched()
        self._state.loads_seen = untouched
        if not untouched:
            for service, limit in self._state.limits.items():
                unseen = int(limit.left(now_s) * self.tuning.loads_unseen_share)
                begun = self._state.loading_anywhere(service) + unseen
                limit.take(now_s, min(begun, limit.left(now_s)))

    def _all_silent(self) -> bool:
        """Tell whether so many engines are silent that the fault cannot be theirs.

        The fault must be this process's own or its network's then. Engines of drained halls do
        not count, as they may have been switched off.
        """
        answering = [
            each
            for each in self.engines.values()
            if not each.leaving and not self._state.drains(each)
        ]
        silent = [each for each in answering if each.misses or each.dead]
        return len(silent) > self.tuning.silent_share_at_most * max(1, len(answering))

    def _forget(self) -> None:
        grouped = {instance for group in self.groups.values() for instance in group.members}
        for instance, record in list(self.engines.items()):
            if record.dead and record.missing_s is not None and instance not in grouped:
                del self.engines[instance]


__all__ = ["Coordinator"]
