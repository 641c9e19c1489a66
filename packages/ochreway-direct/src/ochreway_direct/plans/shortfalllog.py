# SPDX-License-Identifier: Apache-2.0
"""Log events and counters for models of which fewer groups serve than are needed."""

from collections.abc import Iterable

from ochreway_direct.coordinator.shortfall import Shortfall
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

LOG_INTERVAL_S = 1.0
"""Interval at which a lasting shortfall is logged again."""


class ShortfallLog:
    """Log each model's shortfall once a second, and count the missing groups by cause."""

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self._due_s: dict[tuple[ServiceName, ModelName], float] = {}

    def log_shortfalls(
        self, service: ServiceName, shortfalls: Iterable[Shortfall], now_s: float
    ) -> None:
        """Log the shortfalls of a service that are due."""
        for shortfall in shortfalls:
            key = (service, shortfall.model)
            if now_s < self._due_s.get(key, now_s):
                continue
            self._due_s[key] = now_s + LOG_INTERVAL_S
            self._log_shortfall(service, shortfall)

    def _log_shortfall(self, service: ServiceName, shortfall: Shortfall) -> None:
        for cause, number in shortfall.causes.items():
            self._metrics.count(f"shortfall.{cause.value}", number)
        causes = sorted((cause.value, number) for cause, number in shortfall.causes.items())
        self._log.event(
            "shortfall",
            service=service,
            model=shortfall.model,
            needed=round(shortfall.needed, 2),
            planned=shortfall.planned,
            formable=shortfall.formable,
            serving=shortfall.serving,
            loading=shortfall.loading,
            causes=",".join(f"{cause}:{number}" for cause, number in causes),
        )


__all__ = ["LOG_INTERVAL_S", "ShortfallLog"]
