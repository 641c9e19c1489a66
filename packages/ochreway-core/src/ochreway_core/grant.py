# SPDX-License-Identifier: Apache-2.0
"""A member's grant to one leader at a time."""

from dataclasses import dataclass

from result import Err, Ok, Result

from ochreway_core.ids import NO_EPOCH, Epoch
from ochreway_core.reason import Reason


@dataclass(frozen=True, slots=True)
class DeniedGrant:
    """Hold why a grant is refused and how long that may last."""

    reason: Reason
    wait_s: float


class MemberGrant:
    """Grant one epoch, and a higher one only after the former lapsed or was returned.

    A restarted process does not know what it granted before, so it grants nothing for one TTL.
    """

    def __init__(self, ttl_s: float, now_s: float) -> None:
        self._ttl_s = ttl_s
        self._startup_until_s = now_s + ttl_s
        self._until_s = 0.0
        self.epoch = NO_EPOCH
        self.highest_epoch = NO_EPOCH

    def observe_epoch(self, epoch: Epoch) -> None:
        """Record an epoch; grants of lower ones are no longer renewed."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    def request(self, epoch: Epoch, now_s: float) -> Result[None, DeniedGrant]:
        """Grant or renew an epoch, or return why not."""
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
        """Return whether no earlier grant prevents granting the epoch."""
        if now_s < self._startup_until_s:
            return False
        return epoch == self.epoch or now_s >= self._until_s

    def is_fresh(self, epoch: Epoch, now_s: float) -> bool:
        """Return whether the epoch's grant is valid now."""
        return epoch == self.epoch and now_s < self._until_s

    def end_grant(self, epoch: Epoch) -> None:
        """End a grant that its leader returned."""
        if epoch == self.epoch:
            self._until_s = 0.0


__all__ = ["DeniedGrant", "MemberGrant"]
