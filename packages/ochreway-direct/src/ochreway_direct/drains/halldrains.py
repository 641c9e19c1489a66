# SPDX-License-Identifier: Apache-2.0
"""Which halls are drained, and from when on this entry sends nothing there."""

from collections.abc import Mapping

from ochreway_core.drainedhalls import UNREAD_HALLS, DrainedHalls
from ochreway_core.ids import HallId

SEND_MARGIN_S = 1.0
"""How long before the bound a hall is closed.

A request for which a target was chosen just before may wait 0.6 s for a connection, and on a link
that loses packets its first part is sent again after some 0.2 s.
"""


class HallDrains:
    """Hold the newest reading of the drained halls, and the time that each has left.

    A reading is the set of drained halls in the platform's store at one version, whether this
    entry asked for it or heard of it from another.

    The bound on a drain counts from when the platform took it, which no entry sees. It cannot
    have been earlier than when the last reading without the hall was asked for, so until the
    bound from then has passed, less a margin, requests may go there while others take over.
    """

    def __init__(self, bound_s: float) -> None:
        """Start without any reading; drains are bounded by so many seconds."""
        self._open_s = max(0.0, bound_s - SEND_MARGIN_S)
        self._latest = UNREAD_HALLS
        self._last_requested_s: float | None = None
        self._unseen_s: dict[HallId, float] = {}

    @property
    def latest(self) -> DrainedHalls:
        """Return the newest reading, to be told to others."""
        return self._latest

    @property
    def known(self) -> bool:
        """Tell whether any reading is known."""
        return self._latest.newer_than(UNREAD_HALLS)

    def draining(self) -> frozenset[HallId]:
        """Return the halls that nothing new is to be planned for."""
        return frozenset(self._latest.halls)

    def closed(self, now_s: float) -> frozenset[HallId]:
        """Return the halls that get no further request."""
        return frozenset(hall for hall in self._latest.halls if self.left_s(hall, now_s) <= 0.0)

    def left_s(self, hall: HallId, now_s: float) -> float:
        """Return for how much longer a drained hall may be sent to."""
        unseen_s = self._unseen_s.get(hall)
        return max(0.0, unseen_s + self._open_s - now_s) if unseen_s is not None else 0.0

    def unseen_age_s(self, now_s: float) -> dict[HallId, float]:
        """Return for each hall how long ago the last reading without it was asked for, if known."""
        return {hall: now_s - unseen_s for hall, unseen_s in self._unseen_s.items()}

    def on_store_reading(self, reading: DrainedHalls, requested_s: float) -> bool:
        """Take what the store said to a question of this entry; return whether halls changed.

        Args:
            reading: the drained halls in the store at one version.
            asked_s: when that reading was asked for, on this process's steady clock.
        """
        changed = self._apply(reading, {})
        if reading.newer_than(UNREAD_HALLS):
            self._last_requested_s = (
                max(requested_s, self._last_requested_s)
                if self._last_requested_s is not None
                else requested_s
            )
        return changed

    def on_entry_reading(self, reading: DrainedHalls, unseen_s: Mapping[HallId, float]) -> bool:
        """Take another entry's reading; return whether halls changed.

        Args:
            reading: the drained halls in the store at one version.
            unseen_s: for each hall when the last reading without it was asked for, at the earliest,
                on this process's steady clock; halls of which that is not known are left out.
        """
        if reading.version == self._latest.version:
            self._extend_bounds(unseen_s)
        return self._apply(reading, unseen_s)

    def _extend_bounds(self, unseen_s: Mapping[HallId, float]) -> None:
        """Take later bounds for the halls of the reading that is known.

        Each bound alone holds, so the latest does; the first to tell may have known none.
        """
        for hall in set(self._latest.halls) & unseen_s.keys():
            known_s = self._unseen_s.get(hall, unseen_s[hall])
            self._unseen_s[hall] = max(known_s, unseen_s[hall])

    def _apply(self, reading: DrainedHalls, unseen_s: Mapping[HallId, float]) -> bool:
        """Take a newer reading as a whole; the time that a hall has left is set when it comes in.

        Every reading before this one is without the halls that it adds, or from before they were
        drained anew, so the last question of this entry bounds their time too.
        """
        if not reading.newer_than(self._latest):
            return False
        before, self._latest = self._latest, reading
        kept_s = {hall: at_s for hall, at_s in self._unseen_s.items() if hall in reading.halls}
        for hall in set(reading.halls) - set(before.halls):
            bounds_s = [
                at_s for at_s in (self._last_requested_s, unseen_s.get(hall)) if at_s is not None
            ]
            if bounds_s:
                kept_s[hall] = max(bounds_s)
        self._unseen_s = kept_s
        return set(reading.halls) != set(before.halls)


__all__ = ["SEND_MARGIN_S", "HallDrains"]
