# SPDX-License-Identifier: Apache-2.0
"""A target's rate limit as whole requests within a window, which entries can share."""

import math
from dataclasses import dataclass

BURST_REQUESTS = 3
"""How many requests a window holds beyond a second's worth, so that entries can share them.

A limit of 1 per second is kept as 4 in any 4 s, so four entries may have one each. Over any period
the target gets at most what its limit allows plus one window's worth.
"""
MIN_RATE_PER_S = 1.0 / 60.0
"""Lowest rate in use: one request a minute is sent, else the end of the limit goes unnoticed."""


@dataclass(frozen=True, slots=True)
class Quota:
    """Hold how many requests a target may be sent within any window of a length."""

    requests: int
    window_s: float

    @classmethod
    def for_limit(cls, limit_per_s: float) -> "Quota":
        """Return the quota that matches a limit."""
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S)
        requests = math.floor(rate_per_s) + BURST_REQUESTS
        return cls(requests, requests / rate_per_s)

    @property
    def interval_s(self) -> float:
        """Return the average interval between requests, over all senders."""
        return self.window_s / self.requests


__all__ = ["BURST_REQUESTS", "MIN_RATE_PER_S", "Quota"]
