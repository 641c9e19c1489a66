# SPDX-License-Identifier: Apache-2.0
"""Which targets asked their agents to be left alone, and what came all the same."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ochreway_core.ids import NodeId
from ochreway_standins.soak.process import Process

IN_TRANSIT_GRACE_S = 0.5
"""After how long nothing may be on its way any more."""
MAX_ARRIVALS = 2
"""How much may come all the same in the time that was asked for."""


@dataclass(slots=True)
class _Backoff:
    """Hold from when to when a target is to get nothing, and what came."""

    since_s: float
    until_s: float
    arrivals: int = 0


@dataclass(slots=True)
class BackoffTruth:
    """Judge by what reaches targets: requests, questions and orders of one life of an agent."""

    _backoffs: dict[tuple[NodeId, float], list[_Backoff]] = field(default_factory=dict)

    def on_backoff_requested(self, process: Process, backoff_s: float, now_s: float) -> None:
        """Note that a target turned its agent away and named a time."""
        backoffs = self._backoffs.setdefault((process.peer.node, process.born_s), [])
        backoffs.append(_Backoff(now_s + IN_TRANSIT_GRACE_S, now_s + backoff_s))

    def check_arrival(self, process: Process, now_s: float) -> Iterator[str]:
        """Judge something that reaches a target now; at the first too many it is told."""
        for backoff in self._backoffs.get((process.peer.node, process.born_s), ()):
            if not backoff.since_s < now_s < backoff.until_s:
                continue
            backoff.arrivals += 1
            if backoff.arrivals == MAX_ARRIVALS + 1:
                yield (
                    f"{process.peer.node} got {backoff.arrivals} within the time that it asked for"
                )


__all__ = ["BackoffTruth"]
