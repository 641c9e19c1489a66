# SPDX-License-Identifier: Apache-2.0
"""Which causes the crashes of targets are put down to, and for how long these are held.

Each crash has many possible causes: all that was in flight at the target. The fewest causes that
explain the crashes are taken, the one behind most crashes first. What only coincided with crashes
that a cause explains is not held for them. Causes that were in flight at exactly the same crashes
cannot be told apart yet and are held together: requests with all of them are refused, others are
tried one at a time. So are requests with a part that may become a cause after one more crash, or
that would explain the crashes of another one.
"""

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ochreway_core.cause import is_part
from ochreway_core.ids import CauseId
from ochreway_routing.crashrecord import (
    FATAL_CRASHES,
    NEVER_S,
    SAME_CRASH_WINDOW_S,
    Crash,
    CrashRecord,
    count_moments,
)

CrashKey = tuple[str, int]
"""A target, and the number of its crash."""

MIN_CRASHES = 2
"""Crashes from which on a cause is considered: with one, it explains too little."""
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
PART_HOLD_S = (10.0, *HOLD_S)
"""The same for a part of a prompt: many callers may share it, if it is held by mistake."""
KNOWN_SOUND_HOLD_S = (5.0, *HOLD_S)
"""The same for a part that was known to be sound, which most likely is shared by many."""


@dataclass(frozen=True, slots=True)
class CrashHold:
    """Name causes that cannot be told apart, and until when requests with all are refused.

    Attributes:
        until_s: end of the time in which they are refused; in the past if they are only tried one
            at a time.
        rivals: parts that explain the same crashes together, each of them some, if there are any.
    """

    causes: frozenset[CauseId]
    until_s: float
    rivals: frozenset[CauseId] = frozenset()

    @property
    def is_fatal(self) -> bool:
        """Return whether the causes are put down as fatal, and not only suspected."""
        return self.until_s > NEVER_S

    def is_firm_for(self, causes: frozenset[CauseId]) -> bool:
        """Return whether nothing would be learned if a request with these causes were sent."""
        explained = not self.rivals or not self.rivals.isdisjoint(causes)
        return self.causes <= causes and explained


@dataclass(slots=True)
class _Candidate:
    """A cause with the crashes that are not explained by another one yet."""

    cause: CauseId
    known_sound: bool
    crashes: dict[CrashKey, Crash]
    is_rival: bool
    """Whether it may have caused crashes that are put down to another cause."""
    all_crashes: int
    """Number of its crashes, those that another cause explains among them."""

    def explain(self, key: CrashKey, by: "_Candidate") -> None:
        """Put a crash down to a cause; no other one explains what crashed a target on trial."""
        crash = self.crashes.get(key)
        if crash is not None and (self is by or not crash.under_trial):
            del self.crashes[key]

    @property
    def moments(self) -> int:
        """Number of crashes that count; a request as a whole is at one target at a time."""
        if not is_part(self.cause):
            return len(self.crashes)
        return count_moments(sorted(crash.at_s for crash in self.crashes.values()))

    @property
    def eligible(self) -> bool:
        if not self.known_sound:
            return self.moments >= FATAL_CRASHES or self.failed_trial
        times_s = [crash.at_s for crash in self.crashes.values()]
        return (
            self.moments >= FATAL_CRASHES_KNOWN_SOUND
            and max(times_s) - min(times_s) >= MIN_SPAN_KNOWN_SOUND_S
        )

    @property
    def failed_trial(self) -> bool:
        """Whether it crashed a target on trial, after crashes that may have another cause."""
        return self.all_crashes >= FATAL_CRASHES and any(
            crash.under_trial for crash in self.crashes.values()
        )

    @property
    def last_s(self) -> float:
        return max((crash.at_s for crash in self.crashes.values()), default=0.0)

    @property
    def rank(self) -> tuple[int, bool, float, CauseId]:
        """Sort key: the cause behind most crashes first, then what was never sound."""
        return -self.moments, self.known_sound, -self.last_s, self.cause


def find_holds(records: Mapping[CauseId, CrashRecord]) -> list[CrashHold]:
    """Return the causes to hold, given the records of those with ``MIN_CRASHES`` or more."""
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
        holds.append(_hold(candidate, by_crash))
        for key in list(candidate.crashes):
            for each in by_crash[key]:
                each.explain(key, candidate)
    return holds + _suspected(holds, candidates.values())


def _suspected(holds: list[CrashHold], candidates: Iterable[_Candidate]) -> list[CrashHold]:
    """Return holds of the parts that are only tried one at a time."""
    held = {cause for hold in holds for cause in hold.causes}
    suspected = {cause for hold in holds for cause in hold.rivals}
    suspected |= {
        each.cause for each in candidates if each.is_rival and each.all_crashes >= MIN_CRASHES
    }
    return [CrashHold(frozenset((cause,)), NEVER_S) for cause in sorted(suspected - held)]


def _hold(strongest: _Candidate, by_crash: Mapping[CrashKey, list[_Candidate]]) -> CrashHold:
    """Return the hold of a cause and of those that were in flight at the same crashes."""
    keys = strongest.crashes.keys()
    same = [each for each in by_crash[next(iter(keys))] if each.crashes.keys() == keys]
    # What was sound shortly before is not held beside what never was.
    members = [each for each in same if not each.known_sound]
    members = members or [each for each in same if each.eligible]
    causes = frozenset(each.cause for each in members)
    return CrashHold(causes, _hold_until_s(members[0]), _rivals(causes, keys, by_crash))


def _rivals(
    causes: frozenset[CauseId],
    keys: Iterable[CrashKey],
    by_crash: Mapping[CrashKey, list[_Candidate]],
) -> frozenset[CauseId]:
    """Return the parts that explain all crashes of a hold as well, or none.

    A request that crashed as many targets itself has none: it is not sent to one more to learn.
    """
    if not all(is_part(cause) for cause in causes):
        return frozenset()
    rivals: set[CauseId] = set()
    for key in keys:
        at_crash = {
            each.cause
            for each in by_crash[key]
            if each.is_rival and key in each.crashes and each.cause not in causes
        }
        if not at_crash:
            return frozenset()
        rivals |= at_crash
    return frozenset(rivals)


def _hold_until_s(candidate: _Candidate) -> float:
    needed = FATAL_CRASHES_KNOWN_SOUND if candidate.known_sound else FATAL_CRASHES
    failed_trials = max(0, candidate.moments - needed)
    holds_s: tuple[float, ...] = HOLD_S
    if is_part(candidate.cause):
        holds_s = KNOWN_SOUND_HOLD_S if candidate.known_sound else PART_HOLD_S
    return candidate.last_s + holds_s[min(failed_trials, len(holds_s) - 1)]


def _candidates(records: Mapping[CauseId, CrashRecord]) -> dict[CauseId, _Candidate]:
    numbers = _crash_numbers(records)
    return {
        cause: _Candidate(
            cause,
            record.known_sound,
            {(c.target, numbers[c.target, c.at_s]): c for c in record.crashes},
            is_part(cause) and not record.known_sound,
            count_moments(crash.at_s for crash in record.crashes),
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
    "HOLD_S",
    "KNOWN_SOUND_HOLD_S",
    "MIN_CRASHES",
    "MIN_SPAN_KNOWN_SOUND_S",
    "PART_HOLD_S",
    "CrashHold",
    "find_holds",
]
