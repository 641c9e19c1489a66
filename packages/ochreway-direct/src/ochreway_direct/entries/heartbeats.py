# SPDX-License-Identifier: Apache-2.0
"""What entries tell each other at short intervals."""

import asyncio
from collections.abc import Callable

from ochreway_core.ids import NodeId, Version
from ochreway_core.peer import Peer
from ochreway_direct.demandmeter import DemandMeter
from ochreway_direct.drains.drainkeeper import DrainKeeper
from ochreway_direct.entries.cells import MESH_ENTRIES, Cells
from ochreway_direct.entries.coverage import Coverage
from ochreway_direct.entries.elsewhere import Elsewhere
from ochreway_direct.entries.knownentry import KnownEntry
from ochreway_direct.entries.peers import Peers
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
from ochreway_direct.sendlimits.loans import Loans
from ochreway_direct.serving import Serving
from ochreway_direct.targetlimits.limitsharing import LimitSharing
from ochreway_direct.targetlimits.poolnews import NO_POOL_NEWS
from ochreway_direct.work import NO_WORK, Work, total, without
from ochreway_wire.links import Links

NEWS_S = 3.0
"""For how long entries that were not known before are named first."""
NAMED_AT_LEAST = 8
NAMED_IN_BEATS = 32
"""How many entries a heartbeat names: so many, or all of them within so many heartbeats."""
STORE_HEAD_START_S = 0.4
"""How long an entry waits for a newer version from the store: a few answers of a slow store."""
ASKED_AGAIN_S = 0.5
"""How long the answer of one entry is waited for before the next one is asked."""
USUAL_ECHO_S = 0.8
"""How old an echo may be without any delay: an interval of heartbeats at each end and a little."""
VIEW_HEAD_START_S = 0.25
"""How long a newer view of the fleet may be on its way before it is asked for."""


class Heartbeats:
    """Send this entry's heartbeats and take in those of others.

    Each goes to the entries that this one has to be in touch with (``cells.py``), and counts for
    each what it cannot know otherwise.
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
        meter: DemandMeter,
        drains: DrainKeeper,
        listed: Callable[[], None],
        mesh_entries: int = MESH_ENTRIES,
        loans: Loans | None = None,
        limits: LimitSharing | None = None,
    ) -> None:
        """Start with the parts given; ``listed`` is told when the list of targets is newer."""
        self._incarnation = incarnation
        self._me = me
        self._seeds = seeds
        self._peers = peers
        self._links = links
        self._serving = serving
        self._view = view
        self._lease = lease
        self._meter = meter
        self._drains = drains
        self._listed = listed
        self._mesh_entries = mesh_entries
        self._loans = loans
        self._limits = limits
        self._began_s = asyncio.get_running_loop().time()
        self.elsewhere = Elsewhere(serving.fleet)
        self._cells = Cells(peers.candidates(self._began_s), mesh_entries)
        self._contacts: tuple[NodeId, ...] = ()
        self._first_known_s: dict[NodeId, float] = {}
        self._named = 0
        self._behind_at: Version | None = None
        self._ask_due_s = 0.0
        self._awaited: FleetMark | None = None
        self._view_due_s = 0.0
        self.newest_version = serving.version

    # Whom this entry is in touch with.

    @property
    def meshed(self) -> bool:
        """Tell whether all entries tell all, as there are few."""
        return self._cells.meshed

    @property
    def head(self) -> bool:
        """Tell whether this entry speaks for its cell."""
        return self._cells.is_head(self._me.peer.node)

    @property
    def first_head(self) -> bool:
        """Tell whether this entry is the first to speak for its cell."""
        heads = self._cells.heads(self._own_cell)
        return heads[0] == self._me.peer.node

    @property
    def reader(self) -> bool:
        """Tell whether this entry asks the store for others too."""
        return self._me.peer.node in self._cells.readers()

    def members(self) -> list[Peer]:
        """Return the entries that hear from others only through this one."""
        if not self.head:
            return []
        cell = self._own_cell
        heads = self._cells.heads(cell)
        return self._peers.of(node for node in self._cells.members(cell) if node not in heads)

    def audience(self) -> list[Peer]:
        """Return the entries that pass on what the holder of the lease tells, and its members."""
        heads = self._peers.of(self._cells.all_heads())
        return list(dict.fromkeys((*heads, *self.members())))

    def contacts(self) -> list[Peer]:
        """Return the entries that this one exchanges heartbeats with."""
        return [*self._peers.of(self._contacts), *self._peers.unplaced()]

    def audience_of(self, node: NodeId) -> list[Peer]:
        """Return the entries that hear another's news only through this one, if any."""
        if self.meshed or not self.head:
            return []
        return self.contacts() if self._in_own_cell(node) else self.members()

    @property
    def _own_cell(self) -> CellId:
        return self._cells.cell(self._me.peer.node)

    def _lay_out(self, now_s: float) -> None:
        """Find the cells and the contacts anew, by what is known now."""
        for node in self._peers.expect(self._contacts, now_s):
            # The entry may be well and only the connection silent, which nothing else would show.
            self._links.drop(node)
        self._cells = Cells(self._peers.candidates(now_s), self._mesh_entries)
        contacts = self._cells.contacts(self._me.peer.node)
        if self._lease.held:
            heads = (node for node in self._cells.all_heads() if node != self._me.peer.node)
            contacts = tuple(dict.fromkeys((*contacts, *heads)))
        self._contacts = contacts

    # Sending.

    def send(self, now_s: float) -> None:
        """Send a heartbeat to each contact, and dial seeds that are not known."""
        self._peers.forget_silent(now_s)
        self.elsewhere.expire(now_s)
        self._lay_out(now_s)
        self._meet_seeds()
        if self._loans is not None:
            names = [each.node for each in self._peers.all()]
            self._loans.beat(names, bool(self._peers.alive(now_s)), now_s)
        if self._limits is not None:
            self._limits.tick(self._peers.in_order(), self.meshed, now_s)
        own = self._own_work(now_s)
        entries = self._to_name(now_s)
        for peer in self.contacts():
            self._links.send(peer, self._heartbeat(peer, own, entries, True, now_s))

    def _meet_seeds(self) -> None:
        met = {peer.address for peer in self._peers.all()}
        for address in self._seeds:
            if address and address != self._me.peer.address and address not in met:
                self._links.meet(address)

    def _own_work(self, now_s: float) -> Work:
        fleet = self._serving.fleet
        return Work(dict(fleet.under_way()), dict(fleet.unread()), dict(self._meter.offered(now_s)))

    def _heartbeat(
        self, peer: Peer, own: Work, entries: tuple[KnownEntry, ...], wanted: bool, now_s: float
    ) -> Heartbeat:
        coverage = self._coverage(peer.node)
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
            work=self._work_for(peer.node, coverage, own),
            entries=entries,
            drains=self._drains.news(now_s),
            loan=self._loans.lend(peer.node, now_s) if self._loans is not None else None,
            pool=self._limits.news_for(peer.node, now_s) if self._limits else NO_POOL_NEWS,
        )

    def _sighting(self, now_s: float) -> LeaseSighting | None:
        if self._lease.held:
            return LeaseSighting(self._me.peer, self._lease.revision)
        return self._peers.sighting(now_s)

    def _coverage(self, node: NodeId) -> Coverage:
        """Return whose work another entry is told of."""
        if not self._in_own_cell(node):
            return Coverage.CELL if self.head else Coverage.OWN
        if self.head:
            fellow = node in self._cells.heads(self._own_cell)
            return Coverage.OWN if fellow else Coverage.REST
        # Whoever asks a member hears nobody else, or would ask a head.
        return Coverage.OWN if node in self._contacts else Coverage.REST

    def _in_own_cell(self, node: NodeId) -> bool:
        return node in self._cells.members(self._own_cell)

    def _work_for(self, node: NodeId, coverage: Coverage, own: Work) -> Work:
        match coverage:
            case Coverage.REST:
                everything = total((own, self.elsewhere.everything()))
                return without(everything, self.elsewhere.of(node))
            case Coverage.CELL:
                return total((own, *self.elsewhere.of_members()))
            case Coverage.OWN:
                # Entries of other cells hear of this one's work from its cell's heads.
                return own if self._in_own_cell(node) else NO_WORK

    def _to_name(self, now_s: float) -> tuple[KnownEntry, ...]:
        """Return the entries to name now: new ones first, then all in turn."""
        known = self._peers.known(now_s)
        first_known_s = self._first_known_s
        self._first_known_s = {
            each.peer.node: first_known_s.get(each.peer.node, now_s) for each in known
        }
        news = [e for e in known if now_s - self._first_known_s[e.peer.node] < NEWS_S]
        number = max(NAMED_AT_LEAST, len(known) // NAMED_IN_BEATS)
        begin = self._named % max(1, len(known))
        self._named = begin + number
        turn = (known[begin:] + known[:begin])[:number]
        return tuple(dict.fromkeys((*news, *turn)))

    # Receiving.

    def receive(self, sender: Peer, heartbeat: Heartbeat) -> None:
        """Take another entry's heartbeat."""
        now_s = asyncio.get_running_loop().time()
        self._peers.hear(sender, heartbeat, now_s)
        self._lease.note_alive(Holder(sender.node, heartbeat.incarnation))
        if heartbeat.holder is not None:
            self._lease.hear(heartbeat.holder.revision, now_s)
        if self._counts(heartbeat.coverage):
            covered = self._covered(heartbeat)
            self.elsewhere.take(
                *(sender.node, heartbeat.coverage, heartbeat.cell, covered, heartbeat.work, now_s)
            )
        # Halls first: a version must not be used before it is known which halls are drained.
        self._drains.hear(heartbeat.drains, self._own_echo_s(heartbeat, now_s))
        if self._loans is not None:
            self._loans.borrow(heartbeat.loan, self._own_echo_s(heartbeat, now_s), now_s)
        if self._limits is not None:
            echo_s, delay_s = self._own_echo_s(heartbeat, now_s), _delay_s(heartbeat, now_s)
            self._limits.on_news(sender.node, heartbeat.pool, echo_s, delay_s, now_s)
        self._take_version(sender, heartbeat, now_s)
        self._compare_views(sender, heartbeat, now_s)
        if heartbeat.wanted and sender.node not in self._contacts:
            answer = self._heartbeat(sender, self._own_work(now_s), (), False, now_s)
            self._links.send(sender, answer)

    def _counts(self, coverage: Coverage) -> bool:
        """Tell whether counts of a kind are for this entry.

        A head adds up what cells and members say, but goes by another's sum while it hears none.
        """
        if coverage is Coverage.REST:
            return not self.head or not self.elsewhere.adds_up
        return self.head

    def _covered(self, heartbeat: Heartbeat) -> tuple[NodeId, ...]:
        """Return the entries whose work a heartbeat counts, as far as their cell is known here."""
        if heartbeat.coverage is not Coverage.CELL:
            return ()
        return self._cells.members(heartbeat.cell)

    def _take_version(self, sender: Peer, heartbeat: Heartbeat, now_s: float) -> None:
        self.newest_version = max(self.newest_version, heartbeat.version)
        if heartbeat.version > self._serving.version:
            self._fall_behind(sender, now_s)
            return
        echo_s = self._own_echo_s(heartbeat, now_s)
        if echo_s is not None and heartbeat.version == self._serving.version:
            self._serving.freshness.prove(echo_s - heartbeat.proof_age_s)

    def _own_echo_s(self, heartbeat: Heartbeat, now_s: float) -> float | None:
        """Return when this process sent what is echoed, or None when it did not.

        What a former life of it sent may be echoed, by a clock that began anew since.
        """
        echo_s = heartbeat.echo_s
        if echo_s is None or not self._began_s <= echo_s <= now_s:
            return None
        return echo_s

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

    def _compare_views(self, sender: Peer, heartbeat: Heartbeat, now_s: float) -> None:
        """Go on with a view that others stand by, and ask for one that is newer."""
        mark = aged(heartbeat.fleet, _delay_s(heartbeat, now_s))
        if self._awaited is not None and not self._view.older_than(self._awaited):
            self._awaited = None
        if not self._view.older_than(mark):
            if not self._lease.held and self._view.confirm(mark, now_s):
                self._listed()
            return
        if self._awaited is None:
            self._awaited = mark
            self._view_due_s = now_s + (VIEW_HEAD_START_S if self._view.known else 0.0)
        if now_s >= self._view_due_s:
            self._view_due_s = now_s + ASKED_AGAIN_S
            self._links.send(sender, FleetRequest())


def _delay_s(heartbeat: Heartbeat, now_s: float) -> float:
    """Return how long a heartbeat must have been on its way beyond what is usual.

    It was sent after what it echoes had arrived. Where links lose packets or stand still, what it
    says is older than it looks.
    """
    if heartbeat.echo_s is None:
        return 0.0
    return max(0.0, now_s - heartbeat.echo_s - USUAL_ECHO_S)


__all__ = ["Heartbeats"]
