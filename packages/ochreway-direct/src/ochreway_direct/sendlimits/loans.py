# SPDX-License-Identifier: Apache-2.0
"""Exchange of loans with heartbeats."""

from collections.abc import Callable, Iterable, Mapping

from ochreway_core.ids import NodeId
from ochreway_direct.leases.lease import Lease
from ochreway_direct.sendlimits.fleetlimit import FleetLimit
from ochreway_direct.sendlimits.lender import Lender
from ochreway_direct.sendlimits.loan import Loan


class Loans:
    """Lend while this entry holds the lease, and borrow from its holder.

    Args:
        me: this entry.
        limit: the limit that borrowed shares add to.
        lease: the coordinator's lease.
        weights: returns the demand at each connected entry, including this one.
        lender: makes the loans; by default with the usual times.
    """

    def __init__(
        self,
        me: NodeId,
        limit: FleetLimit,
        lease: Lease,
        weights: Callable[[float], Mapping[NodeId, float]],
        lender: Lender | None = None,
    ) -> None:
        self._me = me
        self._limit = limit
        self._lease = lease
        self._weights = weights
        self._lender = lender or Lender()
        self._lease_taken_at = 0

    def refresh(self, names: Iterable[NodeId], any_alive: bool, now_s: float) -> None:
        """Update the known entries, and lend to this entry itself."""
        self._limit.update_entries(names, any_alive, now_s)
        loan = self.lend(self._me, now_s)
        if loan is not None:
            self._limit.borrow(loan, now_s, now_s)

    def lend(self, node: NodeId, now_s: float) -> Loan | None:
        """Return the loan for a heartbeat that is sent to an entry now, if any."""
        if not self._lease.held:
            return None
        if self._lease_taken_at != self._lease.acquired_revision:
            self._lease_taken_at = self._lease.acquired_revision
            self._lender.on_lease_taken(now_s)
        amounts = self._limit.lendable()
        if not amounts or not self._lender.may_lend(self._lease.renewed_s, now_s):
            return None
        return self._lender.lend(node, amounts, self._weights(now_s), now_s)

    def borrow(self, loan: Loan | None, echo_s: float | None, now_s: float) -> None:
        """Accept a heartbeat's loan, if it echoes a time of this incarnation."""
        if loan is not None and echo_s is not None:
            self._limit.borrow(loan, echo_s, now_s)

    def outstanding(self, now_s: float) -> int:
        """Return how much this entry has lent as holder of the lease."""
        return sum(self._lender.outstanding(name, now_s) for name in self._limit.lendable())


__all__ = ["Loans"]
