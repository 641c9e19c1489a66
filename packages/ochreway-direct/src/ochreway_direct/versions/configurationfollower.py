# SPDX-License-Identifier: Apache-2.0
"""The task that follows the accepted configuration."""

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
from ochreway_runtime.repeats import Repeats

CAUSES: dict[type[PlatformError], str] = {
    ConfigurationUnreadable: "configuration.unreadable",
    ConfigurationUnavailable: "configuration.unavailable",
}


class ConfigurationFollower:
    """Put newer versions in force, wherever they come from, and note proofs of freshness."""

    def __init__(
        self,
        source: ConfigurationSource,
        serving: Serving,
        health: PlatformHealth,
        timing: DirectTiming,
        backoff: Backoff,
        question_s: Callable[[], float | None],
        applied: Callable[[Configuration], None],
        drained: Callable[[DrainedHalls, float], None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Start with the parts given.

        ``question_s`` tells for how long a question to the store may stay open now, or None when
        this entry hears of versions from others; ``applied`` is told of each new one, and
        ``drained`` of the halls that each reading shows, with when it was asked for.
        """
        self._source = source
        self._serving = serving
        self._health = health
        self._timing = timing
        self._backoff = backoff
        self._question_s = question_s
        self._applied = applied
        self._drained = drained
        self._log = log
        self._metrics = metrics
        self._fault = Repeats(log, "configuration_unavailable")
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Ask for a newer version again and again until cancelled."""
        while True:
            wait_s = self._question_s()
            pause_s = self._timing.configuration_follow_gap_s
            if wait_s is not None:
                pause_s = await self._ask(wait_s)
            await asyncio.sleep(pause_s)

    def apply(self, configuration: Configuration) -> None:
        """Put a version in force if it is newer than what is."""
        if not self._serving.apply(configuration):
            return
        self._applied(configuration)
        self._log.event(
            "configuration_applied",
            version=configuration.version,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations),
        )

    async def _ask(self, wait_s: float) -> float:
        """Ask once; return how long to wait before the next time."""
        asked_s = self._loop.time()
        self._metrics.count("configuration.asked" if wait_s else "configuration.asked_late")
        try:
            reading = await self._source.poll(wait_s)
        except ConfigurationUnreadable as fault:
            self._drained(fault.drained, asked_s)
            return self._failed(fault, asked_s + wait_s)
        except PlatformError as fault:
            return self._failed(fault, asked_s + wait_s)
        self._backoff.reset()
        self._health.answered(asked_s, self._loop.time())
        self._fault.over(self._loop.time(), in_force=self._serving.version)
        return self._take(reading)

    def _failed(self, fault: PlatformError, due_s: float) -> float:
        """Count and tell why there is no reading; return how long to wait."""
        now_s = self._loop.time()
        self._metrics.count(CAUSES.get(type(fault), CAUSES[ConfigurationUnavailable]))
        self._fault.met(str(fault), now_s, in_force=self._serving.version)
        if not isinstance(fault, ConfigurationUnreadable):
            self._health.failed(min(now_s, due_s))
        return self._backoff.next_delay_s()

    def _take(self, reading: ConfigurationReading) -> float:
        self._drained(reading.drained, reading.asked_s)
        if reading.configuration is None:
            return self._timing.configuration_gap_s
        begun_s = self._loop.time()
        self.apply(reading.configuration)
        if reading.configuration.version == self._serving.version:
            self._serving.freshness.prove(reading.asked_s)
        took_s = self._loop.time() - begun_s + reading.decoded_in_s
        paced_s = self._timing.configuration_rest_share * took_s
        return min(
            self._timing.configuration_rest_s, max(self._timing.configuration_gap_s, paced_s)
        )


__all__ = ["ConfigurationFollower"]
