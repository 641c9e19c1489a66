# SPDX-License-Identifier: Apache-2.0
"""Which halls are drained, and from when on this entry sends nothing there."""

from collections.abc import Mapping

from ochreway_core.drainedhalls import UNREAD_HALLS, DrainedHalls
from ochreway_core.ids import HallId


class HallDrains:
    """Hold the newest word on drained halls, and the time that each has left.

    The bound on a drain counts from when the platform took it, which no entry sees. It cannot
    have been earlier than when the last reading without the hall was asked for, so until the
    bound from then has passed, less a margin, requests may go there while others take over.
    """

    def __init__(self, bound_s: float) -> None:
        self._bound_s = bound_s
        self._newest = UNREAD_HALLS
        self._close_s: dict[HallId, float] = {}

    @property
    def newest(self) -> DrainedHalls:
        """Return the newest word, to be told to others."""
        return self._newest

    def draining(self) -> frozenset[HallId]:
        """Return the halls that nothing new is to be planned for."""
        return frozenset(self._newest.halls)

    def closed(self, now_s: float) -> frozenset[HallId]:
        """Return the halls that get no further request."""
        return frozenset(h for h in self._newest.halls if now_s >= self._close_s.get(h, now_s))

    def unseen_age_s(self, now_s: float) -> Mapping[HallId, float]:
        """Return for each hall how long ago the last word without it was asked for."""
        return {h: now_s - (close_s - self._bound_s) for h, close_s in self._close_s.items()}

    def learn(
        self, word: DrainedHalls, asked_s: float, unseen_s: Mapping[HallId, float] | None = None
    ) -> bool:
        """Take a word that is newer than what is known; return whether the halls changed.

        Args:
            word: the drained halls as of a reading of the store.
            asked_s: when that reading was asked for, on this process's steady clock.
            unseen_s: for halls that another entry told of, when the last word without each was
                asked for, at the earliest.
        """
        raise NotImplementedError


__all__ = ["HallDrains"]
