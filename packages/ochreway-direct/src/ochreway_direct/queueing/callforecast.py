# SPDX-License-Identifier: Apache-2.0
"""Forecast of a waiting call."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallForecast:
    """Hold a call's rank, its expected wait, and how much longer the wait may be.

    ``rank`` is the number of calls that go first. ``spare_s`` is negative once the call is to be
    refused.
    """

    rank: int
    wait_s: float
    spare_s: float


__all__ = ["CallForecast"]
