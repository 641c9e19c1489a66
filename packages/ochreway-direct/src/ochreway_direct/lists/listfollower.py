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
from ochreway_runtime.repeats import Repeats


class ListFollower:
    """Read the list while this entry has to, and tell of what cannot be read.

    Args:
        wanted: tells whether this entry reads the list itself now.
        taken: is given each good reading.
    """

    def __init__(
        self,
        source: TargetList,
        health: PlatformHealth,
        timing: DirectTiming,
        backoff: Backoff,
        wanted: Callable[[], bool],
        taken: Callable[[TargetReading], None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._source = source
        self._health = health
        self._timing = timing
        self._backoff = backoff
        self._wanted = wanted
        self._taken = taken
        self._metrics = metrics
        self._fault = Repeats(log, "list_unavailable")
        self._target_fault = Repeats(log, "target_unreadable")
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Read the list again and again until cancelled."""
        while True:
            pause_s = self._timing.list_gap_s
            if self._wanted():
                pause_s = await self._read()
            await asyncio.sleep(pause_s)

    async def _read(self) -> float:
        """Read once; return how long to wait before the next time."""
        asked_s = self._loop.time()
        self._metrics.count("list.asked")
        try:
            reading = await self._source.poll(self._timing.list_wait_s)
        except PlatformError as fault:
            self._failed(fault, asked_s)
            return self._backoff.next_delay_s()
        self._backoff.reset()
        self._health.answered(asked_s, self._loop.time())
        self._fault.over(self._loop.time())
        self._note_unreadable(reading.unreadable)
        self._taken(reading)
        return self._timing.list_gap_s

    def _failed(self, fault: PlatformError, asked_s: float) -> None:
        now_s = self._loop.time()
        self._metrics.count("list.unavailable")
        self._fault.met(str(fault), now_s)
        self._health.failed(min(now_s, asked_s + self._timing.list_wait_s))

    def _note_unreadable(self, unreadable: Mapping[str, str]) -> None:
        now_s = self._loop.time()
        if not unreadable:
            self._target_fault.over(now_s)
            return
        self._metrics.count("list.target_unreadable")
        instance, cause = min(unreadable.items())
        self._target_fault.met(f"{instance}: {cause}", now_s, targets=len(unreadable))


__all__ = ["ListFollower"]
