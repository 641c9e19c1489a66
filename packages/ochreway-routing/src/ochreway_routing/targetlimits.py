# SPDX-License-Identifier: Apache-2.0
"""Request rate limits that targets state for all their callers together."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from ochreway_routing.incarnations import is_older_incarnation

MAX_TARGETS = 4096
"""Bound on the targets remembered; the design size is 3,000 listed targets."""


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """Hold the limit that one incarnation of a target stated, and when; None states no limit."""

    limit_per_s: float | None
    received_s: float
    born_ms: int | None = None


class TargetLimits:
    """Keep the newest notice of each target that states or stated a limit.

    The end of a limit is kept too: an entry that stopped sending because of the limit learns of
    its end from other entries only, and must not accept an older notice after it.
    """

    def __init__(self, max_targets: int = MAX_TARGETS) -> None:
        """Start without limits; remember at most ``max_targets`` targets."""
        self._max_targets = max_targets
        self._notices: dict[str, LimitNotice] = {}
        self._changed_s: dict[str, float] = {}

    def record_limit(self, target: str, notice: LimitNotice, now_s: float | None = None) -> bool:
        """Record a notice if it is newer than the known one; return whether the limit changed.

        Args:
            target: the target that stated the limit.
            notice: what it stated.
            now_s: when this process learned of it, which is later than ``notice.received_s`` if
                another entry received it; None if they are the same.
        """
        known = self._notices.get(target)
        if known is None and notice.limit_per_s is None:
            return False
        if known is not None and not _is_newer(notice, known):
            return False
        self._notices.pop(target, None)
        self._evict()
        self._notices[target] = notice
        if known is not None and known.limit_per_s == notice.limit_per_s:
            return False
        self._changed_s.pop(target, None)
        self._changed_s[target] = notice.received_s if now_s is None else now_s
        return True

    def _evict(self) -> None:
        """Remove ended limits and, if that is not enough, the oldest entries."""
        if len(self._notices) < self._max_targets:
            return
        self._notices = {
            n: each for n, each in self._notices.items() if each.limit_per_s is not None
        }
        while len(self._notices) >= self._max_targets:
            del self._notices[next(iter(self._notices))]
        self._changed_s = {n: at for n, at in self._changed_s.items() if n in self._notices}

    def limit_per_s(self, target: str, born_ms: int | None = None) -> float | None:
        """Return the limit in force for an incarnation of a target, or None without one."""
        notice = self._notices.get(target)
        if notice is None or is_older_incarnation(notice.born_ms, born_ms):
            return None
        return notice.limit_per_s

    def latest_notice(self, target: str) -> LimitNotice | None:
        """Return a target's newest notice, or None without one."""
        return self._notices.get(target)

    def targets(self) -> list[str]:
        """Return the targets with a known notice, oldest first."""
        return list(self._notices)

    def changed_since(self, since_s: float) -> list[str]:
        """Return the targets whose limit changed since a time, oldest change first."""
        for target in list(itertools.takewhile(self._changed_before(since_s), self._changed_s)):
            del self._changed_s[target]
        return list(self._changed_s)

    def _changed_before(self, since_s: float) -> Callable[[str], bool]:
        return lambda target: self._changed_s[target] < since_s

    def limited_count(self) -> int:
        """Return how many targets have a limit."""
        return sum(notice.limit_per_s is not None for notice in self._notices.values())


def _is_newer(notice: LimitNotice, known: LimitNotice) -> bool:
    if is_older_incarnation(known.born_ms, notice.born_ms):
        return True
    return (
        not is_older_incarnation(notice.born_ms, known.born_ms)
        and notice.received_s >= known.received_s
    )


__all__ = ["MAX_TARGETS", "LimitNotice", "TargetLimits"]
