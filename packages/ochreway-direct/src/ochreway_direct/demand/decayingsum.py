# SPDX-License-Identifier: Apache-2.0
"""Exponentially decaying sum."""

import math

DECAY_S = 5.0
"""Time constant of the decay: long enough to average over some hundred requests, and short enough
to follow a load that changes within seconds."""
MIN_MEASURED_S = 0.5
"""Minimum time over which a rate is computed, as a single first request gives none."""


class DecayingSum:
    """Add up amounts that lose their weight with the time constant ``DECAY_S``."""

    __slots__ = ("_sum", "_updated_s")

    def __init__(self) -> None:
        self._sum = 0.0
        self._updated_s: float | None = None

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount at a time."""
        self._sum = self.at(now_s) + amount
        self._updated_s = now_s

    def withdraw(self, amount: float, added_s: float, now_s: float) -> None:
        """Take back an amount that was added at ``added_s``, with the weight that is left of it."""
        left = amount * math.exp(-max(0.0, now_s - added_s) / DECAY_S)
        self._sum = max(0.0, self.at(now_s) - left)
        self._updated_s = now_s

    def at(self, now_s: float) -> float:
        """Return the sum at a time."""
        elapsed_s = now_s - self._updated_s if self._updated_s is not None else 0.0
        return self._sum * math.exp(-elapsed_s / DECAY_S)


def effective_time_s(measured_s: float) -> float:
    """Return the time by which a sum is divided to get a rate, if it began ``measured_s`` ago.

    It is ``DECAY_S`` for a sum that began long ago, and less for one that has just begun.
    """
    return DECAY_S * (1.0 - math.exp(-max(MIN_MEASURED_S, measured_s) / DECAY_S))


__all__ = ["DECAY_S", "MIN_MEASURED_S", "DecayingSum", "effective_time_s"]
