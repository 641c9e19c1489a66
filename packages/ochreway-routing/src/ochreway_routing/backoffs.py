# SPDX-License-Identifier: Apache-2.0
"""Back-offs and leave notices that targets gave in the heads of their answers."""

import math
from dataclasses import dataclass

from ochreway_core.targetnotice import TargetNotice
from ochreway_routing.incarnations import is_older_incarnation

MAX_TARGETS = 4096
"""Bound on the targets remembered; the design size is 3,000 listed targets."""


@dataclass(slots=True)
class _TargetState:
    """Hold what one incarnation of a target requested; leaving is final."""

    born_ms: int | None
    until_s: float
    leaving: bool


class Backoffs:
    """Remember which targets asked to receive no requests, for a while or for good.

    A target that refuses everything at once has nothing in flight, so without this it would look
    like the least loaded one and attract requests that others could have served. The check costs
    one dictionary look-up for each candidate of a choice.

    A target is identified by its id or address and, where known, by the birth time of its
    incarnation: what one incarnation requested does not apply to the next, and a notice of an
    older incarnation is ignored.
    """

    def __init__(self, max_targets: int = MAX_TARGETS) -> None:
        """Start without back-offs; remember at most ``max_targets`` targets."""
        self._max_targets = max_targets
        self._states: dict[str, _TargetState] = {}

    def record_notice(
        self, target: str, notice: TargetNotice, now_s: float, born_ms: int | None = None
    ) -> bool:
        """Record a target's notice; return whether it requests more than before.

        A shorter back-off in a later answer does not shorten the one in force, as each answer
        counts on its own.
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
        """Remove lapsed back-offs and, if that is not enough, the oldest entries."""
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
        """Return for how long to send a target nothing: 0 for now, infinite if it is leaving."""
        state = self._current_state(target, born_ms)
        if state is None:
            return 0.0
        return math.inf if state.leaving else max(0.0, state.until_s - now_s)

    def backed_off(self, target: str, now_s: float, born_ms: int | None = None) -> bool:
        """Return whether a target, leaving or not, is within a back-off that it requested."""
        state = self._current_state(target, born_ms)
        return state is not None and now_s < state.until_s

    def leaving(self, target: str, born_ms: int | None = None) -> bool:
        """Return whether a target announced that it is leaving."""
        state = self._current_state(target, born_ms)
        return state is not None and state.leaving

    def _current_state(self, target: str, born_ms: int | None) -> _TargetState | None:
        state = self._states.get(target)
        return None if state is None or is_older_incarnation(state.born_ms, born_ms) else state

    def number_backed_off(self, now_s: float) -> int:
        """Return how many targets are within a back-off."""
        return sum(now_s < state.until_s for state in self._states.values())

    def number_leaving(self) -> int:
        """Return how many targets announced that they are leaving."""
        return sum(state.leaving for state in self._states.values())


__all__ = ["MAX_TARGETS", "Backoffs"]
