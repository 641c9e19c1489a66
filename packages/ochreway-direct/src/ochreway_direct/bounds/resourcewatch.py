# SPDX-License-Identifier: Apache-2.0
"""Monitoring of the resources of this instance against their bounds."""

from collections.abc import Callable

from ochreway_direct.bounds.memoryreader import MemoryReader
from ochreway_direct.bounds.pressure import Pressure
from ochreway_direct.bounds.resource import Resource
from ochreway_direct.bounds.resourcebounds import ResourceBounds
from ochreway_direct.entries.peers import Peers
from ochreway_direct.relay.callerconnections import CallerConnections
from ochreway_direct.relay.idlelimits import IdleLimits
from ochreway_direct.serving import Serving
from ochreway_runtime.heap import Heap
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

CHECK_INTERVAL_S = 0.25
"""How often the shares are checked: four times as often as the platform polls readiness."""
LINK_WINDOW_S = 1.0
"""Window over which sent bytes are summed; a shorter one takes a large answer for a full link."""
PRESSURE_SHARES = {
    Resource.CONNECTIONS: (0.85, 0.7),
    Resource.MEMORY: (0.9, 0.8),
    Resource.LINK: (0.85, 0.6),
}
"""Shares of each resource from which new callers are sent away, and below which they return."""
TRIM_SHARE = 0.6
"""Share of the memory from which freed memory is given back."""
SHARE_DIGITS = 3


class ResourceWatch:
    """Mark the resources that are short in the serving state, and bound idle connections."""

    def __init__(
        self,
        resource_bounds: ResourceBounds,
        serving: Serving,
        peers: Peers,
        log: EventLog,
        metrics: Metrics,
        idle_limits: IdleLimits | None = None,
        memory: MemoryReader | None = None,
        on_memory: Callable[[float], None] = lambda share: None,
    ) -> None:
        """Start without knowledge; ``on_memory`` is called with the share of memory in use."""
        self.callers = CallerConnections(resource_bounds.callers)
        self.idle_limits = idle_limits or IdleLimits()
        self.idle_limits.max_total = resource_bounds.idle
        self.shares: dict[Resource, float] = dict.fromkeys(Resource, 0.0)
        self._resource_bounds = resource_bounds
        self._serving = serving
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._memory: MemoryReader | None = memory or MemoryReader()
        self._on_memory = on_memory
        self._heap = Heap()
        self._pressure_by_resource = {
            each: Pressure(*bounds) for each, bounds in PRESSURE_SHARES.items()
        }
        self._sent_samples: list[tuple[float, int]] = []

    def check(self, now_s: float) -> None:
        """Check every resource once."""
        self.shares = {
            Resource.CONNECTIONS: self.callers.share,
            Resource.MEMORY: self._memory_share(now_s),
            Resource.LINK: self._link_share(now_s),
        }
        self._on_memory(self.shares[Resource.MEMORY])
        for resource, pressure in self._pressure_by_resource.items():
            if pressure.update(self.shares[resource], now_s):
                self._record_change(resource, pressure.near)
        self._update_idle_limit()

    def gauges(self) -> dict[str, float]:
        """Return the used share of each resource and the number of caller connections."""
        shares = {f"{each.value}_share": round(n, SHARE_DIGITS) for each, n in self.shares.items()}
        return {**shares, "caller_connections": float(self.callers.open)}

    def _record_change(self, resource: Resource, near: bool) -> None:
        share = round(self.shares[resource], SHARE_DIGITS)
        self._log.event("means", resource=resource.value, near=near, share=share)
        if near:
            self._metrics.count(f"means.{resource.value}")
            self._serving.short_resources.add(resource)
        else:
            self._serving.short_resources.discard(resource)

    def _memory_share(self, now_s: float) -> float:
        bound = self._resource_bounds.memory_bytes
        if bound is None or self._memory is None:
            return 0.0
        try:
            share = self._memory.resident_bytes() / bound
            if share >= TRIM_SHARE and self._heap.trim(now_s):
                share = self._memory.resident_bytes() / bound
            return share
        except (OSError, ValueError) as error:
            self._memory = None
            self._log.fault("memory_unknown", cause=error)
            return 0.0

    def _link_share(self, now_s: float) -> float:
        bound = self._resource_bounds.link_bytes_per_s
        if bound is None:
            return 0.0
        self._sent_samples.append((now_s, self._serving.sent_bytes))
        while len(self._sent_samples) > 1 and self._sent_samples[1][0] <= now_s - LINK_WINDOW_S:
            del self._sent_samples[0]
        begun_s, before = self._sent_samples[0]
        # A check after a stall covers all bytes sent meanwhile, and the full time of the stall.
        elapsed_s = max(LINK_WINDOW_S, now_s - begun_s)
        return (self._serving.sent_bytes - before) / elapsed_s / bound

    def _update_idle_limit(self) -> None:
        """Set this entry's share of the connections that one target allows."""
        routes = self._serving.routes
        services = routes.configuration.services if routes is not None else ()
        allowed = [s.connections_at_most for s in services if s.connections_at_most]
        entries = 1 + len(self._peers.all_peers())
        self.idle_limits.max_per_target = max(1, min(allowed) // entries) if allowed else None


__all__ = ["CHECK_INTERVAL_S", "ResourceWatch"]
