# SPDX-License-Identifier: Apache-2.0
"""Gate for requests to targets that announced a limit."""

from ochreway_core.ids import InstanceId
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.sendlimits.sendwindow import SendWindow
from ochreway_direct.targetlimits.limitpool import LimitPool
from ochreway_routing.quota import Quota
from ochreway_routing.targetlimits import MAX_TARGETS, TargetLimits


class LimitGate:
    """Keep this entry's requests to each limited target within its share of the limit."""

    def __init__(self, limits: TargetLimits, pool: LimitPool) -> None:
        self._limits = limits
        self._pool = pool
        self._windows: dict[InstanceId, SendWindow] = {}

    def wait_s(self, instance: InstanceId, born_ms: int | None, now_s: float) -> float:
        """Return how soon a target may be sent another request; 0 if it may now.

        If this entry has no share, this is the time after which some other entry may send one.
        """
        limit_per_s = self._limits.limit_per_s(instance, born_ms)
        if limit_per_s is None:
            return 0.0
        quota = Quota.for_limit(limit_per_s)
        own_requests = self._pool.requests_of(quota, instance, now_s)
        if not own_requests:
            return quota.interval_s
        window = self._windows.get(instance)
        if window is None:
            return 0.0
        return window.free_in_s(own_requests, now_s, quota.window_s)

    def record_sent(self, attempt: Attempt) -> None:
        """Count a request that is about to be sent to its target."""
        if self._limits.limit_per_s(attempt.instance, attempt.born_ms) is None:
            self._windows.pop(attempt.instance, None)
            return
        self._windows.setdefault(attempt.instance, SendWindow()).add(attempt)
        if len(self._windows) > MAX_TARGETS:
            del self._windows[next(iter(self._windows))]


__all__ = ["LimitGate"]
