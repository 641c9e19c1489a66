# SPDX-License-Identifier: Apache-2.0
"""Rendezvous hashing on the prompt's first blocks."""

from collections.abc import Sequence

from ochreway_core.rendezvous import weight
from ochreway_routing.policy import Policy, policy
from ochreway_routing.query import RouteQuery
from ochreway_routing.replica import ReplicaView

KEY_BLOCKS = 2
"""How many leading blocks make up the routing key."""


@policy("prefix_hash")
class PrefixHash(Policy):
    """Send prompts with the same beginning to one replica, whatever its load.

    The routing key follows "We fight GPU scarcity without compromise": a bounded part of the
    prompt that does not change from turn to turn.
    """

    def choose(
        self, query: RouteQuery, replicas: Sequence[ReplicaView], now_s: float
    ) -> ReplicaView:
        """Return the replica that is first in the prefix's rendezvous order."""
        key = repr(query.blocks[:KEY_BLOCKS]) if query.blocks else query.caller
        return max(replicas, key=lambda each: weight(key, each.group))
