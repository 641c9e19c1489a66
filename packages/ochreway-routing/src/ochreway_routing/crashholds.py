# SPDX-License-Identifier: Apache-2.0
"""Which causes the crashes of targets are put down to, and for how long these are held.

Each crash has many possible causes: all that was in flight at the target. The fewest causes that
explain the crashes are taken, the one behind most crashes first. What only coincided with crashes
that a cause explains is not held for them. Causes that were in flight at exactly the same crashes
cannot be told apart yet and are held together: requests with all of them are refused, others are
tried one at a time.
"""

import heapq
from collections.abc import Mapping
from dataclasses import dataclass

from ochreway_core.cause import is_part
from ochreway_core.ids import CauseId
from ochreway_routing.crashrecord import (
    FATAL_CRASHES,
    SAME_CRASH_WINDOW_S,
    Crash,
    CrashRecord,
    count_moments,
)

CrashKey = tuple[str, int]
"""A target, and the number of its crash."""

FATAL_CRASHES_KNOWN_SOUND = FATAL_CRASHES + 1
"""Crashes that it takes for a cause that was known to be sound before the first of them.

It is often shared by many requests, so it was in flight at any target that ended, whatever for.
"""
MIN_SPAN_KNOWN_SOUND_S = 1.0
"""Time from the first to the last of these, within which requests at other targets clear it."""
HOLD_S = (60.0, 240.0, 600.0)
"""How long a cause is refused after its last crash, by the number of trials that failed.

No refusal is permanent, as what crashed the targets may have been mended.
"""
FIRST_HOLD_KNOWN_SOUND_S = 5.0
"""First hold of a cause that was known to be sound: many callers may wait for its trial."""


@dataclass(frozen=True, slots=True)
class CrashHold:
    """Name causes that cannot be told apart, and until when requests with all are refused."""

    causes: frozenset[CauseId]
    until_s: float


@dataclass(slots=True)
class _Candidate:
    """A cause with the crashes that are not explained by another one yet."""

    cause: CauseId
    known_sound: bool
    crashes: dict[CrashKey, Crash]

    @property
    def moments(self) -> int:
        """Number of crashes that count; a request as a whole is at one target at a time."""
        if not is_part(self.cause):
            return len(self.crashes)
        return count_moments(sorted(crash.at_s for crash in self.crashes.values()))

    @property
    def eligible(self) -> bool:
        if not self.known_sound:
            return self.moments >= FATAL_CRASHES
        times_s = [crash.at_s for crash in self.crashes.values()]
        return (
            self.moments >= FATAL_CRASHES_KNOWN_SOUND
            and max(times_s) - min(times_s) >= MIN_SPAN_KNOWN_SOUND_S
        )

    @property
    def last_s(self) -> float:
        return max((crash.at_s for crash in self.crashes.values()), default=0.0)

    @property
    def rank(self) -> tuple[int, bool, float, CauseId]:
        """Sort key: the cause behind most crashes first, then what was never sound."""
        return -self.moments, self.known_sound, -self.last_s, self.cause


def find_holds(records: Mapping[CauseId, CrashRecord]) -> list[CrashHold]:
    """Return the causes to hold, given the records of those with enough crashes."""
    candidates = _candidates(records)
    by_crash: dict[CrashKey, list[_Candidate]] = {}
    for candidate in candidates.values():
        for key in candidate.crashes:
            by_crash.setdefault(key, []).append(candidate)
    # Ranks only fall while crashes are explained, so an entry that is out of date goes back.
    queue = [each.rank for each in candidates.values() if each.eligible]
    heapq.heapify(queue)
    holds = []
    while queue:
        rank = heapq.heappop(queue)
        candidate = candidates[rank[-1]]
        if not candidate.eligible:
            continue
        if candidate.rank != rank:
            heapq.heappush(queue, candidate.rank)
            continue
        holds.append(_hold(candidate, by_crash[next(iter(candidate.crashes))]))
        for key in list(candidate.crashes):
            for each in by_crash[key]:
                each.crashes.pop(key, None)
    return holds


def _hold(strongest: _Candidate, others: list[_Candidate]) -> CrashHold:
    """Return the hold of a cause and of those that were in flight at the same crashes."""
    same = [each for each in others if each.crashes.keys() == strongest.crashes.keys()]
    # What was sound shortly before is not held beside what never was.
    members = [each for each in same if not each.known_sound] or [
        each for each in same if each.eligible
    ]
    return CrashHold(frozenset(each.cause for each in members), _hold_until_s(members[0]))


def _hold_until_s(candidate: _Candidate) -> float:
    needed = FATAL_CRASHES_KNOWN_SOUND if candidate.known_sound else FATAL_CRASHES
    failed_trials = candidate.moments - needed
    if candidate.known_sound and failed_trials == 0:
        return candidate.last_s + FIRST_HOLD_KNOWN_SOUND_S
    return candidate.last_s + HOLD_S[min(failed_trials, len(HOLD_S) - 1)]


def _candidates(records: Mapping[CauseId, CrashRecord]) -> dict[CauseId, _Candidate]:
    numbers = _crash_numbers(records)
    return {
        cause: _Candidate(
            cause,
            record.known_sound,
            {(c.target, numbers[c.target, c.at_s]): c for c in record.crashes},
        )
        for cause, record in records.items()
    }


def _crash_numbers(records: Mapping[CauseId, CrashRecord]) -> dict[tuple[str, float], int]:
    """Return a number for each crash; entries report one at slightly different times."""
    times_s: dict[str, set[float]] = {}
    for record in records.values():
        for crash in record.crashes:
            times_s.setdefault(crash.target, set()).add(crash.at_s)
    numbers = {}
    for target, target_times_s in times_s.items():
        number, begun_s = -1, float("-inf")
        for at_s in sorted(target_times_s):
            if at_s - begun_s >= SAME_CRASH_WINDOW_S:
                number, begun_s = number + 1, at_s
            numbers[target, at_s] = number
    return numbers


__all__ = [
    "FATAL_CRASHES_KNOWN_SOUND",
    "FIRST_HOLD_KNOWN_SOUND_S",
    "HOLD_S",
    "MIN_SPAN_KNOWN_SOUND_S",
    "CrashHold",
    "find_holds",
]
