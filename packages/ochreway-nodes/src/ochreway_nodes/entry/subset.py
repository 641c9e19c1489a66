# SPDX-License-Identifier: Apache-2.0
"""The groups that one entry routes to, of all that exist."""

from collections.abc import Mapping

from ochreway_core.ids import HallId, NodeId
from ochreway_core.listing import InstanceKind, ListedInstance
from ochreway_core.rendezvous import rank
from ochreway_core.rows import GroupRow

GROUPS_PER_TARGET = 12
OTHER_HALL_GROUPS = 2


def followed_groups(
    me: NodeId,
    hall: HallId,
    groups: list[GroupRow],
    listing: Mapping[NodeId, ListedInstance],
) -> list[GroupRow]:
    """Return a bounded subset of each target's groups, the own hall's first.

    The rendezvous order of the groups for each entry spreads the entries evenly over the
    groups, so that every group is followed by about as many.
    """
    by_target: dict[str, list[GroupRow]] = {}
    for row in groups:
        by_target.setdefault(row.target, []).append(row)
    chosen: list[GroupRow] = []
    for rows in by_target.values():
        chosen += _subset(me, hall, rows, listing)
    return chosen


def _subset(
    me: NodeId, hall: HallId, rows: list[GroupRow], listing: Mapping[NodeId, ListedInstance]
) -> list[GroupRow]:
    if len(rows) <= GROUPS_PER_TARGET:
        return rows
    by_group = {row.group: row for row in rows}
    ranked = [by_group[group] for group in rank(f"subset/{me}", by_group)]
    here = [row for row in ranked if _hall_of(row, listing) == hall]
    away = [row for row in ranked if _hall_of(row, listing) != hall]
    near = here[: GROUPS_PER_TARGET - min(OTHER_HALL_GROUPS, len(away))]
    return near + away[: GROUPS_PER_TARGET - len(near)]


def _hall_of(row: GroupRow, listing: Mapping[NodeId, ListedInstance]) -> str:
    listed = listing.get(row.leader.node)
    return listed.hall if listed else ""


def entries_of(listing: Mapping[NodeId, ListedInstance]) -> list[ListedInstance]:
    """Return the listed entries."""
    return [each for each in listing.values() if each.kind is InstanceKind.ENTRY]


__all__ = ["GROUPS_PER_TARGET", "entries_of", "followed_groups"]
