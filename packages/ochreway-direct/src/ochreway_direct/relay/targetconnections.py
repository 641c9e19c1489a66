# SPDX-License-Identifier: Apache-2.0
"""Gauges of the connections to targets."""

from collections.abc import Sequence

from ochreway_direct.relay.relay import Relay
from ochreway_direct.relay.targetprotocol import TargetConnector
from ochreway_runtime.metrics import Metrics

OPENED_COUNTERS = ("connections.target", "connections.single")
RATIO_DIGITS = 3


class TargetConnections:
    """Report how many connections to targets are open and how many a request needed."""

    def __init__(
        self, connectors: Sequence[TargetConnector], metrics: Metrics, relay: Relay
    ) -> None:
        self._connectors = connectors
        self._metrics = metrics
        self._relay = relay

    def gauges(self) -> dict[str, float]:
        """Return the gauges for the metrics page."""
        opened = sum(self._metrics.counters.get(name, 0) for name in OPENED_COUNTERS)
        return {
            "target_connections": float(sum(connector.open for connector in self._connectors)),
            "target_connections_resting": float(sum(pool.idle for pool in self._connectors)),
            "target_connections_per_request": round(
                opened / max(1, self._relay.accepted_calls), RATIO_DIGITS
            ),
        }


__all__ = ["TargetConnections"]
