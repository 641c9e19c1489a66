# SPDX-License-Identifier: Apache-2.0
"""Detection of stalls of this process's own event loop."""

from collections import deque
from dataclasses import dataclass

from ochreway_runtime.logs import EventLog

STALL_RETENTION_S = 5.0
"""How long a stall is kept; no timeout on the silence of others is longer."""
MIN_STALL_S = 0.05
"""Shortest delay of a tick that counts as a stall; scheduling alone causes a few ms."""
MIN_LOGGED_STALL_S = 0.25
"""Shortest stall that is logged: as long as the timeout of a probe."""


@dataclass(frozen=True, slots=True)
class Stall:
    """When a stall of the loop ended, and how long it lasted."""

    ended_s: float
    length_s: float


class LoopLag:
    """Track stalls of the own event loop, so that they are not mistaken for silence of others."""

    def __init__(self, tick_s: float, log: EventLog) -> None:
        self._tick_s = tick_s
        self._log = log
        self._last_tick_s: float | None = None
        self._stalls: deque[Stall] = deque()

    def tick(self, now_s: float) -> None:
        """Record a tick, which was due ``tick_s`` after the previous one."""
        previous_tick_s, self._last_tick_s = self._last_tick_s, now_s
        while self._stalls and now_s - self._stalls[0].ended_s > STALL_RETENTION_S:
            self._stalls.popleft()
        if previous_tick_s is None:
            return
        length_s = now_s - previous_tick_s - self._tick_s
        if length_s >= MIN_STALL_S:
            self._stalls.append(Stall(now_s, length_s))
        if length_s >= MIN_LOGGED_STALL_S:
            self._log.event("loop_stalled", stalled_s=round(length_s, 3))

    def stalled_since(self, since_s: float, now_s: float) -> float:
        """Return for how long the loop was stalled since a time, including a current stall."""
        running_s = 0.0
        if self._last_tick_s is not None:
            running_s = max(0.0, now_s - self._last_tick_s - self._tick_s)
        past_s = sum(each.length_s for each in self._stalls if each.ended_s > since_s)
        return past_s + (running_s if running_s >= MIN_STALL_S else 0.0)


__all__ = ["MIN_STALL_S", "STALL_RETENTION_S", "MIN_LOGGED_STALL_S", "LoopLag", "Stall"]
