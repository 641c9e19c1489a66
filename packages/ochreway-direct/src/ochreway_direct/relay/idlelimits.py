# SPDX-License-Identifier: Apache-2.0
"""How many idle connections to targets may rest."""

from dataclasses import dataclass


@dataclass(slots=True)
class IdleLimits:
    """Bound resting connections, in all and at one target; ``None``: any number."""

    max_total: int | None = None
    max_per_target: int | None = None

    def allow(self, total: int, per_target: int) -> bool:
        """Tell whether one more may rest beside those that do."""
        return _below(total, self.max_total) and _below(per_target, self.max_per_target)


def _below(number: int, bound: int | None) -> bool:
    return bound is None or number < bound


__all__ = ["IdleLimits"]
