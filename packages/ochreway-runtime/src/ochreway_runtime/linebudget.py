# SPDX-License-Identifier: Apache-2.0
"""Rate limits for the log lines of each kind that a process writes."""

from dataclasses import dataclass
from enum import Enum


class LineKind(Enum):
    """Kinds of log lines, the most important first."""

    STATE_CHANGE = "belief"
    """The process starts, stops, or changes its view of the system."""
    FAILURE = "failure"
    """A request failed or was late."""
    SUCCESS = "success"
    """A request succeeded."""


LINES_PER_S: dict[LineKind, float] = {
    LineKind.STATE_CHANGE: 100.0,
    LineKind.FAILURE: 40.0,
    LineKind.SUCCESS: 2.0,
}
"""Bounds the log output of one process: at about 250 bytes per line, at most 35 KB/s."""
BURST_S = 2.0
"""Bounds how much unused budget may accumulate, as failures occur in bursts."""


@dataclass(slots=True)
class _Bucket:
    per_s: float
    remaining: float
    last_filled_s: float
    withheld: int = 0


class LineBudget:
    """Limit each kind of line to its own rate and count the lines withheld."""

    def __init__(self, now_s: float, lines_per_s: dict[LineKind, float] | None = None) -> None:
        rates = lines_per_s or LINES_PER_S
        self._buckets = {kind: _Bucket(rate, rate * BURST_S, now_s) for kind, rate in rates.items()}

    def allows(self, kind: LineKind, now_s: float) -> bool:
        """Consume one line of the budget; return whether one was available."""
        bucket = self._buckets[kind]
        saved = bucket.remaining + (now_s - bucket.last_filled_s) * bucket.per_s
        bucket.remaining = min(bucket.per_s * BURST_S, saved)
        bucket.last_filled_s = now_s
        if bucket.remaining < 1.0:
            bucket.withheld += 1
            return False
        bucket.remaining -= 1.0
        return True

    def take_withheld(self) -> dict[LineKind, int]:
        """Return how many lines of each kind were withheld since the last call."""
        withheld_by_kind = {
            kind: bucket.withheld for kind, bucket in self._buckets.items() if bucket.withheld
        }
        for bucket in self._buckets.values():
            bucket.withheld = 0
        return withheld_by_kind


__all__ = ["BURST_S", "LINES_PER_S", "LineBudget", "LineKind"]
