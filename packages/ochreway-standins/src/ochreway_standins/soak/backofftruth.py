# SPDX-License-Identifier: Apache-2.0
"""Backoffs that targets requested from their agents, and what reached them nevertheless."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ochreway_core.ids import NodeId
from ochreway_standins.soak.process import Process

IN_TRANSIT_GRACE_S = 0.5
"""Time after which nothing sent before the backoff may still be in transit."""
MAX_ARRIVALS = 2
"""How many arrivals are tolerated during a backoff."""


@dataclass(slots=True)
class _Backoff:
    """Period in which a target must receive nothing, and the number of arrivals in it."""

    since_s: float
    until_s: float
    arrivals: int = 0


@dataclass(slots=True)
class BackoffTruth:
    """Check what reaches targets: requests, polls and orders from one incarnation of an agent."""

    _backoffs: dict[tuple[NodeId, float], list[_Backoff]] = field(default_factory=dict)

    def on_backoff_requested(self, process: Process, backoff_s: float, now_s: float) -> None:
        """Record that a target refused its agent and requested a backoff."""
        backoffs = self._backoffs.setdefault((process.peer.node, process.born_s), [])
        backoffs.append(_Backoff(now_s + IN_TRANSIT_GRACE_S, now_s + backoff_s))

    def check_arrival(self, process: Process, now_s: float) -> Iterator[str]:
        """Check an arrival at a target; report the first one beyond the tolerated number."""
        for backoff in self._backoffs.get((process.peer.node, process.born_s), ()):
            if not backoff.since_s < now_s < backoff.until_s:
                continue
            backoff.arrivals += 1
            if backoff.arrivals == MAX_ARRIVALS + 1:
                yield (
                    f"{process.peer.node} got {backoff.arrivals} within the time that it asked for"
                )


__all__ = ["BackoffTruth"]
