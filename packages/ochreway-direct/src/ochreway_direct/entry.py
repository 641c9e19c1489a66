# SPDX-License-Identifier: Apache-2.0
"""The process: the parts of a direct entry, and what passes between them."""

import asyncio
import random
import secrets
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from ochreway_core.backoff import Backoff
from ochreway_core.ids import Epoch, GroupId, HallId, NodeId
from ochreway_core.peer import Peer
from ochreway_direct.configuration import Configuration
from ochreway_direct.coordination import Coordination
from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_direct.demandmeter import DemandMeter
from ochreway_direct.fleet import Fleet
from ochreway_direct.fleetview import FleetView
from ochreway_direct.freshness import Freshness
from ochreway_direct.lease import Holder, Lease
from ochreway_direct.listedtarget import ListedTarget
from ochreway_direct.messages import (
    ConfigurationRequest,
    ConfigurationUpdate,
    FleetUpdate,
    Heartbeat,
    ListUpdate,
    Suspicion,
)
from ochreway_direct.peers import Peers
from ochreway_direct.ports import PlatformServices
from ochreway_direct.serving import Serving
from ochreway_direct.settings import DirectSettings
from ochreway_direct.timing import DirectTiming
from ochreway_platform.errors import PlatformError
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics
from ochreway_runtime.timer import TimerService
from ochreway_wire.batch import Batch
from ochreway_wire.links import Links, LinkSettings

NAMED_FOR_S = 3.0
NAMED_AGAIN_S = 5.0
"""For how long, and how long after, heartbeats name all entries that are known."""
LIST_SHARED_S = 2.0
"""How often the holder hands the whole list on, so that another can take over without the store."""
SUSPECT_AFTER_S = 0.3
"""For how long all answers of a group stand still before its members are asked at once."""
SUSPECT_AGAIN_S = 0.15
EPOCHS_PER_LEASE = 100_000
"""How many groups one holder of the lease may form before epochs would meet the next one's."""


class DirectEntry:
    """Own what is known, and the tasks that learn and pass it on."""

    def __init__(
        self,
        settings: DirectSettings,
        services: PlatformServices,
        timing: DirectTiming,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.log = log
        self.metrics = metrics
        self._services = services
        self._timing = timing
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self.me = Peer(NodeId(settings.name), settings.link_listen)
        fleet = Fleet(HallId(settings.hall), self._random)
        self.serving = Serving(fleet, Freshness(settings.key_trust_s))
        self.meter = DemandMeter()
        self.peers = Peers(self.me, timing.peer_silent_s)
        self.timer = TimerService(timing.tick_s)
        self.links = Links(
            self.me,
            LinkSettings(settings.link_key.encode()),
            lambda: self.serving.version,
            self._received,
            self._on_link_down,
            lambda peer: self.peers.learn((peer,), self._loop.time()),
        )
        self.incarnation = secrets.token_hex(6)
        self.lease = Lease(
            services.table,
            Holder(self.me.node, self.incarnation),
            timing.lease_renew_s,
            self._backoff(timing),
        )
        self.coordination = Coordination(
            services.engines, timing, _tuning(settings), self.spawn, self._step_soon, log, metrics
        )
        self.view = FleetView(timing.list_stale_s)
        self._tasks: set[asyncio.Task[None]] = set()
        self._sequence = 0
        self._shared_s = 0.0
        self._named = -1
        self._named_until_s = 0.0
        self._ticked_s = 0.0
        self._step_planned = False
        self._began_s = self._loop.time()
        self._list_changed = asyncio.Event()

    def _backoff(self, timing: DirectTiming) -> Backoff:
        return Backoff(timing.backoff_base_s, timing.backoff_max_s, self._random)

    def spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run a task of this process until it ends or the process stops."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self) -> None:
        """Listen for other entries and begin to learn."""
        host, _, port = self.settings.link_listen.rpartition(":")
        await self.links.listen(host, int(port))
        timing = self._timing
        self.timer.every(timing.tick_s, self._tick)
        self.timer.every(timing.heartbeat_s, self._send_heartbeats)
        self.timer.every(SUSPECT_AGAIN_S, self._suspect_silent)
        self.timer.every(timing.fleet_update_s, lambda _: self._publish())
        self.spawn(self.timer.run())
        self.spawn(self._follow_configuration())
        self.spawn(self._follow_list())
        self.spawn(self._keep_lease())

    async def stop(self) -> None:
        """Give the lease back and end every task."""
        await self.lease.release(self._loop.time())
        await self.links.close()
        for task in list(self._tasks):
            task.cancel()

    # Configuration.

    async def _follow_configuration(self) -> None:
        backoff = self._backoff(self._timing)
        while True:
            try:
                reading = await self._services.configurations.poll(
                    self._timing.configuration_wait_s
                )
            except PlatformError as fault:
                self.metrics.count("configuration.unavailable")
                self.log.detail("configuration_unavailable", cause=fault)
                await asyncio.sleep(backoff.failed())
                continue
            backoff.succeeded()
            if reading.configuration is not None:
                self._apply(reading.configuration)
                if reading.configuration.version == self.serving.version:
                    self.serving.freshness.prove(reading.asked_s)
            await asyncio.sleep(self._timing.configuration_gap_s)

    def _apply(self, configuration: Configuration) -> None:
        if not self.serving.apply(configuration):
            return
        self.coordination.coordinator.configure(configuration)
        self.log.event(
            "configuration_applied",
            version=configuration.version,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations),
        )

    # The list of targets.

    async def _follow_list(self) -> None:
        backoff = self._backoff(self._timing)
        while True:
            if not self._reads_list():
                await asyncio.sleep(self._timing.list_gap_s)
                continue
            try:
                reading = await self._services.targets.poll(self._timing.list_wait_s)
            except PlatformError as fault:
                self.metrics.count("list.unavailable")
                self.log.detail("list_unavailable", cause=fault)
                await asyncio.sleep(backoff.failed())
                continue
            backoff.succeeded()
            self._listed(reading.targets, reading.asked_s)
            await asyncio.sleep(self._timing.list_gap_s)

    def _reads_list(self) -> bool:
        """Tell whether this entry reads the list itself: as holder, or with none to hear."""
        return self.lease.held or self.view.stale(self._loop.time())

    def _listed(self, targets: tuple[ListedTarget, ...], asked_s: float) -> None:
        self.coordination.listed(targets, self._loop.time())
        if len(targets) != len(self.view.targets()):
            self.log.event("listed", targets=len(targets), before=len(self.view.targets()))
        self.view.list(targets, asked_s)
        self._show()
        self._share_list(targets)

    def _share_list(self, targets: tuple[ListedTarget, ...]) -> None:
        """Hand the list on: as holder to all, now and then; else to a holder that may lack it."""
        now_s = self._loop.time()
        holder = self.peers.holder(now_s)
        if self.lease.held and now_s - self._shared_s >= LIST_SHARED_S:
            self._shared_s = now_s
            for peer in self.peers.all():
                self.links.send(peer, ListUpdate(targets))
        elif not self.lease.held and holder is not None:
            self.links.send(holder.peer, ListUpdate(targets))

    # Groups.

    def _tick(self, now_s: float) -> None:
        if now_s - self._ticked_s > self._timing.pause_noticed_s:
            self.coordination.coordinator.on_pause()
        self._ticked_s = now_s
        if not self.lease.held:
            return
        self._take_demand(now_s)
        self._step()

    def _step_soon(self) -> None:
        """Have the coordinator go on at once, as something that it waits for has come."""
        if not self._step_planned:
            self._step_planned = True
            self._loop.call_soon(self._step)

    def _step(self) -> None:
        self._step_planned = False
        if self.lease.held and self.coordination.step(self._loop.time()):
            self._publish()

    def _suspect_silent(self, now_s: float) -> None:
        for group in self.serving.fleet.silent_groups(now_s, SUSPECT_AFTER_S):
            self.metrics.count("group.suspected")
            self.suspect(group)

    def _take_demand(self, now_s: float) -> None:
        offered = Counter(self.meter.offered(now_s))
        for record in self.peers.alive(now_s):
            if record.last is not None:
                offered.update(record.last.offered)
        self.coordination.coordinator.demand.update(offered, now_s)

    def _publish(self) -> None:
        """Tell the other entries which groups serve, once this one has seen for itself."""
        if not self.lease.held or not self.coordination.coordinator.started:
            return
        self._sequence += 1
        now_s = self._loop.time()
        update = FleetUpdate(
            lease_revision=self.lease.taken_at,
            sequence=self._sequence,
            groups=self.coordination.coordinator.views(),
            lost=self.coordination.lost(now_s),
            targets=self.view.plain_targets(),
            leaving=tuple(self.view.leaving),
            listed_age_s=self.view.listed_age_s(now_s),
        )
        for peer in self.peers.all():
            self.links.send(peer, update)
        self._take_update(update)

    def _take_update(self, update: FleetUpdate) -> None:
        if self.view.take(update, self._loop.time()):
            self._show()
            for group in update.lost:
                self.serving.fleet.abandon(group)

    def _show(self) -> None:
        now_s = self._loop.time()
        self.serving.fleet.set_groups(self.view.groups(now_s))
        self.serving.fleet.set_targets(self.view.plain_targets())
        self.serving.fleet.set_leaving(self.view.leaving)

    def suspect(self, group: GroupId) -> None:
        """Have the members of a group asked at once, as its leader fell silent."""
        holder = self.peers.holder(self._loop.time())
        if self.lease.held:
            self.coordination.coordinator.suspect(group)
        elif holder is not None:
            self.links.send(holder.peer, Suspicion(group))

    # The lease.

    async def _keep_lease(self) -> None:
        while True:
            await asyncio.sleep(self._timing.tick_s)
            now_s = self._loop.time()
            if self.serving.stopping or not self.lease.allowed(now_s):
                continue
            if self.lease.held:
                await self._renew(now_s)
            elif self._may_take(now_s):
                await self._take(now_s)

    async def _renew(self, now_s: float) -> None:
        if not self.lease.due(now_s):
            return
        await self.lease.renew(now_s)
        if not self.lease.held:
            self.log.event("lease_lost", revision=self.lease.revision)
            return
        self._send_heartbeats(self._loop.time())

    def _may_take(self, now_s: float) -> bool:
        """Tell whether the lease looks free: no holder is heard, and others go first by name."""
        if self.serving.routes is None or self.peers.holder(now_s) is not None:
            self._began_s = now_s
            return False
        wait_s = self._timing.lease_stagger_s * self.peers.rank(now_s)
        if self.peers.isolated(now_s):
            wait_s = self._timing.lease_isolated_s
        return now_s - self._began_s >= wait_s

    async def _take(self, now_s: float) -> None:
        await self.lease.observe(now_s)
        if not self.lease.free(now_s, self._timing.peer_silent_s):
            return
        if not await self.lease.take(now_s):
            self._began_s = self._loop.time()
            return
        self.log.event("lease_taken", revision=self.lease.taken_at)
        self.metrics.count("lease.taken")
        epoch = Epoch(self.lease.taken_at * EPOCHS_PER_LEASE)
        self.coordination.begin(epoch, self.view.targets(), self._loop.time())

    # Other entries.

    def _on_link_down(self, node: NodeId) -> None:
        """Find out whether the holder of the lease has ended, which its silence would tell late."""
        holder = self.peers.holder(self._loop.time())
        if holder is not None and holder.peer.node == node:
            self.spawn(self._check_holder(holder.peer))

    async def _check_holder(self, holder: Peer) -> None:
        host, _, port = holder.address.rpartition(":")
        try:
            async with asyncio.timeout(self._timing.probe_timeout_s):
                _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
        except ConnectionError:
            self.log.event("holder_ended", holder=holder.node)
            self.peers.ended(holder.node, self._loop.time())
            self.lease.note_ended(holder.node)
        except (TimeoutError, OSError):
            self.log.detail("holder_unreachable", holder=holder.node)

    def _send_heartbeats(self, now_s: float) -> None:
        for node in self.peers.forget_silent(now_s):
            self.serving.fleet.forget_entry(node)
        known = self.peers.all()
        self._meet_seeds(known)
        for peer in known:
            self.links.send(peer, self._heartbeat(peer, known, now_s))

    def _meet_seeds(self, known: list[Peer]) -> None:
        met = {peer.address for peer in known}
        for address in self.settings.peer:
            if address and address != self.me.address and address not in met:
                self.links.meet(address)

    def _heartbeat(self, peer: Peer, known: list[Peer], now_s: float) -> Heartbeat:
        return Heartbeat(
            incarnation=self.incarnation,
            sent_s=now_s,
            echo_s=self.peers.echo_s(peer.node),
            version=self.serving.version,
            proof_age_s=self.serving.freshness.age_s(now_s),
            lease_revision=self.lease.revision if self.lease.held else 0,
            holds_lease=self.lease.held,
            stopping=self.serving.stopping,
            under_way=dict(self.serving.fleet.under_way()),
            offered=dict(self.meter.offered(now_s)),
            peers=(self.me, *known) if self._names_peers(known, now_s) else (),
        )

    def _names_peers(self, known: list[Peer], now_s: float) -> bool:
        """Tell whether heartbeats name all entries now: while that is news, and now and then."""
        if len(known) != self._named:
            self._named = len(known)
            self._named_until_s = now_s + NAMED_FOR_S
        if now_s > self._named_until_s + NAMED_AGAIN_S:
            self._named_until_s = now_s + self._timing.heartbeat_s / 2
        return now_s <= self._named_until_s

    def _received(self, sender: Peer, batch: Batch) -> None:
        for message in batch.messages:
            handler = self._HANDLERS.get(type(message))
            if handler is not None:
                handler(self, sender, message)

    def _on_heartbeat(self, sender: Peer, heartbeat: Heartbeat) -> None:
        now_s = self._loop.time()
        self.peers.hear(sender, heartbeat, now_s)
        self.lease.note_alive(Holder(sender.node, heartbeat.incarnation))
        if heartbeat.holds_lease:
            self.lease.hear(heartbeat.lease_revision, now_s)
        self.serving.fleet.set_elsewhere(sender.node, Counter(heartbeat.under_way))
        if heartbeat.version > self.serving.version:
            self.links.send(sender, ConfigurationRequest(self.serving.version))
        elif heartbeat.version == self.serving.version and heartbeat.echo_s is not None:
            self.serving.freshness.prove(heartbeat.echo_s - heartbeat.proof_age_s)

    def _on_configuration_request(self, sender: Peer, request: ConfigurationRequest) -> None:
        routes = self.serving.routes
        if routes is not None and routes.version > request.than:
            self.links.send(sender, ConfigurationUpdate(routes.configuration))

    def _on_configuration_update(self, _: Peer, update: ConfigurationUpdate) -> None:
        self._apply(update.configuration)

    def _on_fleet_update(self, _: Peer, update: FleetUpdate) -> None:
        self._take_update(update)

    def _on_list_update(self, _: Peer, update: ListUpdate) -> None:
        now_s = self._loop.time()
        if not self.lease.held:
            self.view.know_engines(update.targets)
        elif self.view.stale(now_s):
            self.coordination.listed(update.targets, now_s)
            self.view.list(update.targets, now_s)

    def _on_suspicion(self, _: Peer, suspicion: Suspicion) -> None:
        if self.lease.held:
            self.coordination.coordinator.suspect(suspicion.group)

    _HANDLERS: dict[type, Callable[["DirectEntry", Peer, Any], None]] = {
        Heartbeat: _on_heartbeat,
        ConfigurationRequest: _on_configuration_request,
        ConfigurationUpdate: _on_configuration_update,
        FleetUpdate: _on_fleet_update,
        ListUpdate: _on_list_update,
        Suspicion: _on_suspicion,
    }


def _tuning(settings: DirectSettings) -> CoordinatorTuning:
    return CoordinatorTuning(
        loads_window_s=settings.loads_window_s, loads_excess=settings.loads_excess
    )


__all__ = ["DirectEntry"]
