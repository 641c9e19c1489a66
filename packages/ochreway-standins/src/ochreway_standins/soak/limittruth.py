# SPDX-License-Identifier: Apache-2.0
"""Which targets named a limit, and what they got from one life of their agent."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ochreway_core.ids import NodeId
from ochreway_standins.soak.process import Process

WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_SLACK = 5
"""By how much more than its limit a target may get in a span: a factor, and some requests."""
LIMIT_GRACE_S = 3.0
"""Within how long after a target first named its limit it has to be kept."""


@dataclass(slots=True)
class _LimitWindow:
    """Hold since when a target names a limit to one life of its agent, and what came since."""

    since_s: float
    arrivals_s: list[float] = field(default_factory=list)
    reported: bool = False


@dataclass(slots=True)
class LimitTruth:
    """Judge by what reaches targets: requests, questions and orders of one life of an agent."""

    _windows: dict[tuple[NodeId, float], _LimitWindow] = field(default_factory=dict)

    def check_arrival(
        self, process: Process, limit_per_s: float | None, now_s: float
    ) -> Iterator[str]:
        """Judge something that reaches a target now; the first too many is told."""
        key = (process.peer.node, process.born_s)
        if limit_per_s is None:
            self._windows.pop(key, None)
            return
        window = self._windows.setdefault(key, _LimitWindow(now_s))
        if now_s < window.since_s + LIMIT_GRACE_S:
            return
        window.arrivals_s = [each for each in window.arrivals_s if now_s - each < WINDOW_S]
        window.arrivals_s.append(now_s)
        allowed = EXCESS_FACTOR * limit_per_s * WINDOW_S + EXCESS_SLACK
        if len(window.arrivals_s) > allowed and not window.reported:
            window.reported = True
            yield (
                f"{process.peer.node} got {len(window.arrivals_s)} in {WINDOW_S} s,"
                f" {allowed} allowed"
            )


__all__ = ["LimitTruth"]
