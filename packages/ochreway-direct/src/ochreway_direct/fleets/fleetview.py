# SPDX-License-Identifier: Apache-2.0
"""An entry's view of the fleet, from the lease holder's updates or from the platform's list."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import replace

from ochreway_core.ids import Epoch, GroupId, HallId, InstanceId
from ochreway_direct.enginestate import MemberPhase
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.lastmodels import LastModels
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.lists.listing import LAPSE_RETURN_S, DepartureTracker
from ochreway_direct.messages import FleetChange, FleetMark, FleetUpdate

NEVER_S = -1.0e9
UPDATE_MAX_AGE_S = 5.0
"""Maximum age at which the last update takes precedence over the list."""


class FleetView:
    """Keep the newest update and list; use the list while no update is recent."""

    def __init__(self, list_max_age_s: float) -> None:
        self._list_max_age_s = list_max_age_s
        self._update: FleetUpdate | None = None
        self._updated_s = NEVER_S
        self._update_listed_s = NEVER_S
        self._targets: dict[InstanceId, ListedTarget] = {}
        self._listed_s = NEVER_S
        self._leaving: frozenset[InstanceId] = frozenset()
        self._departures = DepartureTracker()
        self._keeps_unlisted = False
        self.last_models = LastModels()

    @property
    def leaving(self) -> frozenset[InstanceId]:
        """Return the instances that announced that they leave, or have just left the list."""
        return self._leaving

    @property
    def has_update(self) -> bool:
        """Return whether any update was applied."""
        return self._update is not None

    def mark(self, now_s: float) -> FleetMark:
        """Return the version and age of this view, and the age of the list behind its targets.

        A list that this entry has read itself may be newer, but is not part of the update.
        """
        if self._update is None:
            return FleetMark()
        listed_s = self._update_listed_s
        listed_age_s = now_s - listed_s if listed_s > NEVER_S else None
        return FleetMark(*_version_of(self._update), now_s - self._updated_s, listed_age_s)

    def renew_update(self, now_s: float) -> None:
        """Mark the newest update and its targets as current, as their publisher."""
        self._updated_s = now_s
        if not self._keeps_unlisted:
            self._update_listed_s = self._listed_s

    def last_published_groups(self, now_s: float, max_age_s: float) -> tuple[GroupView, ...] | None:
        """Return the groups of the newest update, or None when it is older than ``max_age_s``."""
        if self._update is None or now_s - self._updated_s > max_age_s:
            return None
        return self._update.groups

    def is_older_than(self, mark: FleetMark) -> bool:
        """Return whether another entry's view is newer."""
        return (mark.lease_revision, mark.sequence) > _version_of(self._update)

    def full_update(self, now_s: float) -> FleetUpdate | None:
        """Return the newest update, completed with the current list."""
        if self._update is None:
            return None
        return replace(
            self._update,
            lost=(),
            targets=self.plain_targets(),
            leaving=tuple(self._leaving),
            listed_age_s=self.published_list_age_s(now_s),
        )

    def apply_update(self, update: FleetUpdate, now_s: float) -> bool:
        """Apply an update unless a newer one is known; return whether it was applied."""
        if _version_of(update) < _version_of(self._update):
            return False
        self._update = update
        self._updated_s = now_s
        self._update_listed_s = NEVER_S
        self._apply_listed_targets(update, update.listed_age_s, now_s)
        return True

    def apply_change(self, change: FleetChange, now_s: float) -> bool:
        """Apply a change if it is the next one of the same lease; return whether it was."""
        if self._update is None or _version_of(self._update) != _version_of(change, -1):
            return False
        replaced = {*change.gone, *(each.group for each in change.groups)}
        kept = tuple(each for each in self._update.groups if each.group not in replaced)
        update = FleetUpdate(
            *_version_of(change),
            groups=kept + change.groups,
            lost=change.lost,
            targets=change.targets,
            leaving=change.leaving,
            listed_age_s=change.listed_age_s,
        )
        return self.apply_update(update, now_s)

    def confirm(self, mark: FleetMark, now_s: float) -> bool:
        """Renew this view when another entry reports the same one as current.

        Args:
            mark: version and ages of the other entry's view; ignored unless it is the same view.
            now_s: the current time.

        Returns:
            Whether the targets of the update were applied, because their list is newer.
        """
        if self._update is None or _version_of(self._update) != (
            mark.lease_revision,
            mark.sequence,
        ):
            return False
        self._updated_s = max(self._updated_s, now_s - mark.age_s)
        return self._apply_listed_targets(self._update, mark.listed_age_s, now_s)

    def _apply_listed_targets(self, update: FleetUpdate, age_s: float | None, now_s: float) -> bool:
        """Use an update's targets if their list is newer than this entry's own."""
        if age_s is None:
            return False
        self._update_listed_s = max(self._update_listed_s, now_s - age_s)
        if now_s - age_s < self._listed_s:
            return False
        self._listed_s = now_s - age_s
        engines = {i: t for i, t in self._targets.items() if t.engine is not None}
        self._targets = engines | {each.instance: each for each in update.targets}
        self._keeps_unlisted = False
        self._leaving = frozenset(update.leaving)
        return True

    def apply_list(
        self, targets: tuple[ListedTarget, ...], polled_s: float, now_s: float, regained_s: float
    ) -> None:
        """Apply the platform's list as read by this entry.

        Targets whose registration may have lapsed in an outage that ended at ``regained_s`` stay
        known for a while.
        """
        listed_targets = {each.instance: each for each in targets}
        announced = {each.instance for each in targets if each.leaving}
        departed = self._departures.record_reading(listed_targets, now_s, regained_s, announced)
        if now_s - regained_s < LAPSE_RETURN_S:
            self._targets |= listed_targets
        else:
            self._targets = listed_targets
        self._keeps_unlisted = any(
            each.engine is None and each.instance not in listed_targets
            for each in self._targets.values()
        )
        self.last_models.record_targets(self._targets.values())
        self._leaving = frozenset(departed | announced)
        self._listed_s = max(self._listed_s, polled_s)

    def merge_engines(self, targets: tuple[ListedTarget, ...]) -> None:
        """Apply another entry's list of engines, which is needed if this one becomes the holder."""
        plain = {i: t for i, t in self._targets.items() if t.engine is None}
        engines = {each.instance: each for each in targets if each.engine is not None}
        self._targets = plain | engines
        self.last_models.record_targets(targets)

    def list_is_stale(self, now_s: float) -> bool:
        """Return whether the list is too old, so that this entry has to read it itself."""
        return now_s - self._listed_s > self._list_max_age_s

    def listed_age_s(self, now_s: float) -> float | None:
        """Return the age of the list, or None before it was read."""
        return now_s - self._listed_s if self._listed_s > NEVER_S else None

    def published_list_age_s(self, now_s: float) -> float | None:
        """Return the age of the list that others may use in place of their own, or None.

        Targets that are missing after an outage are kept here for a while, as their registration
        may have lapsed. Who has read the list meanwhile may know that they have left: the outage
        may have been this entry's alone.
        """
        return None if self._keeps_unlisted else self.listed_age_s(now_s)

    def targets(self) -> tuple[ListedTarget, ...]:
        """Return all listed targets, engines included."""
        return tuple(self._targets.values())

    def plain_targets(self) -> tuple[ListedTarget, ...]:
        """Return the targets that are not engines."""
        return tuple(each for each in self._targets.values() if each.engine is None)

    def groups(self, now_s: float) -> tuple[GroupView, ...]:
        """Return the serving groups, from a recent update, the list or an older update."""
        if self._update is not None and now_s - self._updated_s < UPDATE_MAX_AGE_S:
            return self._update.groups
        halls = self._halls_of_members()
        groups = (_listed_group(target, halls) for target in self._targets.values())
        listed = tuple(filter(None, groups))
        return listed or (self._update.groups if self._update is not None else ())

    def _halls_of_members(self) -> dict[tuple[GroupId, Epoch], set[HallId]]:
        """Return the halls of each group's listed members."""
        members_halls: dict[tuple[GroupId, Epoch], set[HallId]] = defaultdict(set)
        for target in self._targets.values():
            membership = target.engine.membership if target.engine is not None else None
            if membership is not None:
                members_halls[membership.group, membership.epoch].add(target.hall)
        return members_halls


def _version_of(update: FleetUpdate | FleetChange | None, later: int = 0) -> tuple[int, int]:
    return (update.lease_revision, update.sequence + later) if update is not None else (0, 0)


def _listed_group(
    target: ListedTarget, halls: Mapping[tuple[GroupId, Epoch], set[HallId]]
) -> GroupView | None:
    """Return the open group that a listed engine leads, if any."""
    state = target.engine
    if state is None or state.membership is None or state.model is None or target.leaving:
        return None
    membership = state.membership
    if membership.rank != 0 or membership.phase is not MemberPhase.OPEN:
        return None
    return GroupView(
        membership.group,
        membership.epoch,
        target.service,
        state.model,
        target.instance,
        target.address,
        target.hall,
        halls=tuple(sorted(halls[membership.group, membership.epoch])),
        born_ms=target.born_ms,
    )


__all__ = ["FleetView"]
