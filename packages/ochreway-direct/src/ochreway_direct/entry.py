# SPDX-License-Identifier: Apache-2.0
"""The process of a direct entry: its parts and their connections."""

import asyncio
import random
import secrets
from collections.abc import Callable, Coroutine
from typing import Any

from ochreway_core.backoff import Backoff
from ochreway_core.crashnews import CrashNews
from ochreway_core.ids import NO_EPOCH, GroupId, HallId, NodeId
from ochreway_core.peer import Peer
from ochreway_direct.bounds.resourcebounds import bounds_of
from ochreway_direct.bounds.resourcewatch import CHECK_INTERVAL_S, ResourceWatch
from ochreway_direct.buffering.buffers import CHECK_INTERVAL_S as READER_CHECK_INTERVAL_S
from ochreway_direct.buffering.buffers import Buffers
from ochreway_direct.buffering.heldlimits import HeldLimits
from ochreway_direct.coordination import Coordination
from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_direct.crashes.crashkeeper import CrashKeeper
from ochreway_direct.crashes.crashspread import CrashSpread
from ochreway_direct.crashes.crashwatch import CrashWatch
from ochreway_direct.demand.demandmeter import DemandMeter
from ochreway_direct.demand.firsttries import FirstTries
from ochreway_direct.dependencies import Dependencies
from ochreway_direct.drains.drainkeeper import DrainKeeper
from ochreway_direct.drains.halldrains import HallDrains
from ochreway_direct.earlylistener import PROCESS_START_S
from ochreway_direct.entries.heartbeats import Heartbeats
from ochreway_direct.entries.knownentry import KnownEntry
from ochreway_direct.entries.peers import Peers
from ochreway_direct.fleets.fleet import SAMPLED_GROUPS, Fleet
from ochreway_direct.fleets.fleetsharing import FleetSharing
from ochreway_direct.fleets.fleetview import FleetView
from ochreway_direct.halls.homecheck import HomeCheck
from ochreway_direct.halls.homes import Homes
from ochreway_direct.leases.authority import Authority
from ochreway_direct.leases.lease import Holder, Lease
from ochreway_direct.leases.leasekeeper import LeaseKeeper
from ochreway_direct.lists.listfollower import ListFollower
from ochreway_direct.mechanism import Mechanism
from ochreway_direct.messages import (
    ConfigurationRequest,
    ConfigurationUpdate,
    FleetChange,
    FleetRequest,
    FleetUpdate,
    Heartbeat,
    ListUpdate,
    Suspicion,
)
from ochreway_direct.noticewatch import NoticeWatch
from ochreway_direct.platformhealth import PlatformHealth
from ochreway_direct.ports import PlatformServices
from ochreway_direct.relay.idlelimits import IdleLimits
from ochreway_direct.sendlimits.borrower import Borrower
from ochreway_direct.sendlimits.coldtargets import ColdTargets
from ochreway_direct.sendlimits.fleetlimit import FleetLimit
from ochreway_direct.sendlimits.loankeeper import LoanKeeper
from ochreway_direct.sendlimits.loanregister import LoanRegister
from ochreway_direct.sendlimits.loans import Loans
from ochreway_direct.sendlimits.staticshare import StaticShare
from ochreway_direct.serving import Serving
from ochreway_direct.settings import DirectSettings
from ochreway_direct.startsteps import StartSteps
from ochreway_direct.targetlimits.limitgate import LimitGate
from ochreway_direct.targetlimits.limitpool import LimitPool
from ochreway_direct.targetlimits.limitsharing import LimitSharing
from ochreway_direct.timing import DirectTiming
from ochreway_direct.versions.configurationfollower import ConfigurationFollower
from ochreway_direct.versions.freshness import Freshness
from ochreway_direct.versions.versionsharing import VersionSharing
from ochreway_routing.backoffs import Backoffs
from ochreway_routing.crashbook import CrashBook
from ochreway_routing.retrybudget import RetryBudget
from ochreway_routing.targetlimits import TargetLimits
from ochreway_runtime.clients.clientaccount import CHECK_INTERVAL_S as CLIENT_CHECK_INTERVAL_S
from ochreway_runtime.clients.clientaccount import ClientAccount
from ochreway_runtime.clients.squeeze import squeeze_of
from ochreway_runtime.logs import EventLog
from ochreway_runtime.looplag import STALL_RETENTION_S, LoopLag
from ochreway_runtime.metrics import Metrics
from ochreway_runtime.supervisor import Supervisor
from ochreway_runtime.suspension import SuspensionDetector
from ochreway_runtime.timer import TimerService
from ochreway_wire.batch import Batch
from ochreway_wire.links import Links, LinkSettings

EACH_TICK_S = 0.0
COUNTERS_LOG_INTERVAL_S = 5.0
"""How often all counters are written to the log in detail."""
TICK_REST_FACTOR = 4.0
"""Minimum pause after a coordinator tick, as a multiple of its duration.

Ticks thus take at most a fifth of the processor, and requests have the rest.
"""
MAX_FAILING_S = 2.0
"""How long all coordinator ticks may fail before the lease is left to another entry."""
GIVEN_UP_REST_S = 10.0
"""How long this entry does not acquire the lease again after that, as the others come first."""
SUSPECT_SILENCE_S = 0.3
"""How long all answers of a group have to stall before its members are probed at once."""
SUSPECT_INTERVAL_S = 0.15
"""How often silent groups are looked for, and the minimum time between suspicions of one group."""


class DirectEntry:
    """Own the state of the entry, and the tasks that update and publish it."""

    def __init__(
        self,
        settings: DirectSettings,
        services: PlatformServices,
        timing: DirectTiming,
        log: EventLog,
        metrics: Metrics,
        idle_limits: IdleLimits | None = None,
    ) -> None:
        """Set up all parts; ``idle_limits`` bounds idle connections to targets."""
        self.settings = settings
        self.log = log
        self.metrics = metrics
        self._services = services
        self._timing = timing
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self.me = Peer(NodeId(settings.name), settings.link_listen)
        self._cold = ColdTargets(log)
        self._static_share = StaticShare(self.me.node, len(settings.peer), self._loop.time())
        self._limit = self._fleet_limit()
        backoffs = Backoffs()
        limits = TargetLimits()
        self.notices = NoticeWatch(backoffs, limits, log, metrics)
        pool = LimitPool(self.me.node, self._static_share, self._loop.time())
        fleet = Fleet(
            HallId(settings.hall),
            self._random,
            counts_unread=settings.has(Mechanism.UNREAD_PROMPTS),
            sample_size=SAMPLED_GROUPS if settings.has(Mechanism.SAMPLED_CHOICE) else None,
            limit=self._limit,
            backoffs=backoffs,
            gate=LimitGate(limits, pool) if settings.has(Mechanism.LIMITS_KEPT) else None,
        )
        freshness = Freshness(settings.key_trust_s, settings.key_trust)
        self.serving = Serving(fleet, freshness, homes=Homes(settings.region_of))
        self.health = PlatformHealth()
        self.meter = DemandMeter(self._loop.time())
        self.first_tries = FirstTries(self.meter, metrics, self._loop.time())
        self.retry_budget = RetryBudget(settings.retries_per_request)
        known_entry = KnownEntry(self.me, HallId(settings.hall), settings.strength)
        self.peers = Peers(known_entry, timing.peer_silent_s)
        self.resources = ResourceWatch(
            *(bounds_of(settings), self.serving, self.peers, log, metrics, idle_limits),
            on_memory=self._on_memory,
        )
        self.supervisor = Supervisor(log, metrics)
        self.timer = TimerService(timing.tick_s, self.supervisor)
        self.lag = LoopLag(timing.tick_s, log)
        self.serving.lag = self.lag
        self.buffers = self._new_buffers()
        self.clients = ClientAccount(log, metrics, bounds_of(settings).client_bytes)
        self.links = Links(
            self.me,
            LinkSettings(settings.link_key.encode(), compressed=True),
            lambda: self.serving.version,
            self._on_batch,
            self._on_link_down,
            self._on_link_up,
            self.supervisor.report,
            lambda: metrics.count("link.unproven"),
        )
        incarnation = secrets.token_hex(6)
        self.lease = Lease(
            services.table,
            Holder(self.me.node, incarnation),
            timing.lease_renew_s,
            self._backoff(timing),
        )
        self.authority = Authority(self.lease, self.peers, timing, self._on_doubt)
        self.coordination = Coordination(
            services.engines,
            timing,
            _tuning(settings),
            self.spawn,
            self._schedule_coordinator_tick,
            lambda: self.authority.doubt("fenced", self._loop.time()),
            self.lag,
            lambda group: fleet.load(group) > 0,
            self.notices,
            log,
            metrics,
        )
        self.view = FleetView(settings.list_trust_s)
        self._drains = DrainKeeper(
            HallDrains(settings.hall_drain_s),
            fleet,
            self.coordination.coordinator.set_drained_halls,
            self._on_halls_changed,
            log,
            metrics,
        )
        loan_register = LoanRegister(services.table, self.lease, self._backoff(timing))
        self._loans = Loans(
            Borrower(self.me.node, incarnation, self.me.address),
            self._limit,
            self.lease,
            self._offered_by_entry,
            register=loan_register,
        )
        self._target_limits = LimitSharing(limits, pool, lambda: self.serving.admitted, log)
        self._heartbeats = Heartbeats(
            incarnation,
            known_entry,
            settings.peer,
            self.peers,
            self.links,
            self.serving,
            self.view,
            self.lease,
            self.first_tries,
            self._drains,
            lambda: self._sharing.update_fleet(),
            loans=self._loans,
            limits=self._target_limits,
        )
        self._loan_keeper = LoanKeeper(
            self._loans,
            loan_register,
            self.lease,
            self._static_share,
            lambda: self._heartbeats.send(self._loop.time()),
            self.spawn,
            log,
            metrics,
        )
        crash_book = CrashBook(owner=self.me.node)
        self.crashes = CrashWatch(crash_book, log, metrics, settings.has(Mechanism.FATAL_REFUSED))
        self._crash_spread = CrashSpread(crash_book, self.crashes, self._heartbeats, self.links)
        self._crash_keeper = CrashKeeper(
            *(self.me.node, crash_book, self.crashes, services.table, lambda: self.lease.held),
            *(self._backoff(timing), log, metrics),
        )
        self._sharing = FleetSharing(
            *(self.view, self.serving, self.lease, self.peers, self.links),
            *(self.coordination, self._heartbeats, self.health, log, self._cold),
        )
        self._versions = VersionSharing(
            *(self.serving, self._heartbeats, self.links),
            *(self.coordination.coordinator, timing),
        )
        self._dependencies = Dependencies(
            self.serving, self.peers, lambda: self._heartbeats.head, log
        )
        self._home_check = HomeCheck(self.serving, self.view.targets, log)
        self._lease_keeper = LeaseKeeper(
            self.lease,
            self.peers,
            self.serving,
            timing,
            self.spawn,
            self._sharing.begin_coordinating,
            lambda: self._heartbeats.send(self._loop.time()),
            lambda: self._heartbeats.head,
            log,
            metrics,
        )
        self._configurations = ConfigurationFollower(
            services.configurations,
            self.serving,
            self.health,
            timing,
            self._backoff(timing),
            self._versions.poll_wait_s,
            self._versions.on_applied,
            self._drains.on_store_reading,
            log,
            metrics,
        )
        self._list_follower = ListFollower(
            services.targets,
            self.health,
            timing,
            self._backoff(timing),
            self._sharing.reads_list,
            self._sharing.on_list_read,
            log,
            metrics,
        )
        self._handlers: dict[type, Callable[[Peer, Any], None]] = {
            Heartbeat: self._heartbeats.receive,
            ConfigurationRequest: self._versions.on_request,
            ConfigurationUpdate: self._on_configuration_update,
            FleetUpdate: self._sharing.on_fleet_message,
            FleetChange: self._sharing.on_fleet_message,
            FleetRequest: self._sharing.on_request,
            ListUpdate: self._sharing.on_list,
            Suspicion: self._on_suspicion,
            CrashNews: self._crash_spread.on_news,
        }
        self._start_steps = StartSteps(self._start_checks(), self._loop.time(), log)
        self._doubted_epoch = NO_EPOCH
        self._ticks_failed_since_s: float | None = None
        self._last_tick_s = 0.0
        self._tick_planned = False
        self._tick_due_s = 0.0
        self._suspected_until_s: dict[GroupId, float] = {}

    def _new_buffers(self) -> Buffers | None:
        """Return the buffers for callers, if memory is bounded."""
        held_bytes = bounds_of(self.settings).held_bytes
        if held_bytes is None:
            return None
        return Buffers(HeldLimits(held_bytes), self.log, self.metrics, self.lag.stalled_since)

    def _on_memory(self, share: float) -> None:
        """Lower what clients may hold while little memory is left."""
        self.clients.squeeze(squeeze_of(share))
        if self.buffers is not None:
            self.buffers.squeeze(squeeze_of(share))

    def _backoff(self, timing: DirectTiming) -> Backoff:
        return Backoff(timing.backoff_base_s, timing.backoff_max_s, self._random)

    def _fleet_limit(self) -> FleetLimit:
        return FleetLimit(
            lambda: self.serving.services,
            self.settings.cold_excess,
            self.settings.cold_slack,
            self._static_share,
            self._cold,
            *(PROCESS_START_S, self.log, self.metrics),
        )

    def _offered_by_entry(self, now_s: float) -> dict[NodeId, float]:
        """Return the work offered to each entry in contact, in fully busy groups."""
        own = sum(self.meter.offered(now_s).values())
        return {**self._heartbeats.remote_work.offered_by_source(), self.me.node: own}

    def spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run a task of this process until it ends or the process stops."""
        return self.supervisor.spawn(work)

    async def start(self) -> None:
        """Listen for other entries and start all tasks."""
        host, _, port = self.settings.link_listen.rpartition(":")
        await self.links.listen(host, int(port))
        timing = self._timing
        self.supervisor.watch_loop()
        self.timer.every(EACH_TICK_S, self.lag.tick)
        self.timer.every(EACH_TICK_S, SuspensionDetector(self.log, self.metrics).tick)
        self.timer.every(timing.tick_s, self._tick)
        self.timer.every(timing.heartbeat_s, self._heartbeats.send)
        # Shares of limits change with heartbeats.
        self.timer.every(timing.heartbeat_s, lambda _: self.serving.fleet.announce_change())
        self.timer.every(timing.heartbeat_s, self._dependencies.check)
        self.timer.every(timing.heartbeat_s, self._home_check.check)
        self.timer.every(timing.heartbeat_s, lambda _: self._update_retry_budget())
        self.timer.every(timing.heartbeat_s, self._crash_spread.announce_again)
        self.timer.every(CHECK_INTERVAL_S, self.resources.check)
        self.timer.every(CLIENT_CHECK_INTERVAL_S, self.clients.check)
        if self.buffers is not None:
            self.timer.every(READER_CHECK_INTERVAL_S, self.buffers.check)
        if self.settings.has(Mechanism.SILENCE_SUSPECTED):
            self.timer.every(SUSPECT_INTERVAL_S, self._suspect_silent_groups)
        self.timer.every(timing.fleet_update_s, lambda _: self._sharing.publish())
        self.timer.every(COUNTERS_LOG_INTERVAL_S, lambda _: self._log_counters())
        keep = self.supervisor.keep
        keep("timer", self.timer.run)
        keep("configurations", self._configurations.run)
        keep("list", self._list_follower.run)
        keep("lease", self._lease_keeper.run)
        keep("loans", lambda: self._loan_keeper.run(timing.tick_s))
        keep("crashes", self._crash_keeper.run)

    async def stop(self) -> None:
        """Release the lease and end every task."""
        await self.release_lease()
        await self.links.close()
        self.supervisor.cancel_all()

    async def release_lease(self) -> None:
        """Release the lease, if held, so that another entry can acquire it at once."""
        if not await self.lease.release(self._loop.time()):
            self.log.event("lease_not_released", revision=self.lease.revision)

    def _log_counters(self) -> None:
        """Log all counters in detail, as they cannot be read once the process has ended."""
        counts = {name.replace(".", "_"): n for name, n in self.metrics.counters.items()}
        self.log.detail("counters", **counts)

    def gauges(self) -> dict[str, float]:
        """Return the gauges of this entry for the metrics page."""
        now_s = self._loop.time()
        return {
            "configuration_version": float(self.serving.version),
            "configuration_proved": float(self.serving.freshness.proved(now_s)),
            "keys_trusted": float(self.serving.freshness.keys_trusted(now_s)),
            "loop_stalled_s": self.lag.stalled_since(now_s - STALL_RETENTION_S, now_s),
            "lease_held": float(self.lease.held),
            "lease_in_doubt": float(self.authority.in_doubt),
            "groups": float(len(self.view.groups(now_s))),
            "proofs_awaited": float(self.serving.proofs_awaited),
            "entries_heard": float(len(self.peers.alive(now_s))),
            **self._drains.gauges(),
            **self.crashes.gauges(),
            **self.notices.gauges(),
            **self._target_limits.gauges(now_s),
            **self.first_tries.gauges(now_s),
            "halls_without_region": float(len(self._home_check.unknown_halls)),
            "targets_cold": float(self._cold.cold_count(now_s)),
            "loans_taken": float(self._limit.borrowed_total(now_s)),
            "loans_made": float(self._loans.outstanding(now_s)),
            "loans_unanswered": float(len(self._loans.unanswered(now_s))),
            **self.resources.gauges(),
            **self.clients.gauges(),
            **(self.buffers.gauges() if self.buffers is not None else {}),
        }

    def _update_retry_budget(self) -> None:
        """Set this entry's share of the retries that all entries may make."""
        entries = 1 + max(len(self.peers.all_peers()), len(self.settings.peer) - 1)
        self.retry_budget.max_balance = self.settings.retries_at_once / entries

    # Group coordination.

    def _start_checks(self) -> dict[str, Callable[[float], bool]]:
        """Return checks of what this entry needs before it serves, and of the lease holder."""
        serving, view = self.serving, self.view
        return {
            "configuration": lambda _: serving.routes is not None,
            "keys": serving.freshness.keys_trusted,
            "list": lambda now_s: view.listed_age_s(now_s) is not None,
            "groups": lambda now_s: not serving.has_engines or bool(view.groups(now_s)),
            "holder": lambda now_s: self.lease.held or self.peers.holder(now_s) is not None,
        }

    def _tick(self, now_s: float) -> None:
        self._start_steps.check(now_s)
        if now_s - self._last_tick_s > self._timing.min_pause_s:
            self.coordination.coordinator.on_pause()
        self._last_tick_s = now_s
        self._drains.tick(now_s)
        # Every entry tracks the offered work, as it may be the next to form groups.
        if self.lease.held or self.settings.has(Mechanism.FOLLOWED_DEMAND):
            self._update_demand(now_s)
        self.authority.may_order(now_s)
        if self.lease.held:
            self._tick_coordinator()

    def _on_failed_tick(self, now_s: float) -> None:
        """Leave the lease to another entry if no coordinator tick has succeeded for a while."""
        if self._ticks_failed_since_s is None:
            self._ticks_failed_since_s = now_s
        if now_s - self._ticks_failed_since_s >= MAX_FAILING_S:
            self._ticks_failed_since_s = None
            self.metrics.count("lease.given_up")
            self.log.fault("lease_given_up", revision=self.lease.revision)
            self._lease_keeper.rest(now_s + GIVEN_UP_REST_S)
            self.spawn(self.release_lease())

    def _schedule_coordinator_tick(self) -> None:
        """Schedule a coordinator tick soon, as an event that it waits for has occurred."""
        if not self._tick_planned:
            self._tick_planned = True
            self._loop.call_at(max(self._loop.time(), self._tick_due_s), self._tick_coordinator)

    def _tick_coordinator(self) -> None:
        """Run a coordinator tick; on a large site, ticks take longer and are less frequent."""
        self._tick_planned = False
        begun_s = self._loop.time()
        if not self.lease.held or begun_s < self._tick_due_s:
            return
        try:
            self._run_coordinator(begun_s)
            self._ticks_failed_since_s = None
        except Exception as error:
            self.supervisor.report("coordinator", error)
            self._on_failed_tick(begun_s)
        ended_s = self._loop.time()
        self._tick_due_s = ended_s + TICK_REST_FACTOR * (ended_s - begun_s)

    def _run_coordinator(self, begun_s: float) -> None:
        if self.coordination.run_tick(begun_s, self.authority.may_order(begun_s)):
            self._sharing.publish()
        foreign_epoch = self.coordination.coordinator.foreign_epoch
        if foreign_epoch > self._doubted_epoch:
            self._doubted_epoch = foreign_epoch
            self.authority.doubt("newer_epoch", begun_s)

    def _on_doubt(self, cause: str) -> None:
        self.metrics.count(f"lease.in_doubt.{cause}")
        self.log.event("lease_in_doubt", cause=cause, revision=self.lease.revision)

    def _suspect_silent_groups(self, now_s: float) -> None:
        silent_s = SUSPECT_SILENCE_S + self.lag.stalled_since(now_s - SUSPECT_SILENCE_S, now_s)
        for group in self.serving.fleet.silent_groups(now_s, silent_s):
            self.suspect(group)

    def _update_demand(self, now_s: float) -> None:
        others = self._heartbeats.remote_work.offered_work()
        self.coordination.coordinator.demand.follow(self.first_tries.offered(now_s), others, now_s)

    def suspect(self, group: GroupId) -> None:
        """Have the members of a group probed at once, as its leader fell silent or disconnected."""
        now_s = self._loop.time()
        if now_s < self._suspected_until_s.get(group, now_s):
            return
        self._suspected_until_s = {
            g: at_s for g, at_s in self._suspected_until_s.items() if at_s > now_s
        }
        self._suspected_until_s[group] = now_s + SUSPECT_INTERVAL_S
        self.metrics.count("group.suspected")
        holder = self.peers.holder(now_s)
        if self.lease.held:
            self.coordination.coordinator.suspect(group, now_s)
        elif holder is not None:
            self.links.send(holder, Suspicion(group))

    # Other entries.

    def _on_batch(self, sender: Peer, batch: Batch) -> None:
        for message in batch.messages:
            handler = self._handlers.get(type(message))
            if handler is not None:
                self.supervisor.guard(type(message).__name__, handler)(sender, message)

    def _on_configuration_update(self, _: Peer, update: ConfigurationUpdate) -> None:
        if not self._drains.known:
            # The sender's heartbeats report the halls; this entry then requests the version.
            version = update.configuration.version
            self.metrics.count("configuration.without_halls")
            self.log.event("configuration_without_halls", version=version)
            return
        self._configurations.apply(update.configuration)

    def _on_halls_changed(self) -> None:
        """Notify others at once that a hall is drained or restored, and plan groups anew."""
        self._heartbeats.send(self._loop.time())
        self._schedule_coordinator_tick()

    def _on_link_up(self, peer: Peer) -> None:
        self.peers.add_linked(peer, self._loop.time())
        self._crash_spread.on_linked(peer)

    def _on_link_down(self, node: NodeId) -> None:
        self.peers.on_link_lost(node, self._loop.time())
        self._lease_keeper.on_link_down(node)
        self._loan_keeper.on_link_down(node)

    def _on_suspicion(self, _: Peer, suspicion: Suspicion) -> None:
        if self.lease.held:
            self.coordination.coordinator.suspect(suspicion.group, self._loop.time())


def _tuning(settings: DirectSettings) -> CoordinatorTuning:
    return CoordinatorTuning(
        loads_window_s=settings.loads_window_s,
        loads_excess=settings.loads_excess,
        first_start=settings.first_start,
        staging_beside=settings.has(Mechanism.STAGING_BESIDE),
        spanning=settings.has(Mechanism.SPANNING_GROUPS),
        trading=settings.has(Mechanism.TRADING),
        swapping=settings.has(Mechanism.SWAPPING),
        min_groups=settings.min_groups,
    )


__all__ = ["DirectEntry"]
