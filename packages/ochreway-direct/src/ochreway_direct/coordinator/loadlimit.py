# SPDX-License-Identifier: Apache-2.0
"""A bound on how many loads of weights may begin."""

from collections import deque


class LoadLimit:
    """Allow so many loads in any window, whatever became of those before."""

    def __init__(self, per_s: float, window_s: float) -> None:
        self._at_most = max(1, int(per_s * window_s))
        self._window_s = window_s
        self._begun_s: deque[float] = deque()

    def take(self, now_s: float) -> bool:
        """Begin a load; return whether the bound allows it."""
        while self._begun_s and self._begun_s[0] <= now_s - self._window_s:
            self._begun_s.popleft()
        if len(self._begun_s) >= self._at_most:
            return False
        self._begun_s.append(now_s)
        return True


__all__ = ["LoadLimit"]
