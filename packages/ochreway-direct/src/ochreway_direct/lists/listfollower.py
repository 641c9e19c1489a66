# SPDX-License-Identifier: Apache-2.0
"""The task that reads the platform's list of targets."""

import asyncio
from collections.abc import Callable, Mapping

from ochreway_core.backoff import Backoff
from ochreway_direct.platformhealth import PlatformHealth
from ochreway_direct.ports import TargetList, TargetReading
from ochreway_direct.timing import DirectTiming
from ochreway_platform.errors import PlatformError
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics
from ochreway_runtime.repeats import RepeatedFault


class ListFollower:
    """Poll the list while this entry has to read it, and log what cannot be read.

    Args:
        should_read: returns whether this entry reads the list itself now.
        on_reading: called with each successful reading.
    """

    def __init__(
        self,
        source: TargetList,
        health: PlatformHealth,
        timing: DirectTiming,
        backoff: Backoff,
        should_read: Callable[[], bool],
        on_reading: Callable[[TargetReading], None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._source = source
        self._health = health
        self._timing = timing
        self._backoff = backoff
        self._should_read = should_read
        self._on_reading = on_reading
        self._metrics = metrics
        self._unavailable = RepeatedFault(log, "list_unavailable")
        self._unreadable_target = RepeatedFault(log, "target_unreadable")
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            pause_s = self._timing.list_gap_s
            if self._should_read():
                pause_s = await self._read()
            await asyncio.sleep(pause_s)

    async def _read(self) -> float:
        """Poll once; return how long to wait before the next poll."""
        polled_s = self._loop.time()
        self._metrics.count("list.asked")
        try:
            reading = await self._source.poll(self._timing.list_wait_s)
        except PlatformError as error:
            self._on_error(error, polled_s)
            return self._backoff.next_delay_s()
        self._backoff.reset()
        self._health.on_answer(polled_s, self._loop.time())
        self._unavailable.log_end(self._loop.time())
        self._record_unreadable(reading.unreadable)
        self._on_reading(reading)
        return self._timing.list_gap_s

    def _on_error(self, error: PlatformError, polled_s: float) -> None:
        now_s = self._loop.time()
        self._metrics.count("list.unavailable")
        self._unavailable.log_occurrence(str(error), now_s)
        self._health.on_failure(min(now_s, polled_s + self._timing.list_wait_s))

    def _record_unreadable(self, unreadable: Mapping[str, str]) -> None:
        now_s = self._loop.time()
        if not unreadable:
            self._unreadable_target.log_end(now_s)
            return
        self._metrics.count("list.target_unreadable")
        instance, cause = min(unreadable.items())
        self._unreadable_target.log_occurrence(
            f"{instance}: {cause}", now_s, targets=len(unreadable)
        )


__all__ = ["ListFollower"]
