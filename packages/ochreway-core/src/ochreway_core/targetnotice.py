# SPDX-License-Identifier: Apache-2.0
"""What a target says of itself in the head of an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetNotice:
    """Hold what the head of any answer says of the target that gave it.

    ``backoff_s`` is for how long it wants nothing more from whoever it answered, or None when it
    does not say. One that is ``leaving`` ends soon and is to get nothing new. ``limit_per_s`` is
    how many requests a second it takes from all callers together, or None when it names no limit.
    """

    backoff_s: float | None = None
    leaving: bool = False
    limit_per_s: float | None = None


NO_NOTICE = TargetNotice()

__all__ = ["NO_NOTICE", "TargetNotice"]
