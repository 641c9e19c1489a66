# SPDX-License-Identifier: Apache-2.0
"""Table writes for a change to a domain's groups."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from ochreway_core.bundle import Bundle, Group
from ochreway_core.codec import encode
from ochreway_core.ids import ChangeId, Epoch, GroupId, NodeId, TargetName, Version
from ochreway_core.rows import GroupRow, InstanceRow, LeaseRow, group_key, instance_key, lease_key
from ochreway_core.table import Transaction
from ochreway_nodes.controller.domainrows import DomainRows
from ochreway_nodes.controller.groupchange import (
    DissolveGroup,
    DrainGroup,
    FormGroup,
    GroupChange,
    RecordFormation,
    RefreshGroup,
    ReleaseStandbys,
)


@dataclass(frozen=True, slots=True)
class SpecSource:
    """The bundle that a change is made for, and its version."""

    bundle: Bundle
    version: Version


@dataclass(slots=True)
class RowWrites:
    """The writes of one transaction: the lease row, and group and instance rows.

    A value of None deletes the row.
    """

    before: DomainRows
    lease: LeaseRow
    groups: dict[GroupId, GroupRow | None] = field(default_factory=dict)
    instances: dict[NodeId, InstanceRow | None] = field(default_factory=dict)

    @property
    def changed_groups(self) -> list[GroupId]:
        """The groups that the change writes and does not remove."""
        return [group for group, row in self.groups.items() if row is not None]

    def _encoded(self) -> dict[str, bytes | None]:
        domain = self.before.domain
        writes: dict[str, bytes | None] = {lease_key(domain): encode(self.lease)}
        for group, row in self.groups.items():
            writes[group_key(domain, group)] = encode(row) if row else None
        for node, instance in self.instances.items():
            writes[instance_key(domain, node)] = encode(instance) if instance else None
        return writes

    def transaction(self, change: ChangeId) -> Transaction:
        """Return the transaction, on condition that the rows are unchanged since they were read."""
        writes = self._encoded()
        conditions = tuple(self.before.condition(key) for key in writes)
        return Transaction(change, conditions, writes)

    def committed(self, revision: int) -> DomainRows:
        """Return the domain's rows as they are after the commit."""
        before = self.before
        groups = {**before.groups, **self.groups}
        instances = {**before.instances, **self.instances}
        revisions = dict(before.revisions)
        for key, content in self._encoded().items():
            if content is None:
                revisions.pop(key, None)
            else:
                revisions[key] = revision
        return DomainRows(
            before.domain,
            self.lease,
            {group: row for group, row in groups.items() if row is not None},
            {node: row for node, row in instances.items() if row is not None},
            revisions,
        )


def writes_for(change: GroupChange, rows: DomainRows, source: SpecSource) -> RowWrites:
    """Return the writes of a change, under the domain's next epoch."""
    assert rows.lease is not None
    lease = replace(rows.lease, beat=rows.lease.beat + 1, counter=Epoch(rows.lease.counter + 1))
    writes = RowWrites(rows, lease)
    _WRITERS[type(change)](writes, change, source)
    return writes


def _form_group(writes: RowWrites, change: FormGroup, source: SpecSource) -> None:
    for dissolved in change.dissolve:
        _free_group(writes, dissolved)
    if change.group in writes.before.groups:
        _free_group(writes, change.group)
    bundle = source.bundle
    spec = _spec_of(change.group, source)
    writes.groups[change.group] = GroupRow(
        group=change.group,
        domain=writes.before.domain,
        kind=spec.kind,
        target=TargetName(spec.target),
        artifact=bundle.artifact(spec),
        slots=bundle.slots(spec),
        priority=spec.priority,
        epoch=writes.lease.counter,
        step=0,
        version=source.version,
        draining=False,
        members=change.members,
        standbys=change.standbys,
    )
    for peer in (*change.members, *change.standbys):
        writes.instances[peer.node] = InstanceRow(peer.node, change.group, writes.lease.counter)


def _record_formation(writes: RowWrites, change: RecordFormation, source: SpecSource) -> None:
    known_row = writes.before.groups[change.group]
    step = max(known_row.step, change.row.step) + 1
    writes.groups[change.group] = replace(change.row, step=step, draining=known_row.draining)


def _release_standbys(writes: RowWrites, change: ReleaseStandbys, source: SpecSource) -> None:
    row = writes.before.groups[change.group]
    writes.groups[change.group] = replace(row, step=row.step + 1, standbys=())
    for peer in row.standbys:
        writes.instances[peer.node] = None


def _free_group(writes: RowWrites, group: GroupId) -> None:
    writes.groups[group] = None
    for node, instance in writes.before.instances.items():
        if instance.group == group:
            writes.instances[node] = None


def _spec_of(group: GroupId, source: SpecSource) -> Group:
    return next(section for section in source.bundle.group if group in section.replica_ids())


def _drain_group(writes: RowWrites, change: DrainGroup, source: SpecSource) -> None:
    row = writes.before.groups[change.group]
    writes.groups[change.group] = replace(row, step=row.step + 1, draining=True)


def _refresh_group(writes: RowWrites, change: RefreshGroup, source: SpecSource) -> None:
    row = writes.before.groups[change.group]
    spec = _spec_of(change.group, source)
    writes.groups[change.group] = replace(
        row,
        step=row.step + 1,
        draining=False,
        slots=source.bundle.slots(spec),
        priority=spec.priority,
        version=source.version,
    )


def _dissolve_group(writes: RowWrites, change: DissolveGroup, source: SpecSource) -> None:
    _free_group(writes, change.group)


_WRITERS: dict[type, Callable[[RowWrites, Any, SpecSource], None]] = {
    FormGroup: _form_group,
    RecordFormation: _record_formation,
    ReleaseStandbys: _release_standbys,
    DrainGroup: _drain_group,
    RefreshGroup: _refresh_group,
    DissolveGroup: _dissolve_group,
}

__all__ = ["RowWrites", "SpecSource", "writes_for"]
