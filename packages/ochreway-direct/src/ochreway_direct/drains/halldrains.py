# SPDX-License-Identifier: Apache-2.0
"""Drained halls, and the time from which this entry sends nothing to each."""

from collections.abc import Mapping

from ochreway_core.drainedhalls import UNREAD_HALLS, DrainedHalls
from ochreway_core.ids import HallId

SEND_MARGIN_S = 1.0
"""Time before the bound at which a hall is closed.

A request whose target was chosen just before may wait 0.6 s for a connection, and on a link that
loses packets its first part is sent again after about 0.2 s.
"""


class HallDrains:
    """Newest reading of the drained halls, and the remaining time of each.

    A reading is the set of drained halls in the platform's store at one version, whether this entry
    requested it or received it from another.

    The bound on a drain counts from when the platform accepted it, which no entry observes. It
    cannot have been earlier than the request of the last reading without the hall. Until the bound
    from then has passed, less a margin, requests may be sent there while other halls take over.
    ``_unseen_s`` holds when that reading was requested.
    """

    def __init__(self, bound_s: float) -> None:
        """Start without a reading; ``bound_s`` is the bound on a drain."""
        self._open_s = max(0.0, bound_s - SEND_MARGIN_S)
        self._latest = UNREAD_HALLS
        self._last_requested_s: float | None = None
        self._unseen_s: dict[HallId, float] = {}

    @property
    def latest(self) -> DrainedHalls:
        """Return the newest reading."""
        return self._latest

    @property
    def known(self) -> bool:
        """Return whether any reading is known."""
        return self._latest.newer_than(UNREAD_HALLS)

    def draining(self) -> frozenset[HallId]:
        """Return the halls that planning leaves out."""
        return frozenset(self._latest.halls)

    def closed(self, now_s: float) -> frozenset[HallId]:
        """Return the halls that get no more requests."""
        return frozenset(hall for hall in self._latest.halls if self.left_s(hall, now_s) <= 0.0)

    def left_s(self, hall: HallId, now_s: float) -> float:
        """Return for how much longer requests may be sent to a drained hall."""
        unseen_s = self._unseen_s.get(hall)
        return max(0.0, unseen_s + self._open_s - now_s) if unseen_s is not None else 0.0

    def unseen_age_s(self, now_s: float) -> dict[HallId, float]:
        """Return the age of the request of the last reading without each hall, if known."""
        return {hall: now_s - unseen_s for hall, unseen_s in self._unseen_s.items()}

    def on_store_reading(self, reading: DrainedHalls, requested_s: float) -> bool:
        """Apply a reading that this entry requested; return whether the drained halls changed.

        Args:
            reading: the drained halls in the store at one version.
            requested_s: when the reading was requested, on this process's steady clock.
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
        """Apply another entry's reading; return whether the drained halls changed.

        Args:
            reading: the drained halls in the store at one version.
            unseen_s: for each hall, the earliest time at which the last reading without it can have
                been requested, on this process's steady clock; unknown ones are left out.
        """
        if reading.version == self._latest.version:
            self._extend_bounds(unseen_s)
        return self._apply(reading, unseen_s)

    def _extend_bounds(self, unseen_s: Mapping[HallId, float]) -> None:
        """Apply later bounds for the halls of the current reading.

        Each bound holds by itself, so the latest one counts; the first entry to announce the
        reading may not have known any.
        """
        for hall in set(self._latest.halls) & unseen_s.keys():
            known_s = self._unseen_s.get(hall, unseen_s[hall])
            self._unseen_s[hall] = max(known_s, unseen_s[hall])

    def _apply(self, reading: DrainedHalls, unseen_s: Mapping[HallId, float]) -> bool:
        """Apply a newer reading, and set the remaining time of each added hall.

        Every earlier reading lacks the added halls, or dates from before they were drained again,
        so the last request of this entry bounds their time too.
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
