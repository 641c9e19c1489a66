# SPDX-License-Identifier: Apache-2.0
"""Messages that prevent a caller's idempotency key from running twice."""

from dataclasses import dataclass
from enum import Enum

from ochreway_core.ids import KeyDigest, RequestId, Version
from ochreway_core.message import message
from ochreway_core.outcome import Outcome


class Vote(Enum):
    """A home's vote on a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    FORGETFUL = "forgetful"
    STALE = "stale"


@message(40)
@dataclass(frozen=True, slots=True)
class Claim:
    """Ask a home of a key to record that this request runs under it.

    ``issued_wall_s`` is when the caller states that it issued the key, or 0 if it does not.
    """

    version: Version
    key: KeyDigest
    request: RequestId
    expires_in_s: float
    issued_wall_s: float


@message(41)
@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answer a claim; for a taken key ``outcome`` is what is known of its holder."""

    key: KeyDigest
    request: RequestId
    vote: Vote
    outcome: Outcome


@message(42)
@dataclass(frozen=True, slots=True)
class ClaimEnd:
    """Report a key holder's outcome to a home; a holder that did not run frees the key."""

    key: KeyDigest
    request: RequestId
    outcome: Outcome


__all__ = ["Claim", "ClaimEnd", "ClaimReply", "Vote"]
