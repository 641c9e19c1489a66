# SPDX-License-Identifier: Apache-2.0
"""How many lines of each kind a process may write a second."""

from dataclasses import dataclass
from enum import Enum


class LineKind(Enum):
    """Say what a line tells, the more important first."""

    STATE_CHANGE = "belief"
    """The process starts, stops, or believes something else than before."""
    FAILURE = "failure"
    """A request went wrong, or came late."""
    SUCCESS = "success"
    """A request went well."""


LINES_PER_S: dict[LineKind, float] = {
    LineKind.STATE_CHANGE: 100.0,
    LineKind.FAILURE: 40.0,
    LineKind.SUCCESS: 2.0,
}
"""The budgets of one process: with some 250 bytes a line, 35 KB/s at the very most."""
BURST_S = 2.0
"""How much of a budget may be saved up, as failures come in bursts."""


@dataclass(slots=True)
class _Bucket:
    per_s: float
    remaining: float
    last_filled_s: float
    withheld: int = 0


class LineBudget:
    """Allow each kind of line its own rate, and count what it withholds."""

    def __init__(self, now_s: float, lines_per_s: dict[LineKind, float] | None = None) -> None:
        rates = lines_per_s or LINES_PER_S
        self._buckets = {kind: _Bucket(rate, rate * BURST_S, now_s) for kind, rate in rates.items()}

    def allows(self, kind: LineKind, now_s: float) -> bool:
        """Spend a line; return whether there was one."""
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
        """Return how many lines of each kind were withheld since this was last asked."""
        withheld_by_kind = {
            kind: bucket.withheld for kind, bucket in self._buckets.items() if bucket.withheld
        }
        for bucket in self._buckets.values():
            bucket.withheld = 0
        return withheld_by_kind


__all__ = ["BURST_S", "LINES_PER_S", "LineBudget", "LineKind"]
