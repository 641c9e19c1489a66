# SPDX-License-Identifier: Apache-2.0
"""Round robin."""

from collections.abc import Sequence

from ochreway_routing.policy import Policy, policy
from ochreway_routing.query import RouteQuery
from ochreway_routing.replica import ReplicaView


@policy("round_robin")
class RoundRobin(Policy):
    """Choose each replica in turn."""

    _turn = 0

    def choose(
        self, query: RouteQuery, replicas: Sequence[ReplicaView], now_s: float
    ) -> ReplicaView:
        """Return the next replica."""
        self._turn += 1
        return replicas[self._turn % len(replicas)]
