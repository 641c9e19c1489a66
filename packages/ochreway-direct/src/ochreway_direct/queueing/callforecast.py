# SPDX-License-Identifier: Apache-2.0
"""Forecast of a waiting call."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallForecast:
    """Hold a call's rank, its expected wait, and in what time it is to be refused.

    ``rank`` is the number of calls that go first. ``refused_in_s`` is the time from now after which
    the call is refused if it still waits and ``wait_s`` stays; it is negative once that is due.
    """

    rank: int
    wait_s: float
    refused_in_s: float


__all__ = ["CallForecast"]
