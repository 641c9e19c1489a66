# SPDX-License-Identifier: Apache-2.0
"""The task that polls the store for the accepted configuration."""

import asyncio
from collections.abc import Callable

from ochreway_core.backoff import Backoff
from ochreway_core.drainedhalls import DrainedHalls
from ochreway_direct.configuration import Configuration
from ochreway_direct.platformhealth import PlatformHealth
from ochreway_direct.ports import ConfigurationReading, ConfigurationSource
from ochreway_direct.serving import Serving
from ochreway_direct.timing import DirectTiming
from ochreway_platform.errors import (
    ConfigurationUnavailable,
    ConfigurationUnreadable,
    PlatformError,
)
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics
from ochreway_runtime.repeats import RepeatedFault

ERROR_COUNTERS: dict[type[PlatformError], str] = {
    ConfigurationUnreadable: "configuration.unreadable",
    ConfigurationUnavailable: "configuration.unavailable",
}


class ConfigurationFollower:
    """Put newer versions in force, from the store or from peers, and record freshness proofs."""

    def __init__(
        self,
        source: ConfigurationSource,
        serving: Serving,
        health: PlatformHealth,
        timing: DirectTiming,
        backoff: Backoff,
        poll_wait_s: Callable[[], float | None],
        on_applied: Callable[[Configuration], None],
        on_drained_halls: Callable[[DrainedHalls, float], None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Start without a configuration.

        ``poll_wait_s`` returns how long a poll of the store may stay open now, or None when this
        entry gets versions from others. ``on_applied`` is called with each new version, and
        ``on_drained_halls`` with the halls of each reading and the time of its poll.
        """
        self._source = source
        self._serving = serving
        self._health = health
        self._timing = timing
        self._backoff = backoff
        self._poll_wait_s = poll_wait_s
        self._on_applied = on_applied
        self._on_drained_halls = on_drained_halls
        self._log = log
        self._metrics = metrics
        self._unavailable = RepeatedFault(log, "configuration_unavailable")
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Poll for newer versions until cancelled."""
        while True:
            wait_s = self._poll_wait_s()
            pause_s = self._timing.configuration_check_interval_s
            if wait_s is not None:
                pause_s = await self._poll(wait_s)
            await asyncio.sleep(pause_s)

    def apply(self, configuration: Configuration) -> None:
        """Put a version in force if it is newer than the current one."""
        if not self._serving.apply(configuration):
            return
        self._on_applied(configuration)
        self._log.event(
            "configuration_applied",
            version=configuration.version,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations),
        )

    async def _poll(self, wait_s: float) -> float:
        """Poll once; return how long to wait before the next poll."""
        polled_s = self._loop.time()
        self._metrics.count("configuration.asked" if wait_s else "configuration.asked_late")
        try:
            reading = await self._source.poll(wait_s)
        except ConfigurationUnreadable as error:
            self._on_drained_halls(error.drained, polled_s)
            return self._on_error(error, polled_s + wait_s)
        except PlatformError as error:
            return self._on_error(error, polled_s + wait_s)
        self._backoff.reset()
        self._health.on_answer(polled_s, self._loop.time())
        self._unavailable.log_end(self._loop.time(), in_force=self._serving.version)
        return self._apply_reading(reading)

    def _on_error(self, error: PlatformError, due_s: float) -> float:
        """Count and log a failed poll; return how long to wait before the next one."""
        now_s = self._loop.time()
        self._metrics.count(
            ERROR_COUNTERS.get(type(error), ERROR_COUNTERS[ConfigurationUnavailable])
        )
        self._unavailable.log_occurrence(str(error), now_s, in_force=self._serving.version)
        if not isinstance(error, ConfigurationUnreadable):
            self._health.on_failure(min(now_s, due_s))
        return self._backoff.next_delay_s()

    def _apply_reading(self, reading: ConfigurationReading) -> float:
        self._on_drained_halls(reading.drained, reading.polled_s)
        if reading.configuration is None:
            return self._timing.configuration_poll_gap_s
        begun_s = self._loop.time()
        self.apply(reading.configuration)
        if reading.configuration.version == self._serving.version:
            self._serving.freshness.prove(reading.polled_s)
        took_s = self._loop.time() - begun_s + reading.decode_time_s
        paced_s = self._timing.configuration_rest_share * took_s
        return min(
            self._timing.configuration_rest_s, max(self._timing.configuration_poll_gap_s, paced_s)
        )


__all__ = ["ConfigurationFollower"]
