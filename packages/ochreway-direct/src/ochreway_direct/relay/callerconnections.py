# SPDX-License-Identifier: Apache-2.0
"""Limit on the number of open connections of callers."""

from enum import Enum

MAX_SURPLUS_CONNECTIONS = 100
"""Connections over the limit whose first request still gets a refusal; more are dropped unread."""


class Admittance(Enum):
    """Name what happens to a new connection."""

    SERVED = "served"
    REFUSED = "refused"
    """Its first request is refused, and the connection is closed."""
    DROPPED = "dropped"
    """It is closed before anything is read from it."""


class CallerConnections:
    """Count open connections of callers; without a limit all are served."""

    def __init__(self, max_open: int | None = None) -> None:
        self.max_open = max_open
        self.open = 0

    @property
    def share(self) -> float:
        """Return the share of the limit that is in use."""
        return self.open / self.max_open if self.max_open else 0.0

    def admit(self) -> Admittance:
        """Count a new connection and return what happens to it."""
        self.open += 1
        if self.max_open is None or self.open <= self.max_open:
            return Admittance.SERVED
        surplus = self.open - self.max_open
        return Admittance.REFUSED if surplus <= MAX_SURPLUS_CONNECTIONS else Admittance.DROPPED

    def release(self) -> None:
        """Stop counting a connection that was closed."""
        self.open -= 1


__all__ = ["Admittance", "CallerConnections"]
