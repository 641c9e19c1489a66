# SPDX-License-Identifier: Apache-2.0
"""The drained halls, and from when on nothing new is sent to each of them."""

from ochreway_core.drainedhalls import UNREAD_HALLS, DrainedHalls
from ochreway_core.ids import HallId

NEVER_S = float("-inf")


class DrainState:
    """The newest reading of the drained halls, and until when each hall may keep serving.

    A reading is the set of drained halls at one version, from the table or from another entry. A
    hall's grace period starts when this entry learns of its drain; direct entries start it when the
    platform may have accepted the drain. A reading received soon after the start may be old
    already, so its halls get no grace period.
    """

    def __init__(self, grace_s: float, now_s: float) -> None:
        """Start without a reading; ``grace_s`` is how long a drained hall may keep serving."""
        self.newest = UNREAD_HALLS
        self._grace_s = grace_s
        self._stale_until_s = now_s + grace_s
        self._close_s: dict[HallId, float] = {}

    @property
    def halls(self) -> frozenset[HallId]:
        """The drained halls, whose instances join no group any more."""
        return frozenset(self.newest.halls)

    def closed(self, now_s: float) -> frozenset[HallId]:
        """Return the halls whose grace period is over; no new requests are sent there."""
        return frozenset(hall for hall, close_s in self._close_s.items() if now_s >= close_s)

    def record_no_drains(self) -> None:
        """Record that the table was read and holds no drained halls, so later readings are new."""
        self._stale_until_s = NEVER_S

    def apply_reading(self, reading: DrainedHalls, now_s: float) -> bool:
        """Apply a reading if it is newer than the current one; return whether it was."""
        if not reading.newer_than(self.newest):
            return False
        may_be_stale = now_s < self._stale_until_s
        close_s = now_s if may_be_stale else now_s + self._grace_s
        self.newest = reading
        self._close_s = {hall: self._close_s.get(hall, close_s) for hall in reading.halls}
        self._stale_until_s = NEVER_S
        return True


__all__ = ["DrainState"]
