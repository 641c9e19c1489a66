# SPDX-License-Identifier: Apache-2.0
"""What all entries together may send to one target within a second, and its two parts."""

import math
from dataclasses import dataclass

from ochreway_direct.configuration import ColdStart

STATIC_FRACTION = 0.7
"""The part that entries have without a holder of the lease.

It is the larger part, so that callers are still served while no loans are made; the rest goes to
the entries with the most callers.
"""


@dataclass(frozen=True, slots=True)
class Allowance:
    """Hold the requests a second that are shared out by standing shares and by loans."""

    static: int
    loan_total: int

    @classmethod
    def for_cold_start(cls, cold_start: ColdStart, excess: float, slack: float) -> "Allowance":
        """Return the allowance for targets that bear a rate, with the excess and slack allowed."""
        total = math.floor(cold_start.requests_per_s * excess + slack)
        static = math.floor(total * STATIC_FRACTION)
        return cls(static, total - static)


__all__ = ["STATIC_FRACTION", "Allowance"]
