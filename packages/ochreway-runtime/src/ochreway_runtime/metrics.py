# SPDX-License-Identifier: Apache-2.0
"""Counters and timings for statsd; without a server they cost nothing."""

import contextlib

from statsd import StatsClient

PREFIX = "ochreway"


class Metrics:
    """Send counters and timings over UDP, and keep the counters for the status page."""

    def __init__(self, address: str | None, role: str) -> None:
        self.counters: dict[str, int] = {}
        self._client: StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            with contextlib.suppress(OSError):
                self._client = StatsClient(host, int(port), prefix=f"{PREFIX}.{role}")

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount
        if self._client is not None:
            self._client.incr(name, amount)

    def timing(self, name: str, took_s: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, took_s * 1000.0)


__all__ = ["Metrics"]
