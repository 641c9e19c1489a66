# SPDX-License-Identifier: Apache-2.0
"""Least expected time to first token."""

from collections.abc import Sequence

from ochreway_core.rendezvous import weight
from ochreway_routing.estimate import average_load, expected_first_token_s
from ochreway_routing.policy import Policy, policy
from ochreway_routing.query import RouteQuery
from ochreway_routing.replica import ReplicaView

TIE_S = 0.03
"""Replicas whose cost is within this of the least count as tied."""


@policy("cost")
class CostPolicy(Policy):
    """Choose the replica with the least expected time to first token.

    Replicas within 30 ms of the least are tied. The caller's rendezvous order breaks the tie, so
    that entries agree without communication and a caller's next turn finds its conversation
    cached.
    """

    def choose(
        self, query: RouteQuery, replicas: Sequence[ReplicaView], now_s: float
    ) -> ReplicaView:
        """Return the replica with the least expected cost."""
        tuning = self.tuning
        average = average_load(replicas)
        prefill_weight = tuning.prefill_weight + tuning.pressure_weight * average.backlog_s
        costs = [
            expected_first_token_s(query, each, average, tuning, self.hall, now_s, prefill_weight)
            for each in replicas
        ]
        bound_s = min(costs) + TIE_S
        tied = [each for each, cost in zip(replicas, costs, strict=True) if cost <= bound_s]
        if len(tied) == 1:
            return tied[0]
        key = query.caller
        return max(tied, key=lambda each: weight(key, each.group))
