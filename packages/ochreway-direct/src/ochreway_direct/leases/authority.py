# SPDX-License-Identifier: Apache-2.0
"""Authority of the lease holder to give orders, which ends in time."""

from collections.abc import Callable

from ochreway_direct.entries.peers import FORWARDING_DELAY_S, Peers
from ochreway_direct.leases.lease import Lease
from ochreway_direct.timing import DirectTiming


class Authority:
    """Decide whether this process may give orders as lease holder.

    Another process acquires the lease once it has not heard of the holder for ``peer_silent_s``.
    The holder's authority is therefore in doubt after it stood still for about as long, while it
    hears no other entry and the store confirms nothing, and when an engine shows a newer epoch.

    A renewal that was sent after the doubt arose ends it. So does contact: every entry whose
    heartbeats are expected was heard since, and news of a newer holder would have arrived.
    """

    def __init__(
        self, lease: Lease, peers: Peers, timing: DirectTiming, on_doubt: Callable[[str], None]
    ) -> None:
        """Start without doubt; ``on_doubt`` is called with the cause of each new one."""
        self._lease = lease
        self._peers = peers
        self._on_doubt = on_doubt
        # A heartbeat may have been due when the process stood still, and another is on its way.
        self._max_pause_s = timing.peer_silent_s - 2 * timing.heartbeat_s
        self._max_unconfirmed_s = timing.lease_renew_s + timing.peer_silent_s
        self._news_delay_s = timing.peer_silent_s + FORWARDING_DELAY_S
        self._checked_s: float | None = None
        self._doubted_s: float | None = None

    @property
    def in_doubt(self) -> bool:
        """Return whether the authority was in doubt at the latest check."""
        return self._doubted_s is not None

    def doubt(self, cause: str, now_s: float) -> None:
        """Give no orders until the lease is confirmed, which is tried at once."""
        if not self._lease.held:
            return
        if self._doubted_s is None:
            self._on_doubt(cause)
        self._doubted_s = now_s

    def may_order(self, now_s: float) -> bool:
        """Return whether orders may be given now; called at least with each tick."""
        paused_s = now_s - self._checked_s if self._checked_s is not None else 0.0
        self._checked_s = now_s
        if not self._lease.held:
            self._doubted_s = None
            return False
        if paused_s > self._max_pause_s:
            self.doubt("paused", now_s)
        unconfirmed_s = now_s - self._lease.confirmed_s
        if unconfirmed_s > self._max_unconfirmed_s and self._peers.is_isolated(now_s):
            self.doubt("isolated", now_s)
        if self._doubted_s is None:
            return True
        if self._is_confirmed(self._doubted_s, now_s):
            self._doubted_s = None
            return True
        self._lease.renew_at_once()
        return False

    def _is_confirmed(self, doubted_s: float, now_s: float) -> bool:
        if self._lease.confirmed_s > doubted_s:
            return True
        expected = self._peers.expected_nodes()
        heard = expected and self._peers.heard_since(expected, doubted_s)
        return bool(heard) and now_s - doubted_s >= self._news_delay_s


__all__ = ["Authority"]
