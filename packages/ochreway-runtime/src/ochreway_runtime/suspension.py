# SPDX-License-Identifier: Apache-2.0
"""Telling that the instance was suspended, by two clocks that part."""

import time
from collections.abc import Callable

from ochreway_runtime import steadyclock
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

NOTED_S = 0.05
"""From which length on a suspension counts; readings of the two clocks are microseconds apart."""


class Suspension:
    """Write a line for each suspension; every age counts it already."""

    def __init__(
        self,
        log: EventLog,
        metrics: Metrics,
        steady: Callable[[], float] = steadyclock.now_s,
        running: Callable[[], float] = time.monotonic,
    ) -> None:
        """Compare a clock that counts suspensions with one that does not."""
        self._log = log
        self._metrics = metrics
        self._steady = steady
        self._running = running
        self._apart_s = self._read()

    def _read(self) -> float:
        return self._steady() - self._running()

    def tick(self, _: float) -> None:
        """Look whether the clocks have parted since the last look."""
        apart_s = self._read()
        length_s = apart_s - self._apart_s
        self._apart_s = apart_s
        if length_s >= NOTED_S:
            self._metrics.count("instance.suspended")
            self._log.event("instance_suspended", suspended_s=round(length_s, 3))


__all__ = ["NOTED_S", "Suspension"]
