# SPDX-License-Identifier: Apache-2.0
"""Shares of the entries in each limit."""

import math
from dataclasses import dataclass, field

from ochreway_core.ids import InstanceId, NodeId
from ochreway_core.rendezvous import rank

REMAINDER_DIGITS = 3
"""Decimals to which remainders are compared.

Remainders that differ by less count as equal, so that for each target other entries come first.
"""


@dataclass(frozen=True, slots=True)
class Allotment:
    """Hold the entries' shares, as fractions of one.

    All entries with the same allotment compute the same whole numbers of requests.
    """

    parts: dict[NodeId, float] = field(default_factory=dict)

    def requests_of(self, node: NodeId, requests: int, instance: InstanceId) -> int:
        """Return how many of a target's requests per quota window an entry may send.

        Each entry gets its exact amount rounded down. What is left goes to the largest remainders;
        equal remainders are ordered differently for each target.
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
        """Return whether another allotment has other entries or a share that differs by more."""
        if self.parts.keys() != other.parts.keys():
            return True
        return any(abs(part - other.parts[node]) > tolerance for node, part in self.parts.items())


__all__ = ["Allotment"]
