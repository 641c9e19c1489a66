# SPDX-License-Identifier: Apache-2.0
"""Messages that keep a caller's key from running twice."""

from dataclasses import dataclass
from enum import Enum

from ochreway_core.ids import KeyDigest, RequestId, Version
from ochreway_core.message import message
from ochreway_core.outcome import Outcome


class Vote(Enum):
    """Say how a home answers a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    FORGETFUL = "forgetful"
    STALE = "stale"


@message(40)
@dataclass(frozen=True, slots=True)
class Claim:
    """Ask a home of a key to remember that this request runs under it.

    ``issued_wall_s`` is when the caller says it made the key, 0 when it does not say.
    """

    version: Version
    key: KeyDigest
    request: RequestId
    expires_in_s: float
    issued_wall_s: float


@message(41)
@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answer a claim; a taken key tells what is known of the request that holds it."""

    key: KeyDigest
    request: RequestId
    vote: Vote
    outcome: Outcome


@message(42)
@dataclass(frozen=True, slots=True)
class ClaimEnd:
    """Tell a home how the request that holds a key ended; one that did not run frees it."""

    key: KeyDigest
    request: RequestId
    outcome: Outcome


__all__ = ["Claim", "ClaimEnd", "ClaimReply", "Vote"]
