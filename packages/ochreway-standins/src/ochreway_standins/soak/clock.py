# SPDX-License-Identifier: Apache-2.0
"""Virtual time: a heap of scheduled callbacks."""

import heapq
from collections.abc import Callable

Callback = Callable[[], None]


class Clock:
    """Run callbacks in the order of their scheduled time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callback]] = []
        self._sequence = 0

    def at(self, when_s: float, callback: Callback) -> None:
        """Schedule a callback at a time, or now if that time has passed."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(when_s, self.now_s), self._sequence, callback))

    def after(self, delay_s: float, callback: Callback) -> None:
        """Schedule a callback after a delay."""
        self.at(self.now_s + delay_s, callback)

    def run_until(self, end_s: float) -> None:
        """Run all callbacks scheduled up to a time, and advance the clock to it."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._heap)
            callback()
        self.now_s = end_s
