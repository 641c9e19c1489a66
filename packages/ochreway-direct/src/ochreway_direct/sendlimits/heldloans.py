# SPDX-License-Identifier: Apache-2.0
"""Loans of this entry: the current one, and those whose requests may still count."""

import math

from ochreway_direct.ids import ServiceName
from ochreway_direct.sendlimits.heldloan import HeldLoan
from ochreway_direct.sendlimits.loan import LOAN_DURATION_S, Loan

MAX_WRITE_DELAY_S = 0.6
"""Longest time to connect to a target before a request that is under way is written."""
SENT_LAPSE_S = MAX_WRITE_DELAY_S + 1.0 + 0.2
"""How long requests count after their loan or process ended: the write, the second of the limit
and a margin."""


class HeldLoans:
    """Hold the current loan, and refuse loans of a lease older than the newest one heard of."""

    def __init__(self) -> None:
        self.newest_lease = 0
        self._loan = Loan()
        self._ends_s = -math.inf
        self._ended: list[tuple[Loan, float]] = []

    def observe_lease(self, lease: int) -> bool:
        """Record that a lease was acquired; return whether it is newer than all before."""
        if lease <= self.newest_lease:
            return False
        self.newest_lease = lease
        return True

    def accept(self, loan: Loan, echo_s: float, now_s: float) -> bool:
        """Replace the current loan, unless the new one is of an older lease.

        A loan that names no lease is of a holder of the previous build. Holders of this build
        wait until all such loans have lapsed.
        """
        if loan.lease and loan.lease < self.newest_lease:
            return False
        self.newest_lease = max(self.newest_lease, loan.lease)
        self._record_end(now_s)
        self._loan, self._ends_s = loan, echo_s + LOAN_DURATION_S
        return True

    def _record_end(self, now_s: float) -> None:
        """Keep the loan that ends now or has ended, as its requests still count."""
        ended_s = min(now_s, self._ends_s)
        kept = [(loan, at) for loan, at in self._ended if now_s - at < SENT_LAPSE_S]
        if self._loan.shares and now_s - ended_s < SENT_LAPSE_S:
            kept = [(loan, at) for loan, at in kept if loan != self._loan]
            kept.append((self._loan, ended_s))
        self._ended = kept

    def share_of(self, service: ServiceName, now_s: float) -> int:
        """Return the requests per second borrowed for each target of a service."""
        return self._loan.shares.get(service, 0) if now_s < self._ends_s else 0

    def total(self, now_s: float) -> int:
        """Return the sum of all shares borrowed."""
        return sum(self._loan.shares.values()) if now_s < self._ends_s else 0

    def report(self, now_s: float) -> tuple[HeldLoan, ...]:
        """Return the loans whose requests may still count, with the time until each ends."""
        loans = [*self._ended, (self._loan, self._ends_s)]
        return tuple(
            HeldLoan(loan.shares, ends_s - now_s, loan.lease)
            for loan, ends_s in loans
            if loan.shares and now_s - ends_s < SENT_LAPSE_S
        )


__all__ = ["MAX_WRITE_DELAY_S", "SENT_LAPSE_S", "HeldLoans"]
