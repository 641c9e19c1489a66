# SPDX-License-Identifier: Apache-2.0
"""Build the fleet updates that the lease holder publishes when something has changed."""

from collections.abc import Iterable
from dataclasses import dataclass

from ochreway_core.ids import GroupId, InstanceId
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.messages import FleetChange, FleetUpdate


@dataclass(frozen=True, slots=True)
class FleetContent:
    """Hold the published state: groups, lost groups, plain targets and leaving instances."""

    groups: dict[GroupId, GroupView]
    lost: frozenset[GroupId]
    targets: frozenset[ListedTarget]
    leaving: frozenset[InstanceId]

    @classmethod
    def build(
        cls,
        groups: Iterable[GroupView],
        lost: Iterable[GroupId],
        targets: Iterable[ListedTarget],
        leaving: Iterable[InstanceId],
    ) -> "FleetContent":
        """Build the content from its parts."""
        views = {each.group: each for each in groups}
        return cls(views, frozenset(lost), frozenset(targets), frozenset(leaving))


class FleetPublisher:
    """Turn contents into one full update for each lease, followed by incremental changes."""

    def __init__(self) -> None:
        self._lease_revision = 0
        self._sequence = 0
        self._published: FleetContent | None = None

    def next_message(
        self, lease_revision: int, content: FleetContent, listed_age_s: float | None
    ) -> FleetUpdate | FleetChange | None:
        """Return the message to publish now, or None when nothing has changed."""
        if lease_revision != self._lease_revision:
            self._lease_revision, self._sequence, self._published = lease_revision, 0, None
        before, self._published = self._published, content
        if before is None:
            return self._full_update(content, listed_age_s)
        if not _has_changed(before, content):
            return None
        return self._change(before, content, listed_age_s)

    def _full_update(self, content: FleetContent, listed_age_s: float | None) -> FleetUpdate:
        self._sequence += 1
        return FleetUpdate(
            lease_revision=self._lease_revision,
            sequence=self._sequence,
            groups=tuple(content.groups.values()),
            lost=tuple(content.lost),
            targets=tuple(content.targets),
            leaving=tuple(content.leaving),
            listed_age_s=listed_age_s,
        )

    def _change(
        self, before: FleetContent, content: FleetContent, listed_age_s: float | None
    ) -> FleetChange:
        self._sequence += 1
        return FleetChange(
            lease_revision=self._lease_revision,
            sequence=self._sequence,
            groups=tuple(g for n, g in content.groups.items() if before.groups.get(n) != g),
            gone=tuple(before.groups.keys() - content.groups.keys()),
            lost=tuple(content.lost),
            targets=tuple(content.targets),
            leaving=tuple(content.leaving),
            listed_age_s=listed_age_s,
        )


def _has_changed(before: FleetContent, content: FleetContent) -> bool:
    """Return whether the content differs, apart from lost groups that are no longer listed."""
    return (
        content.groups != before.groups
        or content.targets != before.targets
        or content.leaving != before.leaving
        or not content.lost <= before.lost
    )


__all__ = ["FleetContent", "FleetPublisher"]
