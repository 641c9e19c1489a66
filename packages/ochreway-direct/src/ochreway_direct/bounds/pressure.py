# SPDX-License-Identifier: Apache-2.0
"""Pressure on a bounded resource, with hysteresis."""

from dataclasses import dataclass

NEVER_S = -1.0e9
MAX_HOLD_S = 10.0
"""How long a resource stays under pressure after its use fell below the entering share.

Callers that stay connected may keep the use above the leaving share; without a timeout, an entry
with spare capacity would get no new callers for good.
"""


@dataclass(slots=True)
class Pressure:
    """Hold whether use is near a bound: from the entering share until the leaving one or a timeout.

    ``enter_share`` and ``exit_share`` are shares of the bound.
    """

    enter_share: float
    exit_share: float
    near: bool = False
    last_reached_s: float = NEVER_S

    def update(self, share: float, now_s: float) -> bool:
        """Update the share in use; return whether ``near`` has changed."""
        before = self.near
        if share >= self.enter_share:
            self.last_reached_s = now_s
        held = share >= self.exit_share and now_s - self.last_reached_s < MAX_HOLD_S
        self.near = share >= self.enter_share or (before and held)
        return self.near is not before


__all__ = ["MAX_HOLD_S", "Pressure"]
