# SPDX-License-Identifier: Apache-2.0
"""How many requests a second targets take from all callers together, as they named it."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from ochreway_routing.lives import older_life

KNOWN_AT_MOST = 4096
"""Of how many targets something is kept: more than are listed at the size designed for, 3,000."""


@dataclass(frozen=True, slots=True)
class LimitWord:
    """Hold what one life of a target named, and when; without a limit it said that it has none."""

    limit_per_s: float | None
    heard_s: float
    born_ms: int | None = None


class TargetLimits:
    """Keep the newest word of each target that named a limit, for as long as it says so.

    That a limit is over is kept too: whoever was sent away by it hears of its end from others
    only, and must not take an older word for a newer one.
    """

    def __init__(self, known_at_most: int = KNOWN_AT_MOST) -> None:
        """Start with no limits; of so many targets at the most something is kept."""
        self._known_at_most = known_at_most
        self._words: dict[str, LimitWord] = {}
        self._changed_s: dict[str, float] = {}

    def take(self, target: str, word: LimitWord, now_s: float | None = None) -> bool:
        """Take a word if it is newer than the one known; return whether another limit holds.

        It is taken ``now_s``, when it was heard or, from another entry, later.
        """
        known = self._words.get(target)
        if known is None and word.limit_per_s is None:
            return False
        if known is not None and not _newer(word, known):
            return False
        self._words.pop(target, None)
        self._make_room()
        self._words[target] = word
        if known is not None and known.limit_per_s == word.limit_per_s:
            return False
        self._changed_s.pop(target, None)
        self._changed_s[target] = word.heard_s if now_s is None else now_s
        return True

    def _make_room(self) -> None:
        """Forget limits that are over and, if that is not enough, what was heard first."""
        if len(self._words) < self._known_at_most:
            return
        self._words = {n: each for n, each in self._words.items() if each.limit_per_s is not None}
        while len(self._words) >= self._known_at_most:
            del self._words[next(iter(self._words))]
        self._changed_s = {n: at for n, at in self._changed_s.items() if n in self._words}

    def limit_per_s(self, target: str, born_ms: int | None = None) -> float | None:
        """Return the limit that holds for a life of a target, or None when there is none."""
        word = self._words.get(target)
        if word is None or older_life(word.born_ms, born_ms):
            return None
        return word.limit_per_s

    def word(self, target: str) -> LimitWord | None:
        """Return the newest word of a target."""
        return self._words.get(target)

    def targets(self) -> list[str]:
        """Return the targets of which a word is known, those heard last at the end."""
        return list(self._words)

    def changed(self, since_s: float) -> list[str]:
        """Return the targets whose limit changed since a time, at the end those that did last."""
        for target in list(itertools.takewhile(self._before(since_s), self._changed_s)):
            del self._changed_s[target]
        return list(self._changed_s)

    def _before(self, since_s: float) -> Callable[[str], bool]:
        return lambda target: self._changed_s[target] < since_s

    def number(self) -> int:
        """Return how many targets have a limit."""
        return sum(word.limit_per_s is not None for word in self._words.values())


def _newer(word: LimitWord, known: LimitWord) -> bool:
    if older_life(known.born_ms, word.born_ms):
        return True
    return not older_life(word.born_ms, known.born_ms) and word.heard_s >= known.heard_s


__all__ = ["KNOWN_AT_MOST", "LimitWord", "TargetLimits"]
