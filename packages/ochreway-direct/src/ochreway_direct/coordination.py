# SPDX-License-Identifier: Apache-2.0
"""Execution of the coordinator's decisions: probes and orders to engines."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable

from ochreway_core.ids import Epoch, GroupId, InstanceId
from ochreway_core.targetnotice import TargetNotice
from ochreway_direct.coordinator import Assignment, Coordinator, CoordinatorTuning
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.formation import PlanSummary
from ochreway_direct.coordinator.grouprecord import GroupPhase, PhaseCause
from ochreway_direct.coordinator.probing import URGENT_CAUSES
from ochreway_direct.ids import ServiceName
from ochreway_direct.lastmodels import LastModels
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.noticewatch import NoticeWatch
from ochreway_direct.order import OrderOutcome
from ochreway_direct.plans.planlog import PlanLog
from ochreway_direct.plans.shortfalllog import ShortfallLog
from ochreway_direct.ports import EngineControl
from ochreway_direct.timing import DirectTiming
from ochreway_platform.errors import (
    PlatformError,
    ReportUnreadable,
    TargetTurnedAway,
    TargetUnreachable,
)
from ochreway_platform.targetcheck import TargetCheck
from ochreway_runtime.logs import EventLog
from ochreway_runtime.looplag import LoopLag
from ochreway_runtime.metrics import Metrics
from ochreway_runtime.repeats import RepeatedFault

Spawn = Callable[[Coroutine[None, None, None]], object]
SUMMARY_INTERVAL_S = 1.0
"""How often a summary of each domain is logged in detail."""
MAX_STALL_SHARE = 0.3
"""Maximum share of a probe's timeout that this process may stall for a missing answer to count.

Answers take a few ms, so the rest of the timeout is long enough for one.
"""
LOST_GROUP_RETENTION_S = 3.0
"""How long a lost group is listed in fleet updates."""


class Coordination:
    """Run the coordinator's ticks, and its probes and orders as tasks."""

    def __init__(
        self,
        engines: EngineControl,
        timing: DirectTiming,
        tuning: CoordinatorTuning,
        spawn: Spawn,
        on_changed: Callable[[], None],
        on_fenced: Callable[[], None],
        lag: LoopLag,
        is_answering: Callable[[GroupId], bool],
        notices: NoticeWatch,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self.coordinator = Coordinator(tuning, is_answering)
        self._engines = engines
        self._timing = timing
        self._spawn = spawn
        self._on_changed = on_changed
        self._on_fenced = on_fenced
        self._lag = lag
        self._notices = notices
        self._target_check = TargetCheck()
        self._log = log
        self._metrics = metrics
        self._unreadable = RepeatedFault(log, "report_unreadable")
        self._phases: dict[GroupId, GroupPhase] = {}
        self._lost_since_s: dict[GroupId, float] = {}
        self._summary_due_s = 0.0
        self._plan_log = PlanLog(log)
        self._shortfall_log = ShortfallLog(log, metrics)
        self._counted_plans: dict[ServiceName, PlanSummary] = {}

    def begin(
        self,
        epoch: Epoch,
        targets: Iterable[ListedTarget],
        last_models: LastModels,
        now_s: float,
        regained_s: float,
    ) -> None:
        """Start coordinating, with epochs above the given one and the targets known so far."""
        self.coordinator.begin(epoch, now_s, last_models)
        self.coordinator.on_listing(targets, now_s, regained_s)
        self._phases.clear()
        self._plan_log.reset()

    def update_targets(
        self, targets: Iterable[ListedTarget], now_s: float, regained_s: float
    ) -> None:
        """Apply the platform's list; the store's last outage ended at ``regained_s``."""
        self.coordinator.on_listing(targets, now_s, regained_s)

    def run_tick(self, now_s: float, may_order: bool = True) -> bool:
        """Start the due orders and probes; return whether a group's phase changed."""
        for assignment in self.coordinator.tick(now_s, may_order):
            self._metrics.count(f"order.{type(assignment.order).__name__.lower()}")
            self._spawn(self._send_order(assignment))
        for probe in self.coordinator.due_probes(now_s):
            self._metrics.count(f"probe.{probe.cause.value}")
            self._spawn(self._probe(probe.record, probe.cause in URGENT_CAUSES))
        if now_s >= self._summary_due_s:
            self._summary_due_s = now_s + SUMMARY_INTERVAL_S
            self._log_domains()
        self._log_plans(now_s)
        return self._log_phases(now_s)

    def _log_domains(self) -> None:
        for each in self.coordinator.summaries():
            able = ",".join(f"{model}:{number}" for model, number in sorted(each.joinable.items()))
            self._log.detail(
                "domain",
                domain=each.domain,
                members=each.members,
                free=each.free,
                able=able,
                loading=each.loading,
                silent=each.silent,
                leaving=each.leaving,
            )

    def _log_plans(self, now_s: float) -> None:
        for service, plan in self.coordinator.plans.items():
            if plan is not self._counted_plans.get(service):
                self._counted_plans[service] = plan
                if plan.covered:
                    self._metrics.count("plan.covered")
            if self._plan_log.due(service, now_s):
                self._plan_log.log_plan(
                    service, plan, self.coordinator.count_loading(service), now_s
                )
        for service, shortfalls in self.coordinator.shortfalls.items():
            self._shortfall_log.log_shortfalls(service, shortfalls, now_s)

    def lost_groups(self, now_s: float) -> tuple[GroupId, ...]:
        """Return the recently lost groups, whose requests have to be abandoned."""
        self._lost_since_s = {
            g: at_s
            for g, at_s in self._lost_since_s.items()
            if now_s - at_s < LOST_GROUP_RETENTION_S
        }
        return tuple(self._lost_since_s)

    def _log_phases(self, now_s: float) -> bool:
        phases = {name: group.phase for name, group in self.coordinator.groups.items()}
        if phases == self._phases:
            return False
        for name, phase in phases.items():
            before = self._phases.get(name)
            if phase is before:
                continue
            group = self.coordinator.groups[name]
            self._log.event(
                "group",
                group=name,
                epoch=group.epoch,
                phase=phase.value,
                cause=group.cause.value,
                blamed=group.blamed or "",
                model=group.model,
                members=",".join(group.members),
                domain=group.domain,
            )
            # A group that ended by itself has no requests left: listing it as lost would only make
            # entries abandon and repeat the ones that they sent there last.
            if phase is GroupPhase.DISSOLVING and group.cause is not PhaseCause.ENDED:
                self._lost_since_s[name] = now_s
        self._phases = phases
        return True

    async def _send_order(self, assignment: Assignment) -> None:
        outcome = OrderOutcome.UNKNOWN
        try:
            outcome = await self._try_order(assignment)
        finally:
            self.coordinator.on_order_outcome(
                assignment.instance,
                assignment.order,
                outcome,
                asyncio.get_running_loop().time(),
            )
            self._on_changed()
        if outcome is OrderOutcome.FENCED:
            self._log.event("order_fenced", instance=assignment.instance, order=assignment.order)
            if self.coordinator.is_superseded(assignment.instance, assignment.order):
                self._on_fenced()
        self._metrics.count(f"order_outcome.{outcome.value}")
        self._log.detail(
            "order", instance=assignment.instance, order=assignment.order, outcome=outcome.value
        )

    async def _try_order(self, assignment: Assignment) -> OrderOutcome:
        """Send an order, unless its engine requested a backoff; it is then repeated later."""
        born_ms = self._born_ms(assignment.instance)
        if self._notices.backed_off(assignment.instance, born_ms):
            self._metrics.count("order.withheld")
            return OrderOutcome.TURNED_AWAY
        try:
            return await self._engines.order(
                assignment.address,
                assignment.instance,
                assignment.order,
                self._timing.order_timeout_s,
                assignment.orders_taken,
            )
        except TargetTurnedAway as rejection:
            self._notices.on_notice(assignment.instance, rejection.notice, born_ms)
            return OrderOutcome.TURNED_AWAY

    def _born_ms(self, instance: InstanceId) -> int | None:
        """Return the start time of the listed incarnation; requests of a former one are void."""
        record = self.coordinator.engines.get(instance)
        return record.listed.born_ms if record is not None else None

    async def _check_process(self, record: EngineRecord) -> None:
        """Check whether the process of an engine exists, without a query to it.

        The loss of a leader that requested a backoff, or announced a limit, is thus detected as
        fast as any other, and its group repaired.
        """
        self._metrics.count("probe.unasked")
        ended = await self._target_check.ended(record.listed.address)
        if ended:
            self._on_probe_failed(record, "connection refused", refused=True)
        else:
            self.coordinator.on_backed_off(record.instance)

    def _on_probe_failed(self, record: EngineRecord, cause: object, refused: bool) -> None:
        was_dead = record.dead
        now_s = asyncio.get_running_loop().time()
        self.coordinator.on_silence(record.instance, refused, now_s)
        if record.dead and not was_dead:
            self._log.event(
                "engine_lost", instance=record.instance, misses=record.misses, cause=cause
            )
            return
        if not record.dead and record.misses >= self.coordinator.tuning.misses_until_dead:
            self._metrics.count("probe.nobody_answered")
        self._log.detail("engine_silent", instance=record.instance, cause=cause)

    async def _probe(self, record: EngineRecord, urgent: bool = False) -> None:
        instance = record.instance
        if not self._notices.may_query(instance, record.listed.born_ms, urgent):
            await self._check_process(record)
            return
        timeout_s = self._timing.probe_timeout_s
        loop = asyncio.get_running_loop()
        probed_s = loop.time()
        try:
            state = await self._engines.state(record.listed.address, instance, timeout_s)
        except TargetTurnedAway as rejection:
            self._notices.on_notice(instance, rejection.notice, record.listed.born_ms)
            self.coordinator.on_backed_off(instance)
            return
        except PlatformError as error:
            if isinstance(error, ReportUnreadable):
                self._metrics.count("probe.unreadable")
                self._unreadable.log_occurrence(f"{instance}: {error}", loop.time())
            refused = isinstance(error, TargetUnreachable)
            stalled_s = self._lag.stalled_since(probed_s, loop.time())
            if not refused and stalled_s > MAX_STALL_SHARE * timeout_s:
                # The answer may have arrived while this process itself was stalled.
                self._metrics.count("probe.own_stall")
                self.coordinator.on_probe_inconclusive(instance)
                return
            self._on_probe_failed(record, error, refused)
            return
        if state.limit_per_s is not None:
            self._notices.on_reported_limit(instance, state.limit_per_s, state.born_ms)
        if state.leaving:
            self._notices.on_notice(instance, TargetNotice(leaving=True), state.born_ms)
        state_changed = (
            state.membership != record.membership or state.leaving != record.state.leaving
        )
        self.coordinator.on_state(instance, state, probed_s)
        if state_changed:
            self._on_changed()


__all__ = ["Coordination"]
