# SPDX-License-Identifier: Apache-2.0
"""What entries tell each other at short intervals."""

import asyncio
from collections import Counter

from ochreway_core.ids import Version
from ochreway_core.peer import Peer
from ochreway_direct.demandmeter import DemandMeter
from ochreway_direct.fleetview import FleetView
from ochreway_direct.lease import Holder, Lease
from ochreway_direct.messages import ConfigurationRequest, Heartbeat
from ochreway_direct.peers import Peers
from ochreway_direct.serving import Serving
from ochreway_wire.links import Links

NAMED_FOR_S = 3.0
NAMED_AGAIN_S = 5.0
"""For how long, and how long after, heartbeats name all entries that are known."""
STORE_HEAD_START_S = 0.4
"""How long an entry waits for a newer version from the store: a few answers of a slow store."""
ASKED_AGAIN_S = 0.5
"""How long the answer of one entry is waited for before the next one is asked."""


class Heartbeats:
    """Send this entry's heartbeats and take in those of others."""

    def __init__(
        self,
        incarnation: str,
        me: Peer,
        seeds: tuple[str, ...],
        peers: Peers,
        links: Links,
        serving: Serving,
        view: FleetView,
        lease: Lease,
        meter: DemandMeter,
        heartbeat_s: float,
    ) -> None:
        self._incarnation = incarnation
        self._me = me
        self._seeds = seeds
        self._peers = peers
        self._links = links
        self._serving = serving
        self._view = view
        self._lease = lease
        self._meter = meter
        self._heartbeat_s = heartbeat_s
        self._behind_at: Version | None = None
        self._ask_due_s = 0.0
        self._named = -1
        self._named_until_s = 0.0

    def send(self, now_s: float) -> None:
        """Send a heartbeat to each entry that is known, and dial seeds that are not."""
        for node in self._peers.forget_silent(now_s):
            self._serving.fleet.forget_entry(node)
        known = self._peers.all()
        self._meet_seeds(known)
        for peer in known:
            self._links.send(peer, self._heartbeat(peer, known, now_s))

    def receive(self, sender: Peer, heartbeat: Heartbeat) -> None:
        """Take another entry's heartbeat."""
        now_s = asyncio.get_running_loop().time()
        self._peers.hear(sender, heartbeat, now_s)
        self._lease.note_alive(Holder(sender.node, heartbeat.incarnation))
        if heartbeat.holds_lease:
            self._lease.hear(heartbeat.lease_revision, now_s)
        self._serving.fleet.set_elsewhere(
            sender.node, Counter(heartbeat.under_way), Counter(heartbeat.unread)
        )
        if heartbeat.version > self._serving.version:
            self._fall_behind(sender, now_s)
        elif heartbeat.version == self._serving.version and heartbeat.echo_s is not None:
            self._serving.freshness.prove(heartbeat.echo_s - heartbeat.proof_age_s)

        self._hand_view_on(sender, heartbeat.fleet_revision, now_s)

    def _fall_behind(self, ahead: Peer, now_s: float) -> None:
        """Ask another entry for its newer version, once the store has had time to bring it.

        A version is large, and usually every entry reads it from the store at the same moment.
        """
        version = self._serving.version
        if version != self._behind_at:
            self._behind_at = version
            self._ask_due_s = now_s + STORE_HEAD_START_S if version else now_s
        if now_s >= self._ask_due_s:
            self._ask_due_s = now_s + ASKED_AGAIN_S
            self._links.send(ahead, ConfigurationRequest(version))

    def _hand_view_on(self, peer: Peer, revision: int, now_s: float) -> None:
        """Give the view of the fleet to an entry whose own is older, as after a restart.

        Its holder may have ended while the store is away, when nobody else publishes one.
        """
        update = self._view.newest(now_s)
        if update is not None and revision < update.lease_revision:
            self._links.send(peer, update)

    def _meet_seeds(self, known: list[Peer]) -> None:
        met = {peer.address for peer in known}
        for address in self._seeds:
            if address and address != self._me.address and address not in met:
                self._links.meet(address)

    def _heartbeat(self, peer: Peer, known: list[Peer], now_s: float) -> Heartbeat:
        return Heartbeat(
            incarnation=self._incarnation,
            sent_s=now_s,
            echo_s=self._peers.echo_s(peer.node),
            version=self._serving.version,
            proof_age_s=self._serving.freshness.age_s(now_s),
            lease_revision=self._lease.revision if self._lease.held else 0,
            holds_lease=self._lease.held,
            stopping=self._serving.stopping,
            fleet_revision=self._view.revision,
            under_way=dict(self._serving.fleet.under_way()),
            unread=dict(self._serving.fleet.unread()),
            offered=dict(self._meter.offered(now_s)),
            peers=(self._me, *known) if self._names_peers(known, now_s) else (),
        )

    def _names_peers(self, known: list[Peer], now_s: float) -> bool:
        """Tell whether heartbeats name all entries now: while that is news, and now and then."""
        if len(known) != self._named:
            self._named = len(known)
            self._named_until_s = now_s + NAMED_FOR_S
        if now_s > self._named_until_s + NAMED_AGAIN_S:
            self._named_until_s = now_s + self._heartbeat_s / 2
        return now_s <= self._named_until_s


__all__ = ["Heartbeats"]
