# SPDX-License-Identifier: Apache-2.0
"""A process of the system under virtual time."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ochreway_core.peer import Peer
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.entry import EntryNode

Event = Callable[[float], None]


@dataclass(slots=True)
class Process:
    """Hold a node, its clock and whether it runs; what comes while it sleeps waits."""

    peer: Peer
    node: AgentNode | EntryNode
    born_s: float
    clock_offset_s: float
    clock_rate: float
    alive: bool = True
    paused: bool = False
    silent_since_s: float | None = None
    waiting: list[Event] = field(default_factory=list)

    def local_s(self, now_s: float) -> float:
        """Return what the process's monotonic clock shows."""
        return self.clock_offset_s + now_s * self.clock_rate

    @property
    def running(self) -> bool:
        """Tell whether the process handles events now."""
        return self.alive and not self.paused


__all__ = ["Process"]
