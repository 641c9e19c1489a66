# SPDX-License-Identifier: Apache-2.0
"""Exponential back-off with full jitter."""

import random
from dataclasses import dataclass


@dataclass(slots=True)
class Backoff:
    """Produce random delays below a bound that doubles with each failure."""

    base_s: float
    max_s: float
    random: random.Random
    failures: int = 0

    def reset(self) -> None:
        """Reset the bound to the base after a success."""
        self.failures = 0

    def next_delay_s(self) -> float:
        """Count a failure and return how long to wait after it."""
        bound_s = min(self.max_s, self.base_s * 2.0 ** min(self.failures, 16))
        self.failures += 1
        return self.random.uniform(self.base_s / 2, bound_s)


__all__ = ["Backoff"]
