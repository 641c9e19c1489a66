# SPDX-License-Identifier: Apache-2.0
"""Whether a target that named a limit may be sent one more request by this entry now."""

from ochreway_core.ids import InstanceId
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.sendlimits.sendwindow import SendWindow
from ochreway_direct.targetlimits.limitpool import LimitPool
from ochreway_routing.quota import Quota
from ochreway_routing.targetlimits import MAX_TARGETS, TargetLimits


class LimitGate:
    """Keep what each target with a limit is sent within this entry's part of it."""

    def __init__(self, limits: TargetLimits, pool: LimitPool) -> None:
        self._limits = limits
        self._pool = pool
        self._windows: dict[InstanceId, SendWindow] = {}

    def wait_s(self, instance: InstanceId, born_ms: int | None, now_s: float) -> float:
        """Return how soon a target may be sent one more request; 0 if it may now.

        Where this entry has no part, it is the time after which some entry may send one.
        """
        limit_per_s = self._limits.limit_per_s(instance, born_ms)
        if limit_per_s is None:
            return 0.0
        quota = Quota.for_limit(limit_per_s)
        own = self._pool.requests_of(quota, instance, now_s)
        if not own:
            return quota.interval_s
        window = self._windows.get(instance)
        if window is None:
            return 0.0
        return window.free_in_s(own, now_s, quota.window_s)

    def sent(self, attempt: Attempt) -> None:
        """Count a request that is about to be sent to its target."""
        if self._limits.limit_per_s(attempt.instance, attempt.born_ms) is None:
            self._windows.pop(attempt.instance, None)
            return
        self._windows.setdefault(attempt.instance, SendWindow()).add(attempt)
        if len(self._windows) > MAX_TARGETS:
            del self._windows[next(iter(self._windows))]


__all__ = ["LimitGate"]
