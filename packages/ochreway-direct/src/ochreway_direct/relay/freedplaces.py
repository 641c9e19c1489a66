# SPDX-License-Identifier: Apache-2.0
"""How often places are freed for a kind of call, as far as this entry sees it."""

import math

from ochreway_direct.relay.waitingcalls import WaitingKey

MEMORY_S = 2.0
"""Over how long ends are averaged: some answers of usual length, and less than a group's repair."""


class FreedPlaces:
    """Hold a decaying rate of attempts that ended, for each kind of call."""

    def __init__(self) -> None:
        self._rates: dict[WaitingKey, tuple[float, float]] = {}

    def note(self, key: WaitingKey, now_s: float) -> None:
        """Note that an attempt ended."""
        self._rates[key] = (self.per_s(key, now_s) + 1.0 / MEMORY_S, now_s)

    def per_s(self, key: WaitingKey, now_s: float) -> float:
        """Return how many ended a second lately."""
        rate, noted_s = self._rates.get(key, (0.0, now_s))
        return rate * math.exp(-(now_s - noted_s) / MEMORY_S)


__all__ = ["FreedPlaces"]
