# SPDX-License-Identifier: Apache-2.0
"""The callers' connections that are open, within a bound."""

from enum import Enum

SURPLUS_AT_MOST = 100
"""How many connections beyond the bound are still told that they cannot be served here."""


class Admittance(Enum):
    """Say what becomes of a new connection."""

    SERVED = "served"
    REFUSED = "refused"
    """Its first request is refused, and the connection closed."""
    DROPPED = "dropped"
    """It is closed before anything is read of it."""


class CallerConnections:
    """Count open connections of callers; without a bound all are served."""

    def __init__(self, at_most: int | None = None) -> None:
        self.at_most = at_most
        self.open = 0

    @property
    def share(self) -> float:
        """Return the share of the bound that is in use."""
        return self.open / self.at_most if self.at_most else 0.0

    def enter(self) -> Admittance:
        """Count a new connection and say what becomes of it."""
        self.open += 1
        if self.at_most is None or self.open <= self.at_most:
            return Admittance.SERVED
        surplus = self.open - self.at_most
        return Admittance.REFUSED if surplus <= SURPLUS_AT_MOST else Admittance.DROPPED

    def leave(self) -> None:
        """Forget a connection that has closed."""
        self.open -= 1


__all__ = ["Admittance", "CallerConnections"]
