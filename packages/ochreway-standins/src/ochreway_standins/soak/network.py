# SPDX-License-Identifier: Apache-2.0
"""Links under virtual time: delayed, cut, reset, disordered."""

import random
from collections.abc import Callable

from ochreway_core.ids import NodeId
from ochreway_standins.soak.clock import Clock

RESET_AFTER_S = 3.0
DELAY_S = (0.0002, 0.002)
DISORDER_S = 0.3
DOUBLED_SHARE = 0.2

Deliver = Callable[[], None]
Pair = tuple[NodeId, NodeId]


class Network:
    """Carry messages in order, hold them while cut, and drop them when a link is reset."""

    def __init__(self, clock: Clock, rng: random.Random, reset: Callable[[NodeId, NodeId], None]):
        self._clock = clock
        self._random = rng
        self._reset = reset
        self._cut_since_s: dict[Pair, float] = {}
        self._held: dict[Pair, list[Deliver]] = {}
        self._last_s: dict[Pair, float] = {}
        self.disorder = False

    def send(self, source: NodeId, target: NodeId, deliver: Deliver) -> None:
        """Carry one message."""
        pair = (source, target)
        if pair in self._cut_since_s:
            self._held.setdefault(pair, []).append(deliver)
            return
        arrives_s = self._clock.now_s + self._random.uniform(*DELAY_S)
        if self.disorder:
            arrives_s += self._random.random() * DISORDER_S
            if self._random.random() < DOUBLED_SHARE:
                self._clock.at(arrives_s + self._random.random() * DISORDER_S, deliver)
        else:
            arrives_s = max(arrives_s, self._last_s.get(pair, 0.0))
            self._last_s[pair] = arrives_s
        self._clock.at(arrives_s, deliver)

    def cut(self, source: NodeId, target: NodeId) -> None:
        """Stop one direction; the link is reset when that lasts."""
        pair = (source, target)
        since_s = self._clock.now_s
        self._cut_since_s[pair] = since_s
        self._clock.after(RESET_AFTER_S, lambda: self._reset_if_still_cut(pair, since_s))

    def _reset_if_still_cut(self, pair: Pair, since_s: float) -> None:
        if self._cut_since_s.get(pair) != since_s:
            return
        for each in (pair, pair[::-1]):
            self._held.pop(each, None)
        self._reset(*pair)
        self._clock.after(RESET_AFTER_S, lambda: self._reset_if_still_cut(pair, since_s))

    def is_cut(self, source: NodeId, target: NodeId) -> bool:
        """Tell whether a direction is cut now."""
        return (source, target) in self._cut_since_s

    def heal(self, source: NodeId, target: NodeId) -> None:
        """Let one direction through again, with what was held."""
        pair = (source, target)
        self._cut_since_s.pop(pair, None)
        for deliver in self._held.pop(pair, []):
            self.send(source, target, deliver)

    def heal_all(self) -> None:
        """Let everything through again."""
        for pair in list(self._cut_since_s):
            self.heal(*pair)
        self.disorder = False


__all__ = ["Network"]
