# SPDX-License-Identifier: Apache-2.0
"""What targets asked of whoever sends to them: to stay away for a while, or for good."""

import math
from dataclasses import dataclass

from ochreway_core.targetnotice import TargetNotice
from ochreway_routing.lives import older_life

KNOWN_AT_MOST = 4096
"""Of how many targets something is kept: more than are listed at the size designed for, 3,000."""


@dataclass(slots=True)
class _Word:
    """Hold what one life of a target asked for; one that leaves does so for good."""

    born_ms: int | None
    until_s: float
    leaving: bool


class Backoffs:
    """Keep what the head of an answer says beyond the request that it answers.

    A target that turns all away at once has nothing under way, so without this it looks like the
    emptiest place there is, and draws requests that others would have served. It costs a look into
    a table for each place that a choice is made among.

    A target is named by its id or address, and by when it was born where that is known: what one
    life asked for does not hold for the next one, and a word of an older life counts for nothing.
    """

    def __init__(self, known_at_most: int = KNOWN_AT_MOST) -> None:
        """Start with nothing asked for; of so many targets at the most something is kept."""
        self._known_at_most = known_at_most
        self._words: dict[str, _Word] = {}

    def take(
        self, target: str, notice: TargetNotice, now_s: float, born_ms: int | None = None
    ) -> bool:
        """Take what a target said at a time; return whether it asked for more than before.

        A shorter time than an earlier answer named takes nothing back: each asks for its own.
        """
        until_s = now_s + (notice.backoff_s or 0.0)
        if until_s <= now_s and not notice.leaving:
            return False
        known = self._words.get(target)
        if known is None or older_life(known.born_ms, born_ms):
            self._words.pop(target, None)
            self._make_room(now_s)
            self._words[target] = _Word(born_ms, until_s, notice.leaving)
            return True
        if older_life(born_ms, known.born_ms):
            return False
        news = (notice.leaving and not known.leaving) or known.until_s <= now_s < until_s
        known.until_s = max(known.until_s, until_s)
        known.leaving = known.leaving or notice.leaving
        return news

    def _make_room(self, now_s: float) -> None:
        """Forget what is over and, if that is not enough, what was heard first."""
        if len(self._words) < self._known_at_most:
            return
        self._words = {
            name: word for name, word in self._words.items() if word.leaving or word.until_s > now_s
        }
        while len(self._words) >= self._known_at_most:
            del self._words[next(iter(self._words))]

    def wait_s(self, target: str, now_s: float, born_ms: int | None = None) -> float:
        """Return for how long a target is to get no request: 0 if it may, infinite if it leaves."""
        word = self._word(target, born_ms)
        if word is None:
            return 0.0
        return math.inf if word.leaving else max(0.0, word.until_s - now_s)

    def backed_off(self, target: str, now_s: float, born_ms: int | None = None) -> bool:
        """Tell whether a target, leaving or not, has asked to get nothing at all now."""
        word = self._word(target, born_ms)
        return word is not None and now_s < word.until_s

    def leaving(self, target: str, born_ms: int | None = None) -> bool:
        """Tell whether a target has said that it leaves."""
        word = self._word(target, born_ms)
        return word is not None and word.leaving

    def _word(self, target: str, born_ms: int | None) -> _Word | None:
        word = self._words.get(target)
        return None if word is None or older_life(word.born_ms, born_ms) else word

    def number_backed_off(self, now_s: float) -> int:
        """Return how many targets are left alone for a while."""
        return sum(now_s < word.until_s for word in self._words.values())

    def number_leaving(self) -> int:
        """Return how many targets have said that they leave."""
        return sum(word.leaving for word in self._words.values())


__all__ = ["KNOWN_AT_MOST", "Backoffs"]
