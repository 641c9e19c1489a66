# SPDX-License-Identifier: Apache-2.0
"""Which targets have left the platform's list."""

from collections.abc import Collection, Iterable

from ochreway_core.ids import InstanceId

LAPSE_RETURN_S = 2.2
"""How soon after an outage lapsed entries are listed again: about 2 s, as the users state."""
DEPARTED_RETENTION_S = 60.0
"""For how long a target that left is remembered; requests end well within it."""


class DepartureTracker:
    """Tell a leave from an entry that lapsed while the list was away.

    The list drops entries that could not be renewed during an outage and gets them back soon
    after it. Apart from that time an absence counts at once, as targets that leave without
    announcing it have to get nothing new within seconds.
    """

    def __init__(self) -> None:
        self._missing_since_s: dict[InstanceId, float] = {}
        self._known: set[InstanceId] = set()
        self._announced: set[InstanceId] = set()

    def record_reading(
        self,
        listed: Iterable[InstanceId],
        now_s: float,
        regained_s: float,
        announced: Collection[InstanceId] = (),
    ) -> set[InstanceId]:
        """Take a good reading; return the targets that are gone from the list.

        Args:
            listed: the targets that the reading shows.
            now_s: the time.
            regained_s: when the last outage of the store ended.
            announced: those of them that have announced that they leave; their absence is a leave
                at any time.
        """
        present = set(listed)
        self._announced |= set(announced)
        for instance in self._known - present:
            self._missing_since_s.setdefault(instance, now_s)
        for instance in present:
            self._missing_since_s.pop(instance, None)
        self._drop_expired(now_s)
        self._known = present | self._missing_since_s.keys()
        self._announced &= self._known
        if now_s - regained_s < LAPSE_RETURN_S:
            return self._announced - present
        return set(self._missing_since_s)

    def _drop_expired(self, now_s: float) -> None:
        self._missing_since_s = {
            instance: since_s
            for instance, since_s in self._missing_since_s.items()
            if now_s - since_s < DEPARTED_RETENTION_S
        }


__all__ = ["LAPSE_RETURN_S", "DepartureTracker"]
