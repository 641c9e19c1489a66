# SPDX-License-Identifier: Apache-2.0
"""How long each entry has known of drained halls, to check what it sends there."""

from dataclasses import dataclass, field

from ochreway_core.ids import HallId, NodeId
from ochreway_nodes.entry import EntryNode
from ochreway_standins.soak.process import Process
from ochreway_standins.soak.world import World


@dataclass(slots=True)
class _KnownDrains:
    """The drained halls that a process was seen to know, and since when it has known each."""

    process: Process
    version: int = 0
    since_s: dict[HallId, float] = field(default_factory=dict)


class HallTruth:
    """Observe the drained halls of every entry; a recorded time is never earlier than the fact."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._known: dict[NodeId, _KnownDrains] = {}

    def observe(self) -> None:
        """Record which halls each entry knows to be drained."""
        for process in self._world.entries():
            node = process.node
            assert isinstance(node, EntryNode)
            known = self._known.get(process.peer.node)
            if known is None or known.process is not process:
                known = self._known[process.peer.node] = _KnownDrains(process)
            latest = node.drains.newest
            if latest.version > known.version + 1:
                # A hall may have been restored and drained again between two observations.
                known.since_s = {}
            now_s = self._world.clock.now_s
            known.version = latest.version
            known.since_s = {hall: known.since_s.get(hall, now_s) for hall in latest.halls}

    def known_for_s(self, entry: NodeId, hall: HallId, at_s: float) -> float:
        """Return how long an entry had known, at a given time, that a hall was drained."""
        known = self._known.get(entry)
        if known is None or known.process is not self._world.processes.get(entry):
            return 0.0
        since_s = known.since_s.get(hall)
        return at_s - since_s if since_s is not None else 0.0


__all__ = ["HallTruth"]
