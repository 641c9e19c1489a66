# SPDX-License-Identifier: Apache-2.0
"""A request that is turned away before anything ran."""

from dataclasses import dataclass

from ochreway_core.reason import Reason


@dataclass(frozen=True, slots=True)
class Refused:
    """Say why, and when to come back."""

    reason: Reason
    retry_after_s: float


__all__ = ["Refused"]
