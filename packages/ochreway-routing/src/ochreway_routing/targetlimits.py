# SPDX-License-Identifier: Apache-2.0
"""How many requests a second targets take from all callers together, as they named it."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from ochreway_routing.incarnations import is_older_incarnation

MAX_TARGETS = 4096
"""Of how many targets something is kept: more than are listed at the size designed for, 3,000."""


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """Hold what one life of a target named, and when; without a limit it said that it has none."""

    limit_per_s: float | None
    received_s: float
    born_ms: int | None = None


class TargetLimits:
    """Keep the newest notice of each target that named a limit, for as long as it says so.

    That a limit is over is kept too: whoever was sent away by it hears of its end from others
    only, and must not take an older notice for a newer one.
    """

    def __init__(self, max_targets: int = MAX_TARGETS) -> None:
        """Start with no limits; of so many targets at the most something is kept."""
        self._max_targets = max_targets
        self._notices: dict[str, LimitNotice] = {}
        self._changed_s: dict[str, float] = {}

    def record_limit(self, target: str, notice: LimitNotice, now_s: float | None = None) -> bool:
        """Take a notice if it is newer than the one known; return whether another limit holds.

        It is taken ``now_s``, when it was heard or, from another entry, later.
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
        """Forget limits that are over and, if that is not enough, what was heard first."""
        if len(self._notices) < self._max_targets:
            return
        self._notices = {
            n: each for n, each in self._notices.items() if each.limit_per_s is not None
        }
        while len(self._notices) >= self._max_targets:
            del self._notices[next(iter(self._notices))]
        self._changed_s = {n: at for n, at in self._changed_s.items() if n in self._notices}

    def limit_per_s(self, target: str, born_ms: int | None = None) -> float | None:
        """Return the limit that holds for a life of a target, or None when there is none."""
        notice = self._notices.get(target)
        if notice is None or is_older_incarnation(notice.born_ms, born_ms):
            return None
        return notice.limit_per_s

    def latest_notice(self, target: str) -> LimitNotice | None:
        """Return the newest notice of a target."""
        return self._notices.get(target)

    def targets(self) -> list[str]:
        """Return the targets of which a notice is known, those heard last at the end."""
        return list(self._notices)

    def changed_since(self, since_s: float) -> list[str]:
        """Return the targets whose limit changed since a time, at the end those that did last."""
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
