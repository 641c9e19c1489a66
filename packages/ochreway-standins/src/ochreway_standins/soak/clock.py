# SPDX-License-Identifier: Apache-2.0
"""Virtual time: a heap of what happens when."""

import heapq
from collections.abc import Callable

Callback = Callable[[], None]


class Clock:
    """Run happenings in the order of their time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callback]] = []
        self._sequence = 0

    def at(self, when_s: float, callback: Callback) -> None:
        """Have something happen at a time, or now if that has passed."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(when_s, self.now_s), self._sequence, callback))

    def after(self, delay_s: float, callback: Callback) -> None:
        """Have something happen after a while."""
        self.at(self.now_s + delay_s, callback)

    def run_until(self, end_s: float) -> None:
        """Run everything that happens up to a time."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._heap)
            callback()
        self.now_s = end_s
