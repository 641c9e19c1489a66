# SPDX-License-Identifier: Apache-2.0
"""The targets that crashed under one request."""

from dataclasses import dataclass, field

from ochreway_core.crashsighting import CrashSighting, SeenCrash
from ochreway_core.ids import Fingerprint, InstanceId

FATAL_CRASHES = 3
"""How many crashes without a completion make a request count as their cause.

Each crash costs all callers of a target, so fewer would be better. But the callers of a lost group
meet again at the next one, so most requests that were in flight at two crashes are not the cause.
"""
SAME_CRASH_WINDOW_S = 1.5
"""Within what time two reports of a target's crash mean the same crash.

A target takes some seconds to restart; reports of its crash are in transit for less than one.
"""
NEVER_S = float("-inf")


@dataclass(frozen=True, slots=True)
class Crash:
    """Name a target that crashed, and when, on this process's steady clock."""

    target: InstanceId
    at_s: float


@dataclass(slots=True)
class CrashRecord:
    """Hold the newest crashes under a request since its last completion."""

    last_request_s: float
    crashes: list[Crash] = field(default_factory=list)
    cleared_s: float = NEVER_S

    @property
    def fatal(self) -> bool:
        """Return whether enough targets crashed under the request."""
        return len(self.crashes) >= FATAL_CRASHES

    def add(self, crash: Crash) -> bool:
        """Add a crash; return whether it is a new one."""
        if crash.at_s <= self.cleared_s or any(
            _is_same_crash(crash, each) for each in self.crashes
        ):
            return False
        known = [*self.crashes, crash]
        self.crashes = sorted(known, key=lambda each: (each.at_s, each.target))[-FATAL_CRASHES:]
        self.last_request_s = max(self.last_request_s, crash.at_s)
        return crash in self.crashes

    def clear(self, at_s: float) -> bool:
        """Remove the crashes up to a completion; return whether that is new."""
        is_new = at_s > self.cleared_s + SAME_CRASH_WINDOW_S
        self.cleared_s = max(self.cleared_s, at_s)
        kept = [crash for crash in self.crashes if crash.at_s > self.cleared_s]
        is_new = is_new or len(kept) < len(self.crashes)
        self.crashes = kept
        return is_new

    def to_sighting(self, fingerprint: Fingerprint, now_s: float) -> CrashSighting:
        """Return what to send to other processes."""
        crashes = tuple(SeenCrash(each.target, now_s - each.at_s) for each in self.crashes)
        cleared_age_s = now_s - self.cleared_s if self.cleared_s > NEVER_S else None
        return CrashSighting(fingerprint, crashes, now_s - self.last_request_s, cleared_age_s)


def _is_same_crash(one: Crash, other: Crash) -> bool:
    return one.target == other.target and abs(one.at_s - other.at_s) < SAME_CRASH_WINDOW_S


__all__ = ["FATAL_CRASHES", "NEVER_S", "SAME_CRASH_WINDOW_S", "Crash", "CrashRecord"]
