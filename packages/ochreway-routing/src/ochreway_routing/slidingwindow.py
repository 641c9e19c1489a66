# SPDX-License-Identifier: Apache-2.0
"""Count of requests within a sliding window."""

from collections import deque


class SlidingWindow:
    """Count the requests sent within a window, whose length may change."""

    def __init__(self) -> None:
        self._sent_s: deque[float] = deque()

    def add(self, now_s: float) -> None:
        """Count a request that is sent now."""
        self._sent_s.append(now_s)

    def free_in_s(self, max_requests: int, window_s: float, now_s: float) -> float:
        """Return after what time another request fits into the window; 0 if it does now."""
        while self._sent_s and now_s - self._sent_s[0] >= window_s:
            self._sent_s.popleft()
        excess = len(self._sent_s) - max_requests
        return self._sent_s[excess] + window_s - now_s if excess >= 0 else 0.0


__all__ = ["SlidingWindow"]
