# SPDX-License-Identifier: Apache-2.0
"""A process under virtual time."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ochreway_core.peer import Peer
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.entry import EntryNode

Event = Callable[[float], None]


@dataclass(slots=True)
class Process:
    """A node, its clock and its state; events that arrive during a pause wait."""

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
        """Return the time of the process's monotonic clock."""
        return self.clock_offset_s + now_s * self.clock_rate

    @property
    def running(self) -> bool:
        """Return whether the process handles events now."""
        return self.alive and not self.paused


__all__ = ["Process"]
