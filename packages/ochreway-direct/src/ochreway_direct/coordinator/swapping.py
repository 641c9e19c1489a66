# SPDX-License-Identifier: Apache-2.0
"""Closing of groups that a slow member slows down, if substitutes are available."""

from ochreway_direct.coordinator.census import Census
from ochreway_direct.coordinator.closings import Closings
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.grouprecord import (
    SPANNING,
    GroupPhase,
    GroupRecord,
    PhaseCause,
)
from ochreway_direct.coordinator.state import CoordinatorState


class Swapping:
    """Close groups that run at a slow member's pace, one per domain at a time.

    A new group is then formed from the other members and free engines of the domain, with slow
    engines as the last choice. The last serving group of a model is kept while it carries its
    callers' requests.
    """

    def __init__(self, state: CoordinatorState, closings: Closings) -> None:
        self._state = state
        self._closings = closings

    def close_slow_groups(self, census: Census, now_s: float) -> None:
        """Close each group whose slow members can be replaced."""
        for group in census.groups:
            if group.phase is not GroupPhase.SERVING or group.domain == SPANNING:
                continue
            slow = self._slow_members(group)
            if not slow or self._state.has_closing_group(group.domain):
                continue
            if self._substitutes(group, census) < len(slow):
                continue
            if self._closings.is_needed(group):
                self._closings.record_kept([group])
            else:
                group.close_timeout_s = self._state.closing_time_s(
                    group, self._state.tuning.swap_close_s
                )
                group.enter(GroupPhase.CLOSING, now_s, PhaseCause.SWAPPED, slow[0].instance)

    def _slow_members(self, group: GroupRecord) -> list[EngineRecord]:
        members = [self._state.engines[instance] for instance in group.members]
        return [each for each in members if each.state.pace >= self._state.tuning.swap_pace]

    def _substitutes(self, group: GroupRecord, census: Census) -> int:
        """Return how many free engines could join at once and are not slow themselves."""
        fit_pace = self._state.tuning.fit_pace
        free = census.free[group.domain]
        return sum(each.can_join(group.model) and each.state.pace <= fit_pace for each in free)


__all__ = ["Swapping"]
