# SPDX-License-Identifier: Apache-2.0
"""The other entries: who they are, when they were heard, what they said."""

from collections.abc import Iterable
from dataclasses import dataclass

from ochreway_core.ids import NodeId
from ochreway_core.peer import Peer
from ochreway_direct.messages import Heartbeat

FORGOTTEN_S = 20.0
"""After how long a silent entry is taken to be gone for good."""


@dataclass(slots=True)
class PeerRecord:
    """Hold what is known of one other entry."""

    peer: Peer
    heard_s: float
    last: Heartbeat | None = None


class Peers:
    """Learn entries from their heartbeats and from what others pass on."""

    def __init__(self, me: Peer, silent_s: float) -> None:
        self._me = me
        self._silent_s = silent_s
        self._records: dict[NodeId, PeerRecord] = {}

    def learn(self, peers: Iterable[Peer], now_s: float) -> None:
        """Add entries that another one knows."""
        for peer in peers:
            if peer.node != self._me.node and peer.node not in self._records:
                self._records[peer.node] = PeerRecord(peer, now_s)

    def hear(self, sender: Peer, heartbeat: Heartbeat, now_s: float) -> None:
        """Take a heartbeat."""
        self._records[sender.node] = PeerRecord(sender, now_s, heartbeat)
        self.learn(heartbeat.peers, now_s)

    def ended(self, node: NodeId, now_s: float) -> None:
        """Take an entry as silent, as its process has ended; it may be back soon."""
        if node in self._records:
            self._records[node].heard_s = now_s - self._silent_s

    def forget_silent(self, now_s: float) -> list[NodeId]:
        """Drop entries that have been silent for long; return them."""
        gone = [n for n, r in self._records.items() if now_s - r.heard_s > FORGOTTEN_S]
        for node in gone:
            del self._records[node]
        return gone

    def all(self) -> list[Peer]:
        """Return every known entry."""
        return [record.peer for record in self._records.values()]

    def alive(self, now_s: float) -> list[PeerRecord]:
        """Return the entries that were heard lately."""
        return [
            record
            for record in self._records.values()
            if record.last is not None and now_s - record.heard_s < self._silent_s
        ]

    def echo_s(self, node: NodeId) -> float | None:
        """Return the newest time that an entry sent, on its own clock."""
        record = self._records.get(node)
        return record.last.sent_s if record is not None and record.last is not None else None

    def holder(self, now_s: float) -> PeerRecord | None:
        """Return the entry heard lately that holds the newest lease."""
        holders = [
            record
            for record in self.alive(now_s)
            if record.last is not None and record.last.holds_lease and not record.last.stopping
        ]
        return max(holders, key=_lease_revision, default=None)

    def newest_revision(self) -> int:
        """Return the newest lease revision that any entry spoke of."""
        return max((_lease_revision(r) for r in self._records.values()), default=0)

    def rank(self, now_s: float) -> int:
        """Return how many live entries come before this one, by name."""
        return sum(1 for r in self.alive(now_s) if r.peer.node < self._me.node)

    def isolated(self, now_s: float) -> bool:
        """Tell whether other entries are known and none was heard lately."""
        return bool(self._records) and not self.alive(now_s)


def _lease_revision(record: PeerRecord) -> int:
    return record.last.lease_revision if record.last is not None else 0


__all__ = ["PeerRecord", "Peers"]
