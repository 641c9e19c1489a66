# SPDX-License-Identifier: Apache-2.0
"""The other entries: when each was last seen, and which of them holds the lease."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ochreway_core.ids import HallId, NodeId
from ochreway_core.peer import Peer
from ochreway_direct.entries.cells import Candidate
from ochreway_direct.entries.knownentry import KnownEntry
from ochreway_direct.messages import Heartbeat, LeaseSighting

NEVER_S = -1.0e9
ENTRY_RETENTION_S = 20.0
"""Time after which an entry that no entry has received heartbeats from is dropped."""
DISTRUST_S = 5.0
"""How long an entry that misses expected heartbeats is not trusted as a head."""
FORWARDING_DELAY_S = 0.7
"""Delay with which heads forward a sighting of the lease holder: two heartbeats."""


@dataclass(slots=True)
class PeerRecord:
    """Hold the state of one other entry.

    ``last_seen_s`` is when any entry last received from it, ``last_received_s`` when this entry
    did, and ``expected_since_s`` since when its heartbeats are expected here. The link is
    ``link_suspected`` after a silence, upon which a new one is tried.
    """

    peer: Peer
    last_seen_s: float
    hall: HallId | None = None
    strength: float = 1.0
    last_received_s: float = NEVER_S
    expected_since_s: float | None = None
    distrusted_until_s: float = NEVER_S
    link_suspected: bool = False
    last_heartbeat: Heartbeat | None = None

    def trusted(self, now_s: float) -> bool:
        """Return whether the entry may be a head."""
        stopping = self.last_heartbeat is not None and self.last_heartbeat.stopping
        return not stopping and now_s >= self.distrusted_until_s


class Peers:
    """Track other entries by their heartbeats and by what others report of them."""

    def __init__(self, me: KnownEntry, silent_s: float) -> None:
        self._me = me
        self._silent_s = silent_s
        self._records: dict[NodeId, PeerRecord] = {}
        self._sighting: LeaseSighting | None = None
        self._sighted_s = NEVER_S
        self._dropped_revision = 0

    # Updates.

    def add_linked(self, peer: Peer, now_s: float) -> None:
        """Add an entry to which a link was opened."""
        if peer.node != self._me.peer.node and peer.node not in self._records:
            self._records[peer.node] = PeerRecord(peer, now_s)

    def merge_entries(self, entries: Iterable[KnownEntry], now_s: float) -> None:
        """Merge the entries that another entry reports."""
        for entry in entries:
            if entry.peer.node == self._me.peer.node or entry.silent_s > ENTRY_RETENTION_S:
                continue
            seen_s = now_s - entry.silent_s
            record = self._records.get(entry.peer.node)
            if record is None:
                record = self._records[entry.peer.node] = PeerRecord(entry.peer, seen_s)
            elif seen_s > record.last_seen_s and entry.peer != record.peer:
                record.peer = entry.peer
            record.last_seen_s = max(record.last_seen_s, seen_s)
            record.hall, record.strength = entry.hall, entry.strength

    def on_heartbeat(self, sender: Peer, heartbeat: Heartbeat, now_s: float) -> None:
        """Update the sender's record and the lease holder from a heartbeat."""
        record = self._records.setdefault(sender.node, PeerRecord(sender, now_s))
        record.peer = sender
        record.hall, record.strength = heartbeat.hall, heartbeat.strength
        record.last_seen_s = record.last_received_s = now_s
        record.distrusted_until_s = NEVER_S
        record.link_suspected = False
        record.last_heartbeat = heartbeat
        self.merge_entries(heartbeat.entries, now_s)
        self._update_holder(sender, heartbeat, now_s)

    def _update_holder(self, sender: Peer, heartbeat: Heartbeat, now_s: float) -> None:
        """Update the lease holder, as reported by itself or by others."""
        reported = heartbeat.holder
        if heartbeat.stopping or reported is None:
            if self._sighting is not None and self._sighting.peer.node == sender.node:
                self._drop_holder()
            return
        if reported.peer.node != sender.node and reported.revision <= self._dropped_revision:
            return
        sighted_s = now_s - reported.silent_s
        known = self._sighting.revision if self._sighting is not None else 0
        if (reported.revision, sighted_s) > (known, self._sighted_s):
            self._sighting, self._sighted_s = reported, sighted_s

    def _drop_holder(self) -> None:
        """Drop the holder, and ignore later reports by others of the same revision."""
        if self._sighting is not None:
            self._dropped_revision = self._sighting.revision
            self._sighting = None

    def on_process_ended(self, node: NodeId, now_s: float) -> None:
        """Treat an entry as silent, as its process has ended; it may return soon."""
        record = self._records.get(node)
        if record is not None:
            record.last_received_s = min(record.last_received_s, now_s - self._silent_s)
        if self._sighting is not None and self._sighting.peer.node == node:
            self._drop_holder()

    def on_link_lost(self, node: NodeId, now_s: float) -> None:
        """Distrust an entry until its next heartbeat, as its link broke."""
        record = self._records.get(node)
        if record is not None and record.expected_since_s is not None:
            record.distrusted_until_s = now_s + DISTRUST_S

    def update_expected(self, contacts: Collection[NodeId], now_s: float) -> list[NodeId]:
        """Record which entries' heartbeats are expected; return those that fell silent.

        An entry that stays silent over a new link too is distrusted for a while.
        """
        silent = []
        for node, record in self._records.items():
            if node not in contacts:
                record.expected_since_s = None
                record.link_suspected = False
                continue
            if record.expected_since_s is None:
                record.expected_since_s = now_s
            if now_s - max(record.last_received_s, record.expected_since_s) > self._silent_s:
                if record.link_suspected:
                    record.distrusted_until_s = now_s + DISTRUST_S
                    continue
                record.link_suspected = True
                record.expected_since_s = now_s
                silent.append(node)
        return silent

    def drop_expired(self, now_s: float) -> None:
        """Drop entries that no entry has seen for ``ENTRY_RETENTION_S``."""
        expired = [n for n, r in self._records.items() if now_s - r.last_seen_s > ENTRY_RETENTION_S]
        for node in expired:
            del self._records[node]

    # Queries.

    def all_peers(self) -> list[Peer]:
        """Return every known entry."""
        return [record.peer for record in self._records.values()]

    def known_peers(self, nodes: Iterable[NodeId]) -> list[Peer]:
        """Return the peers of those nodes that are known."""
        return [self._records[node].peer for node in nodes if node in self._records]

    def expected_nodes(self) -> frozenset[NodeId]:
        """Return the entries whose heartbeats are expected."""
        return frozenset(n for n, r in self._records.items() if r.expected_since_s is not None)

    def heard_since(self, nodes: Iterable[NodeId], since_s: float) -> bool:
        """Return whether a heartbeat of each of these entries has arrived since a time."""
        records = [self._records.get(node) for node in nodes]
        return all(record is not None and record.last_received_s > since_s for record in records)

    def without_hall(self) -> list[Peer]:
        """Return the entries of which only the link is known, not the hall."""
        return [record.peer for record in self._records.values() if record.hall is None]

    def known_entries(self, now_s: float) -> list[KnownEntry]:
        """Return the descriptions of other entries to pass on."""
        return [
            KnownEntry(record.peer, record.hall, record.strength, now_s - record.last_seen_s)
            for record in self._records.values()
            if record.hall is not None
        ]

    def candidates(self, now_s: float) -> list[Candidate]:
        """Return every entry that belongs to a cell, including this one."""
        me = self._me
        return [
            Candidate(me.peer.node, me.hall, me.strength),
            *(
                Candidate(node, record.hall, record.strength, record.trusted(now_s))
                for node, record in self._records.items()
                if record.hall is not None
            ),
        ]

    def alive(self, now_s: float) -> list[PeerRecord]:
        """Return the entries that this one recently received heartbeats from."""
        return [r for r in self._records.values() if now_s - r.last_received_s < self._silent_s]

    def echo_s(self, node: NodeId) -> float | None:
        """Return the newest send time received from an entry, on its own clock."""
        record = self._records.get(node)
        return (
            record.last_heartbeat.sent_s
            if record is not None and record.last_heartbeat is not None
            else None
        )

    def was_ever_seen(self, node: NodeId) -> bool:
        """Return whether an entry ever sent a heartbeat, or was reported as the lease holder."""
        record = self._records.get(node)
        is_reported_holder = self._sighting is not None and self._sighting.peer.node == node
        return is_reported_holder or (record is not None and record.last_heartbeat is not None)

    def holder(self, now_s: float) -> Peer | None:
        """Return the entry that was recently known to hold the lease."""
        if self._sighting is None:
            return None
        record = self._records.get(self._sighting.peer.node)
        is_contact = record is not None and record.expected_since_s is not None
        timeout_s = self._silent_s if is_contact else self._silent_s + FORWARDING_DELAY_S
        return self._sighting.peer if now_s - self._sighted_s < timeout_s else None

    def sighting(self, now_s: float) -> LeaseSighting | None:
        """Return the sighting of the lease holder to pass on."""
        holder = self.holder(now_s)
        if holder is None or self._sighting is None:
            return None
        return LeaseSighting(holder, self._sighting.revision, now_s - self._sighted_s)

    def successors(self, now_s: float, number: int) -> list[Peer]:
        """Return the live entries that are first in line for the lease."""
        order = sorted(self.alive(now_s), key=_rank_key)
        return [record.peer for record in order[:number]]

    def ranked_nodes(self) -> list[NodeId]:
        """Return all known entries and this one, the strongest first."""
        mine = (-self._me.strength, self._me.peer.node)
        return [node for _, node in sorted([mine, *map(_rank_key, self._records.values())])]

    def rank(self, now_s: float) -> int:
        """Return how many live entries precede this one, by strength and name."""
        mine = -self._me.strength, self._me.peer.node
        return sum(1 for record in self.alive(now_s) if _rank_key(record) < mine)

    def is_isolated(self, now_s: float) -> bool:
        """Return whether other entries are known but none is alive."""
        return bool(self._records) and not self.alive(now_s)


def _rank_key(record: PeerRecord) -> tuple[float, NodeId]:
    return -record.strength, record.peer.node


__all__ = ["PeerRecord", "Peers"]
