# SPDX-License-Identifier: Apache-2.0
"""How recently the configuration in force is known to have been the newest."""

from dataclasses import dataclass

NEVER_S = -1.0e9


@dataclass(slots=True)
class Freshness:
    """Hold the steady time at which the newest proof of freshness was asked for.

    The time of asking counts, not that of the answer, so a slow or paused process only makes
    the configuration look older than it is.
    """

    bound_s: float
    proved_s: float = NEVER_S

    def prove(self, asked_s: float) -> None:
        """Note that what was asked for at a time found nothing newer than what is in force."""
        self.proved_s = max(self.proved_s, asked_s)

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest proof."""
        return now_s - self.proved_s

    def holds(self, now_s: float) -> bool:
        """Tell whether keys may still be trusted."""
        return self.age_s(now_s) < self.bound_s


__all__ = ["Freshness"]
