# SPDX-License-Identifier: Apache-2.0
"""Rate at which engines are lost."""

import math

TYPICAL_LOSSES_PER_ENGINE_S = 0.004
"""Prior loss rate: one of 81 engines every three seconds, as on days with many losses."""
PRIOR_LOSSES = 2.0
"""Number of losses that the prior rate counts as."""
LOSS_MEMORY_S = 60.0
MAX_LOSSES_PER_CAUSE = 2
"""Losses that count within ``SAME_CAUSE_WINDOW_S``; a lost domain is one cause, not thirty."""
SAME_CAUSE_WINDOW_S = 1.0
RATE_STEP_FACTOR = 1.25
"""Factor between steps of the rate; each step triggers a new plan."""


class LossMeter:
    """Estimate of the loss rate of engines, from observed losses and a prior.

    The number of groups that substitute for others, and of substitute engines worth a load, depends
    on it: a site of 24 engines that loses one every three seconds has three times the rate of one
    of 81.
    """

    def __init__(self) -> None:
        self._losses = 0.0
        self._engines_s = 0.0
        self._advanced_s: float | None = None
        self._cause_since_s = -math.inf
        self._losses_of_cause = 0

    def advance(self, engines: int, now_s: float) -> None:
        """Advance the clock, with the current number of engines."""
        elapsed_s = now_s - self._advanced_s if self._advanced_s is not None else 0.0
        self._advanced_s = now_s
        decay = math.exp(-elapsed_s / LOSS_MEMORY_S)
        self._losses *= decay
        self._engines_s = self._engines_s * decay + engines * elapsed_s

    def record_loss(self, now_s: float) -> None:
        """Record the loss of an engine; losses before the first ``advance`` do not count."""
        if self._advanced_s is None:
            return
        if now_s - self._cause_since_s >= SAME_CAUSE_WINDOW_S:
            self._cause_since_s, self._losses_of_cause = now_s, 0
        if self._losses_of_cause < MAX_LOSSES_PER_CAUSE:
            self._losses_of_cause += 1
            self._losses += 1.0

    @property
    def losses_per_engine_s(self) -> float:
        """Return the losses per engine and second, rounded to whole steps from the typical rate."""
        prior_engines_s = PRIOR_LOSSES / TYPICAL_LOSSES_PER_ENGINE_S
        rate = (PRIOR_LOSSES + self._losses) / (prior_engines_s + self._engines_s)
        steps = round(math.log(rate / TYPICAL_LOSSES_PER_ENGINE_S, RATE_STEP_FACTOR))
        return TYPICAL_LOSSES_PER_ENGINE_S * RATE_STEP_FACTOR**steps


__all__ = ["TYPICAL_LOSSES_PER_ENGINE_S", "LossMeter"]
