# SPDX-License-Identifier: Apache-2.0
"""How often requests to one target failed lately."""

from dataclasses import dataclass

WEIGHT = 0.2
PENALTY_AT_MOST = 20.0


@dataclass(slots=True)
class TargetHealth:
    """Hold a moving average of failures."""

    failing: float = 0.0

    def note(self, failed: bool) -> None:
        """Take the end of one attempt."""
        self.failing += WEIGHT * (float(failed) - self.failing)

    def penalty(self) -> float:
        """Return by how much the target is to be avoided; 1 when nothing failed."""
        return 1.0 + PENALTY_AT_MOST * self.failing


__all__ = ["TargetHealth"]
