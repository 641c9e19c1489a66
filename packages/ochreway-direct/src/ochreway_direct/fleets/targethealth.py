# SPDX-License-Identifier: Apache-2.0
"""Recent failure rate of a target."""

from dataclasses import dataclass

SMOOTHING_WEIGHT = 0.2
"""Weight of the latest attempt in the moving average."""
MAX_EXTRA_PENALTY = 20.0
"""Increase of the cost factor of a target at which every attempt fails."""


@dataclass(slots=True)
class TargetHealth:
    """Hold an exponential moving average of failures."""

    failure_rate: float = 0.0

    def record_attempt(self, failed: bool) -> None:
        """Record the outcome of one attempt."""
        self.failure_rate += SMOOTHING_WEIGHT * (float(failed) - self.failure_rate)

    def penalty(self) -> float:
        """Return the cost factor of the target; 1 when nothing failed."""
        return 1.0 + MAX_EXTRA_PENALTY * self.failure_rate


__all__ = ["TargetHealth"]
