# SPDX-License-Identifier: Apache-2.0
"""Rate of events."""

import math

DECAY_S = 5.0
"""Time constant of the decay, that of the demand meter."""
MIN_MEASURED_S = 0.5
"""Minimum time over which a rate is computed."""


class RateMeter:
    """Hold an exponentially decaying rate of events, corrected for the time measured so far."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._first_s: float | None = None
        self._last_s = 0.0

    def record(self, now_s: float) -> None:
        """Count an event."""
        if self._first_s is None:
            self._first_s = self._last_s = now_s
        self._sum = self._decayed(now_s) + 1.0
        self._last_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the number of events a second."""
        if self._first_s is None:
            return 0.0
        measured_s = max(MIN_MEASURED_S, now_s - self._first_s)
        return self._decayed(now_s) / (DECAY_S * (1.0 - math.exp(-measured_s / DECAY_S)))

    def _decayed(self, now_s: float) -> float:
        return self._sum * math.exp(-max(0.0, now_s - self._last_s) / DECAY_S)


__all__ = ["DECAY_S", "RateMeter"]
