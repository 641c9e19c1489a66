# SPDX-License-Identifier: Apache-2.0
"""All that the plan of a domain's groups depends on."""

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


COMPLETE_GATES = frozenset({Reason.NONE, Reason.BACKOFF})
"""The gates of a leader that hears all of its members."""


@dataclass(frozen=True, slots=True)
class Situation:
    """Hold all that a plan depends on."""

    bundle: Bundle
    rows: DomainRows
    health: Mapping[NodeId, Health]
    lost_after_s: float
    draining_since_s: Mapping[GroupId, float]
    now_s: float
    drained_halls: frozenset[HallId] = frozenset()
    closed_halls: frozenset[HallId] = frozenset()

    def specs(self) -> dict[GroupId, Group]:
        """Return the group section of each replica that the bundle wants in the domain."""
        return {
            replica: group
            for group in self.bundle.group
            if group.domain == self.rows.domain
            for replica in group.replica_ids()
        }

    def is_lost(self, node: str) -> bool:
        """Tell whether the instance has not been heard of for long."""
        health = self.health.get(NodeId(node))
        return health is None or health.silent_for_s(self.now_s) > self.lost_after_s

    def is_leaving(self, node: str) -> bool:
        """Tell whether the instance is about to go."""
        health = self.health.get(NodeId(node))
        if health is None:
            return False
        return health.leaving or (health.report is not None and health.report.leaving)

    def is_usable(self, node: str) -> bool:
        """Tell whether the instance may join a group."""
        return (
            not self.is_lost(node) and not self.is_leaving(node) and not self.in_drained_hall(node)
        )

    def in_drained_hall(self, node: str) -> bool:
        """Tell whether the instance stands in a drained hall."""
        health = self.health.get(NodeId(node))
        return health is not None and health.hall in self.drained_halls

    def in_closed_hall(self, node: str) -> bool:
        """Tell whether the instance stands in a hall whose groups may not serve on."""
        health = self.health.get(NodeId(node))
        return health is not None and health.hall in self.closed_halls

    def current_peer(self, peer: Peer) -> Peer:
        """Return the instance at the address that the platform lists now."""
        health = self.health.get(peer.node)
        return health.peer if health is not None and health.peer is not None else peer

    def lost_members(self, row: GroupRow) -> list[Peer]:
        """Return the members that are lost, unless the leader still hears all of them."""
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
        """Tell whether the draining group has nothing left to finish."""
        health = self.health.get(row.leader.node)
        report = health.report if health else None
        if report is None or report.epoch != row.epoch or report.step != row.step:
            return self.is_lost(row.leader.node)
        since_s = self.draining_since_s.get(row.group, self.now_s)
        return report.drained or self.now_s - since_s > MAX_DRAIN_S

    def is_serving(self, row: GroupRow) -> bool:
        """Tell whether the group's leader last said that it takes work."""
        health = self.health.get(row.leader.node)
        report = health.report if health else None
        if report is None or self.is_lost(row.leader.node):
            return False
        return report.epoch == row.epoch and report.gate is Reason.NONE

    def free_instances(self, spec: Group) -> list[Peer]:
        """Return the section's usable instances that are in no group."""
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
        # Those that have the weights already come first.
        return sorted(free, key=lambda peer: not self.is_warm(peer.node, spec))

    def is_warm(self, node: NodeId, spec: Group) -> bool:
        """Tell whether the instance has loaded what the section serves."""
        health = self.health.get(node)
        report = health.report if health else None
        return report is not None and report.artifact == self.bundle.artifact(spec)

    def loading_count(self) -> int:
        """Return how many groups are neither serving nor draining."""
        rows = self.rows.groups.values()
        return sum(not row.draining and not self.is_serving(row) for row in rows)

    def spares_to_warm(self) -> list[tuple[Peer, str]]:
        """Return the spares that lack the weights of what they may serve, with its artifact."""
        return [
            (peer, self.bundle.artifact(spec))
            for spec in self.bundle.group
            if spec.domain == self.rows.domain and spec.model and spec.warm_spares
            for peer in self.free_instances(spec)
            if not self.is_warm(peer.node, spec)
        ]


__all__ = ["MAX_DRAIN_S", "Situation"]
