# SPDX-License-Identifier: Apache-2.0
"""A target's limit as whole requests within a span, which entries can share."""

import math
from dataclasses import dataclass

BURST_REQUESTS = 3
"""How many requests more than a second's worth are counted in a span, so that they can be shared.

A limit of 1 a second is kept as 4 in any 4 s: four entries may have one each. In any time the
target gets no more than its limit allows and a span's worth.
"""
MIN_RATE_PER_S = 1.0 / 60.0
"""The lowest rate that is gone by: its target is asked once a minute, or its end is never heard."""


@dataclass(frozen=True, slots=True)
class Quota:
    """Hold how many requests a target may be sent within any span of a length."""

    requests: int
    window_s: float

    @classmethod
    def for_limit(cls, limit_per_s: float) -> "Quota":
        """Return the quota that comes to a limit."""
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S)
        requests = math.floor(rate_per_s) + BURST_REQUESTS
        return cls(requests, requests / rate_per_s)

    @property
    def interval_s(self) -> float:
        """Return how long it takes on average until one more request may be sent by anybody."""
        return self.window_s / self.requests


__all__ = ["BURST_REQUESTS", "MIN_RATE_PER_S", "Quota"]
