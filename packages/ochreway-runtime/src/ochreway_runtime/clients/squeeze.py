# SPDX-License-Identifier: Apache-2.0
"""How much of the limits for clients applies while a process has little memory left."""

FULL_BELOW = 0.6
"""Share of the memory in use below which the limits apply in full."""
LEAST_FROM = 0.85
"""Share of the memory in use from which they are as low as they get."""
LEAST = 0.2
"""Lowest share of the limits: ordinary requests hold less than that."""


def squeeze_of(memory_share: float) -> float:
    """Return the share of the limits that applies.

    What is counted is less than what it costs: memory that is free again comes back late.
    """
    left = (LEAST_FROM - memory_share) / (LEAST_FROM - FULL_BELOW)
    return max(LEAST, min(1.0, left))


__all__ = ["squeeze_of"]
