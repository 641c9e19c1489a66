# SPDX-License-Identifier: Apache-2.0
"""Enforcement of the request rate limit that the target beside an agent has announced.

All requests for a group pass through its leader's agent, so enforcing the limit there bounds what
all entries send together.
"""

from ochreway_routing.quota import Quota
from ochreway_routing.slidingwindow import SlidingWindow

LIMITED_POLL_INTERVAL_S = 10.0
"""Minimum interval between state polls of a limited target, as polls may count as requests."""


class LimitGate:
    """Count the requests handed to the target while it has a limit."""

    def __init__(self) -> None:
        self._limit_per_s: float | None = None
        self._quota: Quota | None = None
        self._window = SlidingWindow()
        self._last_poll_s: float | None = None

    def set_limit(self, limit_per_s: float | None) -> bool:
        """Set the target's limit, None for no limit, and return whether it changed."""
        if limit_per_s == self._limit_per_s:
            return False
        if limit_per_s is None:
            self._window = SlidingWindow()
        self._limit_per_s = limit_per_s
        self._quota = Quota.for_limit(limit_per_s) if limit_per_s is not None else None
        return True

    @property
    def limit_per_s(self) -> float | None:
        """The limit in force, if any."""
        return self._limit_per_s

    def wait_s(self, now_s: float) -> float:
        """Return the time until the target may be handed another request; 0 if it may now."""
        if self._quota is None:
            return 0.0
        return self._window.free_in_s(self._quota.requests, self._quota.window_s, now_s)

    def record_request(self, now_s: float) -> None:
        """Count a request that is handed to the target now."""
        if self._quota is not None:
            self._window.add(now_s)

    def may_poll(self, now_s: float) -> bool:
        """Return whether the target may be polled for its state now, and record the poll if so."""
        if self._quota is None:
            return True
        if self._last_poll_s is not None and now_s - self._last_poll_s < LIMITED_POLL_INTERVAL_S:
            return False
        self._last_poll_s = now_s
        return True


__all__ = ["LimitGate"]
