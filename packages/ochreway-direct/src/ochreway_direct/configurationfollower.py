# SPDX-License-Identifier: Apache-2.0
"""The task that follows the accepted configuration."""

import asyncio
from collections.abc import Callable

from ochreway_core.backoff import Backoff
from ochreway_direct.configuration import Configuration
from ochreway_direct.ports import ConfigurationSource
from ochreway_direct.serving import Serving
from ochreway_direct.timing import DirectTiming
from ochreway_platform.errors import PlatformError
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics


class ConfigurationFollower:
    """Put newer versions in force, wherever they come from, and note proofs of freshness."""

    def __init__(
        self,
        source: ConfigurationSource,
        serving: Serving,
        timing: DirectTiming,
        backoff: Backoff,
        applied: Callable[[Configuration], None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._source = source
        self._serving = serving
        self._timing = timing
        self._backoff = backoff
        self._applied = applied
        self._log = log
        self._metrics = metrics

    async def run(self) -> None:
        """Ask for a newer version again and again until cancelled."""
        while True:
            await asyncio.sleep(await self._ask())

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

    async def _ask(self) -> float:
        """Ask once; return how long to wait before the next time."""
        try:
            reading = await self._source.poll(self._timing.configuration_wait_s)
        except PlatformError as fault:
            self._metrics.count("configuration.unavailable")
            self._log.detail("configuration_unavailable", cause=fault)
            return self._backoff.failed()
        self._backoff.succeeded()
        if reading.configuration is not None:
            self.apply(reading.configuration)
            if reading.configuration.version == self._serving.version:
                self._serving.freshness.prove(reading.asked_s)
        return self._timing.configuration_gap_s


__all__ = ["ConfigurationFollower"]
