# SPDX-License-Identifier: Apache-2.0
"""Request limits of targets that every entry sends to directly, divided into equal shares."""

from collections.abc import Callable, Sequence

from ochreway_core.ids import NodeId
from ochreway_core.rendezvous import rank
from ochreway_routing.quota import Quota
from ochreway_routing.slidingwindow import SlidingWindow
from ochreway_routing.targetlimits import LimitNotice, TargetLimits


class SharedLimits:
    """Keep this entry's requests to such targets within its share of their limits."""

    def __init__(self, me: NodeId, entries: Callable[[], Sequence[NodeId]]) -> None:
        """Divide limits among the listed ``entries``, which include this one."""
        self._me = me
        self._entries = entries
        self._limits = TargetLimits()
        self._windows: dict[str, SlidingWindow] = {}

    def record_answer(self, url: str, limit_per_s: float | None, now_s: float) -> None:
        """Record the limit stated in the answer to a request; None if it states none."""
        self._limits.record_limit(url, LimitNotice(limit_per_s, now_s))
        if limit_per_s is None:
            self._windows.pop(url, None)

    def wait_s(self, url: str, now_s: float) -> float:
        """Return how long to wait before sending a target one more request; 0 if none.

        If this entry has no share, it is the interval after which some entry may send one.
        """
        limit_per_s = self._limits.limit_per_s(url)
        if limit_per_s is None:
            return 0.0
        quota = Quota.for_limit(limit_per_s)
        own = self._own_share(url, quota.requests)
        if not own:
            return quota.interval_s
        window = self._windows.setdefault(url, SlidingWindow())
        return window.free_in_s(own, quota.window_s, now_s)

    def _own_share(self, url: str, requests: int) -> int:
        """Return this entry's equal share; the remainder goes to different entries per target."""
        entries = rank(url, self._entries())
        each, left = divmod(requests, len(entries))
        return each + (self._me in entries[:left])

    def record_sent(self, url: str, now_s: float) -> None:
        """Count a request sent now."""
        if url in self._windows:
            self._windows[url].add(now_s)


__all__ = ["SharedLimits"]
