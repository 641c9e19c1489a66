# SPDX-License-Identifier: Apache-2.0
"""The targets that crashed under requests with one cause."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ochreway_core.crashsighting import CrashSighting, SeenCrash
from ochreway_core.ids import CauseId, InstanceId

FATAL_CRASHES = 3
"""How many crashes without a sound run between make a cause count as fatal.

Each crash costs all callers of a target, so fewer would be better. But the callers of a lost group
meet again at the next one, so most requests that were in flight at two crashes are not the cause.
"""
MAX_CRASHES = 8
"""Bound on the crashes kept for a cause; the newest are."""
SAME_CRASH_WINDOW_S = 1.5
"""Within what time two reports of a target's crash mean the same crash.

A target takes some seconds to restart; reports of its crash are in transit for less than one.
"""
SIMULTANEOUS_S = 0.1
"""Crashes closer together than this count as one for a prompt part.

A rack's loss ends many targets at once, and requests at all of them may share a part.
"""
KNOWN_SOUND_S = 60.0
"""How long before its first crash a cause may have run soundly to be known as sound."""
NEVER_S = float("-inf")


@dataclass(frozen=True, slots=True)
class Crash:
    """Name a target that crashed, and when, on this process's steady clock.

    An ``approximate`` one is any crash of its target, until an exact time is known. One
    ``under_trial`` crashed when a request with the cause was sent there on trial.
    """

    target: InstanceId
    at_s: float
    approximate: bool = False
    under_trial: bool = False


@dataclass(slots=True)
class CrashRecord:
    """Hold the newest crashes under a cause since its last sound run."""

    last_request_s: float
    crashes: list[Crash] = field(default_factory=list)
    cleared_s: float = NEVER_S
    trial_s: float = NEVER_S

    @property
    def suspicious(self) -> bool:
        """Return whether enough targets crashed for the cause to be fatal."""
        return len(self.crashes) >= FATAL_CRASHES

    @property
    def known_sound(self) -> bool:
        """Return whether the cause ran soundly shortly before its first crash."""
        return bool(self.crashes) and self.crashes[0].at_s - self.cleared_s < KNOWN_SOUND_S

    def add(self, crash: Crash) -> bool:
        """Add a crash; return whether it is a new one."""
        if crash.at_s <= self.cleared_s:
            return False
        same = [each for each in self.crashes if _is_same_crash(crash, each)]
        if any(crash.approximate or not each.approximate for each in same):
            return crash.under_trial and self._mark_under_trial(same)
        known = [*(each for each in self.crashes if each not in same), crash]
        self.crashes = sorted(known, key=lambda each: (each.at_s, each.target))[-MAX_CRASHES:]
        self.last_request_s = max(self.last_request_s, crash.at_s)
        return crash in self.crashes and not same

    def _mark_under_trial(self, reported: list[Crash]) -> bool:
        """Record that known crashes were under trial; return whether that is new."""
        marked = [replace(each, under_trial=True) for each in reported]
        others = [each for each in self.crashes if each not in reported]
        self.crashes = sorted([*others, *marked], key=lambda each: (each.at_s, each.target))
        return marked != reported

    def clear(self, at_s: float) -> bool:
        """Remove the crashes up to a sound run; return whether that is new."""
        is_new = at_s > self.cleared_s + SAME_CRASH_WINDOW_S
        self.cleared_s = max(self.cleared_s, at_s)
        kept = [crash for crash in self.crashes if crash.at_s > self.cleared_s]
        is_new = is_new or len(kept) < len(self.crashes)
        self.crashes = kept
        return is_new

    def start_trial(self, at_s: float) -> bool:
        """Record that the cause was sent on trial; return whether that is new."""
        is_new = at_s > self.trial_s + SAME_CRASH_WINDOW_S
        self.trial_s = max(self.trial_s, at_s)
        return is_new

    def to_sighting(self, cause: CauseId, now_s: float) -> CrashSighting:
        """Return what to send to other processes."""
        crashes = tuple(
            SeenCrash(each.target, now_s - each.at_s, each.approximate, each.under_trial)
            for each in self.crashes
        )
        return CrashSighting(
            cause,
            crashes,
            now_s - self.last_request_s,
            _age_s(self.cleared_s, now_s),
            _age_s(self.trial_s, now_s),
        )


def _age_s(at_s: float, now_s: float) -> float | None:
    return now_s - at_s if at_s > NEVER_S else None


def _is_same_crash(one: Crash, other: Crash) -> bool:
    near = abs(one.at_s - other.at_s) < SAME_CRASH_WINDOW_S
    return one.target == other.target and (near or one.approximate or other.approximate)


def count_moments(times_s: Iterable[float]) -> int:
    """Return at how many different times targets crashed, given rising times."""
    count, last_s = 0, NEVER_S
    for at_s in times_s:
        if at_s - last_s >= SIMULTANEOUS_S:
            count, last_s = count + 1, at_s
    return count


__all__ = [
    "FATAL_CRASHES",
    "KNOWN_SOUND_S",
    "MAX_CRASHES",
    "NEVER_S",
    "SAME_CRASH_WINDOW_S",
    "SIMULTANEOUS_S",
    "Crash",
    "CrashRecord",
    "count_moments",
]
