# SPDX-License-Identifier: Apache-2.0
"""Estimated content of a replica's prefix cache."""

import math
from collections import OrderedDict

HALF_LIFE_S = 120.0
"""Age at which a block counts half, as it may have been evicted unnoticed."""
MAX_INDEXED_BLOCKS = 8192
"""Bound on the blocks kept for a replica."""


class PrefixIndex:
    """Keep block hashes by when they were last known to be cached, least recent first."""

    def __init__(self, capacity: int = MAX_INDEXED_BLOCKS) -> None:
        self._capacity = capacity
        self._last_seen_s: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._last_seen_s)

    def add(self, blocks: tuple[int, ...], now_s: float) -> None:
        """Record that the blocks are cached."""
        for block in blocks:
            self._last_seen_s[block] = now_s
            self._last_seen_s.move_to_end(block)
        while len(self._last_seen_s) > self._capacity:
            self._last_seen_s.popitem(last=False)

    def remove(self, blocks: tuple[int, ...]) -> None:
        """Record that the blocks were evicted."""
        for block in blocks:
            self._last_seen_s.pop(block, None)

    def clear(self) -> None:
        """Remove all blocks, as after a restart of the engine."""
        self._last_seen_s.clear()

    def expected_blocks(self, blocks: tuple[int, ...], now_s: float) -> float:
        """Return how many leading blocks are expected to be cached, discounted by age.

        A block is cached only if those before it are, so the deepest known block counts for all
        of them; events of some may have been lost.
        """
        if not self._last_seen_s:
            return 0.0
        get_seen_s = self._last_seen_s.get
        depth = len(blocks)
        for block in reversed(blocks):
            seen_s = get_seen_s(block)
            if seen_s is not None:
                return depth * math.exp2((seen_s - now_s) / HALF_LIFE_S)
            depth -= 1
        return 0.0


__all__ = ["MAX_INDEXED_BLOCKS", "HALF_LIFE_S", "PrefixIndex"]
