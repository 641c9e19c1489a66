# SPDX-License-Identifier: Apache-2.0
"""What the holder of the lease tells of the fleet, and only when it is news."""

from collections.abc import Iterable
from dataclasses import dataclass

from ochreway_core.ids import GroupId, InstanceId
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.messages import FleetChange, FleetUpdate


@dataclass(frozen=True, slots=True)
class FleetContent:
    """Hold what there is to tell: groups, lost ones, plain targets, instances that leave."""

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
        """Return the content made of these."""
        views = {each.group: each for each in groups}
        return cls(views, frozenset(lost), frozenset(targets), frozenset(leaving))


class FleetPublisher:
    """Turn contents into one whole update for each lease, and changes after it."""

    def __init__(self) -> None:
        self._lease_revision = 0
        self._sequence = 0
        self._published: FleetContent | None = None

    def next_message(
        self, lease_revision: int, content: FleetContent, listed_age_s: float | None
    ) -> FleetUpdate | FleetChange | None:
        """Return what is to be told now, or None when there is no news."""
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
    """Tell whether more is new than that lost groups are named no longer."""
    return (
        content.groups != before.groups
        or content.targets != before.targets
        or content.leaving != before.leaving
        or not content.lost <= before.lost
    )


__all__ = ["FleetContent", "FleetPublisher"]
