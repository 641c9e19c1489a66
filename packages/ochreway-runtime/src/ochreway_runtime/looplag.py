# SPDX-License-Identifier: Apache-2.0
"""How long this process's own event loop has stood still."""

from collections import deque
from dataclasses import dataclass

from ochreway_runtime.logs import EventLog

STALL_RETENTION_S = 5.0
"""For how long a stall is remembered; no bound on silence is longer."""
MIN_STALL_S = 0.05
"""From which lateness on a tick counts as a stall; scheduling alone takes a few ms."""
MIN_LOGGED_STALL_S = 0.25
"""From which length on a stall is logged: as long as a probe's answer is waited for."""


@dataclass(frozen=True, slots=True)
class Stall:
    """Hold when the loop ran again and for how long it had not."""

    ended_s: float
    length_s: float


class LoopLag:
    """Tell own stalls, so that they are not taken for the silence of others."""

    def __init__(self, tick_s: float, log: EventLog) -> None:
        self._tick_s = tick_s
        self._log = log
        self._last_tick_s: float | None = None
        self._stalls: deque[Stall] = deque()

    def tick(self, now_s: float) -> None:
        """Take a tick, which was due ``tick_s`` after the one before."""
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
        """Return for how long the loop stood still since a time, the running tick included."""
        running_s = 0.0
        if self._last_tick_s is not None:
            running_s = max(0.0, now_s - self._last_tick_s - self._tick_s)
        past_s = sum(each.length_s for each in self._stalls if each.ended_s > since_s)
        return past_s + (running_s if running_s >= MIN_STALL_S else 0.0)


__all__ = ["MIN_STALL_S", "STALL_RETENTION_S", "MIN_LOGGED_STALL_S", "LoopLag", "Stall"]
