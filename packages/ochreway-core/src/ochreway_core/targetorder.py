# SPDX-License-Identifier: Apache-2.0
"""Order to a target to load an artifact, fenced by an epoch."""

from dataclasses import dataclass

from ochreway_core.ids import Epoch, GroupId, NodeId
from ochreway_core.rows import GroupRow

NO_GROUP = GroupId("")


@dataclass(frozen=True, slots=True)
class TargetOrder:
    """Name an artifact and the group to serve it in; ``NO_GROUP`` only keeps it loaded."""

    epoch: Epoch
    artifact: str
    group: GroupId = NO_GROUP
    members: tuple[NodeId, ...] = ()


def order_for(row: GroupRow) -> TargetOrder:
    """Return the order for each target of a group's row."""
    members = tuple(peer.node for peer in row.members)
    return TargetOrder(row.fence, row.artifact, row.group, members)


__all__ = ["NO_GROUP", "TargetOrder", "order_for"]
