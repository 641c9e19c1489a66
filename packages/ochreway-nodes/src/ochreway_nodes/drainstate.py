# SPDX-License-Identifier: Apache-2.0
"""Which halls are drained, and from when on nothing new is sent there."""

from ochreway_core.drainedhalls import UNREAD_HALLS, DrainedHalls
from ochreway_core.ids import HallId

NEVER_S = float("-inf")


class DrainState:
    """Hold the newest reading of the drained halls, and until when each may serve on.

    A reading is the set of drained halls at one version, read from the table or heard from others.
    The time of a hall counts from when this entry heard of its drain; ``HallDrains`` of direct
    entries counts it from when the platform may have taken the drain. A reading heard soon after
    the start may be old already; its halls have no time left.
    """

    def __init__(self, grace_s: float, now_s: float) -> None:
        """Start without a reading; a hall serves on for so long after its drain was heard of."""
        self.newest = UNREAD_HALLS
        self._grace_s = grace_s
        self._stale_until_s = now_s + grace_s
        self._close_s: dict[HallId, float] = {}

    @property
    def halls(self) -> frozenset[HallId]:
        """Return the halls that nothing new is planned for."""
        return frozenset(self.newest.halls)

    def closed(self, now_s: float) -> frozenset[HallId]:
        """Return the halls that get nothing new."""
        return frozenset(hall for hall, close_s in self._close_s.items() if now_s >= close_s)

    def record_no_drains(self) -> None:
        """Note that the table was read and no hall was ever drained."""
        self._stale_until_s = NEVER_S

    def apply_reading(self, reading: DrainedHalls, now_s: float) -> bool:
        """Take a reading that is newer than what is known; return whether it was."""
        if not reading.newer_than(self.newest):
            return False
        may_be_stale = now_s < self._stale_until_s
        close_s = now_s if may_be_stale else now_s + self._grace_s
        self.newest = reading
        self._close_s = {hall: self._close_s.get(hall, close_s) for hall in reading.halls}
        self._stale_until_s = NEVER_S
        return True


__all__ = ["DrainState"]
