# SPDX-License-Identifier: Apache-2.0
"""Periodic heartbeats between entries."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from ochreway_core.ids import NodeId, Version
from ochreway_core.peer import Peer
from ochreway_direct.demand.firsttries import FirstTries
from ochreway_direct.drains.drainkeeper import DrainKeeper
from ochreway_direct.entries.cells import MAX_MESH_ENTRIES, Cells
from ochreway_direct.entries.coverage import Coverage
from ochreway_direct.entries.knownentry import KnownEntry
from ochreway_direct.entries.peers import Peers
from ochreway_direct.entries.remotework import RemoteWork
from ochreway_direct.fleets.fleetview import FleetView
from ochreway_direct.ids import CellId
from ochreway_direct.leases.lease import Holder, Lease
from ochreway_direct.messages import (
    ConfigurationRequest,
    FleetMark,
    FleetRequest,
    Heartbeat,
    LeaseSighting,
    aged,
)
from ochreway_direct.sendlimits.borrower import Borrower
from ochreway_direct.sendlimits.loans import Loans
from ochreway_direct.serving import Serving
from ochreway_direct.targetlimits.limitsharing import LimitSharing
from ochreway_direct.targetlimits.poolnews import NO_POOL_NEWS
from ochreway_direct.work import NO_WORK, Work, bounded_work, subtract_work, sum_work
from ochreway_wire.links import Links

NEW_ENTRY_S = 3.0
"""How long newly known entries are named in every heartbeat."""
MIN_NAMED_ENTRIES = 8
"""Minimum number of known entries that a heartbeat names."""
MAX_NAMING_BEATS = 32
"""Number of heartbeats within which all known entries are named, if there are many."""
STORE_HEAD_START_S = 0.4
"""How long to wait for a newer version from the store before a peer is asked for it.

It covers a few answers of a slow store.
"""
REQUEST_RETRY_DELAY_S = 0.5
"""How long to wait for the answer of one entry before the next one is asked."""
USUAL_ECHO_AGE_S = 0.8
"""Age of an echo without network delay: a heartbeat interval at each end and some margin."""
VIEW_HEAD_START_S = 0.25
"""How long to wait for a newer view of the fleet before it is requested."""


class Heartbeats:
    """Send this entry's heartbeats and process those of others.

    They go to this entry's contacts (see ``cells.py``); each reports the work that its receiver
    does not learn from others.
    """

    def __init__(
        self,
        incarnation: str,
        me: KnownEntry,
        seeds: tuple[str, ...],
        peers: Peers,
        links: Links,
        serving: Serving,
        view: FleetView,
        lease: Lease,
        first_tries: FirstTries,
        drains: DrainKeeper,
        on_list_changed: Callable[[], None],
        mesh_entries: int = MAX_MESH_ENTRIES,
        loans: Loans | None = None,
        limits: LimitSharing | None = None,
    ) -> None:
        """Start without contacts; ``on_list_changed`` is called when a newer list was applied."""
        self._incarnation = incarnation
        self._me = me
        self._seeds = seeds
        self._peers = peers
        self._links = links
        self._serving = serving
        self._view = view
        self._lease = lease
        self._first_tries = first_tries
        self._drains = drains
        self._on_list_changed = on_list_changed
        self._mesh_entries = mesh_entries
        self._loans = loans
        self._limits = limits
        self._started_s = asyncio.get_running_loop().time()
        self.remote_work = RemoteWork(serving.fleet)
        self._cells = Cells(peers.candidates(self._started_s), mesh_entries)
        self._contacts: tuple[NodeId, ...] = ()
        self._first_known_s: dict[NodeId, float] = {}
        self._naming_offset = 0
        self._outdated_version: Version | None = None
        self._version_request_due_s = 0.0
        self._awaited_view: FleetMark | None = None
        self._view_request_due_s = 0.0
        self.newest_version = serving.version

    # Contacts.

    @property
    def meshed(self) -> bool:
        """Return whether the entries are few enough to form a full mesh."""
        return self._cells.meshed

    @property
    def head(self) -> bool:
        """Return whether this entry is a head of its cell."""
        return self._cells.is_head(self._me.peer.node)

    @property
    def first_head(self) -> bool:
        """Return whether this entry is the first head of its cell."""
        heads = self._cells.heads(self._own_cell)
        return heads[0] == self._me.peer.node

    @property
    def reader(self) -> bool:
        """Return whether this entry polls the store on behalf of others."""
        return self._me.peer.node in self._cells.readers()

    def members(self) -> list[Peer]:
        """Return the entries that depend on this head for messages from other cells."""
        if not self.head:
            return []
        cell = self._own_cell
        heads = self._cells.heads(cell)
        return self._peers.known_peers(
            node for node in self._cells.members(cell) if node not in heads
        )

    def publication_peers(self) -> list[Peer]:
        """Return the entries that the lease holder publishes to: all heads and its members."""
        heads = self._peers.known_peers(self._cells.all_heads())
        return list(dict.fromkeys((*heads, *self.members())))

    def contacts(self) -> list[Peer]:
        """Return the entries that this entry exchanges heartbeats with."""
        return [*self._peers.known_peers(self._contacts), *self._peers.without_hall()]

    def forwarding_peers(self, node: NodeId) -> list[Peer]:
        """Return the entries to which this one has to forward messages of the given entry."""
        if self.meshed or not self.head:
            return []
        return self.contacts() if self._in_own_cell(node) else self.members()

    @property
    def _own_cell(self) -> CellId:
        return self._cells.cell(self._me.peer.node)

    def _update_cells(self, now_s: float) -> None:
        """Recompute the cells and contacts from the entries known now."""
        for node in self._peers.update_expected(self._contacts, now_s):
            # The entry may be alive on a dead connection, which nothing else would reveal.
            self._links.drop(node)
        self._cells = Cells(self._peers.candidates(now_s), self._mesh_entries)
        contacts = self._cells.contacts(self._me.peer.node)
        if self._lease.held:
            heads = (node for node in self._cells.all_heads() if node != self._me.peer.node)
            contacts = tuple(dict.fromkeys((*contacts, *heads)))
        self._contacts = contacts

    # Sending heartbeats.

    def send(self, now_s: float) -> None:
        """Send a heartbeat to each contact, and connect to seeds that are not known yet."""
        self._peers.drop_expired(now_s)
        self.remote_work.expire(now_s)
        self._update_cells(now_s)
        self._connect_seeds()
        if self._loans is not None:
            names = [each.node for each in self._peers.all_peers()]
            alive = [record.peer.node for record in self._peers.alive(now_s)]
            self._loans.refresh(names, bool(alive), now_s, alive)
        if self._limits is not None:
            self._limits.tick(self._peers.ranked_nodes(), self.meshed, now_s)
        contacts = self.contacts()
        refusals = self._first_tries.take_refusals(now_s, len(contacts))
        own = replace(self._own_work(now_s), refusals=refusals)
        entries = self._entries_to_name(now_s)
        for peer in contacts:
            self._links.send(peer, self._heartbeat(peer, own, entries, True, now_s))

    def _connect_seeds(self) -> None:
        known_addresses = {peer.address for peer in self._peers.all_peers()}
        for address in self._seeds:
            if address and address != self._me.peer.address and address not in known_addresses:
                self._links.dial_address(address)

    def _own_work(self, now_s: float) -> Work:
        fleet, report = self._serving.fleet, self._serving.queue_report()
        return Work(
            dict(fleet.under_way()),
            dict(fleet.unread()),
            dict(self._first_tries.meter.offered(now_s)),
            self._first_tries.measured_s(now_s),
            waiting=report.waiting,
            served_by=dict(report.served_by),
        )

    def _heartbeat(
        self, peer: Peer, own: Work, entries: tuple[KnownEntry, ...], wanted: bool, now_s: float
    ) -> Heartbeat:
        coverage = self._coverage(peer.node)
        work = bounded_work(self._work_for(peer.node, coverage, own))
        return Heartbeat(
            incarnation=self._incarnation,
            hall=self._me.hall,
            strength=self._me.strength,
            sent_s=now_s,
            echo_s=self._peers.echo_s(peer.node),
            wanted=wanted,
            version=self._serving.version,
            proof_age_s=self._serving.freshness.age_s(now_s),
            stopping=self._serving.stopping,
            holder=self._sighting(now_s),
            fleet=self._view.mark(now_s),
            cell=self._own_cell,
            coverage=coverage,
            # Refusals are the sender's own whatever the coverage, so that none is reported twice.
            work=replace(work, refusals=own.refusals),
            entries=entries,
            drains=self._drains.current_news(now_s),
            loan=self._loans.lend(peer.node, now_s) if self._loans is not None else None,
            pool=self._limits.news_for(peer.node, now_s) if self._limits else NO_POOL_NEWS,
        )

    def _sighting(self, now_s: float) -> LeaseSighting | None:
        loans = self._loans.news(now_s) if self._loans is not None else None
        if self._lease.held:
            return LeaseSighting(self._me.peer, self._lease.revision, loans=loans)
        sighting = self._peers.sighting(now_s)
        return replace(sighting, loans=loans) if sighting is not None else None

    def _coverage(self, node: NodeId) -> Coverage:
        """Return whose work to report to another entry."""
        if not self._in_own_cell(node):
            return Coverage.CELL if self.head else Coverage.OWN
        if self.head:
            other_head = node in self._cells.heads(self._own_cell)
            return Coverage.OWN if other_head else Coverage.REST
        # An entry that asks a member receives no other heartbeats, or it would ask a head.
        return Coverage.OWN if node in self._contacts else Coverage.REST

    def _in_own_cell(self, node: NodeId) -> bool:
        return node in self._cells.members(self._own_cell)

    def _work_for(self, node: NodeId, coverage: Coverage, own: Work) -> Work:
        match coverage:
            case Coverage.REST:
                all_work = sum_work((own, self.remote_work.total_work()))
                return subtract_work(all_work, self.remote_work.work_of(node))
            case Coverage.CELL:
                return sum_work((own, *self.remote_work.member_work()))
            case Coverage.OWN:
                # Entries of other cells learn of this one's work from the heads of its cell.
                return own if self._in_own_cell(node) else NO_WORK

    def _entries_to_name(self, now_s: float) -> tuple[KnownEntry, ...]:
        """Return the entries to name in the next heartbeat: new ones, then all in turn."""
        known = self._peers.known_entries(now_s)
        first_known_s = self._first_known_s
        self._first_known_s = {
            each.peer.node: first_known_s.get(each.peer.node, now_s) for each in known
        }
        new_entries = [e for e in known if now_s - self._first_known_s[e.peer.node] < NEW_ENTRY_S]
        number = max(MIN_NAMED_ENTRIES, len(known) // MAX_NAMING_BEATS)
        begin = self._naming_offset % max(1, len(known))
        self._naming_offset = begin + number
        next_in_turn = (known[begin:] + known[:begin])[:number]
        return tuple(dict.fromkeys((*new_entries, *next_in_turn)))

    # Receiving heartbeats.

    def receive(self, sender: Peer, heartbeat: Heartbeat) -> None:
        """Process another entry's heartbeat, and answer it if it asks for one."""
        now_s = asyncio.get_running_loop().time()
        self._peers.on_heartbeat(sender, heartbeat, now_s)
        self._lease.record_incarnation(Holder(sender.node, heartbeat.incarnation))
        if heartbeat.holder is not None:
            sighting = heartbeat.holder
            self._lease.record_revision(sighting.peer.node, sighting.revision, now_s)
        self._first_tries.on_refusals(heartbeat.work.refusals, now_s)
        if self._accepts_coverage(heartbeat.coverage):
            covered = self._covered_entries(heartbeat)
            self.remote_work.add_report(
                *(sender.node, heartbeat.coverage, heartbeat.cell, covered, heartbeat.work, now_s)
            )
        # Halls first: a version must not be applied before the drained halls are known.
        self._drains.on_drain_news(heartbeat.drains, self._valid_echo_s(heartbeat, now_s))
        new_lease = self._on_loans(sender, heartbeat, now_s)
        if self._limits is not None:
            echo_s, delay_s = self._valid_echo_s(heartbeat, now_s), _delay_s(heartbeat, now_s)
            self._limits.on_news(sender.node, heartbeat.pool, echo_s, delay_s, now_s)
        self._on_version(sender, heartbeat, now_s)
        self._compare_views(sender, heartbeat, now_s)
        if new_lease or (heartbeat.wanted and sender.node not in self._contacts):
            answer = self._heartbeat(sender, self._own_work(now_s), (), False, now_s)
            self._links.send(sender, answer)

    def _on_loans(self, sender: Peer, heartbeat: Heartbeat, now_s: float) -> bool:
        """Process the loans of a heartbeat; return whether its sender acquired a newer lease.

        A new holder lends once it has been told what its borrowers still hold.
        """
        if self._loans is None:
            return False
        holder = heartbeat.holder
        process = Borrower(sender.node, heartbeat.incarnation, sender.address)
        is_newer = self._loans.on_news(process, holder.loans if holder else None, now_s)
        self._loans.borrow(heartbeat.loan, self._valid_echo_s(heartbeat, now_s), now_s)
        return is_newer and holder is not None and holder.peer.node == sender.node

    def _accepts_coverage(self, coverage: Coverage) -> bool:
        """Return whether this entry uses reports with the given coverage.

        A head adds up the reports of cells and members, and uses another head's sum only while it
        has none of a cell.
        """
        if coverage is Coverage.REST:
            return not self.head or not self.remote_work.has_cell_reports
        return self.head

    def _covered_entries(self, heartbeat: Heartbeat) -> tuple[NodeId, ...]:
        """Return the entries whose work a heartbeat reports, if their cell is known."""
        if heartbeat.coverage is not Coverage.CELL:
            return ()
        return self._cells.members(heartbeat.cell)

    def _on_version(self, sender: Peer, heartbeat: Heartbeat, now_s: float) -> None:
        self.newest_version = max(self.newest_version, heartbeat.version)
        if heartbeat.version > self._serving.version:
            self._request_version(sender, now_s)
            return
        echo_s = self._valid_echo_s(heartbeat, now_s)
        if echo_s is not None and heartbeat.version == self._serving.version:
            self._serving.freshness.prove(echo_s - heartbeat.proof_age_s)

    def _valid_echo_s(self, heartbeat: Heartbeat, now_s: float) -> float | None:
        """Return when this process sent the echoed heartbeat, or None if it did not.

        The echo may be of a former incarnation, whose clock is not comparable.
        """
        echo_s = heartbeat.echo_s
        if echo_s is None or not self._started_s <= echo_s <= now_s:
            return None
        return echo_s

    def _request_version(self, source: Peer, now_s: float) -> None:
        """Request a newer version from another entry, after time for reading it from the store.

        A version is large, and usually every entry reads it from the store at the same time.
        """
        version = self._serving.version
        if version != self._outdated_version:
            self._outdated_version = version
            self._version_request_due_s = now_s + STORE_HEAD_START_S if version else now_s
        if now_s >= self._version_request_due_s:
            self._version_request_due_s = now_s + REQUEST_RETRY_DELAY_S
            self._links.send(source, ConfigurationRequest(version))

    def _compare_views(self, sender: Peer, heartbeat: Heartbeat, now_s: float) -> None:
        """Renew this view if the sender has the same one, and request a newer one."""
        mark = aged(heartbeat.fleet, _delay_s(heartbeat, now_s))
        if self._awaited_view is not None and not self._view.is_older_than(self._awaited_view):
            self._awaited_view = None
        if not self._view.is_older_than(mark):
            if not self._lease.held and self._view.confirm(mark, now_s):
                self._on_list_changed()
            return
        if self._awaited_view is None:
            self._awaited_view = mark
            self._view_request_due_s = now_s + (VIEW_HEAD_START_S if self._view.has_update else 0.0)
        if now_s >= self._view_request_due_s:
            self._view_request_due_s = now_s + REQUEST_RETRY_DELAY_S
            self._links.send(sender, FleetRequest())


def _delay_s(heartbeat: Heartbeat, now_s: float) -> float:
    """Return an upper bound on a heartbeat's delay beyond the usual one.

    It was sent after the heartbeat that it echoes had arrived. Where links lose packets or stall,
    its contents are older than they appear.
    """
    if heartbeat.echo_s is None:
        return 0.0
    return max(0.0, now_s - heartbeat.echo_s - USUAL_ECHO_AGE_S)


__all__ = ["Heartbeats"]
