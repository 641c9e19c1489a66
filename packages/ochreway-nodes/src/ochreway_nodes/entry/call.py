# SPDX-License-Identifier: Apache-2.0
"""One request in progress at an entry."""

from dataclasses import dataclass, field
from enum import Enum

from ochreway_core.attemptid import AttemptId
from ochreway_core.claimround import ClaimRound
from ochreway_core.ids import CauseId, GroupId, Incarnation
from ochreway_core.peer import Peer
from ochreway_core.reassembly import Reassembly
from ochreway_core.request import Request


class CallState(Enum):
    """What a call is waiting for."""

    CLAIMING = "claiming"
    RUNNING = "running"
    SETTLING = "settling"


@dataclass(slots=True)
class Attempt:
    """The attempt in progress of a call, with the times of its last events."""

    attempt: AttemptId
    group: GroupId
    peer: Peer
    incarnation: Incarnation
    sent_s: float
    expected_s: float
    answer: Reassembly = field(default_factory=Reassembly)
    last_received_s: float = 0.0
    lost_s: float = 0.0
    withdraw_sent_s: float = 0.0
    credited_bytes: int = 0


@dataclass(slots=True)
class Call:
    """A request in progress, with its attempts so far and what it is waiting for."""

    request: Request
    state: CallState
    claim: ClaimRound | None = None
    attempt: Attempt | None = None
    tried_groups: frozenset[GroupId] = frozenset()
    attempts: int = 0
    may_have_run: bool = False
    causes: tuple[CauseId, ...] = ()
    on_trial: bool = False

    @property
    def streamed(self) -> bool:
        """Whether any part of the answer has been delivered to the caller."""
        return self.attempt is not None and self.attempt.answer.received > 0

    @property
    def tokens(self) -> int:
        """The tokens that the request counts for in limits."""
        return self.request.prompt_tokens + self.request.max_tokens


__all__ = ["Attempt", "Call", "CallState"]
