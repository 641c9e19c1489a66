# SPDX-License-Identifier: Apache-2.0
"""What an entry knows of the places of a model."""

import math
from dataclasses import dataclass


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
    """

    groups: int
    slots: int
    load: int = 0
    own: int = 0
    sources: int = 0
    blocked_s: float = 0.0
    next_window_s: float = math.inf

    @property
    def share(self) -> float:
        """Return the part of the places that this entry gets."""
        even = 1.0 / (1 + self.sources)
        return max(even, self.own / self.load) if self.load else even


__all__ = ["PlaceFacts"]
