# SPDX-License-Identifier: Apache-2.0
"""Temporary ejection of failing replicas."""

from dataclasses import dataclass


@dataclass(slots=True)
class Ejection:
    """Eject after failures in a row, for twice as long each time; one success resets."""

    failures: int = 0
    ejections: int = 0
    until_s: float = -1.0e9
    returned_s: float = -1.0e9

    def record_failure(
        self, now_s: float, failures_allowed: int, base_s: float, max_s: float
    ) -> bool:
        """Record a failure; return whether it ejects the replica."""
        self.failures += 1
        if self.failures < failures_allowed or self.is_ejected(now_s):
            return False
        self.until_s = now_s + min(max_s, base_s * 2.0 ** min(self.ejections, 8))
        self.returned_s = self.until_s
        self.ejections += 1
        # One more failure after its return ejects it again at once.
        self.failures = failures_allowed - 1
        return True

    def record_success(self) -> None:
        """Reset the failures and the length of the next ejection."""
        self.failures = 0
        self.ejections = 0

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the replica is ejected now."""
        return now_s < self.until_s


__all__ = ["Ejection"]
