# SPDX-License-Identifier: Apache-2.0
"""Caller affinity."""

from collections.abc import Sequence

from ochreway_core.rendezvous import weight
from ochreway_routing.policy import Policy, policy
from ochreway_routing.query import RouteQuery
from ochreway_routing.replica import ReplicaView


@policy("sticky")
class Sticky(Policy):
    """Send a caller to the replica that is first in the caller's rendezvous order."""

    def choose(
        self, query: RouteQuery, replicas: Sequence[ReplicaView], now_s: float
    ) -> ReplicaView:
        """Return the caller's replica."""
        return max(replicas, key=lambda each: weight(query.caller, each.group))
