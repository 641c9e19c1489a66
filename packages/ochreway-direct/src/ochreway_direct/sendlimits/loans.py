# SPDX-License-Identifier: Apache-2.0
"""Exchange of loans with heartbeats."""

import math
from collections.abc import Callable, Collection, Iterable, Mapping

from ochreway_core.ids import NodeId
from ochreway_direct.leases.lease import Lease
from ochreway_direct.sendlimits.borrower import Borrower
from ochreway_direct.sendlimits.fleetlimit import FleetLimit
from ochreway_direct.sendlimits.lender import NEW_HOLDER_DELAY_S, Lender
from ochreway_direct.sendlimits.loan import Loan
from ochreway_direct.sendlimits.loanbounds import Bounds, highest_bounds
from ochreway_direct.sendlimits.loannews import LoanNews
from ochreway_direct.sendlimits.loanregister import LoanRegister

GROWTH_INTERVAL_S = 1.0
"""Minimum time between two writes of the register for demand that moves between borrowers."""


class Loans:
    """Lend while this entry holds the lease, and borrow from its holder.

    Args:
        me: this process.
        limit: the limit that borrowed shares add to.
        lease: the coordinator's lease.
        weights: returns the demand at each connected entry, including this one.
        lender: makes the loans; by default with the usual times.
        register: names the borrowers in the table. Without one, a new holder of the lease always
            waits until the loans of the former one have lapsed.
    """

    def __init__(
        self,
        me: Borrower,
        limit: FleetLimit,
        lease: Lease,
        weights: Callable[[float], Mapping[NodeId, float]],
        lender: Lender | None = None,
        register: LoanRegister | None = None,
    ) -> None:
        self._me = me
        self._limit = limit
        self._lease = lease
        self._weights = weights
        self.lender = lender or Lender()
        self.register = register
        self._lending_lease = 0
        self._processes: dict[NodeId, Borrower] = {me.node: me}
        self._registered_s = -math.inf
        self._ended_s: dict[Borrower, float] = {}

    # Messages.

    def refresh(
        self,
        names: Iterable[NodeId],
        any_alive: bool,
        now_s: float,
        alive: Collection[NodeId] = (),
    ) -> None:
        """Update the known entries, and lend to this entry itself."""
        nodes = {*names, self._me.node}
        self._processes = {n: each for n, each in self._processes.items() if n in nodes}
        self._ended_s = {p: s for p, s in self._ended_s.items() if now_s - s < NEW_HOLDER_DELAY_S}
        self._limit.update_entries(nodes - {self._me.node}, any_alive, now_s, alive)
        self.on_lease(now_s)
        self._count_own_loans(now_s)
        loan = self.lend(self._me.node, now_s)
        if loan is not None:
            self._limit.borrow(loan, now_s, now_s)

    def on_lease(self, now_s: float) -> None:
        """Prepare to lend under a lease that was acquired since the last call."""
        if self._lease.held and self._lending_lease != self._lease.acquired_revision:
            self._lending_lease = self._lease.acquired_revision
            self._limit.held.observe_lease(self._lending_lease)
            self.lender.on_lease_taken(now_s)
            if self.register is not None:
                self.register.discard()

    def _count_own_loans(self, now_s: float) -> None:
        news = self.news(now_s)
        if news is not None and self._lease.held:
            self.lender.on_news(self._me, news, self._lending_lease, now_s)

    def lend(self, node: NodeId, now_s: float) -> Loan | None:
        """Return the loan for a heartbeat that is sent to an entry now, if any."""
        if not self._lease.held:
            return None
        self.on_lease(now_s)
        amounts = self._limit.lendable()
        if not amounts or not self.lender.may_lend(self._lease.renewed_s, now_s):
            return None
        if self.register is None:
            return self.lender.lend(node, amounts, self._weights(now_s), now_s)
        borrower = self._processes.get(node)
        bounds = self.register.registered.get(borrower) if borrower is not None else None
        if borrower is None or bounds is None or self._is_superseded():
            return None
        if self.is_ended(borrower):
            return None
        loan = self.lender.lend(node, amounts, self._running_weights(now_s), now_s, bounds)
        if self.lender.keeps_former_loan(node, loan.shares, now_s):
            return None
        self.lender.record_borrower(borrower, now_s)
        return Loan(loan.shares, self._lending_lease, borrower.incarnation)

    def _running_weights(self, now_s: float) -> Mapping[NodeId, float]:
        """Return the demand at each connected entry whose process is not known to have ended."""
        ended = {process.node for process in self._processes.values() if self.is_ended(process)}
        return {node: each for node, each in self._weights(now_s).items() if node not in ended}

    def _is_superseded(self) -> bool:
        """Return whether this entry has heard of a newer lease than its own."""
        return self._limit.held.newest_lease > self._lending_lease

    def borrow(self, loan: Loan | None, echo_s: float | None, now_s: float) -> None:
        """Accept a heartbeat's loan, if it echoes a time of this incarnation."""
        if loan is None or echo_s is None:
            return
        if loan.incarnation in ("", self._me.incarnation):
            self._limit.borrow(loan, echo_s, now_s)

    def news(self, now_s: float) -> LoanNews | None:
        """Return the report of this entry's loans; None without a cold start rate."""
        if self.register is None or not self._limit.allowances():
            return None
        held = self._limit.held
        return LoanNews(held.newest_lease, held.report(now_s), self._limit.running_s(now_s))

    def on_news(self, sender: Borrower, news: LoanNews | None, now_s: float) -> bool:
        """Record another process and its loans; return whether it knows of a newer lease."""
        self._processes[sender.node] = sender
        self._ended_s.pop(sender, None)
        if news is None or self.register is None:
            return False
        if self._lease.held:
            self.on_lease(now_s)
            self.lender.on_news(sender, news, self._lending_lease, now_s)
        return self._limit.held.observe_lease(news.lease)

    # Register.

    def bounds_to_register(self, now_s: float) -> Bounds | None:
        """Return what to register, if the borrowers change or one needs more than its bound."""
        if self.register is None:
            return None
        weights, amounts = self._running_weights(now_s), self._limit.lendable()
        in_contact = [self._processes[node] for node in weights if node in self._processes]
        possible, registered = self.lender.possible_bounds(now_s), self.register.registered
        if registered.keys() == {*in_contact, *possible}:
            grown = self.lender.exceeds(registered, amounts, weights)
            if not grown or now_s - self._registered_s < GROWTH_INTERVAL_S:
                return None
        self._registered_s = now_s
        desired = self.lender.desired_bounds(in_contact, self._me, amounts, weights)
        return highest_bounds(desired, possible)

    def on_ended(self, process: Borrower, now_s: float) -> None:
        """Record that a process has ended by now."""
        ended_s = self._ended_s.setdefault(process, now_s)
        self.lender.former.on_ended(process, ended_s)

    def is_ended(self, process: Borrower) -> bool:
        """Return whether a process is known to have ended."""
        return process in self._ended_s

    def take_over(self, bounds: Bounds) -> None:
        """Record the register of the former holder, and which of its borrowers have ended."""
        self.lender.on_register_read(bounds)
        for process, ended_s in self._ended_s.items():
            self.lender.former.on_ended(process, ended_s)

    def process_of(self, node: NodeId) -> Borrower | None:
        """Return the process that was last heard under an entry's name."""
        return self._processes.get(node)

    @property
    def has_allowances(self) -> bool:
        """Return whether a service of the configuration has a cold start rate."""
        return bool(self._limit.allowances())

    def unanswered(self, now_s: float) -> frozenset[Borrower]:
        """Return the processes whose former loans this holder of the lease does not know yet."""
        if not self._lease.held or self.lender.wait_over(now_s):
            return frozenset()
        return self.lender.former.unanswered()

    def may_lend(self, now_s: float) -> bool:
        """Return whether this entry lends now."""
        return self._lease.held and self.lender.may_lend(self._lease.renewed_s, now_s)

    def lends_all(self, now_s: float) -> bool:
        """Return whether this entry lends, and no former loan is unknown to it any more."""
        resolved = self.lender.wait_over(now_s) or not self.lender.former.possible(now_s)
        return resolved and self.may_lend(now_s)

    def outstanding(self, now_s: float) -> int:
        """Return how much this entry has lent as holder of the lease."""
        return sum(self.lender.outstanding(name, now_s) for name in self._limit.lendable())


__all__ = ["Loans"]
