# SPDX-License-Identifier: Apache-2.0
"""Requests per second that all entries together may send to one target."""

import math
from dataclasses import dataclass

from ochreway_direct.configuration import ColdStart

STATIC_FRACTION = 0.7
"""Fraction that entries share statically, without a holder of the lease.

It is the larger part, so that callers are still served while no loans are made. The rest is lent to
the entries with the most callers.
"""


@dataclass(frozen=True, slots=True)
class Allowance:
    """Hold the requests per second that are divided into static shares and into loans."""

    static: int
    loan_total: int

    @classmethod
    def for_cold_start(cls, cold_start: ColdStart, excess: float, slack: float) -> "Allowance":
        """Return the allowance for a service's cold start rate, with excess and slack added."""
        total = math.floor(cold_start.requests_per_s * excess + slack)
        static = math.floor(total * STATIC_FRACTION)
        return cls(static, total - static)


__all__ = ["STATIC_FRACTION", "Allowance"]
