# SPDX-License-Identifier: Apache-2.0
"""Which part of each limit every entry has."""

import math
from dataclasses import dataclass, field

from ochreway_core.ids import InstanceId, NodeId
from ochreway_core.rendezvous import rank

REMAINDER_DIGITS = 3
"""Remainders that differ by less are taken as equal, so that targets differ in who gets more."""


@dataclass(frozen=True, slots=True)
class Allotment:
    """Hold parts of one; whoever has the same allotment works out the same whole requests."""

    parts: dict[NodeId, float] = field(default_factory=dict)

    def requests_of(self, node: NodeId, requests: int, instance: InstanceId) -> int:
        """Return how many of a target's requests within a span an entry has.

        What is left over when each has the whole ones goes to the largest remainders, equal
        ones in an order that is another for each target.
        """
        if node not in self.parts:
            return 0
        exact = {entry: requests * part for entry, part in self.parts.items()}
        whole_requests = {
            entry: math.floor(amount + 10.0**-REMAINDER_DIGITS) for entry, amount in exact.items()
        }
        remaining = math.floor(sum(exact.values()) + 10.0**-REMAINDER_DIGITS) - sum(
            whole_requests.values()
        )
        if remaining <= 0:
            return whole_requests[node]
        ranks = {entry: position for position, entry in enumerate(rank(instance, exact))}
        by_remainder = sorted(
            exact,
            key=lambda entry: (
                round(whole_requests[entry] - exact[entry], REMAINDER_DIGITS),
                ranks[entry],
            ),
        )
        return whole_requests[node] + (node in by_remainder[:remaining])

    def differs(self, other: "Allotment", tolerance: float) -> bool:
        """Tell whether another allotment has other entries, or a part that differs by so much."""
        if self.parts.keys() != other.parts.keys():
            return True
        return any(abs(part - other.parts[node]) > tolerance for node, part in self.parts.items())


__all__ = ["Allotment"]
