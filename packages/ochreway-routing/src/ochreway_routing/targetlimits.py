# SPDX-License-Identifier: Apache-2.0
"""How many requests a second targets take from all callers together, as they named it."""

from collections.abc import Iterable
from dataclasses import dataclass

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

    def take(self, target: str, word: LimitWord) -> bool:
        """Take a word if it is newer than the one known; return whether another limit holds."""
        known = self._words.get(target)
        if known is None and word.limit_per_s is None:
            return False
        if known is not None and not _newer(word, known):
            return False
        self._words.pop(target, None)
        self._make_room()
        self._words[target] = word
        return known is None or known.limit_per_s != word.limit_per_s

    def _make_room(self) -> None:
        """Forget limits that are over and, if that is not enough, what was heard first."""
        if len(self._words) < self._known_at_most:
            return
        self._words = {n: each for n, each in self._words.items() if each.limit_per_s is not None}
        while len(self._words) >= self._known_at_most:
            del self._words[next(iter(self._words))]

    def limit_per_s(self, target: str, born_ms: int | None = None) -> float | None:
        """Return the limit that holds for a life of a target, or None when there is none."""
        word = self._words.get(target)
        if word is None or _older_life(word.born_ms, born_ms):
            return None
        return word.limit_per_s

    def words(self) -> Iterable[tuple[str, LimitWord]]:
        """Return the newest word of each target, those heard last at the end."""
        return self._words.items()

    def number(self) -> int:
        """Return how many targets have a limit."""
        return sum(word.limit_per_s is not None for word in self._words.values())


def _newer(word: LimitWord, known: LimitWord) -> bool:
    if _older_life(known.born_ms, word.born_ms):
        return True
    return not _older_life(word.born_ms, known.born_ms) and word.heard_s >= known.heard_s


def _older_life(born_ms: int | None, than_ms: int | None) -> bool:
    """Tell whether one life is over by another; one of which the birth is not known may be any."""
    return born_ms is not None and than_ms is not None and born_ms < than_ms


__all__ = ["KNOWN_AT_MOST", "LimitWord", "TargetLimits"]
