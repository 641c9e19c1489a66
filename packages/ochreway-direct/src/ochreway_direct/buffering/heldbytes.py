# SPDX-License-Identifier: Apache-2.0
"""Sum of what an entry holds for callers, and whose answers are ended to bound it."""

import math
from collections import Counter
from collections.abc import Callable

from ochreway_core.ids import OrganisationId
from ochreway_direct.buffering.heldlimits import HeldLimits
from ochreway_direct.buffering.unreadanswers import UnreadAnswers

AGE_RATIO = 1.25
"""Readers are equally slow while their ages differ by less than this ratio.

A fixed difference would end callers that read beside those that do not, while all are young.
"""
MIN_AGE_S = 0.01
"""Ages below this count as equal."""
LOW_SHARE = 0.9
"""Share of the limit down to which answers are ended, so that not each event ends one."""
StalledSince = Callable[[float, float], float]
"""Returns for how long this process stalled between two times, in seconds."""


def never_stalled(since_s: float, now_s: float) -> float:
    """Return the stalled time of a process that does not measure its stalls."""
    del since_s, now_s
    return 0.0


class HeldBytes:
    """Sum up bodies and unread answers, and choose the readers to be ended.

    A byte is as old as the time that this process ran since it was held: callers cannot read while
    the process stalls.
    """

    def __init__(self, limits: HeldLimits, stalled_since: StalledSince = never_stalled) -> None:
        self.limits = limits
        self.body_bytes = 0
        self.unread_bytes = 0
        self.admitted_share = 1.0
        self._stalled_since = stalled_since

    @property
    def total_bytes(self) -> int:
        """Return the sum of bodies and unread answers."""
        return self.body_bytes + self.unread_bytes

    def excess_bytes(self, more_bytes: int = 0) -> int:
        """Return by how much the sum would be above its limit with more bytes; 0 if it fits."""
        return max(0, self.total_bytes + more_bytes - self.limits.total_bytes)

    def admits(self, more_bytes: int) -> bool:
        """Return whether a request body may take more bytes beside the bodies that are held."""
        return self.body_bytes + more_bytes <= self.admitted_share * self.limits.request_bytes

    def update(
        self, reader: UnreadAnswers, added_bytes: int, held_bytes: int, now_s: float
    ) -> None:
        """Record that bytes were added for a reader, after which ``held_bytes`` are unread."""
        self.unread_bytes += held_bytes - reader.held_bytes
        reader.update(added_bytes, held_bytes, now_s)

    def age_s(self, reader: UnreadAnswers, now_s: float) -> float:
        """Return the age of the oldest unread byte of a reader."""
        return self._ran_s(reader.oldest_s, now_s)

    def stopped(self, readers: list[UnreadAnswers], now_s: float) -> list[UnreadAnswers]:
        """Return the readers that have read nothing of what is held for them for too long."""
        limit_s = self.limits.slow_reader_s
        return [
            each
            for each in readers
            if each.held_bytes and self._ran_s(each.moved_s, now_s) > limit_s
        ]

    def to_end(self, readers: list[UnreadAnswers], now_s: float) -> list[UnreadAnswers]:
        """Return the readers to be ended, in order, as the sum is above its limit."""
        if not self.excess_bytes():
            return []
        low_bytes = int(LOW_SHARE * self.limits.total_bytes)
        return self._slowest(readers, self.total_bytes - low_bytes, now_s)

    def to_end_for(
        self, more_bytes: int, readers: list[UnreadAnswers], min_behind_s: float, now_s: float
    ) -> list[UnreadAnswers] | None:
        """Return the readers to be ended so that a body fits, or None if it cannot fit.

        Only readers whose oldest unread byte has at least an age of ``min_behind_s`` give way.
        """
        excess_bytes = self.excess_bytes(more_bytes)
        if not excess_bytes:
            return []
        behind = [each for each in readers if self.age_s(each, now_s) >= min_behind_s]
        if sum(each.held_bytes for each in behind) < excess_bytes:
            return None
        return self._slowest(behind, excess_bytes, now_s)

    def _slowest(
        self, readers: list[UnreadAnswers], needed_bytes: int, now_s: float
    ) -> list[UnreadAnswers]:
        """Return the slowest readers that hold the needed bytes together, the slowest first."""
        holding = [each for each in readers if each.held_bytes]
        ages_s = {each: self.age_s(each, now_s) for each in holding}
        oldest_s = max(ages_s.values(), default=0.0)
        by_organisation: Counter[OrganisationId | None] = Counter()
        for each in holding:
            by_organisation[each.organisation] += each.held_bytes

        def order(reader: UnreadAnswers) -> tuple[int, int, int]:
            return (
                _steps_younger(ages_s[reader], oldest_s),
                -by_organisation[reader.organisation],
                -reader.held_bytes,
            )

        chosen: list[UnreadAnswers] = []
        for each in sorted(holding, key=order):
            if needed_bytes <= 0:
                break
            chosen.append(each)
            needed_bytes -= each.held_bytes
        return chosen

    def _ran_s(self, since_s: float, now_s: float) -> float:
        return now_s - since_s - self._stalled_since(since_s, now_s)


def _steps_younger(age_s: float, oldest_s: float) -> int:
    """Return by how many steps of the age ratio an age is below the oldest one."""
    ratio = max(oldest_s, MIN_AGE_S) / max(age_s, MIN_AGE_S)
    return int(math.log(ratio, AGE_RATIO))


__all__ = ["HeldBytes", "StalledSince", "never_stalled"]
