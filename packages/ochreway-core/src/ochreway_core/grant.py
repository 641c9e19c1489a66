# SPDX-License-Identifier: Apache-2.0
"""A member's promise to one leader at a time."""

from dataclasses import dataclass

from result import Err, Ok, Result

from ochreway_core.ids import NO_EPOCH, Epoch
from ochreway_core.reason import Reason


@dataclass(frozen=True, slots=True)
class DeniedGrant:
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
        self._startup_until_s = now_s + ttl_s
        self._until_s = 0.0
        self.epoch = NO_EPOCH
        self.highest_epoch = NO_EPOCH

    def observe_epoch(self, epoch: Epoch) -> None:
        """Renew nothing below this epoch from now on."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    def request(self, epoch: Epoch, now_s: float) -> Result[None, DeniedGrant]:
        """Grant the epoch or say why not."""
        self.observe_epoch(epoch)
        if epoch < self.highest_epoch:
            return Err(DeniedGrant(Reason.STALE_EPOCH, 0.0))
        if not self.can_grant(epoch, now_s):
            wait_s = max(self._startup_until_s, self._until_s) - now_s
            return Err(DeniedGrant(Reason.GROUP_INCOMPLETE, wait_s))
        self.epoch = epoch
        self._until_s = now_s + self._ttl_s
        return Ok(None)

    def can_grant(self, epoch: Epoch, now_s: float) -> bool:
        """Tell whether nothing granted before stands in the way of the epoch."""
        if now_s < self._startup_until_s:
            return False
        return epoch == self.epoch or now_s >= self._until_s

    def is_fresh(self, epoch: Epoch, now_s: float) -> bool:
        """Tell whether the epoch's grant stands."""
        return epoch == self.epoch and now_s < self._until_s

    def end_grant(self, epoch: Epoch) -> None:
        """Forget a grant that its leader gave back."""
        if epoch == self.epoch:
            self._until_s = 0.0


__all__ = ["DeniedGrant", "MemberGrant"]
