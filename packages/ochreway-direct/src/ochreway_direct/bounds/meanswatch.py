# SPDX-License-Identifier: Apache-2.0
"""Watching how near an entry is to the bounds of its instance."""

from ochreway_direct.bounds.means import Means
from ochreway_direct.bounds.memoryreader import MemoryReader
from ochreway_direct.bounds.pressure import Pressure
from ochreway_direct.bounds.resource import Resource
from ochreway_direct.entries.peers import Peers
from ochreway_direct.relay.callerconnections import CallerConnections
from ochreway_direct.relay.idlelimits import IdleLimits
from ochreway_direct.serving import Serving
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

CHECK_S = 0.25
"""How often the shares are checked: four times as often as the platform asks for readiness."""
LINK_WINDOW_S = 1.0
"""Over how long bytes are summed; shorter, one large answer would look like a full link."""
PRESSURES = {
    Resource.CONNECTIONS: (0.85, 0.7),
    Resource.MEMORY: (0.9, 0.8),
    Resource.LINK: (0.85, 0.6),
}
"""For each resource the share from which new callers go elsewhere, and below which they return."""
DIGITS = 3


class MeansWatch:
    """Tell the serving state which resource is short, and bound resting connections."""

    def __init__(
        self,
        means: Means,
        serving: Serving,
        peers: Peers,
        log: EventLog,
        metrics: Metrics,
        resting: IdleLimits | None = None,
        memory: MemoryReader | None = None,
    ) -> None:
        self.callers = CallerConnections(means.callers)
        self.resting = resting or IdleLimits()
        self.resting.max_total = means.resting
        self.shares: dict[Resource, float] = dict.fromkeys(Resource, 0.0)
        self._means = means
        self._serving = serving
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._memory: MemoryReader | None = memory or MemoryReader()
        self._pressures = {each: Pressure(*bounds) for each, bounds in PRESSURES.items()}
        self._sent: list[tuple[float, int]] = []

    def check(self, now_s: float) -> None:
        """Look at every resource once."""
        self.shares = {
            Resource.CONNECTIONS: self.callers.share,
            Resource.MEMORY: self._memory_share(),
            Resource.LINK: self._link_share(now_s),
        }
        for resource, pressure in self._pressures.items():
            if pressure.update(self.shares[resource], now_s):
                self._note_change(resource, pressure.near)
        self._share_targets()

    def gauges(self) -> dict[str, float]:
        """Return the shares in use, and callers' connections, for an operator's page."""
        shares = {f"{each.value}_share": round(n, DIGITS) for each, n in self.shares.items()}
        return {**shares, "caller_connections": float(self.callers.open)}

    def _note_change(self, resource: Resource, near: bool) -> None:
        share = round(self.shares[resource], DIGITS)
        self._log.event("means", resource=resource.value, near=near, share=share)
        if near:
            self._metrics.count(f"means.{resource.value}")
            self._serving.short_of.add(resource)
        else:
            self._serving.short_of.discard(resource)

    def _memory_share(self) -> float:
        bound = self._means.memory_bytes
        if bound is None or self._memory is None:
            return 0.0
        try:
            return self._memory.resident_bytes() / bound
        except (OSError, ValueError) as fault:
            self._memory = None
            self._log.fault("memory_unknown", cause=fault)
            return 0.0

    def _link_share(self, now_s: float) -> float:
        bound = self._means.link_bytes_per_s
        if bound is None:
            return 0.0
        self._sent.append((now_s, self._serving.sent_bytes))
        while len(self._sent) > 1 and self._sent[1][0] <= now_s - LINK_WINDOW_S:
            del self._sent[0]
        begun_s, before = self._sent[0]
        # A check that follows a stall sees all the bytes of it, and its time too.
        passed_s = max(LINK_WINDOW_S, now_s - begun_s)
        return (self._serving.sent_bytes - before) / passed_s / bound

    def _share_targets(self) -> None:
        """Take this entry's part of the connections that one target allows."""
        routes = self._serving.routes
        services = routes.configuration.services if routes is not None else ()
        allowed = [s.connections_at_most for s in services if s.connections_at_most]
        entries = 1 + len(self._peers.all_peers())
        self.resting.max_per_target = max(1, min(allowed) // entries) if allowed else None


__all__ = ["CHECK_S", "MeansWatch"]
