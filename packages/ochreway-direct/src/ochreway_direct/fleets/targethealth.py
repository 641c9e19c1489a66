# SPDX-License-Identifier: Apache-2.0
"""How often requests to one target failed lately."""

from dataclasses import dataclass

SMOOTHING_WEIGHT = 0.2
MAX_EXTRA_PENALTY = 20.0


@dataclass(slots=True)
class TargetHealth:
    """Hold a moving average of failures."""

    failure_rate: float = 0.0

    def record_attempt(self, failed: bool) -> None:
        """Take the end of one attempt."""
        self.failure_rate += SMOOTHING_WEIGHT * (float(failed) - self.failure_rate)

    def penalty(self) -> float:
        """Return by how much the target is to be avoided; 1 when nothing failed."""
        return 1.0 + MAX_EXTRA_PENALTY * self.failure_rate


__all__ = ["TargetHealth"]
