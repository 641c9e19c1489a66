# SPDX-License-Identifier: Apache-2.0
"""A home's record of callers' idempotency keys."""

from dataclasses import dataclass

from ochreway_core.ids import KeyDigest, RequestId
from ochreway_core.messages.claims import Vote
from ochreway_core.outcome import Outcome

CLOCK_SKEW_S = 1.0
"""Assumed bound on the difference between the wall clocks of callers and processes."""


@dataclass(slots=True)
class _HeldKey:
    request: RequestId
    outcome: Outcome
    expires_s: float


class KeyHome:
    """Grant each key to one request until the key expires.

    A restarted process does not know what it granted before. So for ``memory_s`` after its start
    it grants only keys that were issued after the start, unless it started before the first
    version was accepted.
    """

    def __init__(self, memory_s: float, now_s: float, wall_s: float) -> None:
        self._memory_s = memory_s
        self._started_wall_s = wall_s
        self._forgetful_until_s = now_s + memory_s
        self._claims: dict[KeyDigest, _HeldKey] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def end_forgetful_period(self) -> None:
        """Grant any key from now on, as this process started before the first version."""
        self._forgetful_until_s = 0.0

    def claim(
        self,
        key: KeyDigest,
        request: RequestId,
        expires_in_s: float,
        issued_wall_s: float,
        now_s: float,
    ) -> tuple[Vote, Outcome]:
        """Vote on a claim; return the vote and the known outcome of the key's holder."""
        held = self._claims.get(key)
        if held is not None and held.request != request:
            return Vote.TAKEN, held.outcome
        if held is None and self._may_have_forgotten(issued_wall_s, now_s):
            return Vote.FORGETFUL, Outcome.UNKNOWN
        if held is None:
            expires_s = now_s + min(expires_in_s, self._memory_s)
            self._claims[key] = _HeldKey(request, Outcome.UNKNOWN, expires_s)
        return Vote.GRANTED, Outcome.UNKNOWN

    def _may_have_forgotten(self, issued_wall_s: float, now_s: float) -> bool:
        issued_since_start = issued_wall_s > self._started_wall_s + CLOCK_SKEW_S
        return now_s < self._forgetful_until_s and not issued_since_start

    def record_outcome(self, key: KeyDigest, request: RequestId, outcome: Outcome) -> None:
        """Record the outcome of the key's holder; one that did not run frees the key."""
        held = self._claims.get(key)
        if held is None or held.request != request:
            return
        if outcome is Outcome.NOT_RUN:
            del self._claims[key]
        else:
            held.outcome = outcome

    def expire(self, now_s: float) -> None:
        """Remove the expired keys."""
        for key in [key for key, held in self._claims.items() if held.expires_s < now_s]:
            del self._claims[key]


__all__ = ["CLOCK_SKEW_S", "KeyHome"]
