# SPDX-License-Identifier: Apache-2.0
"""Rows that the system stores in the platform's table, and their keys."""

from dataclasses import dataclass

from ochreway_core.drainedhalls import DrainedHalls
from ochreway_core.ids import (
    BundleHash,
    ChangeId,
    DomainId,
    Epoch,
    GroupId,
    NodeId,
    ScopeId,
    TargetName,
    Term,
    Version,
)
from ochreway_core.peer import Peer
from ochreway_core.targetkind import TargetKind

MAX_FORMATIONS = 1000
"""Bound on the formations of an epoch, as the formation number is part of the fence."""


def fence_of(epoch: Epoch) -> Epoch:
    """Return the fencing token of an epoch's first formation."""
    return Epoch(epoch * MAX_FORMATIONS)


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Hold a fabric domain's controller lease and its epoch counter."""

    holder: NodeId
    term: Term
    beat: int
    counter: Epoch


@dataclass(frozen=True, slots=True)
class GroupRow:
    """Hold one serving group; its first member leads.

    Standbys belong to the group too. Its leader may replace a lost member by a standby without
    writing to the table, which makes another formation of the same epoch.
    """

    group: GroupId
    domain: DomainId
    kind: TargetKind
    target: TargetName
    artifact: str
    slots: int
    priority: int
    epoch: Epoch
    step: int
    version: Version
    draining: bool
    members: tuple[Peer, ...]
    standbys: tuple[Peer, ...] = ()
    formation: int = 0

    @property
    def order_key(self) -> tuple[int, int, int]:
        """Return the key that orders the rows of a group by age."""
        return self.epoch, self.formation, self.step

    @property
    def fence(self) -> Epoch:
        """Return the fencing token of orders to the group's targets."""
        return Epoch(fence_of(self.epoch) + self.formation)

    @property
    def all_peers(self) -> tuple[Peer, ...]:
        """Return the members and the standbys."""
        return self.members + self.standbys

    def has_member(self, node: NodeId) -> bool:
        """Return whether the node is a member, not a standby."""
        return any(peer.node == node for peer in self.members)

    @property
    def leader(self) -> Peer:
        """Return the member that admits the group's work."""
        return self.members[0]

    def includes(self, node: NodeId) -> bool:
        """Return whether the node is a member or a standby."""
        return any(peer.node == node for peer in self.all_peers)


@dataclass(frozen=True, slots=True)
class InstanceRow:
    """Hold the single group that an instance belongs to."""

    node: NodeId
    group: GroupId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class BundleRow:
    """Describe a submitted bundle; its body is in the object store under its hash."""

    bundle: BundleHash
    author: str
    name: str
    submitted_wall_s: float


@dataclass(frozen=True, slots=True)
class RollRow:
    """Record one accepted version permanently.

    ``former`` holds the key keepers of recently superseded versions.
    """

    scope: ScopeId
    version: Version
    bundle: BundleHash
    author: str
    operator: str
    change: ChangeId
    accepted_wall_s: float
    first_accepted_wall_s: float
    former: tuple[tuple[NodeId, ...], ...]


@dataclass(frozen=True, slots=True)
class HallsRow:
    """Hold a scope's drained halls and the change that set them."""

    scope: ScopeId
    drained: DrainedHalls
    operator: str
    change: ChangeId


def lease_key(domain: str) -> str:
    """Return the key of a domain's lease row."""
    return f"controller/{domain}"


def group_key(domain: str, group: str) -> str:
    """Return the key of a group row."""
    return f"group/{domain}/{group}"


def instance_key(domain: str, node: str) -> str:
    """Return the key of an instance row."""
    return f"instance/{domain}/{node}"


def bundle_key(bundle: str) -> str:
    """Return the key of a bundle row."""
    return f"bundle/{bundle}"


def approval_key(bundle: str, approver: str = "") -> str:
    """Return the key of an approval row, or the prefix of a bundle's approvals."""
    return f"approval/{bundle}/{approver}"


def head_key(scope: str) -> str:
    """Return the key of the row that names the accepted version."""
    return f"head/{scope}"


def roll_key(scope: str, version: int) -> str:
    """Return the key of a version's roll row."""
    return f"roll/{scope}/{version:010d}"


def halls_key(scope: str) -> str:
    """Return the key of the row that holds the drained halls."""
    return f"halls/{scope}"


def halls_change_key(scope: str, version: int) -> str:
    """Return the key of the row that records one change to the drained halls."""
    return f"halls-change/{scope}/{version:010d}"


__all__ = [
    "BundleRow",
    "GroupRow",
    "HallsRow",
    "InstanceRow",
    "LeaseRow",
    "RollRow",
    "approval_key",
    "fence_of",
    "bundle_key",
    "group_key",
    "halls_change_key",
    "halls_key",
    "head_key",
    "instance_key",
    "lease_key",
    "roll_key",
]
