# SPDX-License-Identifier: Apache-2.0
"""How often engines are lost."""

import math

TYPICAL_LOSSES_PER_ENGINE_S = 0.004
"""What is assumed before any was seen: one of 81 engines each three seconds, as on heavy days."""
PRIOR_LOSSES = 2.0
"""How many losses the assumption counts as much as."""
LOSS_MEMORY_S = 60.0
MAX_LOSSES_PER_CAUSE = 2
"""How many losses of the same second count: a domain that goes dark is one cause, not thirty."""
SAME_CAUSE_WINDOW_S = 1.0
RATE_STEP_FACTOR = 1.25
"""By which factor the rate moves: each move is a reason to plan anew."""


class LossMeter:
    """Hold the rate at which an engine is lost, from what was seen and what is usual.

    How many groups stand in for others, and how many substitutes are worth a load, depends on it: a
    site of 24 engines that loses one each three seconds loses three times the share of one of 81.
    """

    def __init__(self) -> None:
        self._losses = 0.0
        self._engines_s = 0.0
        self._advanced_s: float | None = None
        self._cause_since_s = -math.inf
        self._losses_of_cause = 0

    def advance(self, engines: int, now_s: float) -> None:
        """Let time pass with so many engines."""
        elapsed_s = now_s - self._advanced_s if self._advanced_s is not None else 0.0
        self._advanced_s = now_s
        decay = math.exp(-elapsed_s / LOSS_MEMORY_S)
        self._losses *= decay
        self._engines_s = self._engines_s * decay + engines * elapsed_s

    def record_loss(self, now_s: float) -> None:
        """Count the loss of an engine; before any time was measured none counts."""
        if self._advanced_s is None:
            return
        if now_s - self._cause_since_s >= SAME_CAUSE_WINDOW_S:
            self._cause_since_s, self._losses_of_cause = now_s, 0
        if self._losses_of_cause < MAX_LOSSES_PER_CAUSE:
            self._losses_of_cause += 1
            self._losses += 1.0

    @property
    def losses_per_engine_s(self) -> float:
        """Return the rate in whole steps around what is usual."""
        prior_engines_s = PRIOR_LOSSES / TYPICAL_LOSSES_PER_ENGINE_S
        rate = (PRIOR_LOSSES + self._losses) / (prior_engines_s + self._engines_s)
        steps = round(math.log(rate / TYPICAL_LOSSES_PER_ENGINE_S, RATE_STEP_FACTOR))
        return TYPICAL_LOSSES_PER_ENGINE_S * RATE_STEP_FACTOR**steps


__all__ = ["TYPICAL_LOSSES_PER_ENGINE_S", "LossMeter"]
