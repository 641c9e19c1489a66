# SPDX-License-Identifier: Apache-2.0
"""Limits on the number of idle connections to targets."""

from dataclasses import dataclass


@dataclass(slots=True)
class IdleLimits:
    """Limit idle connections in total and per target; ``None`` means no limit."""

    max_total: int | None = None
    max_per_target: int | None = None

    def allow(self, total: int, per_target: int) -> bool:
        """Return whether one more connection may be kept idle beside those that are."""
        return _below(total, self.max_total) and _below(per_target, self.max_per_target)


def _below(number: int, bound: int | None) -> bool:
    return bound is None or number < bound


__all__ = ["IdleLimits"]
