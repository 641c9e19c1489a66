# SPDX-License-Identifier: Apache-2.0
"""What targets asked of whoever sends to them: to stay away for a while, or for good."""

import math
from dataclasses import dataclass

from ochreway_core.targetnotice import TargetNotice
from ochreway_routing.incarnations import is_older_incarnation

MAX_TARGETS = 4096
"""Of how many targets something is kept: more than are listed at the size designed for, 3,000."""


@dataclass(slots=True)
class _TargetState:
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
    life asked for does not hold for the next one, and a state of an older life counts for nothing.
    """

    def __init__(self, max_targets: int = MAX_TARGETS) -> None:
        """Start with nothing asked for; of so many targets at the most something is kept."""
        self._max_targets = max_targets
        self._states: dict[str, _TargetState] = {}

    def record_notice(
        self, target: str, notice: TargetNotice, now_s: float, born_ms: int | None = None
    ) -> bool:
        """Take what a target said at a time; return whether it asked for more than before.

        A shorter time than an earlier answer named takes nothing back: each asks for its own.
        """
        until_s = now_s + (notice.backoff_s or 0.0)
        if until_s <= now_s and not notice.leaving:
            return False
        known = self._states.get(target)
        if known is None or is_older_incarnation(known.born_ms, born_ms):
            self._states.pop(target, None)
            self._evict(now_s)
            self._states[target] = _TargetState(born_ms, until_s, notice.leaving)
            return True
        if is_older_incarnation(born_ms, known.born_ms):
            return False
        is_new = (notice.leaving and not known.leaving) or known.until_s <= now_s < until_s
        known.until_s = max(known.until_s, until_s)
        known.leaving = known.leaving or notice.leaving
        return is_new

    def _evict(self, now_s: float) -> None:
        """Forget what is over and, if that is not enough, what was heard first."""
        if len(self._states) < self._max_targets:
            return
        self._states = {
            name: state
            for name, state in self._states.items()
            if state.leaving or state.until_s > now_s
        }
        while len(self._states) >= self._max_targets:
            del self._states[next(iter(self._states))]

    def wait_s(self, target: str, now_s: float, born_ms: int | None = None) -> float:
        """Return for how long a target is to get no request: 0 if it may, infinite if it leaves."""
        state = self._current_state(target, born_ms)
        if state is None:
            return 0.0
        return math.inf if state.leaving else max(0.0, state.until_s - now_s)

    def backed_off(self, target: str, now_s: float, born_ms: int | None = None) -> bool:
        """Tell whether a target, leaving or not, has asked to get nothing at all now."""
        state = self._current_state(target, born_ms)
        return state is not None and now_s < state.until_s

    def leaving(self, target: str, born_ms: int | None = None) -> bool:
        """Tell whether a target has said that it leaves."""
        state = self._current_state(target, born_ms)
        return state is not None and state.leaving

    def _current_state(self, target: str, born_ms: int | None) -> _TargetState | None:
        state = self._states.get(target)
        return None if state is None or is_older_incarnation(state.born_ms, born_ms) else state

    def number_backed_off(self, now_s: float) -> int:
        """Return how many targets are left alone for a while."""
        return sum(now_s < state.until_s for state in self._states.values())

    def number_leaving(self) -> int:
        """Return how many targets have said that they leave."""
        return sum(state.leaving for state in self._states.values())


__all__ = ["MAX_TARGETS", "Backoffs"]
