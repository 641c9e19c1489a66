# SPDX-License-Identifier: Apache-2.0
"""Rate limit for loads of weights."""

from collections import deque
from itertools import takewhile


class LoadLimit:
    """Sliding-window limit on loads begun, whatever their outcome."""

    def __init__(self, max_loads: int, window_s: float) -> None:
        self._max_loads = max(1, max_loads)
        self._window_s = window_s
        self._begun_s: deque[float] = deque()

    def try_begin(self, now_s: float, loads: int = 1) -> bool:
        """Begin all of the loads or none; return whether the limit allows them."""
        if loads > self.remaining(now_s):
            return False
        self._begun_s.extend([now_s] * loads)
        return True

    def record_begun(self, now_s: float, loads: int = 1) -> None:
        """Record loads that begin regardless of the limit."""
        self._begun_s.extend([now_s] * loads)

    def remaining_within(self, window_s: float, now_s: float) -> int:
        """Return how many loads may begin now if only those of a shorter window counted."""
        recent = takewhile(lambda begun_s: begun_s > now_s - window_s, reversed(self._begun_s))
        return self._max_loads - sum(1 for _ in recent)

    def remaining(self, now_s: float) -> int:
        """Return how many loads may begin now."""
        while self._begun_s and self._begun_s[0] <= now_s - self._window_s:
            self._begun_s.popleft()
        return self._max_loads - len(self._begun_s)


__all__ = ["LoadLimit"]
