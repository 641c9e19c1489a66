# SPDX-License-Identifier: Apache-2.0
"""Offered work and how long it was measured."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ochreway_direct.demand.decayingsum import DECAY_S
from ochreway_direct.ids import ModelName


@dataclass(frozen=True, slots=True)
class OfferedWork:
    """Hold the offered work of each model, in fully busy groups, and for how long it was measured.

    ``measured_s`` is None where it is not known, as entries of the previous build do not report it.
    """

    rates: Mapping[ModelName, float]
    measured_s: float | None = None

    @property
    def has_work(self) -> bool:
        """Return whether any work is offered."""
        return sum(self.rates.values()) > 0

    @property
    def settled(self) -> bool:
        """Return whether the rate was measured for a time constant, or for an unknown time.

        Over a shorter time it shows callers who return after a restart, not a stationary load.
        """
        return self.has_work and (self.measured_s is None or self.measured_s >= DECAY_S)

    def plus(self, other: "OfferedWork") -> "OfferedWork":
        """Return the sum of the rates, with this one's time of measurement."""
        rates: Counter[ModelName] = Counter(self.rates)
        rates.update(other.rates)
        return OfferedWork(rates, self.measured_s)


__all__ = ["OfferedWork"]
