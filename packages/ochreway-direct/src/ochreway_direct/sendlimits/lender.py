# SPDX-License-Identifier: Apache-2.0
"""Lending of an allowance by the holder of the lease."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ochreway_core.ids import NodeId
from ochreway_direct.ids import ServiceName
from ochreway_direct.sendlimits.borrower import Borrower
from ochreway_direct.sendlimits.formerloans import FormerLoans
from ochreway_direct.sendlimits.heldloans import SENT_LAPSE_S
from ochreway_direct.sendlimits.loan import LOAN_DURATION_S, Loan
from ochreway_direct.sendlimits.loanbounds import Bounds, highest_bounds
from ochreway_direct.sendlimits.loannews import LoanNews

MAX_RENEWAL_AGE_S = 3.0
"""How long after the start of its last successful renewal a holder lends: 1.5 renewal intervals."""
LOAN_LAPSE_S = LOAN_DURATION_S + SENT_LAPSE_S
"""Time after which nothing sent under a loan counts."""
NEW_HOLDER_DELAY_S = MAX_RENEWAL_AGE_S + LOAN_LAPSE_S
"""How long a new holder lends nothing, so that all loans of the former one have lapsed."""
MIN_WEIGHT = 0.05
"""Weight of an entry without callers, in the number of groups kept busy."""


@dataclass(frozen=True, slots=True)
class _OutstandingLoan:
    share: int
    counts_until_s: float


class Lender:
    """Lend in proportion to the demand of entries, and never more than the total at a time."""

    def __init__(
        self, new_holder_delay_s: float = NEW_HOLDER_DELAY_S, loan_lapse_s: float = LOAN_LAPSE_S
    ) -> None:
        """Start with nothing lent; after the given times loans have certainly lapsed."""
        self._new_holder_delay_s = new_holder_delay_s
        self._loan_lapse_s = loan_lapse_s
        self._lease_taken_s = math.inf
        self.former = FormerLoans()
        self._early_news: dict[Borrower, tuple[LoanNews, float]] = {}
        self._may_hold_until_s: dict[Borrower, float] = {}
        self._outstanding: dict[ServiceName, dict[NodeId, list[_OutstandingLoan]]] = defaultdict(
            dict
        )

    def on_lease_taken(self, now_s: float) -> None:
        """Record that the lease was acquired now."""
        self._lease_taken_s = now_s
        self.former = FormerLoans()
        self._early_news = {}

    def on_register_read(self, bounds: Bounds) -> None:
        """Record all processes to which former holders may have lent, and how much at most."""
        self.former.on_register_read(bounds)
        early_news, self._early_news = self._early_news, {}
        for sender, (news, received_s) in early_news.items():
            self._apply_news(sender, news, received_s)

    def on_news(self, sender: Borrower, news: LoanNews, lease: int, now_s: float) -> None:
        """Record what a process still holds, if it has heard of this holder's lease."""
        if news.lease < lease or self.wait_over(now_s):
            return
        if self.former.register_known:
            self._apply_news(sender, news, now_s)
        else:
            self._early_news[sender] = (news, now_s)

    def _apply_news(self, sender: Borrower, news: LoanNews, now_s: float) -> None:
        if not self.former.on_answer(sender, news.running_s, now_s):
            return
        for held in news.held:
            counts_until_s = now_s + held.ends_in_s + self._loan_lapse_s - LOAN_DURATION_S
            self._extend(sender, counts_until_s)
            for service, share in held.shares.items():
                loans = self._outstanding[service].setdefault(sender.node, [])
                loans.append(_OutstandingLoan(share, counts_until_s))

    def wait_over(self, now_s: float) -> bool:
        """Return whether all loans of former holders have lapsed, whatever they were."""
        return now_s - self._lease_taken_s >= self._new_holder_delay_s

    def knows_former(self, now_s: float) -> bool:
        """Return whether every process that may hold a former loan is known or has none left."""
        return self.former.register_known or self.wait_over(now_s)

    def may_lend(self, renewed_s: float, now_s: float) -> bool:
        """Return whether loans may be made with a lease that was last renewed at ``renewed_s``."""
        return self.knows_former(now_s) and now_s - renewed_s < MAX_RENEWAL_AGE_S

    def possible_bounds(self, now_s: float) -> Bounds:
        """Return the processes that may hold a loan of this or a former holder, and how much."""
        self._may_hold_until_s = {b: s for b, s in self._may_hold_until_s.items() if s > now_s}
        bounds = {
            borrower: {
                service: _largest(by_node.get(borrower.node, []))
                for service, by_node in self._outstanding.items()
            }
            for borrower in self._may_hold_until_s
        }
        return highest_bounds(bounds, {} if self.wait_over(now_s) else self.former.bounds(now_s))

    def desired_bounds(
        self,
        borrowers: Iterable[Borrower],
        me: Borrower,
        amounts: Mapping[ServiceName, int],
        weights: Mapping[NodeId, float],
    ) -> Bounds:
        """Return bounds with some room above the portion of each borrower except the holder.

        If the holder is lost, the next one subtracts its bound from what it lends at first.
        """
        portions = _portions_by_service(amounts, weights)
        bounds = {}
        for borrower in borrowers:
            own = {service: each.get(borrower.node, 0) for service, each in portions.items()}
            has_room = borrower != me
            bounds[borrower] = {
                service: min(amounts[service], portion + (max(portion, 1) if has_room else 0))
                for service, portion in own.items()
            }
        return bounds

    def exceeds(
        self,
        bounds: Bounds,
        amounts: Mapping[ServiceName, int],
        weights: Mapping[NodeId, float],
    ) -> bool:
        """Return whether the portion of any borrower is larger than its bound."""
        portions = _portions_by_service(amounts, weights)
        return any(
            each.get(borrower.node, 0) > shares.get(service, 0)
            for borrower, shares in bounds.items()
            for service, each in portions.items()
        )

    def record_borrower(self, borrower: Borrower, now_s: float) -> None:
        """Record that a process is lent to now."""
        self._extend(borrower, now_s + self._loan_lapse_s)

    def _extend(self, borrower: Borrower, until_s: float) -> None:
        known_s = self._may_hold_until_s.get(borrower, -math.inf)
        self._may_hold_until_s[borrower] = max(known_s, until_s)

    def keeps_former_loan(
        self, node: NodeId, shares: Mapping[ServiceName, int], now_s: float
    ) -> bool:
        """Return whether a borrower is better off with its former loan than with these shares.

        That is so while loans of former holders are subtracted from what is lent, and before the
        borrower has reported what it holds.
        """
        if self.wait_over(now_s) or not self.former.possible(now_s):
            return False
        if any(each.node == node for each in self.former.unanswered()):
            return True
        return any(
            loan.share > shares.get(service, 0) and loan.counts_until_s - SENT_LAPSE_S > now_s
            for service, by_node in self._outstanding.items()
            for loan in by_node.get(node, [])
        )

    def lend(
        self,
        node: NodeId,
        amounts: Mapping[ServiceName, int],
        weights: Mapping[NodeId, float],
        now_s: float,
        bounds: Mapping[ServiceName, int] | None = None,
    ) -> Loan:
        """Make a loan to an entry, and count it as outstanding until it has lapsed.

        Args:
            node: the borrower's entry.
            amounts: how much may be lent in total for each service.
            weights: demand at each entry.
            now_s: the time.
            bounds: the most that may be lent to it for each service; None if there is no bound.
        """
        granted = {}
        for service, amount in amounts.items():
            share = min(
                _portions(amount, weights).get(node, 0),
                amount
                - self._outstanding_to_others(service, node, now_s)
                - self._unknown_share(service, now_s),
                amount if bounds is None else bounds.get(service, 0),
            )
            if share > 0:
                granted[service] = share
                new_loan = _OutstandingLoan(share, now_s + self._loan_lapse_s)
                self._outstanding[service].setdefault(node, []).append(new_loan)
        return Loan(granted)

    def outstanding(self, service: ServiceName, now_s: float) -> int:
        """Return how much of what was lent may still be in use."""
        self._expire(service, now_s)
        return sum(_largest(loans) for loans in self._outstanding[service].values())

    def _outstanding_to_others(self, service: ServiceName, node: NodeId, now_s: float) -> int:
        """Return how much of what was lent may still be in use by other entries."""
        return self.outstanding(service, now_s) - _largest(self._outstanding[service].get(node, []))

    def _unknown_share(self, service: ServiceName, now_s: float) -> int:
        """Return how much former holders may have lent to processes that have not answered."""
        return 0 if self.wait_over(now_s) else self.former.unknown_share(service, now_s)

    def _expire(self, service: ServiceName, now_s: float) -> None:
        remaining = {}
        for node, loans in self._outstanding[service].items():
            unexpired = [loan for loan in loans if loan.counts_until_s > now_s]
            if unexpired:
                remaining[node] = unexpired
        self._outstanding[service] = remaining


def _largest(loans: list[_OutstandingLoan]) -> int:
    return max((loan.share for loan in loans), default=0)


def _portions_by_service(
    amounts: Mapping[ServiceName, int], weights: Mapping[NodeId, float]
) -> dict[ServiceName, dict[NodeId, int]]:
    return {service: _portions(amount, weights) for service, amount in amounts.items()}


def _portions(amount: int, weights: Mapping[NodeId, float]) -> dict[NodeId, int]:
    """Return the entries' portions by weight; the leftover goes to the largest remainders."""
    total_weight = sum(MIN_WEIGHT + weight for weight in weights.values())
    exact = {n: amount * (MIN_WEIGHT + weight) / total_weight for n, weight in weights.items()}
    portions = {n: math.floor(portion) for n, portion in exact.items()}
    order = sorted(exact, key=lambda n: (portions[n] - exact[n], n))
    for node in order[: amount - sum(portions.values())]:
        portions[node] += 1
    return portions


__all__ = ["LOAN_LAPSE_S", "MAX_RENEWAL_AGE_S", "NEW_HOLDER_DELAY_S", "Lender"]
