# SPDX-License-Identifier: Apache-2.0
"""Bounded memory of recent requests, by fingerprint."""

from ochreway_core.ids import Fingerprint
from ochreway_direct.demand.countedwork import CountedWork
from ochreway_direct.demand.decayingsum import DECAY_S
from ochreway_direct.demand.recentrequest import RecentRequest

MAX_REQUESTS = 1536
"""Maximum number of fingerprints remembered: 300 requests a second over ``DECAY_S``."""


class RecentRequests:
    """Remember for ``DECAY_S`` which requests were counted, and which refused ones may return.

    For each refusal, one later request with the same fingerprint is not counted. So each of several
    callers with equal requests is counted, also if some of them were refused.
    """

    def __init__(self) -> None:
        self._requests: dict[bytes, RecentRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def record_counted(self, fingerprint: Fingerprint, work: CountedWork) -> None:
        """Remember a request whose work was counted."""
        self._touch(fingerprint, work.counted_s).counted = work

    def record_arrival(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Remember that a request came here."""
        self._touch(fingerprint, now_s).unrefused += 1

    def record_refusal(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Remember that a request was refused here."""
        request = self._touch(fingerprint, now_s)
        request.unrefused = max(0, request.unrefused - 1)

    def has_several_callers(self, fingerprint: Fingerprint) -> bool:
        """Return whether several callers send the same request to this entry."""
        request = self._requests.get(bytes.fromhex(fingerprint))
        return request is not None and request.unrefused > 1

    def expect_return(self, fingerprint: Fingerprint, until_s: float, now_s: float) -> None:
        """Remember that a refused request may return until a time, at most ``DECAY_S`` from now."""
        request = self._touch(fingerprint, now_s)
        if now_s >= request.returns_until_s:
            request.returns, request.returns_until_s = 0, 0.0
        request.returns += 1
        request.returns_until_s = max(request.returns_until_s, min(until_s, now_s + DECAY_S))

    def take_return(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Return whether a request is the return of a refused one, and record it as seen."""
        request = self._requests.get(bytes.fromhex(fingerprint))
        if request is None or not request.returns or now_s >= request.returns_until_s:
            return False
        request.returns -= 1
        return True

    def take_counted(self, fingerprint: Fingerprint, after_s: float) -> CountedWork | None:
        """Return the work that was counted later than a refusal, if any, and forget it."""
        request = self._requests.get(bytes.fromhex(fingerprint))
        if request is None or request.counted is None or request.counted.counted_s <= after_s:
            return None
        work, request.counted = request.counted, None
        return work

    def _touch(self, fingerprint: Fingerprint, now_s: float) -> RecentRequest:
        """Return the record of a fingerprint as the newest one, and drop the oldest ones."""
        key = bytes.fromhex(fingerprint)
        request = self._requests.pop(key, None)
        if request is None or now_s - request.touched_s > DECAY_S:
            request = RecentRequest(now_s)
        request.touched_s = now_s
        self._requests[key] = request
        while True:
            oldest = next(iter(self._requests))
            outdated = now_s - self._requests[oldest].touched_s > DECAY_S
            if not outdated and len(self._requests) <= MAX_REQUESTS:
                return request
            del self._requests[oldest]


__all__ = ["MAX_REQUESTS", "RecentRequests"]
