# SPDX-License-Identifier: Apache-2.0
"""Load reports from a group's leader to the entries that follow the group."""

from dataclasses import dataclass

from ochreway_core.ids import NodeId
from ochreway_core.messages import Follow, LoadReport
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_nodes.agent.membership import Membership
from ochreway_nodes.agent.serving import Serving
from ochreway_nodes.outbox import Outbox

FOLLOWER_TIMEOUT_S = 16.0
"""How long an entry stays a follower after its last ``Follow`` message."""
MAX_CACHE_EVENTS = 64
"""Bound on the cached and on the evicted blocks in one report; the newest are kept."""


@dataclass(slots=True)
class _Follower:
    peer: Peer
    expires_s: float
    last_report_s: float = -1.0e9
    last_seen_sequence: int = 0


class LoadReports:
    """Send load reports periodically, and at once when the gate opens or closes.

    A follower that sent attempts since its last report gets reports at shorter intervals than an
    idle one, as they travel in the same batches as its answers.
    """

    def __init__(self, membership: Membership, serving: Serving, outbox: Outbox) -> None:
        self._membership = membership
        self._serving = serving
        self._outbox = outbox
        self._followers: dict[NodeId, _Follower] = {}
        self._reported_gate = Reason.NO_GROUP
        self._cached: list[int] = []
        self._evicted: list[int] = []

    def on_follow(self, sender: Peer, follow: Follow, now_s: float) -> None:
        """Add or renew a follower."""
        follower = self._followers.get(sender.node)
        if follower is None:
            follower = self._followers[sender.node] = _Follower(sender, now_s)
        follower.peer = sender
        follower.expires_s = now_s + FOLLOWER_TIMEOUT_S

    def on_cache_events(self, cached: list[int], evicted: list[int]) -> None:
        """Record the engine's cache events for the next report."""
        self._cached = (self._cached + cached)[-MAX_CACHE_EVENTS:]
        self._evicted = (self._evicted + evicted)[-MAX_CACHE_EVENTS:]

    def tick(self, now_s: float) -> None:
        """Send the reports that are due, if this agent leads."""
        if not self._membership.leads:
            return
        gate = self._membership.refusal_reason(now_s)
        changed = gate is not self._reported_gate
        self._reported_gate = gate
        any_sent = False
        for node, follower in list(self._followers.items()):
            if follower.expires_s < now_s:
                del self._followers[node]
            elif changed or self._is_due(follower, now_s):
                any_sent = True
                self._send_report(follower, now_s)
        if any_sent:
            self._cached, self._evicted = [], []

    def _is_due(self, follower: _Follower, now_s: float) -> bool:
        timing = self._membership.timing
        received = self._serving.last_received(follower.peer.node)
        busy = received != follower.last_seen_sequence
        period_s = timing.load_report_s if busy else timing.idle_report_s
        return now_s - follower.last_report_s >= period_s

    def _send_report(self, follower: _Follower, now_s: float) -> None:
        follower.last_report_s = now_s
        follower.last_seen_sequence = self._serving.last_received(follower.peer.node)
        self._outbox.send(follower.peer, self._report(follower.peer.node, now_s))

    def _report(self, follower: NodeId, now_s: float) -> LoadReport:
        row = self._membership.row
        assert row is not None
        return LoadReport(
            group=row.group,
            epoch=row.epoch,
            incarnation=self._membership.incarnation,
            gate=self._membership.refusal_reason(now_s),
            in_flight=self._serving.running,
            queued=len(self._serving.queue),
            backlog_s=self._serving.backlog_s,
            next_s=self._serving.next_s,
            received=self._serving.last_received(follower),
            slots=row.slots,
            cached=tuple(self._cached),
            evicted=tuple(self._evicted),
            reopens_in_s=self._membership.reopens_in_s(now_s),
        )


__all__ = ["LoadReports"]
