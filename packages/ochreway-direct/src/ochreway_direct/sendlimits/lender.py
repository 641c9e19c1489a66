# SPDX-License-Identifier: Apache-2.0
"""Lending of an allowance by the holder of the lease."""

import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from ochreway_core.ids import NodeId
from ochreway_direct.ids import ServiceName
from ochreway_direct.sendlimits.loan import LOAN_DURATION_S, Loan

MAX_RENEWAL_AGE_S = 3.0
"""How long after the start of its last successful renewal a holder lends: 1.5 renewal intervals."""
MAX_WRITE_DELAY_S = 0.6
"""Longest time to connect to a target before a request that is under way is written."""
LOAN_LAPSE_S = LOAN_DURATION_S + MAX_WRITE_DELAY_S + 1.0 + 0.2
"""Time after which nothing sent under a loan counts: one second of the limit plus a margin."""
NEW_HOLDER_DELAY_S = MAX_RENEWAL_AGE_S + LOAN_LAPSE_S
"""How long a new holder lends nothing, so that all loans of the former one have lapsed."""
MIN_WEIGHT = 0.05
"""Weight of an entry without callers, in the number of groups kept busy."""


@dataclass(frozen=True, slots=True)
class _OutstandingLoan:
    share: int
    counts_until_s: float


class Lender:
    """Lend in proportion to the entries' demand, never more than the total at a time."""

    def __init__(
        self, new_holder_delay_s: float = NEW_HOLDER_DELAY_S, loan_lapse_s: float = LOAN_LAPSE_S
    ) -> None:
        """Start with nothing lent; after the given times loans have certainly lapsed."""
        self._new_holder_delay_s = new_holder_delay_s
        self._loan_lapse_s = loan_lapse_s
        self._lease_taken_s = math.inf
        self._outstanding: dict[ServiceName, dict[NodeId, list[_OutstandingLoan]]] = defaultdict(
            dict
        )

    def on_lease_taken(self, now_s: float) -> None:
        """Record that the lease was acquired now."""
        self._lease_taken_s = now_s

    def may_lend(self, renewed_s: float, now_s: float) -> bool:
        """Return whether loans may be made with a lease that was last renewed at ``renewed_s``."""
        return (
            now_s - self._lease_taken_s >= self._new_holder_delay_s
            and now_s - renewed_s < MAX_RENEWAL_AGE_S
        )

    def lend(
        self,
        node: NodeId,
        amounts: Mapping[ServiceName, int],
        weights: Mapping[NodeId, float],
        now_s: float,
    ) -> Loan:
        """Make a loan to an entry, and count it as outstanding until it has lapsed.

        Args:
            node: the borrower.
            amounts: how much may be lent in total for each service.
            weights: demand at each entry.
            now_s: the time.
        """
        granted = {}
        for service, amount in amounts.items():
            share = min(
                _portion(amount, weights, node),
                amount - self._outstanding_to_others(service, node, now_s),
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

    def _expire(self, service: ServiceName, now_s: float) -> None:
        remaining = {}
        for node, loans in self._outstanding[service].items():
            unexpired = [loan for loan in loans if loan.counts_until_s > now_s]
            if unexpired:
                remaining[node] = unexpired
        self._outstanding[service] = remaining


def _largest(loans: list[_OutstandingLoan]) -> int:
    return max((loan.share for loan in loans), default=0)


def _portion(amount: int, weights: Mapping[NodeId, float], node: NodeId) -> int:
    """Return an entry's portion by weight; the leftover goes to the largest remainders."""
    if node not in weights:
        return 0
    total_weight = sum(MIN_WEIGHT + weight for weight in weights.values())
    exact = {n: amount * (MIN_WEIGHT + weight) / total_weight for n, weight in weights.items()}
    leftover = amount - sum(math.floor(portion) for portion in exact.values())
    order = sorted(exact, key=lambda n: (math.floor(exact[n]) - exact[n], n))
    return math.floor(exact[node]) + (node in order[:leftover])


__all__ = ["LOAN_LAPSE_S", "MAX_RENEWAL_AGE_S", "MAX_WRITE_DELAY_S", "NEW_HOLDER_DELAY_S", "Lender"]
