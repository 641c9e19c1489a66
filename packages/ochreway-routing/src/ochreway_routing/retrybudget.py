# SPDX-License-Identifier: Apache-2.0
"""A retry budget in proportion to requests."""

from dataclasses import dataclass


@dataclass(slots=True)
class RetryBudget:
    """Earn a fraction of a retry with each request and spend one for each retry."""

    share: float = 0.15
    max_balance: float = 20.0
    balance: float = 5.0

    def earn(self) -> None:
        """Add a new request's share to the balance."""
        self.balance = min(self.max_balance, self.balance + self.share)

    def can_spend(self) -> bool:
        """Return whether the balance covers a retry."""
        return self.balance >= 1.0

    def spend(self) -> bool:
        """Spend one retry; return whether the balance covers it."""
        if not self.can_spend():
            return False
        self.balance -= 1.0
        return True


__all__ = ["RetryBudget"]
