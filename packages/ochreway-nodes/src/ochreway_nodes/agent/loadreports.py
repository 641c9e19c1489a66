# SPDX-License-Identifier: Apache-2.0
"""Load reports from a leader to the entries that follow its group."""

from dataclasses import dataclass

from ochreway_core.ids import NodeId
from ochreway_core.messages import Follow, LoadReport
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_nodes.agent.membership import Membership
from ochreway_nodes.agent.serving import Serving
from ochreway_nodes.outbox import Outbox

FOLLOW_FOR_S = 4.0
CACHE_EVENTS_AT_MOST = 64


@dataclass(slots=True)
class _Follower:
    peer: Peer
    until_s: float


class LoadReports:
    """Tell followers at a steady pace, and at once when the gate opens or closes."""

    def __init__(self, membership: Membership, serving: Serving, outbox: Outbox) -> None:
        self._membership = membership
        self._serving = serving
        self._outbox = outbox
        self._followers: dict[NodeId, _Follower] = {}
        self._reported_s = -1.0e9
        self._reported_gate = Reason.NO_GROUP
        self._cached: list[int] = []
        self._evicted: list[int] = []

    def on_follow(self, sender: Peer, follow: Follow, now_s: float) -> None:
        """Count an entry among the followers for a while."""
        fresh = sender.node not in self._followers
        self._followers[sender.node] = _Follower(sender, now_s + FOLLOW_FOR_S)
        row = self._membership.row
        if fresh and row is not None and self._membership.leads:
            self._outbox.send(sender, self._report(sender.node, now_s))

    def on_cache_events(self, cached: list[int], evicted: list[int]) -> None:
        """Keep the engine's cache events for the next report."""
        self._cached = (self._cached + cached)[-CACHE_EVENTS_AT_MOST:]
        self._evicted = (self._evicted + evicted)[-CACHE_EVENTS_AT_MOST:]

    def tick(self, now_s: float) -> None:
        """Report when due."""
        if not self._membership.leads:
            return
        gate = self._membership.closed_because(now_s)
        due = now_s - self._reported_s >= self._membership.timing.load_report_s
        if not due and gate is self._reported_gate:
            return
        self._reported_s = now_s
        self._reported_gate = gate
        for node, follower in list(self._followers.items()):
            if follower.until_s < now_s:
                del self._followers[node]
            else:
                self._outbox.send(follower.peer, self._report(node, now_s))
        self._cached, self._evicted = [], []

    def _report(self, follower: NodeId, now_s: float) -> LoadReport:
        row = self._membership.row
        assert row is not None
        return LoadReport(
            group=row.group,
            epoch=row.epoch,
            incarnation=self._membership.incarnation,
            gate=self._membership.closed_because(now_s),
            in_flight=self._serving.running,
            queued=len(self._serving.queue),
            backlog_s=self._serving.backlog_s,
            next_s=self._serving.next_s,
            received=self._serving.last_received(follower),
            slots=row.slots,
            cached=tuple(self._cached),
            evicted=tuple(self._evicted),
        )


__all__ = ["LoadReports"]
