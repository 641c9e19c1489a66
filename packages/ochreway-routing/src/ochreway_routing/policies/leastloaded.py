# SPDX-License-Identifier: Apache-2.0
"""Less loaded of two random replicas."""

from collections.abc import Sequence

from ochreway_routing.policy import Policy, policy
from ochreway_routing.query import RouteQuery
from ochreway_routing.replica import ReplicaView


@policy("least_loaded")
class LeastLoaded(Policy):
    """Sample two replicas and choose the one with less work, as reported and sent since."""

    def choose(
        self, query: RouteQuery, replicas: Sequence[ReplicaView], now_s: float
    ) -> ReplicaView:
        """Return the less loaded of two random replicas."""
        drawn = self.random.sample(range(len(replicas)), min(2, len(replicas)))
        return min((replicas[index] for index in drawn), key=_load)


def _load(replica: ReplicaView) -> float:
    return (replica.in_flight + replica.queued + len(replica.unreported)) / replica.slots
