# SPDX-License-Identifier: Apache-2.0
"""The inputs of planning: bundle, rows and health of a domain."""

from collections.abc import Mapping
from dataclasses import dataclass

from ochreway_core.bundle import Bundle, Group
from ochreway_core.ids import GroupId, HallId, NodeId
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_core.rows import GroupRow
from ochreway_nodes.controller.domainrows import DomainRows
from ochreway_nodes.controller.health import Health

MAX_DRAIN_S = 900.0
"""Bound on how long a group may drain before it counts as drained."""

COMPLETE_GATES = frozenset({Reason.NONE, Reason.BACKOFF})
"""Gate states of a leader that has the grants of all its members."""


@dataclass(frozen=True, slots=True)
class Situation:
    """Snapshot of everything that the next change depends on."""

    bundle: Bundle
    rows: DomainRows
    health: Mapping[NodeId, Health]
    lost_after_s: float
    draining_since_s: Mapping[GroupId, float]
    now_s: float
    drained_halls: frozenset[HallId] = frozenset()
    closed_halls: frozenset[HallId] = frozenset()

    def specs(self) -> dict[GroupId, Group]:
        """Return the group section of each replica that the bundle configures in the domain."""
        return {
            replica: group
            for group in self.bundle.group
            if group.domain == self.rows.domain
            for replica in group.replica_ids()
        }

    def is_lost(self, node: str) -> bool:
        """Return whether the instance is unknown or has not been seen for ``lost_after_s``."""
        health = self.health.get(NodeId(node))
        return health is None or health.silent_for_s(self.now_s) > self.lost_after_s

    def is_leaving(self, node: str) -> bool:
        """Return whether the platform's list or the agent says that the instance is leaving."""
        health = self.health.get(NodeId(node))
        if health is None:
            return False
        return health.leaving or (health.report is not None and health.report.leaving)

    def is_usable(self, node: str) -> bool:
        """Return whether the instance may join a group."""
        return (
            not self.is_lost(node) and not self.is_leaving(node) and not self.in_drained_hall(node)
        )

    def in_drained_hall(self, node: str) -> bool:
        """Return whether the instance is in a drained hall."""
        health = self.health.get(NodeId(node))
        return health is not None and health.hall in self.drained_halls

    def in_closed_hall(self, node: str) -> bool:
        """Return whether the instance is in a drained hall whose groups must stop serving."""
        health = self.health.get(NodeId(node))
        return health is not None and health.hall in self.closed_halls

    def current_peer(self, peer: Peer) -> Peer:
        """Return the instance with the address that the platform lists now."""
        health = self.health.get(peer.node)
        return health.peer if health is not None and health.peer is not None else peer

    def lost_members(self, row: GroupRow) -> list[Peer]:
        """Return the members that are lost, or none while the group still seems to serve.

        It does while its leader reports all grants or, if the leader is lost, while a member still
        grants the group's epoch.
        """
        lost = [peer for peer in row.members if self.is_lost(peer.node)]
        return [] if lost and self._still_serving(row) else lost

    def _still_serving(self, row: GroupRow) -> bool:
        leader = self.health.get(row.leader.node)
        if leader is not None and not self.is_lost(row.leader.node) and leader.report is not None:
            report = leader.report
            return report.epoch == row.epoch and report.gate in COMPLETE_GATES
        return any(self._grants_current_epoch(peer, row) for peer in row.members)

    def _grants_current_epoch(self, peer: Peer, row: GroupRow) -> bool:
        health = self.health.get(peer.node)
        if health is None or health.report is None or self.is_lost(peer.node):
            return False
        return health.report.granting and health.report.epoch == row.epoch

    def has_drained(self, row: GroupRow) -> bool:
        """Return whether the draining group has finished, timed out or lost its leader."""
        health = self.health.get(row.leader.node)
        report = health.report if health else None
        if report is None or report.epoch != row.epoch or report.step != row.step:
            return self.is_lost(row.leader.node)
        since_s = self.draining_since_s.get(row.group, self.now_s)
        return report.drained or self.now_s - since_s > MAX_DRAIN_S

    def is_serving(self, row: GroupRow) -> bool:
        """Return whether the group's leader last reported that it admits requests."""
        health = self.health.get(row.leader.node)
        report = health.report if health else None
        if report is None or self.is_lost(row.leader.node):
            return False
        return report.epoch == row.epoch and report.gate is Reason.NONE

    def free_instances(self, spec: Group) -> list[Peer]:
        """Return the section's usable instances that are in no group, warm ones first."""
        free = []
        for name in spec.instances:
            health = self.health.get(NodeId(name))
            grouped = self.rows.group_of(name) is not None
            if (
                health is not None
                and health.peer is not None
                and not grouped
                and self.is_usable(name)
            ):
                free.append(health.peer)
        return sorted(free, key=lambda peer: not self.is_warm(peer.node, spec))

    def is_warm(self, node: NodeId, spec: Group) -> bool:
        """Return whether the instance has loaded the section's weights."""
        health = self.health.get(node)
        report = health.report if health else None
        return report is not None and report.artifact == self.bundle.artifact(spec)

    def loading_count(self) -> int:
        """Return the number of groups that are neither serving nor draining."""
        rows = self.rows.groups.values()
        return sum(not row.draining and not self.is_serving(row) for row in rows)

    def spares_to_warm(self) -> list[tuple[Peer, str]]:
        """Return the cold spares of sections with ``warm_spares``, with the artifact to load."""
        return [
            (peer, self.bundle.artifact(spec))
            for spec in self.bundle.group
            if spec.domain == self.rows.domain and spec.model and spec.warm_spares
            for peer in self.free_instances(spec)
            if not self.is_warm(peer.node, spec)
        ]


__all__ = ["MAX_DRAIN_S", "Situation"]
