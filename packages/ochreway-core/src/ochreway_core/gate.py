# SPDX-License-Identifier: Apache-2.0
"""A leader's admission gate, open only while all members' grants are fresh."""

from dataclasses import dataclass, field

from ochreway_core.ids import NodeId
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_core.rows import GroupRow

MAX_SENT_HEARTBEATS = 16
"""Bound on the heartbeats whose send time is kept for counting grants."""


@dataclass(slots=True)
class _MemberState:
    granted_until_s: float = 0.0
    ready: bool = False
    leaving: bool = False
    granted_once: bool = False
    last_answered: int = 0
    """Sequence number of the newest heartbeat that the member answered."""


@dataclass(slots=True)
class LeaderGate:
    """Count each grant from the time its heartbeat was sent, on this process's clock."""

    row: GroupRow
    ttl_s: float
    began_s: float = 0.0
    sequence: int = 0
    _heartbeat_sent_s: dict[int, float] = field(default_factory=dict)
    _members: dict[NodeId, _MemberState] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._members = {peer.node: _MemberState() for peer in self.row.all_peers}

    def _active(self) -> list[_MemberState]:
        return [self._members[peer.node] for peer in self.row.members]

    def update_row(self, row: GroupRow) -> None:
        """Set the row to a later step of the same epoch; the grants stay."""
        self.row = row

    def next_heartbeat(self, now_s: float) -> int:
        """Return the sequence number for a heartbeat sent now."""
        self.sequence += 1
        self._heartbeat_sent_s[self.sequence] = now_s
        self._heartbeat_sent_s.pop(self.sequence - MAX_SENT_HEARTBEATS, None)
        return self.sequence

    def record_grant(self, node: NodeId, sequence: int, ready: bool, leaving: bool) -> None:
        """Record a member's grant."""
        member = self._members.get(node)
        sent_s = self._heartbeat_sent_s.get(sequence)
        if member is None or sent_s is None:
            return
        if sent_s + self.ttl_s < member.granted_until_s:
            return
        member.granted_until_s = sent_s + self.ttl_s
        member.ready = ready
        member.leaving = leaving
        member.granted_once = True

    def record_reply(self, node: NodeId, sequence: int) -> None:
        """Record that a member answered a heartbeat by a grant or a refusal."""
        member = self._members.get(node)
        if member is not None and sequence in self._heartbeat_sent_s:
            member.last_answered = max(member.last_answered, sequence)

    def all_answered(self, sequence: int, now_s: float, excluded: NodeId) -> bool:
        """Return whether all others answered this or a later heartbeat, or their grants lapsed."""
        return all(
            member.last_answered >= sequence or now_s >= member.granted_until_s
            for node, member in self._members.items()
            if node != excluded
        )

    def knows_row(self, node: NodeId) -> bool:
        """Return whether the member has granted this epoch at least once."""
        return self._members[node].granted_once

    def mark_row_unknown(self, node: NodeId) -> None:
        """Record that the member does not know the row, for example after a restart."""
        member = self._members.get(node)
        if member is not None:
            member.granted_once = False

    def is_leaving(self, node: NodeId) -> bool:
        """Return whether the member reported that it is leaving."""
        return self._members[node].leaving

    def missing(self, now_s: float) -> tuple[NodeId, ...]:
        """Return the members whose grants are not fresh."""
        members = (peer.node for peer in self.row.members)
        return tuple(node for node in members if now_s >= self._members[node].granted_until_s)

    def lost_members(self, now_s: float, after_s: float) -> list[Peer]:
        """Return the members whose grants lapsed longer than ``after_s`` ago or never came."""
        since_s = self.began_s + self.ttl_s
        return [
            peer
            for peer in self.row.members
            if now_s - max(self._members[peer.node].granted_until_s, since_s) > after_s
        ]

    def available_standbys(self, now_s: float) -> list[Peer]:
        """Return the standbys that could replace a member."""
        return [
            peer
            for peer in self.row.standbys
            if now_s < self._members[peer.node].granted_until_s
            and self._members[peer.node].ready
            and not self._members[peer.node].leaving
        ]

    def valid_until_s(self) -> float:
        """Return when the first grant lapses."""
        return min(each.granted_until_s for each in self._active())

    def closed_because(self, now_s: float) -> Reason:
        """Return why the gate is closed, or ``NONE`` if it is open."""
        members = self._active()
        checks = (
            (Reason.GROUP_INCOMPLETE, any(now_s >= each.granted_until_s for each in members)),
            (Reason.GROUP_LOADING, any(not each.ready for each in members)),
            (Reason.DRAINING, self.row.draining),
            (Reason.LEAVING, any(each.leaving for each in members)),
        )
        return next((reason for reason, closed in checks if closed), Reason.NONE)


__all__ = ["LeaderGate"]
