# SPDX-License-Identifier: Apache-2.0
"""How often engines are lost."""

import math

USUAL_PER_ENGINE_S = 0.004
"""What is assumed before any was seen: one of 81 engines each three seconds, as on heavy days."""
ASSUMED_LOSSES = 2.0
"""How many losses the assumption counts as much as."""
MEMORY_S = 60.0
COUNTED_AT_ONCE = 2
"""How many losses of the same second count: a domain that goes dark is one cause, not thirty."""
SAME_CAUSE_S = 1.0
STEP = 1.25
"""By which factor the rate moves: each move is a reason to plan anew."""


class LossMeter:
    """Hold the rate at which an engine is lost, from what was seen and what is usual.

    How many groups stand in for others, and how many substitutes are worth a load, depends on it: a
    site of 24 engines that loses one each three seconds loses three times the share of one of 81.
    """

    def __init__(self) -> None:
        self._losses = 0.0
        self._engines_s = 0.0
        self._stepped_s: float | None = None
        self._cause_s = -math.inf
        self._counted = 0

    def step(self, engines: int, now_s: float) -> None:
        """Let time pass with so many engines."""
        elapsed_s = now_s - self._stepped_s if self._stepped_s is not None else 0.0
        self._stepped_s = now_s
        kept = math.exp(-elapsed_s / MEMORY_S)
        self._losses *= kept
        self._engines_s = self._engines_s * kept + engines * elapsed_s

    def lost(self, now_s: float) -> None:
        """Count the loss of an engine; before any time was measured none counts."""
        if self._stepped_s is None:
            return
        if now_s - self._cause_s >= SAME_CAUSE_S:
            self._cause_s, self._counted = now_s, 0
        if self._counted < COUNTED_AT_ONCE:
            self._counted += 1
            self._losses += 1.0

    @property
    def per_engine_s(self) -> float:
        """Return the rate in whole steps around what is usual."""
        assumed_s = ASSUMED_LOSSES / USUAL_PER_ENGINE_S
        rate = (ASSUMED_LOSSES + self._losses) / (assumed_s + self._engines_s)
        steps = round(math.log(rate / USUAL_PER_ENGINE_S, STEP))
        return USUAL_PER_ENGINE_S * STEP**steps


__all__ = ["USUAL_PER_ENGINE_S", "LossMeter"]
