# SPDX-License-Identifier: Apache-2.0
"""The callers' connections that are open, within a bound."""

from enum import Enum

MAX_SURPLUS_CONNECTIONS = 100
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

    def __init__(self, max_open: int | None = None) -> None:
        self.max_open = max_open
        self.open = 0

    @property
    def share(self) -> float:
        """Return the share of the bound that is in use."""
        return self.open / self.max_open if self.max_open else 0.0

    def admit(self) -> Admittance:
        """Count a new connection and say what becomes of it."""
        self.open += 1
        if self.max_open is None or self.open <= self.max_open:
            return Admittance.SERVED
        surplus = self.open - self.max_open
        return Admittance.REFUSED if surplus <= MAX_SURPLUS_CONNECTIONS else Admittance.DROPPED

    def release(self) -> None:
        """Forget a connection that has closed."""
        self.open -= 1


__all__ = ["Admittance", "CallerConnections"]
