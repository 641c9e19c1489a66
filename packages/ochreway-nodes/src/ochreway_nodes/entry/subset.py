# SPDX-License-Identifier: Apache-2.0
"""Choice of the groups that one entry routes requests to."""

from collections.abc import Mapping

from ochreway_core.ids import HallId, NodeId
from ochreway_core.listing import InstanceKind, ListedInstance
from ochreway_core.rows import GroupRow

GROUPS_PER_TARGET = 10
"""Approximate number of groups of one target that an entry follows."""
OTHER_HALL_GROUPS = 2
"""Groups in other halls that an entry follows besides those in its own."""
MIN_FOLLOWERS = 8
"""Minimum number of entries of a hall that follow each of its groups."""


def followed_groups(
    me: NodeId,
    hall: HallId,
    groups: list[GroupRow],
    listing: Mapping[NodeId, ListedInstance],
) -> list[GroupRow]:
    """Return a bounded subset of each target's groups, most of them in the entry's own hall.

    Every group is followed by the same number of its hall's entries, so no group is left out
    when there are few entries.
    """
    by_target: dict[str, list[GroupRow]] = {}
    for row in sorted(groups, key=lambda row: row.group):
        by_target.setdefault(row.target, []).append(row)
    local_entries = [
        entry.node for entry in entries_of(listing) if entry.hall == hall and not entry.leaving
    ]
    order = sorted({*local_entries, me})
    selected: list[GroupRow] = []
    for rows in by_target.values():
        selected += _subset(order.index(me), len(order), hall, rows, listing)
    return selected


def _subset(
    position: int,
    entries: int,
    hall: HallId,
    rows: list[GroupRow],
    listing: Mapping[NodeId, ListedInstance],
) -> list[GroupRow]:
    if len(rows) <= GROUPS_PER_TARGET:
        return rows
    local_rows = [row for row in rows if _hall_of(row, listing) == hall]
    remote_rows = [row for row in rows if _hall_of(row, listing) != hall]
    followed_rows = [
        row
        for index, row in enumerate(local_rows)
        if follows(position, entries, index, len(local_rows))
    ]
    remote_count = OTHER_HALL_GROUPS if followed_rows else GROUPS_PER_TARGET
    start = position * remote_count % max(len(remote_rows), 1)
    return followed_rows + (remote_rows[start:] + remote_rows[:start])[:remote_count]


def follows(position: int, entries: int, index: int, groups: int) -> bool:
    """Return whether the entry at a position follows the group at an index.

    A group's followers are consecutive in the order of entries, and the groups' first followers
    are distributed evenly over it.
    """
    followers = max(MIN_FOLLOWERS, -(-GROUPS_PER_TARGET * entries // groups))
    return (position - index * entries // groups) % entries < followers


def _hall_of(row: GroupRow, listing: Mapping[NodeId, ListedInstance]) -> str:
    listed = listing.get(row.leader.node)
    return listed.hall if listed else ""


def entries_of(listing: Mapping[NodeId, ListedInstance]) -> list[ListedInstance]:
    """Return the listed entries."""
    return [instance for instance in listing.values() if instance.kind is InstanceKind.ENTRY]


__all__ = ["GROUPS_PER_TARGET", "entries_of", "followed_groups", "follows"]
