# SPDX-License-Identifier: Apache-2.0
"""Return times of refused callers, and the places that are kept for them."""

import math
from bisect import bisect_right, insort
from collections import defaultdict
from dataclasses import dataclass, replace

from ochreway_core.ids import Fingerprint
from ochreway_direct.queueing.queuetuning import QueueTuning
from ochreway_routing.work import Urgency


@dataclass(frozen=True, slots=True)
class Promise:
    """Hold when a caller is expected back, the class of its call, and whether a place is kept.

    ``objective_end_s`` is the end of the objective of the caller's first try.
    """

    at_s: float
    urgency: Urgency
    objective_end_s: float
    has_place: bool = True


class Promises:
    """Keep return times; no two promised places are closer than the interval between places."""

    def __init__(self, tuning: QueueTuning) -> None:
        self._tuning = tuning
        self._promises: dict[Fingerprint, Promise] = {}
        self._oldest_s = math.inf
        self._places_s: defaultdict[Urgency, list[float]] = defaultdict(list)
        """Times of the promised places of each class, in order."""

    def __len__(self) -> int:
        return len(self._promises)

    def has_place(self, fingerprint: Fingerprint) -> bool:
        """Return whether a place is kept for a caller."""
        promise = self._promises.get(fingerprint)
        return promise is not None and promise.has_place

    def first_free_s(self, from_s: float, interval_s: float) -> float:
        """Return the first time from ``from_s`` an interval away from every promised place."""
        at_s = from_s
        for taken_s in sorted(each.at_s for each in self._promises.values() if each.has_place):
            if taken_s - at_s >= interval_s:
                break
            at_s = max(at_s, taken_s + interval_s)
        return at_s

    def add(self, fingerprint: Fingerprint, promise: Promise, now_s: float) -> bool:
        """Keep a promise, in place of an earlier one to the same caller; return whether it is kept.

        None is kept if as many are as calls may wait.
        """
        self.expire(now_s)
        if len(self._promises) >= self._tuning.max_length and fingerprint not in self._promises:
            return False
        self._remove(fingerprint)
        self._promises[fingerprint] = promise
        self._oldest_s = min(self._oldest_s, promise.at_s)
        if promise.has_place:
            insort(self._places_s[promise.urgency], promise.at_s)
        return True

    def redeem(self, fingerprint: Fingerprint, now_s: float) -> Promise | None:
        """End the promise to a caller who is back and return it, or None if there is none.

        A caller that comes earlier than told, or was promised no place, has none.
        """
        self.expire(now_s)
        promise = self._remove(fingerprint)
        if promise is None or now_s >= promise.at_s - self._tuning.returned_early_s:
            return promise
        return replace(promise, has_place=False)

    def count(self, urgency: Urgency, until_s: float, now_s: float) -> int:
        """Return how many promised places of this class or more urgent ones come until a time."""
        self.expire(now_s)
        return sum(
            bisect_right(places_s, until_s)
            for each, places_s in self._places_s.items()
            if each <= urgency
        )

    def expire(self, now_s: float) -> None:
        """Drop the promises whose callers did not return in time."""
        since_s = now_s - self._tuning.promise_kept_s
        if self._oldest_s >= since_s:
            return
        for fingerprint in [f for f, each in self._promises.items() if each.at_s < since_s]:
            self._remove(fingerprint)
        self._oldest_s = min((each.at_s for each in self._promises.values()), default=math.inf)

    def _remove(self, fingerprint: Fingerprint) -> Promise | None:
        """Remove and return the promise to a caller, if there is one."""
        promise = self._promises.pop(fingerprint, None)
        if promise is not None and promise.has_place:
            self._places_s[promise.urgency].remove(promise.at_s)
        return promise


__all__ = ["Promise", "Promises"]
