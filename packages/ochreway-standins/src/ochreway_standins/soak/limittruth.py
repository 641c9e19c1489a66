# SPDX-License-Identifier: Apache-2.0
"""Which targets named a limit, and what they got from one life of their agent."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ochreway_core.ids import NodeId
from ochreway_standins.soak.process import Process

SPAN_S = 4.0
EXCESS = 1.5
SLACK = 5
"""By how much more than its limit a target may get in a span: a factor, and some requests."""
KNOWN_S = 3.0
"""Within how long after a target first named its limit it has to be kept."""


@dataclass(slots=True)
class _Limited:
    """Hold since when a target names a limit to one life of its agent, and what came since."""

    since_s: float
    came_s: list[float] = field(default_factory=list)
    told: bool = False


@dataclass(slots=True)
class LimitTruth:
    """Judge by what reaches targets: requests, questions and orders of one life of an agent."""

    _limited: dict[tuple[NodeId, float], _Limited] = field(default_factory=dict)

    def arrived(self, process: Process, limit_per_s: float | None, now_s: float) -> Iterator[str]:
        """Judge something that reaches a target now; the first too many is told."""
        key = (process.peer.node, process.born_s)
        if limit_per_s is None:
            self._limited.pop(key, None)
            return
        limited = self._limited.setdefault(key, _Limited(now_s))
        if now_s < limited.since_s + KNOWN_S:
            return
        limited.came_s = [each for each in limited.came_s if now_s - each < SPAN_S]
        limited.came_s.append(now_s)
        allowed = EXCESS * limit_per_s * SPAN_S + SLACK
        if len(limited.came_s) > allowed and not limited.told:
            limited.told = True
            yield f"{process.peer.node} got {len(limited.came_s)} in {SPAN_S} s, {allowed} allowed"


__all__ = ["LimitTruth"]
