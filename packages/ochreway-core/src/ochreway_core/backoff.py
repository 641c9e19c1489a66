# SPDX-License-Identifier: Apache-2.0
"""Exponential back-off with full jitter."""

import random
from dataclasses import dataclass


@dataclass(slots=True)
class Backoff:
    """Wait longer after each failure, by a random share of a doubling bound."""

    base_s: float
    max_s: float
    random: random.Random
    failures: int = 0

    def reset(self) -> None:
        """Start again from the base."""
        self.failures = 0

    def next_delay_s(self) -> float:
        """Return how long to wait after one more failure."""
        bound_s = min(self.max_s, self.base_s * 2.0 ** min(self.failures, 16))
        self.failures += 1
        return self.random.uniform(self.base_s / 2, bound_s)


__all__ = ["Backoff"]
