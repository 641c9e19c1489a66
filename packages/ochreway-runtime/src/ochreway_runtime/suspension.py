# SPDX-License-Identifier: Apache-2.0
"""Detection of suspensions of the instance by comparing two clocks."""

import time
from collections.abc import Callable

from ochreway_runtime import steadyclock
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

MIN_SUSPENSION_S = 0.05
"""Shortest suspension that counts; the two clocks are read within microseconds of each other."""


class SuspensionDetector:
    """Log each suspension; the ages and timers of the process already include it."""

    def __init__(
        self,
        log: EventLog,
        metrics: Metrics,
        steady_clock: Callable[[], float] = steadyclock.now_s,
        monotonic_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Compare a clock that counts suspensions with one that does not."""
        self._log = log
        self._metrics = metrics
        self._steady_clock = steady_clock
        self._monotonic_clock = monotonic_clock
        self._offset_s = self._read_offset()

    def _read_offset(self) -> float:
        return self._steady_clock() - self._monotonic_clock()

    def tick(self, _: float) -> None:
        """Check whether the offset between the clocks has grown since the last tick."""
        offset_s = self._read_offset()
        length_s = offset_s - self._offset_s
        self._offset_s = offset_s
        if length_s >= MIN_SUSPENSION_S:
            self._metrics.count("instance.suspended")
            self._log.event("instance_suspended", suspended_s=round(length_s, 3))


__all__ = ["MIN_SUSPENSION_S", "SuspensionDetector"]
