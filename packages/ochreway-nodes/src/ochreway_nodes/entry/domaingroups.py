# SPDX-License-Identifier: Apache-2.0
"""A domain's groups as an entry knows them, and the updates sent to its followers."""

from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from ochreway_core.ids import NO_EPOCH, DomainId, Epoch
from ochreway_core.messages import GroupsUpdate
from ochreway_core.rows import GroupRow


@dataclass(frozen=True, slots=True)
class DomainGroups:
    """A domain's groups at one value of its epoch counter."""

    counter: Epoch
    groups: tuple[GroupRow, ...]


def groups_update(domain: DomainId, before: DomainGroups | None, now: DomainGroups) -> GroupsUpdate:
    """Return the update from the groups sent before to the current ones."""
    if before is None or before.counter == NO_EPOCH:
        return GroupsUpdate(domain, NO_EPOCH, now.counter, (), now.groups)
    previous_rows = {row.group: row for row in before.groups}
    current_names = {row.group for row in now.groups}
    changed = tuple(row for row in now.groups if previous_rows.get(row.group) != row)
    removed = tuple(group for group in previous_rows if group not in current_names)
    return GroupsUpdate(domain, before.counter, now.counter, removed, changed)


def apply_groups_update(known: tuple[GroupRow, ...], update: GroupsUpdate) -> tuple[GroupRow, ...]:
    """Return the groups after an incremental update."""
    rows = {row.group: row for row in known}
    rows.update({row.group: row for row in update.groups})
    return tuple(row for group, row in rows.items() if group not in update.gone)


def counters_digest(domains: Mapping[DomainId, DomainGroups]) -> int:
    """Return a digest of the domains' epoch counters, 0 for no domains."""
    if not domains:
        return 0
    counters = sorted((domain, known.counter) for domain, known in domains.items())
    return xxhash.xxh32_intdigest(repr(counters).encode()) or 1


__all__ = ["DomainGroups", "apply_groups_update", "counters_digest", "groups_update"]
