# SPDX-License-Identifier: Apache-2.0
"""How much the target beside an agent is handed, when it named a limit.

All that its group is asked for passes through its leader's agent, so what that agent keeps is kept
by all entries together.
"""

from ochreway_routing.quota import Quota
from ochreway_routing.slidingwindow import SlidingWindow

ASKED_EACH_S = 10.0
"""How often a target with a limit is asked for its state: a question may count as a request."""


class LimitGate:
    """Count what the target is handed while it has a limit."""

    def __init__(self) -> None:
        self._limit_per_s: float | None = None
        self._quota: Quota | None = None
        self._window = SlidingWindow()
        self._asked_s: float | None = None

    def name(self, limit_per_s: float | None) -> bool:
        """Take the limit that the target names, or that it names none; return whether it is new."""
        if limit_per_s == self._limit_per_s:
            return False
        if limit_per_s is None:
            self._window = SlidingWindow()
        self._limit_per_s = limit_per_s
        self._quota = Quota.for_limit(limit_per_s) if limit_per_s is not None else None
        return True

    @property
    def limit_per_s(self) -> float | None:
        """Return the limit that holds, if any."""
        return self._limit_per_s

    def wait_s(self, now_s: float) -> float:
        """Return how soon the target may be handed one more request; 0 if it may now."""
        if self._quota is None:
            return 0.0
        return self._window.free_in_s(self._quota.requests, self._quota.window_s, now_s)

    def handed(self, now_s: float) -> None:
        """Count a request that the target is handed now."""
        if self._quota is not None:
            self._window.add(now_s)

    def may_ask(self, now_s: float) -> bool:
        """Tell whether the target may be asked for its state now, which it then is."""
        if self._quota is None:
            return True
        if self._asked_s is not None and now_s - self._asked_s < ASKED_EACH_S:
            return False
        self._asked_s = now_s
        return True


__all__ = ["LimitGate"]
