# SPDX-License-Identifier: Apache-2.0
"""Which engines have left the platform's list."""

from collections.abc import Iterable

from ochreway_core.ids import InstanceId
from ochreway_direct.coordinator.tuning import CoordinatorTuning


class Listing:
    """Tell a leave from an entry that lapsed while the list was away.

    The list drops entries that could not be renewed during an outage, and gets them back soon
    after, so an absence right after an outage counts only once it has lasted.
    """

    def __init__(self, tuning: CoordinatorTuning) -> None:
        self._tuning = tuning
        self._missing_s: dict[InstanceId, float] = {}
        self._known: set[InstanceId] = set()
        self._good_since_s: float | None = None
        self._read_s = 0.0

    def read(self, listed: Iterable[InstanceId], now_s: float) -> set[InstanceId]:
        """Take a good reading; return the engines that are gone from the list."""
        present = set(listed)
        gap_s = now_s - self._read_s
        if self._good_since_s is None or gap_s > self._tuning.listing_settled_s:
            self._good_since_s = now_s
        self._read_s = now_s
        for instance in self._known - present:
            self._missing_s.setdefault(instance, now_s)
        for instance in present:
            self._missing_s.pop(instance, None)
        self._known |= present
        steady = now_s - self._good_since_s >= self._tuning.listing_settled_s
        patience_s = 0.0 if steady else self._tuning.listing_return_s
        return {each for each, at_s in self._missing_s.items() if now_s - at_s >= patience_s}


__all__ = ["Listing"]
