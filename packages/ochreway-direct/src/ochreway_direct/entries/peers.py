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
FORGOTTEN_S = 20.0
"""After how long an entry that nobody has heard is taken to be gone for good."""
SHUNNED_S = 5.0
"""For how long an entry that owes heartbeats and is silent becomes no head."""
TOLD_S = 0.7
"""By how much later than the holder itself one hears of it through heads: two heartbeats."""


@dataclass(slots=True)
class PeerRecord:
    """Hold what is known of one other entry.

    ``seen_s`` is when anybody heard it last, ``heard_s`` when this entry did, and ``due_since_s``
    since when it has been owing this one heartbeats. One that is ``doubted`` was silent for so long
    that a new link is tried.
    """

    peer: Peer
    seen_s: float
    hall: HallId | None = None
    strength: float = 1.0
    heard_s: float = NEVER_S
    due_since_s: float | None = None
    shunned_until_s: float = NEVER_S
    doubted: bool = False
    last: Heartbeat | None = None

    def trusted(self, now_s: float) -> bool:
        """Tell whether the entry may speak for others."""
        stopping = self.last is not None and self.last.stopping
        return not stopping and now_s >= self.shunned_until_s


class Peers:
    """Learn entries from their heartbeats and from what others pass on."""

    def __init__(self, me: KnownEntry, silent_s: float) -> None:
        self._me = me
        self._silent_s = silent_s
        self._records: dict[NodeId, PeerRecord] = {}
        self._sighting: LeaseSighting | None = None
        self._sighted_s = NEVER_S
        self._given_up = 0

    # What is learned.

    def met(self, peer: Peer, now_s: float) -> None:
        """Add an entry that a link leads to."""
        if peer.node != self._me.peer.node and peer.node not in self._records:
            self._records[peer.node] = PeerRecord(peer, now_s)

    def learn(self, entries: Iterable[KnownEntry], now_s: float) -> None:
        """Take what another entry knows of others."""
        for entry in entries:
            if entry.peer.node == self._me.peer.node or entry.silent_s > FORGOTTEN_S:
                continue
            seen_s = now_s - entry.silent_s
            record = self._records.get(entry.peer.node)
            if record is None:
                record = self._records[entry.peer.node] = PeerRecord(entry.peer, seen_s)
            elif seen_s > record.seen_s and entry.peer != record.peer:
                record.peer = entry.peer
            record.seen_s = max(record.seen_s, seen_s)
            record.hall, record.strength = entry.hall, entry.strength

    def hear(self, sender: Peer, heartbeat: Heartbeat, now_s: float) -> None:
        """Take a heartbeat."""
        record = self._records.setdefault(sender.node, PeerRecord(sender, now_s))
        record.peer = sender
        record.hall, record.strength = heartbeat.hall, heartbeat.strength
        record.seen_s = record.heard_s = now_s
        record.shunned_until_s = NEVER_S
        record.doubted = False
        record.last = heartbeat
        self.learn(heartbeat.entries, now_s)
        self._sight(sender, heartbeat, now_s)

    def _sight(self, sender: Peer, heartbeat: Heartbeat, now_s: float) -> None:
        """Note who holds the lease, from itself or from others."""
        found = heartbeat.holder
        if heartbeat.stopping or found is None:
            if self._sighting is not None and self._sighting.peer.node == sender.node:
                self._give_up()
            return
        if found.peer.node != sender.node and found.revision <= self._given_up:
            return
        sighted_s = now_s - found.silent_s
        known = self._sighting.revision if self._sighting is not None else 0
        if (found.revision, sighted_s) > (known, self._sighted_s):
            self._sighting, self._sighted_s = found, sighted_s

    def _give_up(self) -> None:
        """Forget the holder; what others still say of it is older."""
        if self._sighting is not None:
            self._given_up = self._sighting.revision
            self._sighting = None

    def ended(self, node: NodeId, now_s: float) -> None:
        """Take an entry as silent, as its process has ended; it may be back soon."""
        record = self._records.get(node)
        if record is not None:
            record.heard_s = min(record.heard_s, now_s - self._silent_s)
        if self._sighting is not None and self._sighting.peer.node == node:
            self._give_up()

    def lost_link(self, node: NodeId, now_s: float) -> None:
        """Let an entry speak for nobody until it is heard again, as its link broke."""
        record = self._records.get(node)
        if record is not None and record.due_since_s is not None:
            record.shunned_until_s = now_s + SHUNNED_S

    def expect(self, contacts: Collection[NodeId], now_s: float) -> list[NodeId]:
        """Note which entries owe heartbeats; return those that fell silent.

        An entry that is silent over a new link too speaks for nobody for a while.
        """
        silent = []
        for node, record in self._records.items():
            if node not in contacts:
                record.due_since_s = None
                record.doubted = False
                continue
            if record.due_since_s is None:
                record.due_since_s = now_s
            if now_s - max(record.heard_s, record.due_since_s) > self._silent_s:
                if record.doubted:
                    record.shunned_until_s = now_s + SHUNNED_S
                    continue
                record.doubted = True
                record.due_since_s = now_s
                silent.append(node)
        return silent

    def forget_silent(self, now_s: float) -> None:
        """Drop entries that nobody has heard for long."""
        gone = [n for n, r in self._records.items() if now_s - r.seen_s > FORGOTTEN_S]
        for node in gone:
            del self._records[node]

    # What is asked.

    def all(self) -> list[Peer]:
        """Return every known entry."""
        return [record.peer for record in self._records.values()]

    def of(self, nodes: Iterable[NodeId]) -> list[Peer]:
        """Return those of some entries that are known."""
        return [self._records[node].peer for node in nodes if node in self._records]

    def in_touch(self) -> frozenset[NodeId]:
        """Return the entries that owe this one heartbeats."""
        return frozenset(n for n, r in self._records.items() if r.due_since_s is not None)

    def unplaced(self) -> list[Peer]:
        """Return the entries of which only a link is known."""
        return [record.peer for record in self._records.values() if record.hall is None]

    def known(self, now_s: float) -> list[KnownEntry]:
        """Return what may be passed on of other entries."""
        return [
            KnownEntry(record.peer, record.hall, record.strength, now_s - record.seen_s)
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
        return [r for r in self._records.values() if now_s - r.heard_s < self._silent_s]

    def echo_s(self, node: NodeId) -> float | None:
        """Return the newest time that an entry sent, on its own clock."""
        record = self._records.get(node)
        return record.last.sent_s if record is not None and record.last is not None else None

    def heard(self, node: NodeId) -> bool:
        """Tell whether an entry was ever heard, or known from others to hold the lease."""
        record = self._records.get(node)
        told = self._sighting is not None and self._sighting.peer.node == node
        return told or (record is not None and record.last is not None)

    def holder(self, now_s: float) -> Peer | None:
        """Return the entry that was lately known to hold the lease."""
        if self._sighting is None:
            return None
        record = self._records.get(self._sighting.peer.node)
        near = record is not None and record.due_since_s is not None
        bound_s = self._silent_s if near else self._silent_s + TOLD_S
        return self._sighting.peer if now_s - self._sighted_s < bound_s else None

    def sighting(self, now_s: float) -> LeaseSighting | None:
        """Return what may be passed on of the holder of the lease."""
        holder = self.holder(now_s)
        if holder is None or self._sighting is None:
            return None
        return LeaseSighting(holder, self._sighting.revision, now_s - self._sighted_s)

    def successors(self, now_s: float, number: int) -> list[Peer]:
        """Return the entries heard lately that are the first to take the lease."""
        order = sorted(self.alive(now_s), key=_order)
        return [record.peer for record in order[:number]]

    def in_order(self) -> list[NodeId]:
        """Return the entries known and this one, the strongest first."""
        mine = (-self._me.strength, self._me.peer.node)
        return [node for _, node in sorted([mine, *map(_order, self._records.values())])]

    def rank(self, now_s: float) -> int:
        """Return how many live entries come before this one, by strength and name."""
        mine = -self._me.strength, self._me.peer.node
        return sum(1 for record in self.alive(now_s) if _order(record) < mine)

    def isolated(self, now_s: float) -> bool:
        """Tell whether other entries are known and none was heard lately."""
        return bool(self._records) and not self.alive(now_s)


def _order(record: PeerRecord) -> tuple[float, NodeId]:
    return -record.strength, record.peer.node


__all__ = ["PeerRecord", "Peers"]
