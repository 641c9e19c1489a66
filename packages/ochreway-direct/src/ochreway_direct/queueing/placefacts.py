# SPDX-License-Identifier: Apache-2.0
"""What an entry knows of the places of a model."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ochreway_core.ids import InstanceId
from ochreway_routing.work import Urgency


@dataclass(frozen=True, slots=True)
class PlaceFacts:
    """Hold the facts by which the queue of a model decides.

    Attributes:
        groups: number of groups that may get requests.
        slots: number of requests that a group runs at once.
        load: number of attempts of all entries at these groups.
        own: number of this entry's attempts among them.
        sources: number of other sources that report attempts.
        blocked_s: time until a group may be sent a request, by limits and backoffs.
        next_window_s: time until the next group may be sent a request that may not now.
        leaders: the instances that requests for these groups are sent to.
        free: number of slots without an attempt of any entry.
        waiting: number of calls that wait at other entries, by class.
        waiting_entries: number of other entries at which calls wait.
        served_by: requests under way from other entries, by organisation.
    """

    groups: int
    slots: int
    load: int = 0
    own: int = 0
    sources: int = 0
    blocked_s: float = 0.0
    next_window_s: float = math.inf
    leaders: frozenset[InstanceId] = frozenset()
    free: int = 0
    waiting: Mapping[Urgency, int] = field(default_factory=dict)
    waiting_entries: int = 0
    served_by: Mapping[str, int] = field(default_factory=dict)

    @property
    def share(self) -> float:
        """Return the part of the places that this entry gets."""
        even = 1.0 / (1 + self.sources)
        return max(even, self.own / self.load) if self.load else even

    def all_tried(self, tried: frozenset[InstanceId]) -> bool:
        """Return whether there are groups, and none that a call may still be sent to."""
        return bool(self.leaders) and self.leaders <= tried

    def more_urgent_elsewhere(self, urgency: Urgency) -> int:
        """Return this entry's share of the more urgent calls that wait at other entries.

        All entries with waiting calls leave places to them, so each leaves a part.
        """
        number = sum(waiting for each, waiting in self.waiting.items() if each < urgency)
        return math.ceil(number / (1 + self.waiting_entries))


__all__ = ["PlaceFacts"]
