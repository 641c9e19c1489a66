# SPDX-License-Identifier: Apache-2.0
"""A member's promise to one leader at a time."""

from dataclasses import dataclass

from result import Err, Ok, Result

from ochreway_core.ids import NO_EPOCH, Epoch
from ochreway_core.reason import Reason


@dataclass(frozen=True, slots=True)
class Held:
    """Say why a grant is refused and how long that may last."""

    reason: Reason
    wait_s: float


class MemberGrant:
    """Grant one epoch, and a higher one only after the former lapsed or was returned.

    A process that starts has forgotten what it granted, so it grants nothing for one time
    to live.
    """

    def __init__(self, ttl_s: float, now_s: float) -> None:
        self._ttl_s = ttl_s
        self._quiet_until_s = now_s + ttl_s
        self._until_s = 0.0
        self.epoch = NO_EPOCH
        self.highest = NO_EPOCH

    def learn(self, epoch: Epoch) -> None:
        """Renew nothing below this epoch from now on."""
        self.highest = max(self.highest, epoch)

    def request(self, epoch: Epoch, now_s: float) -> Result[None, Held]:
        """Grant the epoch or say why not."""
        self.learn(epoch)
        if epoch < self.highest:
            return Err(Held(Reason.STALE_EPOCH, 0.0))
        if not self.may_move(epoch, now_s):
            wait_s = max(self._quiet_until_s, self._until_s) - now_s
            return Err(Held(Reason.GROUP_INCOMPLETE, wait_s))
        self.epoch = epoch
        self._until_s = now_s + self._ttl_s
        return Ok(None)

    def may_move(self, epoch: Epoch, now_s: float) -> bool:
        """Tell whether nothing granted before stands in the way of the epoch."""
        if now_s < self._quiet_until_s:
            return False
        return epoch == self.epoch or now_s >= self._until_s

    def fresh(self, epoch: Epoch, now_s: float) -> bool:
        """Tell whether the epoch's grant stands."""
        return epoch == self.epoch and now_s < self._until_s

    def returned(self, epoch: Epoch) -> None:
        """Forget a grant that its leader gave back."""
        if epoch == self.epoch:
            self._until_s = 0.0


__all__ = ["Held", "MemberGrant"]
