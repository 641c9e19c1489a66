# SPDX-License-Identifier: Apache-2.0
"""A leader's admission gate: open only while every member's grant is fresh."""

from dataclasses import dataclass, field

from ochreway_core.ids import NodeId
from ochreway_core.reason import Reason
from ochreway_core.rows import GroupRow

SENT_REMEMBERED = 16


@dataclass(slots=True)
class _MemberState:
    until_s: float = 0.0
    ready: bool = False
    leaving: bool = False
    granted_once: bool = False


@dataclass(slots=True)
class LeaderGate:
    """Count grants from when the answered heartbeat was sent, on this process's clock."""

    row: GroupRow
    ttl_s: float
    sequence: int = 0
    _sent_s: dict[int, float] = field(default_factory=dict)
    _members: dict[NodeId, _MemberState] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._members = {peer.node: _MemberState() for peer in self.row.members}

    def advance(self, row: GroupRow) -> None:
        """Take a later step of the same epoch; the grants stay."""
        self.row = row

    def next_heartbeat(self, now_s: float) -> int:
        """Return the sequence number of a heartbeat that is sent now."""
        self.sequence += 1
        self._sent_s[self.sequence] = now_s
        self._sent_s.pop(self.sequence - SENT_REMEMBERED, None)
        return self.sequence

    def granted(self, node: NodeId, sequence: int, ready: bool, leaving: bool) -> None:
        """Count a member's grant."""
        member = self._members.get(node)
        sent_s = self._sent_s.get(sequence)
        if member is None or sent_s is None:
            return
        if sent_s + self.ttl_s < member.until_s:
            return
        member.until_s = sent_s + self.ttl_s
        member.ready = ready
        member.leaving = leaving
        member.granted_once = True

    def knows_row(self, node: NodeId) -> bool:
        """Tell whether the member has granted this epoch at least once."""
        return self._members[node].granted_once

    def forgot_row(self, node: NodeId) -> None:
        """Note that the member does not know the row, as after its restart."""
        member = self._members.get(node)
        if member is not None:
            member.granted_once = False

    def is_leaving(self, node: NodeId) -> bool:
        """Tell whether the member said that it is leaving."""
        return self._members[node].leaving

    def missing(self, now_s: float) -> tuple[NodeId, ...]:
        """Return the members whose grants are not fresh."""
        return tuple(node for node, each in self._members.items() if now_s >= each.until_s)

    def valid_until_s(self) -> float:
        """Return when the first grant lapses."""
        return min(each.until_s for each in self._members.values())

    def closed_because(self, now_s: float) -> Reason:
        """Return why the gate is closed, or ``NONE`` when it is open."""
        members = self._members.values()
        checks = (
            (Reason.GROUP_INCOMPLETE, any(now_s >= each.until_s for each in members)),
            (Reason.GROUP_LOADING, any(not each.ready for each in members)),
            (Reason.DRAINING, self.row.draining),
            (Reason.LEAVING, any(each.leaving for each in members)),
        )
        return next((reason for reason, closed in checks if closed), Reason.NONE)


__all__ = ["LeaderGate"]
