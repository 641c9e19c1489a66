# SPDX-License-Identifier: Apache-2.0
"""Rate of events."""

from ochreway_direct.demand.decayingsum import DecayingSum, effective_time_s


class RateMeter:
    """Hold an exponentially decaying rate of events, corrected for the time measured so far."""

    def __init__(self) -> None:
        self._events = DecayingSum()
        self._first_s: float | None = None

    def record(self, now_s: float) -> None:
        """Count an event."""
        if self._first_s is None:
            self._first_s = now_s
        self._events.add(1.0, now_s)

    def per_s(self, now_s: float) -> float:
        """Return the number of events a second."""
        if self._first_s is None:
            return 0.0
        return self._events.at(now_s) / effective_time_s(now_s - self._first_s)


__all__ = ["RateMeter"]
