# SPDX-License-Identifier: Apache-2.0
"""What all entries together may send to one target within a second, and its two parts."""

import math
from dataclasses import dataclass

from ochreway_direct.configuration import ColdStart

STANDING_PART = 0.7
"""The part that entries have without a holder of the lease.

It is the larger part, so that callers are still served while no loans are made; the rest goes to
the entries with the most callers.
"""


@dataclass(frozen=True, slots=True)
class Allowance:
    """Hold the requests a second that are shared out by standing shares and by loans."""

    standing: int
    lent: int

    @classmethod
    def of(cls, cold_start: ColdStart, excess: float, slack: float) -> "Allowance":
        """Return the allowance for targets that bear a rate, with the excess and slack allowed."""
        whole = math.floor(cold_start.requests_per_s * excess + slack)
        standing = math.floor(whole * STANDING_PART)
        return cls(standing, whole - standing)


__all__ = ["STANDING_PART", "Allowance"]
