# SPDX-License-Identifier: Apache-2.0
"""Optional mechanisms of a direct entry, which can be disabled to measure their benefit."""

from enum import Enum


class Mechanism(Enum):
    """Name a mechanism; each is enabled unless a setting disables it."""

    UNREAD_PROMPTS = "unread-prompts"
    """Choose groups by their unread prompt tokens, not only by their number of requests."""
    SAMPLED_CHOICE = "sampled-choice"
    """Choose the best of a few randomly sampled groups instead of all."""
    FOLLOWED_DEMAND = "followed-demand"
    """Track the offered work on every entry, not only on the lease holder."""
    SPANNING_GROUPS = "spanning-groups"
    """Form groups across domains while none can be completed within one."""
    TRADING = "trading"
    """Dissolve groups whose engines can complete a group with a higher utility."""
    SWAPPING = "swapping"
    """Re-form a group without members that have become slow."""
    STAGING_BESIDE = "staging-beside"
    """Load weights of other models in addition to those of the wanted groups."""
    FATAL_REFUSED = "fatal-refused"
    """Stop sending a request during which three targets have ended."""
    LIMITS_KEPT = "limits-kept"
    """Keep the limits that targets announce, across all entries together."""
    SILENCE_SUSPECTED = "silence-suspected"
    """Probe a group's members at once when all its answers stall."""


__all__ = ["Mechanism"]
