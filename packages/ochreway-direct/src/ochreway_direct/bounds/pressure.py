# SPDX-License-Identifier: Apache-2.0
"""Whether a resource is near its bound, with hysteresis."""

from dataclasses import dataclass

NEVER_S = -1.0e9
MAX_HOLD_S = 10.0
"""For how long an entry stays near after its use fell below the share at which that begins.

Callers that stay connected keep a use from falling further; without an end an entry that has room
would be passed over by new callers for good.
"""


@dataclass(slots=True)
class Pressure:
    """Hold whether use is near a bound: from one share, until below a smaller one or a timeout."""

    enter_share: float
    exit_share: float
    near: bool = False
    last_reached_s: float = NEVER_S

    def update(self, share: float, now_s: float) -> bool:
        """Take the share that is used now; return whether ``near`` has changed."""
        before = self.near
        if share >= self.enter_share:
            self.last_reached_s = now_s
        held = share >= self.exit_share and now_s - self.last_reached_s < MAX_HOLD_S
        self.near = share >= self.enter_share or (before and held)
        return self.near is not before


__all__ = ["MAX_HOLD_S", "Pressure"]
