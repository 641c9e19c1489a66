# SPDX-License-Identifier: Apache-2.0
"""A bound on retries in proportion to requests."""

from dataclasses import dataclass


@dataclass(slots=True)
class RetryBudget:
    """Earn a share of a retry with each request and pay a whole one for each retry."""

    share: float = 0.15
    max_balance: float = 20.0
    balance: float = 5.0

    def earn(self) -> None:
        """Note a new request."""
        self.balance = min(self.max_balance, self.balance + self.share)

    def spend(self) -> bool:
        """Pay for a retry; return whether it is covered."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


__all__ = ["RetryBudget"]
