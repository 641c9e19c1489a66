# SPDX-License-Identifier: Apache-2.0
"""Detection of targets that have left the platform's list."""

from collections.abc import Collection, Iterable

from ochreway_core.ids import InstanceId

LAPSE_RETURN_S = 2.2
"""Time after an outage within which lapsed targets are listed again: about 2 s, as users state."""
DEPARTED_RETENTION_S = 60.0
"""How long a departed target is remembered; its requests end well within that time."""


class DepartureTracker:
    """Distinguish targets that left from those that lapsed during an outage of the list.

    The list drops targets that could not renew their entry during an outage, and regains them
    soon after it. At any other time an absence counts as a departure at once, because targets
    that leave without an announcement must get no new requests within seconds.
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
        """Record a successful reading; return the targets that have left the list.

        Args:
            listed: the targets in the reading.
            now_s: the current time.
            regained_s: when the last outage of the store ended.
            announced: the listed targets that announced that they leave; their absence counts as
                a departure at any time.
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
