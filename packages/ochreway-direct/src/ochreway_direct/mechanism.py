# SPDX-License-Identifier: Apache-2.0
"""The mechanisms of a direct entry that can be switched off, to measure what each is worth."""

from enum import Enum


class Mechanism(Enum):
    """Name a mechanism; each is in force unless a setting switches it off."""

    UNREAD_PROMPTS = "unread-prompts"
    """Choose groups by the prompts that they have yet to read, not only by their requests."""
    SAMPLED_CHOICE = "sampled-choice"
    """Choose the best of a few groups drawn at random, not of all."""
    FOLLOWED_DEMAND = "followed-demand"
    """Follow what is offered on every entry, not only on the holder of the lease."""
    SPANNING_GROUPS = "spanning-groups"
    """Form groups across domains while none can be completed inside one."""
    TRADING = "trading"
    """Give up groups whose engines complete one that is wanted more."""
    SWAPPING = "swapping"
    """Form a group anew without members that have turned slow."""
    STAGING_BESIDE = "staging-beside"
    """Load other models' weights beside those of groups that are wanted."""
    FATAL_REFUSED = "fatal-refused"
    """Send a request no more under which three targets have ended."""
    LIMITS_KEPT = "limits-kept"
    """Send targets that name a limit no more than that, all entries together."""
    SILENCE_SUSPECTED = "silence-suspected"
    """Have a group's members asked at once when all its answers stand still."""


__all__ = ["Mechanism"]
