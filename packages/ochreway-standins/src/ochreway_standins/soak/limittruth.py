# SPDX-License-Identifier: Apache-2.0
"""Rate limits that targets named, and what they received from one incarnation of their agent."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ochreway_core.ids import NodeId
from ochreway_standins.soak.process import Process

WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_SLACK = 5
"""How far a target's limit may be exceeded in a window: by a factor plus some arrivals."""
LIMIT_GRACE_S = 3.0
"""Time after a target first named a limit within which it need not be kept yet."""


@dataclass(slots=True)
class _LimitWindow:
    """When a target began to name a limit to one incarnation of its agent, and later arrivals."""

    since_s: float
    arrivals_s: list[float] = field(default_factory=list)
    reported: bool = False


@dataclass(slots=True)
class LimitTruth:
    """Check what reaches targets: requests, polls and orders from one incarnation of an agent."""

    _windows: dict[tuple[NodeId, float], _LimitWindow] = field(default_factory=dict)

    def check_arrival(
        self, process: Process, limit_per_s: float | None, now_s: float
    ) -> Iterator[str]:
        """Check an arrival at a target; report only the first one beyond the limit."""
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
