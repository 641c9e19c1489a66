# SPDX-License-Identifier: Apache-2.0
"""Refusal of a request before any of it ran."""

from dataclasses import dataclass

from ochreway_core.reason import Reason


@dataclass(frozen=True, slots=True)
class Refused:
    """Hold why a request is refused and after what time to retry."""

    reason: Reason
    retry_after_s: float


__all__ = ["Refused"]
