# SPDX-License-Identifier: Apache-2.0
"""Limits of targets that every entry sends to by itself, in equal shares."""

from collections.abc import Callable, Sequence

from ochreway_core.ids import NodeId
from ochreway_core.rendezvous import rank
from ochreway_routing.quota import Quota
from ochreway_routing.slidingwindow import SlidingWindow
from ochreway_routing.targetlimits import LimitNotice, TargetLimits


class SharedLimits:
    """Keep what such targets are sent within this entry's share of the limits that they named."""

    def __init__(self, me: NodeId, entries: Callable[[], Sequence[NodeId]]) -> None:
        """Share with the ``entries`` that are listed, of which this one is one."""
        self._me = me
        self._entries = entries
        self._limits = TargetLimits()
        self._windows: dict[str, SlidingWindow] = {}

    def record_answer(self, url: str, limit_per_s: float | None, now_s: float) -> None:
        """Take the limit that the answer to a request names, or that it names none."""
        self._limits.record_limit(url, LimitNotice(limit_per_s, now_s))
        if limit_per_s is None:
            self._windows.pop(url, None)

    def wait_s(self, url: str, now_s: float) -> float:
        """Return how soon a target may be sent one more request; 0 if it may now.

        Where this entry has no share, it is the time after which some entry may send one.
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
        """Return an equal share; what is left over goes to other entries for other targets."""
        entries = rank(url, self._entries())
        each, left = divmod(requests, len(entries))
        return each + (self._me in entries[:left])

    def record_sent(self, url: str, now_s: float) -> None:
        """Count a request that is sent now."""
        if url in self._windows:
            self._windows[url].add(now_s)


__all__ = ["SharedLimits"]
