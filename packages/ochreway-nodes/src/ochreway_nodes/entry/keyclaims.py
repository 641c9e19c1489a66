# SPDX-License-Identifier: Apache-2.0
"""Claims of callers' idempotency keys at the agents that are the keys' homes."""

from collections.abc import Callable

from ochreway_core.claimround import ClaimRound, ClaimState
from ochreway_core.ids import NodeId
from ochreway_core.messages import Claim, ClaimEnd
from ochreway_core.outcome import Outcome
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_core.timing import Timing
from ochreway_nodes.entry.call import Call
from ochreway_nodes.outbox import Outbox
from ochreway_nodes.viewsync import ViewSync

_REASONS = {
    (ClaimState.TAKEN, Outcome.ANSWERED): Reason.KEY_ANSWERED,
    (ClaimState.TAKEN, Outcome.UNKNOWN): Reason.KEY_TAKEN,
}


def claim_failure_reason(claim: ClaimRound, state: ClaimState) -> Reason:
    """Return the reason for a claim that was not won."""
    return _REASONS.get((state, claim.holder_outcome), Reason.KEY_HOMES_UNREACHABLE)


class KeyClaims:
    """Claim calls' keys at their homes, and report the calls' outcomes to them."""

    def __init__(
        self,
        view_sync: ViewSync,
        timing: Timing,
        address_of: Callable[[NodeId], Peer | None],
        outbox: Outbox,
    ) -> None:
        self._view_sync = view_sync
        self._timing = timing
        self._address_of = address_of
        self._outbox = outbox

    def begin(self, call: Call, now_s: float) -> None:
        """Claim a call's key under the version in force."""
        request = call.request
        assert request.key is not None
        home_sets = self._view_sync.view.homes(request.key, now_s)
        call.claim = ClaimRound(home_sets, now_s + self._timing.claim_timeout_s)
        expires_in_s = request.deadline_s - now_s + self._timing.settle_give_up_s
        version = self._view_sync.view.version
        self._send_to_homes(
            call.claim,
            Claim(version, request.key, request.request, expires_in_s, request.key_issued_wall_s),
        )

    def end(self, call: Call, outcome: Outcome) -> None:
        """Report a call's outcome to the homes of its key, if it was claimed."""
        request = call.request
        if call.claim is not None and request.key is not None:
            self._send_to_homes(call.claim, ClaimEnd(request.key, request.request, outcome))

    def _send_to_homes(self, claim: ClaimRound, message: object) -> None:
        for node in sorted(claim.homes):
            peer = self._address_of(node)
            if peer is not None:
                self._outbox.send(peer, message)


__all__ = ["KeyClaims", "claim_failure_reason"]
