# SPDX-License-Identifier: Apache-2.0
"""The table rows of one domain, as a controller last read or wrote them."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ochreway_core.codec import decode
from ochreway_core.ids import DomainId, GroupId, NodeId
from ochreway_core.rows import GroupRow, InstanceRow, LeaseRow, group_key, instance_key, lease_key
from ochreway_core.table import ABSENT, Condition, Row


@dataclass(slots=True)
class DomainRows:
    """The lease, group and instance rows of a domain, with their revisions."""

    domain: DomainId
    lease: LeaseRow | None = None
    groups: dict[GroupId, GroupRow] = field(default_factory=dict)
    instances: dict[NodeId, InstanceRow] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)

    @classmethod
    def from_rows(cls, domain: DomainId, rows: Mapping[str, Row]) -> "DomainRows":
        """Decode the rows returned for the domain's prefixes."""
        result = cls(domain)
        lease = rows.get(lease_key(domain))
        result.lease = decode(LeaseRow, lease.content) if lease else None
        for key, row in rows.items():
            result.revisions[key] = row.revision
            if key.startswith(group_key(domain, "")):
                group = decode(GroupRow, row.content)
                result.groups[group.group] = group
            elif key.startswith(instance_key(domain, "")):
                instance = decode(InstanceRow, row.content)
                result.instances[instance.node] = instance
        return result

    def condition(self, key: str) -> Condition:
        """Return the condition that a row is unchanged since it was read."""
        return Condition(key, self.revisions.get(key, ABSENT))

    def group_of(self, node: str) -> GroupId | None:
        """Return the group that the instance belongs to, or None."""
        row = self.instances.get(NodeId(node))
        return row.group if row else None


__all__ = ["DomainRows"]
