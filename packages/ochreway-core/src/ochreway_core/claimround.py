# SPDX-License-Identifier: Apache-2.0
"""An entry's vote count on one idempotency key."""

from dataclasses import dataclass, field
from enum import Enum

from ochreway_core.ids import NodeId
from ochreway_core.messages.claims import Vote
from ochreway_core.outcome import Outcome


class ClaimState(Enum):
    """State of a claim by the votes so far."""

    OPEN = "open"
    WON = "won"
    TAKEN = "taken"
    LOST = "lost"


@dataclass(slots=True)
class ClaimRound:
    """Count votes; a claim is won with a majority in every set of homes."""

    home_sets: list[frozenset[NodeId]]
    give_up_s: float
    votes: dict[NodeId, Vote] = field(default_factory=dict)
    holder_outcome: Outcome = Outcome.UNKNOWN

    @property
    def homes(self) -> frozenset[NodeId]:
        """Return every home that votes."""
        return frozenset().union(*self.home_sets)

    def record_vote(self, node: NodeId, vote: Vote, outcome: Outcome) -> None:
        """Count a home's vote; only its first one counts."""
        self.votes.setdefault(node, vote)
        if vote is Vote.TAKEN and outcome is Outcome.ANSWERED:
            self.holder_outcome = outcome

    def state(self) -> ClaimState:
        """Return the claim's state by the votes so far."""
        if not self.home_sets:
            return ClaimState.LOST
        if all(self._granted(each) >= _majority(each) for each in self.home_sets):
            return ClaimState.WON
        if all(self._possible(each) >= _majority(each) for each in self.home_sets):
            return ClaimState.OPEN
        return self.final_state()

    def final_state(self) -> ClaimState:
        """Return the state of a claim that can no longer be won."""
        taken = Vote.TAKEN in self.votes.values()
        return ClaimState.TAKEN if taken else ClaimState.LOST

    def _granted(self, homes: frozenset[NodeId]) -> int:
        return sum(self.votes.get(node) is Vote.GRANTED for node in homes)

    def _possible(self, homes: frozenset[NodeId]) -> int:
        return sum(self.votes.get(node, Vote.GRANTED) is Vote.GRANTED for node in homes)


def _majority(homes: frozenset[NodeId]) -> int:
    return len(homes) // 2 + 1


__all__ = ["ClaimRound", "ClaimState"]
