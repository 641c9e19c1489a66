# SPDX-License-Identifier: Apache-2.0
"""State that a target reports in the head of an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetNotice:
    """Hold what the head of an answer says about the target that sent it.

    ``backoff_s`` is for how long the receiver should send it nothing, or None if it does not say.
    A target that is ``leaving`` stops soon and must receive nothing new. ``limit_per_s`` is how
    many requests per second it accepts from all callers together, or None without a limit.
    """

    backoff_s: float | None = None
    leaving: bool = False
    limit_per_s: float | None = None


NO_NOTICE = TargetNotice()

__all__ = ["NO_NOTICE", "TargetNotice"]
