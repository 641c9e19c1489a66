# SPDX-License-Identifier: Apache-2.0
"""Maintain the view of the fleet from the list and the lease holder, and forward it."""

import asyncio

from ochreway_core.ids import Epoch
from ochreway_core.peer import Peer
from ochreway_direct.coordination import Coordination
from ochreway_direct.entries.heartbeats import Heartbeats
from ochreway_direct.entries.peers import Peers
from ochreway_direct.fleets.fleetpublisher import FleetContent, FleetPublisher
from ochreway_direct.fleets.fleetview import FleetView
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.ids import ServiceName
from ochreway_direct.leases.lease import Lease
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.lists.reusedaddresses import mark_reused_addresses
from ochreway_direct.messages import FleetChange, FleetRequest, FleetUpdate, ListUpdate
from ochreway_direct.platformhealth import PlatformHealth
from ochreway_direct.ports import TargetReading
from ochreway_direct.sendlimits.coldtargets import ColdTargets
from ochreway_direct.serving import Serving
from ochreway_runtime.logs import EventLog
from ochreway_wire.links import Links

LIST_SHARE_INTERVAL_S = 2.0
"""How often the holder sends the full list, so that another can take over without the store."""
MAX_TARGETS_SHARED_PER_S = 150.0
"""Maximum rate of targets sent, as decoding each takes the receiver some 50 us."""
SUCCESSORS = 4
"""How many entries get the list: the first in line for the lease if its holder is lost."""
INHERITED_GROUPS_MAX_AGE_S = 5.0
"""Maximum age of the groups that a new holder republishes until it has polled the engines."""


class FleetSharing:
    """Maintain this entry's view, publish it as lease holder, and forward published updates."""

    def __init__(
        self,
        view: FleetView,
        serving: Serving,
        lease: Lease,
        peers: Peers,
        links: Links,
        coordination: Coordination,
        heartbeats: Heartbeats,
        health: PlatformHealth,
        log: EventLog,
        cold: ColdTargets | None = None,
    ) -> None:
        self._view = view
        self._serving = serving
        self._lease = lease
        self._peers = peers
        self._links = links
        self._coordination = coordination
        self._heartbeats = heartbeats
        self._health = health
        self._log = log
        self._cold = cold or ColdTargets(log)
        self._publisher = FleetPublisher()
        self._loop = asyncio.get_running_loop()
        self._last_shared_s = 0.0

    # List of targets.

    def reads_list(self) -> bool:
        """Return whether this entry reads the list itself: as holder, or without a fresh one."""
        return self._lease.held or self._view.list_is_stale(self._loop.time())

    def on_list_read(self, reading: TargetReading) -> None:
        """Apply and publish the list that this entry has read."""
        targets = mark_reused_addresses(reading, self._is_named)
        now_s = self._loop.time()
        known = len(self._view.targets())
        if len(targets) != known:
            self._log.event("listed", targets=len(targets), before=known)
        self._apply_list(targets, reading.polled_s, now_s)
        self.update_fleet()
        self.publish()
        self._share_list(targets)

    def _is_named(self, service: ServiceName) -> bool:
        """Return whether the configuration names a service; before the first one all count."""
        routes = self._serving.routes
        return routes is None or routes.service(service) is not None

    def _apply_list(self, targets: tuple[ListedTarget, ...], polled_s: float, now_s: float) -> None:
        self._cold.record_list(targets, now_s)
        self._coordination.update_targets(targets, now_s, self._health.regained_s)
        self._view.apply_list(targets, polled_s, now_s, self._health.regained_s)

    def _share_list(self, targets: tuple[ListedTarget, ...]) -> None:
        """Send the list to the next entries in line, or to a holder that may not have it."""
        now_s = self._loop.time()
        holder = self._peers.holder(now_s)
        update = ListUpdate(targets, self._view.listed_age_s(now_s) or 0.0)
        interval_s = max(LIST_SHARE_INTERVAL_S, len(targets) / MAX_TARGETS_SHARED_PER_S)
        if self._lease.held and now_s - self._last_shared_s >= interval_s:
            self._last_shared_s = now_s
            self._links.send_all(self._peers.successors(now_s, SUCCESSORS), update)
        elif not self._lease.held and holder is not None and self._heartbeats.first_head:
            self._links.send(holder, update)

    def on_list(self, _: Peer, update: ListUpdate) -> None:
        """Apply a list that another entry has read."""
        now_s = self._loop.time()
        if not self._lease.held:
            self._view.merge_engines(update.targets)
        elif self._view.list_is_stale(now_s):
            self._apply_list(update.targets, now_s - update.age_s, now_s)

    # Groups.

    def begin_coordinating(self, epoch: Epoch) -> None:
        """Begin forming groups as lease holder, with epochs above the one given."""
        now_s = self._loop.time()
        self._coordination.begin(
            epoch, self._view.targets(), self._view.last_models, now_s, self._health.regained_s
        )

    def publish(self) -> None:
        """Publish changes of the fleet to the other entries, if this one holds the lease."""
        now_s = self._loop.time()
        if not self._lease.held:
            return
        groups = self._groups_to_publish(now_s)
        if groups is None:
            return
        lost = self._coordination.lost_groups(now_s)
        content = FleetContent.build(groups, lost, self._view.plain_targets(), self._view.leaving)
        listed_age_s = self._view.published_list_age_s(now_s)
        message = self._publisher.next_message(self._lease.acquired_revision, content, listed_age_s)
        if message is None:
            self._view.renew_update(now_s)
            return
        self._links.send_all(self._heartbeats.publication_peers(), message)
        self._apply(message)

    def _groups_to_publish(self, now_s: float) -> tuple[GroupView, ...] | None:
        """Return the serving groups; those of the last holder until the engines were polled."""
        if self._coordination.coordinator.started:
            return self._coordination.coordinator.views()
        return self._view.last_published_groups(now_s, INHERITED_GROUPS_MAX_AGE_S)

    def on_fleet_message(self, sender: Peer, message: FleetUpdate | FleetChange) -> None:
        """Apply a message from the holder, and forward it to members that rely on this entry."""
        if self._apply(message):
            others = [peer for peer in self._heartbeats.members() if peer != sender]
            self._links.send_all(others, message)

    def _apply(self, message: FleetUpdate | FleetChange) -> bool:
        now_s = self._loop.time()
        match message:
            case FleetUpdate():
                applied = self._view.apply_update(message, now_s)
            case FleetChange():
                applied = self._view.apply_change(message, now_s)
        if applied:
            self.update_fleet()
            for group in message.lost:
                self._serving.fleet.abandon(group)
        return applied

    def on_request(self, sender: Peer, _: FleetRequest) -> None:
        """Send the full view to an entry whose own is older."""
        update = self._view.full_update(self._loop.time())
        if update is not None:
            self._links.send(sender, update)

    def update_fleet(self) -> None:
        """Route requests by the current view."""
        now_s = self._loop.time()
        mark = self._view.mark(now_s)
        view_name = f"{mark.lease_revision}/{mark.sequence}"
        self._serving.fleet.set_groups(self._view.groups(now_s), view_name)
        self._serving.fleet.set_targets(self._view.plain_targets())
        self._serving.fleet.set_leaving(self._view.leaving)


__all__ = ["FleetSharing"]
