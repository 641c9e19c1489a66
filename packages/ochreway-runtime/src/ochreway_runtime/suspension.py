# SPDX-License-Identifier: Apache-2.0
"""Telling that the instance was suspended, by two clocks that part."""

import time
from collections.abc import Callable

from ochreway_runtime import steadyclock
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

MIN_SUSPENSION_S = 0.05
"""From which length on a suspension counts; readings of the two clocks are microseconds apart."""


class SuspensionDetector:
    """Write a line for each suspension; every age counts it already."""

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
        """Look whether the clocks have parted since the last look."""
        offset_s = self._read_offset()
        length_s = offset_s - self._offset_s
        self._offset_s = offset_s
        if length_s >= MIN_SUSPENSION_S:
            self._metrics.count("instance.suspended")
            self._log.event("instance_suspended", suspended_s=round(length_s, 3))


__all__ = ["MIN_SUSPENSION_S", "SuspensionDetector"]
