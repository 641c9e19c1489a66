# SPDX-License-Identifier: Apache-2.0
"""Links under virtual time, with delays, cuts, resets and reordering."""

import random
from collections.abc import Callable

from ochreway_core.ids import NodeId
from ochreway_standins.soak.clock import Clock

RESET_AFTER_S = 3.0
DELAY_RANGE_S = (0.0002, 0.002)
MAX_DISORDER_DELAY_S = 0.3
DUPLICATED_SHARE = 0.2

Deliver = Callable[[], None]
Direction = tuple[NodeId, NodeId]


class Network:
    """Deliver messages in order, hold them while a link is cut, drop them when it is reset."""

    def __init__(self, clock: Clock, rng: random.Random, reset: Callable[[NodeId, NodeId], None]):
        self._clock = clock
        self._random = rng
        self._reset = reset
        self._cut_since_s: dict[Direction, float] = {}
        self._held: dict[Direction, list[Deliver]] = {}
        self._last_arrival_s: dict[Direction, float] = {}
        self.disorder = False

    def send(self, source: NodeId, target: NodeId, deliver: Deliver) -> None:
        """Send a message; while ``disorder`` is set it may be reordered or duplicated."""
        pair = (source, target)
        if pair in self._cut_since_s:
            self._held.setdefault(pair, []).append(deliver)
            return
        arrival_s = self._clock.now_s + self._random.uniform(*DELAY_RANGE_S)
        if self.disorder:
            arrival_s += self._random.random() * MAX_DISORDER_DELAY_S
            if self._random.random() < DUPLICATED_SHARE:
                self._clock.at(arrival_s + self._random.random() * MAX_DISORDER_DELAY_S, deliver)
        else:
            arrival_s = max(arrival_s, self._last_arrival_s.get(pair, 0.0))
            self._last_arrival_s[pair] = arrival_s
        self._clock.at(arrival_s, deliver)

    def cut(self, source: NodeId, target: NodeId) -> None:
        """Cut one direction of a link; the link is reset if the cut lasts."""
        pair = (source, target)
        since_s = self._clock.now_s
        self._cut_since_s[pair] = since_s
        self._clock.after(RESET_AFTER_S, lambda: self._reset_if_still_cut(pair, since_s))

    def _reset_if_still_cut(self, pair: Direction, since_s: float) -> None:
        if self._cut_since_s.get(pair) != since_s:
            return
        for each in (pair, pair[::-1]):
            self._held.pop(each, None)
        self._reset(*pair)
        self._clock.after(RESET_AFTER_S, lambda: self._reset_if_still_cut(pair, since_s))

    def is_cut(self, source: NodeId, target: NodeId) -> bool:
        """Return whether a direction is cut now."""
        return (source, target) in self._cut_since_s

    def heal(self, source: NodeId, target: NodeId) -> None:
        """Restore one direction and send the messages that were held."""
        pair = (source, target)
        self._cut_since_s.pop(pair, None)
        for deliver in self._held.pop(pair, []):
            self.send(source, target, deliver)

    def heal_all(self) -> None:
        """Restore all links and the order of messages."""
        for pair in list(self._cut_since_s):
            self.heal(*pair)
        self.disorder = False


__all__ = ["Network"]
