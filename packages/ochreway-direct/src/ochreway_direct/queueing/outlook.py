# SPDX-License-Identifier: Apache-2.0
"""What is expected of a waiting call."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Outlook:
    """Hold a call's rank, its expected wait, and for how much longer waiting is worth while.

    ``spare_s`` is negative once the call is to be refused.
    """

    rank: int
    wait_s: float
    spare_s: float


__all__ = ["Outlook"]
