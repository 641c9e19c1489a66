# SPDX-License-Identifier: Apache-2.0
"""Counters and gauges of a process in the Prometheus text format."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from ochreway_runtime.metrics import PREFIX, Metrics

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
KIND_LABEL = "kind"
"""The label for the part of a counter's name after the first dot."""

Gauges = Callable[[], Mapping[str, float]]


class _MetricsCollector(Collector):
    """Export a counter ``refused.no_group`` as family ``refused`` with the kind as a label."""

    def __init__(self, metrics: Metrics, gauges: Gauges) -> None:
        self._metrics = metrics
        self._gauges = gauges

    def collect(self) -> Iterable[Metric]:
        """Return the current metric families."""
        families: dict[str, dict[str, int]] = defaultdict(dict)
        for name, value in self._metrics.counters.items():
            family, _, kind = name.partition(".")
            families[family][kind] = value
        for family, kinds in sorted(families.items()):
            counter = CounterMetricFamily(
                f"{PREFIX}_{family}", f"Counts of {family}.", labels=[KIND_LABEL]
            )
            for kind, value in sorted(kinds.items()):
                counter.add_metric([kind], value)
            yield counter
        for name, gauge in sorted(self._gauges().items()):
            yield GaugeMetricFamily(f"{PREFIX}_{name}", f"{name} now.", value=gauge)


class MetricsPage:
    """Render the counters and gauges of a process."""

    def __init__(self, metrics: Metrics, gauges: Gauges = dict) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(_MetricsCollector(metrics, gauges))

    def render(self) -> bytes:
        """Return the page."""
        return generate_latest(self._registry)


__all__ = ["CONTENT_TYPE", "MetricsPage"]
