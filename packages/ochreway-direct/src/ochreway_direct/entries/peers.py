# SPDX-License-Identifier: Apache-2.0
"""The other entries: who they are, when they were heard, and which of them holds the lease."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ochreway_core.ids import HallId, NodeId
from ochreway_core.peer import Peer
from ochreway_direct.entries.cells import Candidate
from ochreway_direct.entries.knownentry import KnownEntry
from ochreway_direct.messages import Heartbeat, LeaseSighting

NEVER_S = -1.0e9
ENTRY_RETENTION_S = 20.0
"""After how long an entry that nobody has heard is taken to be gone for good."""
DISTRUST_S = 5.0
"""For how long an entry that owes heartbeats and is silent becomes no head."""
FORWARDING_DELAY_S = 0.7
"""By how much later than the holder itself one hears of it through heads: two heartbeats."""


@dataclass(slots=True)
class PeerRecord:
    """Hold what is known of one other entry.

    ``seen_s`` is when anybody heard it last, ``heard_s`` when this entry did, and ``due_since_s``
    since when it has been owing this one heartbeats. One that is ``doubted`` was silent for so long
    that a new link is tried.
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
        """Tell whether the entry may speak for others."""
        stopping = self.last_heartbeat is not None and self.last_heartbeat.stopping
        return not stopping and now_s >= self.distrusted_until_s


class Peers:
    """Learn entries from their heartbeats and from what others pass on."""

    def __init__(self, me: KnownEntry, silent_s: float) -> None:
        self._me = me
        self._silent_s = silent_s
        self._records: dict[NodeId, PeerRecord] = {}
        self._sighting: LeaseSighting | None = None
        self._sighted_s = NEVER_S
        self._dropped_revision = 0

    # What is learned.

    def add_linked(self, peer: Peer, now_s: float) -> None:
        """Add an entry that a link leads to."""
        if peer.node != self._me.peer.node and peer.node not in self._records:
            self._records[peer.node] = PeerRecord(peer, now_s)

    def merge_entries(self, entries: Iterable[KnownEntry], now_s: float) -> None:
        """Take what another entry knows of others."""
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
        """Take a heartbeat."""
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
        """Note who holds the lease, from itself or from others."""
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
        """Forget the holder; what others still say of it is older."""
        if self._sighting is not None:
            self._dropped_revision = self._sighting.revision
            self._sighting = None

    def on_process_ended(self, node: NodeId, now_s: float) -> None:
        """Take an entry as silent, as its process has ended; it may be back soon."""
        record = self._records.get(node)
        if record is not None:
            record.last_received_s = min(record.last_received_s, now_s - self._silent_s)
        if self._sighting is not None and self._sighting.peer.node == node:
            self._drop_holder()

    def on_link_lost(self, node: NodeId, now_s: float) -> None:
        """Let an entry speak for nobody until it is heard again, as its link broke."""
        record = self._records.get(node)
        if record is not None and record.expected_since_s is not None:
            record.distrusted_until_s = now_s + DISTRUST_S

    def update_expected(self, contacts: Collection[NodeId], now_s: float) -> list[NodeId]:
        """Note which entries owe heartbeats; return those that fell silent.

        An entry that is silent over a new link too speaks for nobody for a while.
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
        """Drop entries that nobody has heard for long."""
        expired = [n for n, r in self._records.items() if now_s - r.last_seen_s > ENTRY_RETENTION_S]
        for node in expired:
            del self._records[node]

    # What is asked.

    def all_peers(self) -> list[Peer]:
        """Return every known entry."""
        return [record.peer for record in self._records.values()]

    def known_peers(self, nodes: Iterable[NodeId]) -> list[Peer]:
        """Return those of some entries that are known."""
        return [self._records[node].peer for node in nodes if node in self._records]

    def expected_nodes(self) -> frozenset[NodeId]:
        """Return the entries that owe this one heartbeats."""
        return frozenset(n for n, r in self._records.items() if r.expected_since_s is not None)

    def without_hall(self) -> list[Peer]:
        """Return the entries of which only a link is known."""
        return [record.peer for record in self._records.values() if record.hall is None]

    def known_entries(self, now_s: float) -> list[KnownEntry]:
        """Return what may be passed on of other entries."""
        return [
            KnownEntry(record.peer, record.hall, record.strength, now_s - record.last_seen_s)
            for record in self._records.values()
            if record.hall is not None
        ]

    def candidates(self, now_s: float) -> list[Candidate]:
        """Return every entry that has a place among the cells, this one too."""
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
        """Return the entries that this one heard lately."""
        return [r for r in self._records.values() if now_s - r.last_received_s < self._silent_s]

    def echo_s(self, node: NodeId) -> float | None:
        """Return the newest time that an entry sent, on its own clock."""
        record = self._records.get(node)
        return (
            record.last_heartbeat.sent_s
            if record is not None and record.last_heartbeat is not None
            else None
        )

    def was_ever_seen(self, node: NodeId) -> bool:
        """Tell whether an entry was ever heard, or known from others to hold the lease."""
        record = self._records.get(node)
        is_reported_holder = self._sighting is not None and self._sighting.peer.node == node
        return is_reported_holder or (record is not None and record.last_heartbeat is not None)

    def holder(self, now_s: float) -> Peer | None:
        """Return the entry that was lately known to hold the lease."""
        if self._sighting is None:
            return None
        record = self._records.get(self._sighting.peer.node)
        is_contact = record is not None and record.expected_since_s is not None
        timeout_s = self._silent_s if is_contact else self._silent_s + FORWARDING_DELAY_S
        return self._sighting.peer if now_s - self._sighted_s < timeout_s else None

    def sighting(self, now_s: float) -> LeaseSighting | None:
        """Return what may be passed on of the holder of the lease."""
        holder = self.holder(now_s)
        if holder is None or self._sighting is None:
            return None
        return LeaseSighting(holder, self._sighting.revision, now_s - self._sighted_s)

    def successors(self, now_s: float, number: int) -> list[Peer]:
        """Return the entries heard lately that are the first to take the lease."""
        order = sorted(self.alive(now_s), key=_rank_key)
        return [record.peer for record in order[:number]]

    def ranked_nodes(self) -> list[NodeId]:
        """Return the entries known and this one, the strongest first."""
        mine = (-self._me.strength, self._me.peer.node)
        return [node for _, node in sorted([mine, *map(_rank_key, self._records.values())])]

    def rank(self, now_s: float) -> int:
        """Return how many live entries come before this one, by strength and name."""
        mine = -self._me.strength, self._me.peer.node
        return sum(1 for record in self.alive(now_s) if _rank_key(record) < mine)

    def is_isolated(self, now_s: float) -> bool:
        """Tell whether other entries are known and none was heard lately."""
        return bool(self._records) and not self.alive(now_s)


def _rank_key(record: PeerRecord) -> tuple[float, NodeId]:
    return -record.strength, record.peer.node


__all__ = ["PeerRecord", "Peers"]
