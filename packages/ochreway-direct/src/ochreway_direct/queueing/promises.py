# SPDX-License-Identifier: Apache-2.0
"""Places that refused callers were told to return for."""

from dataclasses import dataclass

from ochreway_core.ids import Fingerprint
from ochreway_direct.queueing.queuetuning import QueueTuning
from ochreway_routing.work import Urgency


@dataclass(frozen=True, slots=True)
class Promise:
    """Hold when a caller is expected back, and the class of its call."""

    at_s: float
    urgency: Urgency


class Promises:
    """Keep the promised places, no two of them closer than the interval between places."""

    def __init__(self, tuning: QueueTuning) -> None:
        self._tuning = tuning
        self._promises: dict[Fingerprint, Promise] = {}

    def __len__(self) -> int:
        return len(self._promises)

    def first_free_s(self, from_s: float, interval_s: float) -> float:
        """Return the first time from ``from_s`` that is an interval away from every promise."""
        at_s = from_s
        for taken_s in sorted(each.at_s for each in self._promises.values()):
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
        self._promises[fingerprint] = promise
        return True

    def redeem(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """End the promise to a caller who is back; return whether it came as told."""
        self.expire(now_s)
        promise = self._promises.pop(fingerprint, None)
        return promise is not None and now_s >= promise.at_s - self._tuning.returned_early_s

    def count(self, urgency: Urgency, until_s: float, now_s: float) -> int:
        """Return how many promised places of this class or more urgent ones come until a time."""
        self.expire(now_s)
        return sum(
            each.urgency <= urgency and each.at_s <= until_s for each in self._promises.values()
        )

    def expire(self, now_s: float) -> None:
        """Drop the promises whose callers did not return in time."""
        since_s = now_s - self._tuning.promise_kept_s
        self._promises = {f: each for f, each in self._promises.items() if each.at_s >= since_s}


__all__ = ["Promise", "Promises"]
