# SPDX-License-Identifier: Apache-2.0
"""Lending parts of an allowance, as holder of the lease."""

import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from ochreway_core.ids import NodeId
from ochreway_direct.ids import ServiceName
from ochreway_direct.sendlimits.loan import LENT_S, Loan

RENEWED_S = 3.0
"""For how long after it asked for its last good renewal a holder lends: a renewal and a half."""
WRITTEN_WITHIN_S = 0.6
"""How long a connection to a target may take until a request that was chosen is written."""
LAPSED_S = LENT_S + WRITTEN_WITHIN_S + 1.0 + 0.2
"""After what time nothing that was sent by a loan counts any more: with the second and a margin."""
QUIET_S = RENEWED_S + LAPSED_S
"""How long a new holder lends nothing, until all loans of the former one have lapsed."""
LEAST_WEIGHT = 0.05
"""What an entry without callers counts beside the others, in groups kept busy."""


@dataclass(frozen=True, slots=True)
class _Lent:
    share: int
    until_s: float


class Lender:
    """Lend by what entries are asked for, never more at a time than there is to lend."""

    def __init__(self, quiet_s: float = QUIET_S, lapsed_s: float = LAPSED_S) -> None:
        """Start with nothing lent; the times are those after which loans have surely lapsed."""
        self._quiet_s = quiet_s
        self._lapsed_s = lapsed_s
        self._begun_s = math.inf
        self._lent: dict[ServiceName, dict[NodeId, list[_Lent]]] = defaultdict(dict)

    def begin(self, now_s: float) -> None:
        """Note that the lease was taken now."""
        self._begun_s = now_s

    def lends(self, renewed_s: float, now_s: float) -> bool:
        """Tell whether loans may be made by a lease that was last renewed at a time."""
        return now_s - self._begun_s >= self._quiet_s and now_s - renewed_s < RENEWED_S

    def lend(
        self,
        node: NodeId,
        parts: Mapping[ServiceName, int],
        weights: Mapping[NodeId, float],
        now_s: float,
    ) -> Loan:
        """Return what an entry is lent now, and count it until it has lapsed.

        Args:
            node: the borrower.
            parts: how much there is to lend for each service.
            weights: what each entry is asked for.
            now_s: the time.
        """
        granted = {}
        for service, part in parts.items():
            share = min(_portion(part, weights, node), part - self._others(service, node, now_s))
            if share > 0:
                granted[service] = share
                lent = _Lent(share, now_s + self._lapsed_s)
                self._lent[service].setdefault(node, []).append(lent)
        return Loan(granted)

    def lent(self, service: ServiceName, now_s: float) -> int:
        """Return how much may be in use of what was lent."""
        self._expire(service, now_s)
        return sum(_largest(loans) for loans in self._lent[service].values())

    def _others(self, service: ServiceName, node: NodeId, now_s: float) -> int:
        """Return how much entries other than one may still use of what was lent."""
        return self.lent(service, now_s) - _largest(self._lent[service].get(node, []))

    def _expire(self, service: ServiceName, now_s: float) -> None:
        kept = {}
        for node, loans in self._lent[service].items():
            left = [each for each in loans if each.until_s > now_s]
            if left:
                kept[node] = left
        self._lent[service] = kept


def _largest(loans: list[_Lent]) -> int:
    return max((each.share for each in loans), default=0)


def _portion(part: int, weights: Mapping[NodeId, float], node: NodeId) -> int:
    """Return an entry's portion by weight; what is left over goes to the largest remainders."""
    if node not in weights:
        return 0
    whole = sum(LEAST_WEIGHT + each for each in weights.values())
    exact = {n: part * (LEAST_WEIGHT + each) / whole for n, each in weights.items()}
    left = part - sum(math.floor(each) for each in exact.values())
    order = sorted(exact, key=lambda n: (math.floor(exact[n]) - exact[n], n))
    return math.floor(exact[node]) + (node in order[:left])


__all__ = ["LAPSED_S", "QUIET_S", "RENEWED_S", "WRITTEN_WITHIN_S", "Lender"]
